"""Which part of a zone's targets an entry host sends to first."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bramleyspread_core import Directory

#: Fewest targets of a slice, so that it evens out and survives losses.
FEWEST_TARGETS = 8
#: Time between two looks at the other hosts, in seconds.
LOOK_PAUSE = 1.0


@dataclass(frozen=True, slots=True)
class Slice:
    """Consecutive positions in a list, round its end if need be."""

    #: The first position.
    start: int
    #: How many.
    size: int
    #: Length of the list.
    length: int

    def place(self, number: int) -> int:
        """Find the position of one of the slice's members.

        :param number: from 0 to below the size.
        :returns: its position in the list.
        """
        return (self.start + number) % self.length


class Slices(Protocol):
    """Says which targets of its own zone a host sends to first."""

    def find(self, length: int, now: float) -> Slice:
        """Find this host's slice of a list of targets."""


class HostSlices:
    """Slices by this host's place among the entry hosts of its zone.

    Load reports lag, but a host knows its own work at once. When each host
    sends to targets of its own first, it knows nearly all of their work; the
    others are there for what does not fit. Slices overlap where there are few
    targets for each host, and are all of them where there are fewest.
    """

    __slots__ = ("_count", "_directory", "_host", "_looked_at", "_place", "_zone")

    def __init__(self, directory: Directory, host: str, zone: str) -> None:
        self._directory = directory
        self._host = host
        self._zone = zone
        self._place = 0
        self._count = 1
        self._looked_at = -LOOK_PAUSE

    def find(self, length: int, now: float) -> Slice:
        """Find this host's slice.

        :param length: how many usable targets are in this host's zone.
        :param now: monotonic seconds.
        :returns: the slice.
        """
        if now >= self._looked_at + LOOK_PAUSE:
            self._look(now)
        size = max(FEWEST_TARGETS, -(-length // self._count))
        if size >= length:
            return Slice(0, length, max(1, length))
        return Slice(self._place * length // self._count, size, length)

    def _look(self, now: float) -> None:
        hosts = self._directory.list_hosts(now)
        near = {str(each.host) for each in hosts if each.zone == self._zone}
        names = sorted(near | {self._host})
        self._place = names.index(self._host)
        self._count = len(names)
        self._looked_at = now


class WholeZone:
    """The baseline: all targets alike."""

    __slots__ = ()

    def find(self, length: int, now: float) -> Slice:
        """Find all of them.

        :param length: how many there are.
        :param now: monotonic seconds.
        :returns: the whole list.
        """
        return Slice(0, length, max(1, length))
