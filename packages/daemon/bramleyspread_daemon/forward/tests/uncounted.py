"""A base of connections that stand in for those to targets."""

from __future__ import annotations


class UncountedConnection:
    """A connection that doesn't count what is kept of its answers."""

    is_given_up = False

    def keep(self, parts: object) -> None:
        """Do nothing."""

    def record_kept(self) -> None:
        """Do nothing."""

    def check_room(self) -> None:
        """Do nothing."""
