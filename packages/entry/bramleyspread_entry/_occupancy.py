"""Estimates of the pools' load, from delayed reports and this host's own requests."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from bramleyspread_core import Directory, PoolName, TargetView

#: Shortest time between two samples of a pool.
SAMPLE_INTERVAL_S = 0.05
#: Maximum number of targets whose load reports are read for one sample.
SAMPLED_TARGETS = 64
#: Number of samples for which this host's request count is kept, to find the count at
#: the time of the load reports.
SAMPLES_KEPT = 64


@dataclass(frozen=True, slots=True)
class PoolState:
    """Estimated state of one pool."""

    #: Number of usable targets.
    targets: int
    #: Requests that all usable targets can run at the same time.
    slots: float
    #: Requests on all usable targets: those reported, corrected for the change since
    #: the reports, which is extrapolated from this host's requests to all hosts.
    requests: float
    #: This host's part of the slots, which are divided evenly among the entry hosts.
    own_slots: float
    #: Requests of this host that still need the pool.
    own_requests: int


@dataclass(slots=True)
class _PoolSample:
    """The newest sample of a pool."""

    #: When the sample was taken, in monotonic seconds.
    taken_at: float = -1e9
    #: Number of usable targets.
    targets: int = 0
    #: Slots of all usable targets.
    slots: float = 0.0
    #: Requests on all usable targets, as reported.
    reported_requests: float = 0.0
    #: Requests of this host at the time of the reports.
    own_requests_at_report: int = 0
    #: Requests of this host at earlier samples: time and number.
    history: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=SAMPLES_KEPT)
    )


class Occupancy:
    """Estimates the load of pools from samples of a bounded number of targets."""

    __slots__ = (
        "_directory",
        "_host_count",
        "_hosts_refreshed_at",
        "_own_requests",
        "_rng",
        "_samples",
    )

    def __init__(self, directory: Directory, rng: Random) -> None:
        self._directory = directory
        self._rng = rng
        self._samples: dict[PoolName, _PoolSample] = {}
        self._own_requests: Counter[PoolName] = Counter()
        self._host_count = 1
        self._hosts_refreshed_at = -1e9

    def add_request(self, pools: Sequence[PoolName]) -> None:
        """Count a new request of this host for each pool that it needs.

        :param pools: the pools, one for each of its stages.
        """
        for pool in pools:
            self._own_requests[pool] += 1

    def remove_request(self, pools: Sequence[PoolName]) -> None:
        """Stop counting a request of this host for pools that it no longer needs.

        :param pools: the pools, one for each stage that has ended or will not run.
        """
        for pool in pools:
            self._own_requests[pool] -= 1

    def estimate(self, pool: PoolName, now: float) -> PoolState:
        """Estimate a pool's state, from a new sample if the newest one is too old.

        :param pool: the pool.
        :param now: monotonic seconds.
        :returns: the estimated state.
        """
        sample = self._samples.get(pool)
        if sample is None:
            sample = self._samples[pool] = _PoolSample()
        own_requests = self._own_requests[pool]
        if now >= sample.taken_at + SAMPLE_INTERVAL_S:
            self._refresh(pool, sample, own_requests, now)
        since_report = extrapolate(
            own_requests - sample.own_requests_at_report,
            sample.own_requests_at_report,
            self._host_count,
        )
        requests = max(float(own_requests), sample.reported_requests + since_report)
        own_slots = sample.slots / max(1, self._host_count)
        return PoolState(
            sample.targets, sample.slots, requests, own_slots, own_requests
        )

    def _refresh(
        self, pool: PoolName, sample: _PoolSample, own_requests: int, now: float
    ) -> None:
        views = self._directory.list_usable(pool, now)
        sampled = self._choose_views(views)
        sample.taken_at = now
        sample.targets = len(views)
        sample.history.append((now, own_requests))
        if not sampled:
            sample.slots = sample.reported_requests = 0.0
            return
        scale = len(views) / len(sampled)
        loads = [view.announcement.load for view in sampled]
        sample.slots = scale * sum(max(1, load.slots) for load in loads)
        sample.reported_requests = scale * sum(
            load.running + load.waiting for load in loads
        )
        as_of = sum(view.load_measured_at for view in sampled) / len(sampled)
        sample.own_requests_at_report = _find_own_requests_at(sample.history, as_of)
        if now >= self._hosts_refreshed_at + 1.0:
            self._host_count = len(self._directory.list_hosts(now))
            self._hosts_refreshed_at = now

    def _choose_views(self, views: Sequence[TargetView]) -> Sequence[TargetView]:
        if len(views) <= SAMPLED_TARGETS:
            return views
        size = len(views)
        return [views[int(self._rng.random() * size)] for _ in range(SAMPLED_TARGETS)]


def _find_own_requests_at(history: deque[tuple[float, int]], as_of: float) -> int:
    """Find the request count of the newest sample that is not newer than a time."""
    for taken_at, own_requests in reversed(history):
        if taken_at <= as_of:
            return own_requests
    return history[0][1]


def extrapolate(change: int, before: int, hosts: int) -> float:
    """Extrapolate a change of this host's request count to that of all hosts.

    A change up to the standard deviation of a random arrival process is counted for
    this host only. Any further change is assumed to have a common cause and is
    counted for each host.

    :param change: change of this host's number of requests.
    :param before: number of its requests before the change.
    :param hosts: number of hosts.
    :returns: estimated change of the number of requests of all hosts.

    >>> extrapolate(2, 4, 8), extrapolate(12, 4, 8), extrapolate(-12, 4, 8)
    (2.0, 82.0, -82.0)
    """
    random_part = min(abs(change), math.sqrt(max(1, before)))
    common_part = abs(change) - random_part
    return math.copysign(random_part + hosts * common_part, change)
