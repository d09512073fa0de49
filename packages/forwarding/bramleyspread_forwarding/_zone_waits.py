"""Decides which pieces wait for a target in the availability zone of their data."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding._batched_calls import estimate_call_ms
from bramleyspread_forwarding._piece_queue import QueuedJob

#: Time that a piece may wait for each megabyte that then need not cross zones, in
#: seconds.
WAIT_S_PER_MB = 0.3
#: Maximum time that a piece waits, in durations of a full call.
MAX_WAIT_CALLS = 2.0
#: Time for which a piece may wait, however few bytes would cross, for a zone that has
#: capacity for its work by a plan, in durations of a full call.
PLANNED_WAIT_CALLS = 1.0
#: Time that must be left before the latency goal after the expected end of the call,
#: in durations of a full call.
GOAL_MARGIN_CALLS = 0.5


class ZoneTarget(msgspec.Struct, frozen=True):
    """A target for which pieces may wait."""

    zone: str
    #: Time until it can take a call, in seconds.
    free_in_s: float
    #: Bytes of results that it can still store.
    free_bytes: float


class ZoneWaits:
    """The pieces that a target must leave to the targets of another zone.

    A piece waits only while that saves more than it costs: the more bytes would cross
    zones, the longer, but never so long that its request misses its latency goal. The
    results of an incomplete job occupy storage, so a job that has started does not wait
    while another one can't start for want of storage.

    :param targets: targets that accept calls and are not slow.
    :param limits: the capacity limits of the service's targets.
    :param is_storage_short: whether a job can't start for want of storage.
    :param full_zones: the zones whose capacity is exceeded by the plan in force; None
        without a plan.
    :param now: the current time, in seconds.
    """

    __slots__ = (
        "_by_zone",
        "_full_call_s",
        "_full_zones",
        "_is_storage_short",
        "_limits",
        "_now",
        "_pieces_ahead",
    )

    def __init__(
        self,
        targets: Iterable[ZoneTarget],
        limits: PieceLimits,
        now: float,
        *,
        is_storage_short: bool,
        full_zones: Collection[str] | None = None,
    ) -> None:
        self._full_zones = full_zones
        self._is_storage_short = is_storage_short
        self._limits = limits
        self._now = now
        self._full_call_s = estimate_call_ms(limits.batch, limits) / 1000
        self._pieces_ahead: Counter[str] = Counter()
        self._by_zone: dict[str, list[ZoneTarget]] = {}
        for target in sorted(targets, key=lambda each: each.free_in_s):
            self._by_zone.setdefault(target.zone, []).append(target)

    def must_wait(self, job: QueuedJob, zone: str) -> bool:
        """Whether a job's pieces wait although a target of another zone is free.

        Jobs must be passed in the order in which they are dispatched.

        :param job: the job.
        :param zone: availability zone of the free target.
        """
        if zone in (job.zone, job.job.zone):
            return False
        if not job.zone or not job.job.crossing_bytes:
            return False
        if job.is_started and self._is_storage_short:
            return False
        start_in_s = self._find_last_start(job)
        if not self._is_worthwhile(job, start_in_s):
            return False
        self._pieces_ahead[job.zone] += len(job.waiting)
        return True

    def _find_last_start(self, job: QueuedJob) -> float:
        """Find when targets of the job's zone can take its last piece, in seconds."""
        size = job.job.result_bytes
        targets = self._by_zone.get(job.zone, [])
        free_in_s = [x.free_in_s for x in targets if x.free_bytes >= size]
        if not free_in_s:
            return math.inf
        pieces_before = self._pieces_ahead[job.zone] + len(job.waiting) - 1
        rounds, position = divmod(pieces_before // self._limits.batch, len(free_in_s))
        return free_in_s[position] + rounds * self._full_call_s

    def _is_worthwhile(self, job: QueuedJob, start_in_s: float) -> bool:
        if self._now - job.waiting_since + start_in_s > self._find_max_wait_s(job):
            return False
        call_end = self._now + self._full_call_s
        is_late = job.goal_at < call_end
        margin_s = GOAL_MARGIN_CALLS * self._full_call_s
        return is_late or call_end + start_in_s + margin_s <= job.goal_at

    def _find_max_wait_s(self, job: QueuedJob) -> float:
        """Find how long a job may wait so that its bytes need not cross zones."""
        crossing_mb = job.job.crossing_bytes / 1e6 * len(job.waiting) / job.job.pieces
        wait_s = crossing_mb * WAIT_S_PER_MB
        if self._full_zones is not None and job.zone not in self._full_zones:
            wait_s = max(wait_s, PLANNED_WAIT_CALLS * self._full_call_s)
        return min(wait_s, MAX_WAIT_CALLS * self._full_call_s)
