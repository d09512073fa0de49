"""The daemon: curio and h11 shells around the decisions."""
