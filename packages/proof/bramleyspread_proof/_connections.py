"""The connection pool of a simulated entry host."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

#: Maximum number of idle connections to each target.
MAX_IDLE_PER_TARGET = 64


class Connection:
    """A connection to a target; once silent, it drops all data without a reset."""

    __slots__ = ("incarnation", "opened_at", "silent")

    def __init__(self, incarnation: int, opened_at: float) -> None:
        #: Incarnation of the target that accepted it.
        self.incarnation = incarnation
        #: Time at which it was opened, on the entry host's clock.
        self.opened_at = opened_at
        #: Whether a middlebox has lost its state, so that all data is dropped.
        self.silent = False


class ConnectionPool:
    """Idle connections by target.

    A connection is released to the pool only after its response was read to the end.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[Connection]] = {}

    def clear(self) -> None:
        """Drop all idle connections."""
        self._idle.clear()

    def acquire(self, target: str) -> Connection | None:
        """Remove and return the newest idle connection to a target, if there is one."""
        idle = self._idle.get(target)
        return idle.pop() if idle else None

    def release(self, target: str, connection: Connection) -> None:
        """Return a connection whose response was read to the end; drop it if full."""
        idle = self._idle.setdefault(target, [])
        if len(idle) < MAX_IDLE_PER_TARGET:
            idle.append(connection)

    def drop_opened_until(self, target: str, opened_until: float) -> None:
        """Drop idle connections to a target, after a connection to it went silent.

        :param target: name of the target.
        :param opened_until: time at which the silent connection was opened; those
            opened later are kept.
        """
        idle = self._idle.get(target, [])
        self._idle[target] = [each for each in idle if each.opened_at > opened_until]

    def silence(
        self, share: float, in_use: Iterable[Connection | None], rng: Random
    ) -> None:
        """Make a random share of the connections silent.

        :param share: share of the connections, from 0 to 1.
        :param in_use: the connections in use; None for one that is still being opened.
        :param rng: random source that selects the connections.
        """
        idle = [each for name in sorted(self._idle) for each in self._idle[name]]
        for connection in (*idle, *in_use):
            if connection is not None and rng.random() < share:
                connection.silent = True
