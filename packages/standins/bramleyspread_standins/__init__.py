"""Stand-ins for targets and callers, used in demos and benchmarks."""
