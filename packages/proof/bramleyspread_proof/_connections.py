"""An entry host's connections to targets in virtual time."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

#: Idle connections kept to one target.
MAX_IDLE = 64


class Connection:
    """A connection to a target; once silent, it loses all without a word."""

    __slots__ = ("life", "opened_at", "silent")

    def __init__(self, life: int, opened_at: float) -> None:
        #: The life of the target that accepted it.
        self.life = life
        #: When it was opened, on the entry host's clock.
        self.opened_at = opened_at
        #: Whether something between the ends has forgotten it.
        self.silent = False


class Connections:
    """Idle connections by target; one with an abandoned answer never comes back."""

    def __init__(self) -> None:
        self._idle: dict[str, list[Connection]] = {}

    def clear(self) -> None:
        """Forget all of them."""
        self._idle.clear()

    def take(self, target: str) -> Connection | None:
        """Take the newest idle connection to a target, if there is one."""
        idle = self._idle.get(target)
        return idle.pop() if idle else None

    def give_back(self, target: str, connection: Connection) -> None:
        """Keep a connection whose answer was read to its end."""
        idle = self._idle.setdefault(target, [])
        if len(idle) < MAX_IDLE:
            idle.append(connection)

    def drop_old(self, target: str, opened_by: float) -> None:
        """Drop the idle connections that are as old as a silent one."""
        idle = self._idle.get(target, [])
        self._idle[target] = [each for each in idle if each.opened_at > opened_by]

    def silence(
        self, share: float, used: Iterable[Connection | None], rng: Random
    ) -> None:
        """Make connections forget themselves without a word.

        :param share: share of them.
        :param used: the ones in use; None for one being opened.
        :param rng: decides which.
        """
        idle = [each for name in sorted(self._idle) for each in self._idle[name]]
        for connection in (*idle, *used):
            if connection is not None and rng.random() < share:
                connection.silent = True
