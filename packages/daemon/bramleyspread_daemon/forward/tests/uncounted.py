"""A base of connections that stand in for those to targets."""

from __future__ import annotations


class UncountedConnection:
    """A connection that doesn't count what is kept of its answers."""

    def record_kept(self, size: int) -> None:
        """Do nothing."""
