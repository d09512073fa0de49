"""Slices: the parts of a zone's targets that its entry hosts prefer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bramleyspread_core import Directory

#: Minimum number of targets in a slice; enough to balance load and to tolerate failed
#: targets.
MIN_SLICE_TARGETS = 8
#: Time between two updates of the list of entry hosts.
HOSTS_REFRESH_S = 1.0


@dataclass(frozen=True, slots=True)
class Slice:
    """Range of consecutive positions in a list, which may wrap around at its end."""

    #: The first position.
    start: int
    #: Number of positions.
    size: int
    #: Length of the list.
    length: int

    def position(self, number: int) -> int:
        """Return the position in the list of one of the slice's members.

        :param number: index within the slice, from 0 to below the size.
        :returns: the position in the list.
        """
        return (self.start + number) % self.length


class Slices(Protocol):
    """Decides which targets of its own zone a host prefers."""

    def find(self, length: int, now: float) -> Slice:
        """Find this host's slice of a list of targets."""


class HostSlices:
    """Divides a zone's targets among its entry hosts, in the order of the hosts' names.

    Load reports are delayed, but a host knows its own attempts at once. When each
    host prefers its own slice, it has sent nearly all of the work on these targets
    and knows their load; the other targets take the excess. Slices overlap when
    there are few targets for each host, and each is the whole list when there are
    too few to divide.
    """

    __slots__ = (
        "_directory",
        "_host",
        "_host_count",
        "_rank",
        "_refreshed_at",
        "_zone",
    )

    def __init__(self, directory: Directory, host: str, zone: str) -> None:
        self._directory = directory
        self._host = host
        self._zone = zone
        #: Position of this host in the sorted names of its zone's entry hosts.
        self._rank = 0
        #: Number of entry hosts in this host's zone.
        self._host_count = 1
        self._refreshed_at = -HOSTS_REFRESH_S

    def find(self, length: int, now: float) -> Slice:
        """Find this host's slice of its zone's targets.

        :param length: number of usable targets in this host's zone.
        :param now: monotonic seconds.
        :returns: the slice.
        """
        if now >= self._refreshed_at + HOSTS_REFRESH_S:
            self._refresh_hosts(now)
        size = max(MIN_SLICE_TARGETS, -(-length // self._host_count))
        if size >= length:
            return Slice(0, length, max(1, length))
        return Slice(self._rank * length // self._host_count, size, length)

    def _refresh_hosts(self, now: float) -> None:
        hosts = self._directory.list_hosts(now)
        same_zone = {str(each.host) for each in hosts if each.zone == self._zone}
        names = sorted(same_zone | {self._host})
        self._rank = names.index(self._host)
        self._host_count = len(names)
        self._refreshed_at = now


class WholeZone:
    """Baseline for comparisons: no slices, so no target of the zone is preferred."""

    __slots__ = ()

    def find(self, length: int, now: float) -> Slice:
        """Return a slice of the whole list.

        :param length: number of usable targets in this host's zone.
        :param now: monotonic seconds.
        :returns: the whole list.
        """
        return Slice(0, length, max(1, length))
