"""Stand-ins of targets and callers, for demos and benches."""
