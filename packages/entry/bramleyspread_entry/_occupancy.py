"""How full the pools are, from lagging reports and own work."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from bramleyspread_core import Directory, PoolName, TargetView

#: Shortest time between two looks at a pool, in seconds.
LOOK_PAUSE = 0.05
#: Targets looked at each time.
LOOKED_AT = 64
#: Looks remembered, to know own work at the time of the reports.
LOOKS_KEPT = 64


@dataclass(frozen=True, slots=True)
class PoolState:
    """What is believed of one pool."""

    #: Usable targets.
    targets: int
    #: Requests that they can run side by side, in all.
    slots: float
    #: Requests reported on them, in all, corrected for what came since as if
    #: every entry host's own work had changed like this one's.
    occupied: float
    #: Part of the slots that this host may count as its own.
    own_slots: float
    #: This host's requests that still need the pool.
    own: int


@dataclass(slots=True)
class _Look:
    """The newest look at a pool."""

    #: When, in monotonic seconds.
    at: float = -1e9
    #: Usable targets.
    targets: int = 0
    #: Slots in all.
    slots: float = 0.0
    #: Reported requests in all.
    reported: float = 0.0
    #: Own work when the reports were true.
    own_then: int = 0
    #: Own work at earlier looks: time and requests.
    history: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=LOOKS_KEPT)
    )


class Occupancy:
    """Watches pools by looking at a bounded number of targets now and then."""

    __slots__ = ("_directory", "_hosts", "_hosts_at", "_looks", "_own", "_rng")

    def __init__(self, directory: Directory, rng: Random) -> None:
        self._directory = directory
        self._rng = rng
        self._looks: dict[PoolName, _Look] = {}
        self._own: Counter[PoolName] = Counter()
        self._hosts = 1
        self._hosts_at = -1e9

    def enter(self, pools: Sequence[PoolName]) -> None:
        """Count a request that needs pools from now on.

        :param pools: the pools, one for each of its stages.
        """
        for pool in pools:
            self._own[pool] += 1

    def leave(self, pools: Sequence[PoolName]) -> None:
        """Count a request that does not need pools any more.

        :param pools: the pools, one for each stage that is over.
        """
        for pool in pools:
            self._own[pool] -= 1

    def read(self, pool: PoolName, now: float) -> PoolState:
        """Say how full a pool is.

        :param pool: the pool.
        :param now: monotonic seconds.
        :returns: what is believed of it.
        """
        look = self._looks.get(pool)
        if look is None:
            look = self._looks[pool] = _Look()
        own = self._own[pool]
        if now >= look.at + LOOK_PAUSE:
            self._look(pool, look, own, now)
        since = extrapolate(own - look.own_then, look.own_then, self._hosts)
        occupied = max(float(own), look.reported + since)
        own_slots = look.slots / max(1, self._hosts)
        return PoolState(look.targets, look.slots, occupied, own_slots, own)

    def _look(self, pool: PoolName, look: _Look, own: int, now: float) -> None:
        views = self._directory.list_usable(pool, now)
        sample = self._sample(views)
        look.at = now
        look.targets = len(views)
        look.history.append((now, own))
        if not sample:
            look.slots = look.reported = 0.0
            return
        scale = len(views) / len(sample)
        loads = [view.announcement.load for view in sample]
        look.slots = scale * sum(max(1, load.slots) for load in loads)
        look.reported = scale * sum(load.running + load.waiting for load in loads)
        as_of = sum(view.load_as_of for view in sample) / len(sample)
        look.own_then = _find_own_then(look.history, as_of)
        if now >= self._hosts_at + 1.0:
            self._hosts = len(self._directory.list_hosts(now))
            self._hosts_at = now

    def _sample(self, views: Sequence[TargetView]) -> Sequence[TargetView]:
        if len(views) <= LOOKED_AT:
            return views
        size = len(views)
        return [views[int(self._rng.random() * size)] for _ in range(LOOKED_AT)]


def _find_own_then(history: deque[tuple[float, int]], as_of: float) -> int:
    for at, own in reversed(history):
        if at <= as_of:
            return own
    return history[0][1]


def extrapolate(change: int, before: int, hosts: int) -> float:
    """Extrapolate a change of this host's work to that of all hosts.

    What chance alone may have done counts for this host only; what goes beyond
    it has a common cause and counts for each host.

    :param change: how this host's requests changed.
    :param before: how many they were.
    :param hosts: how many hosts there are.
    :returns: how all hosts' requests are taken to have changed.

    >>> extrapolate(2, 4, 8), extrapolate(12, 4, 8), extrapolate(-12, 4, 8)
    (2.0, 82.0, -82.0)
    """
    by_chance = min(abs(change), math.sqrt(max(1, before)))
    common = abs(change) - by_chance
    return math.copysign(by_chance + hosts * common, change)
