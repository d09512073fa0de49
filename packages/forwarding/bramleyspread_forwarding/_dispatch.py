"""One round in which free targets get pieces from the queue."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding._batched_calls import estimate_call_ms
from bramleyspread_forwarding._piece_queue import PieceQueue, PieceRef, QueuedJob
from bramleyspread_forwarding._targets import ForwardTarget
from bramleyspread_forwarding._zone_waits import ZoneTarget, ZoneWaits


class Allocation(msgspec.Struct, frozen=True):
    """The part of the queue that may go into a target's next call."""

    #: Number of pieces at the head of the queue that are left to faster targets.
    skipped_pieces: int
    #: Maximum number of pieces in the call.
    max_pieces: int
    #: Whether the call only shows whether the target works again.
    is_probe: bool = False


class DispatchRound:
    """Chooses the pieces of one call after another.

    :param jobs: the queue.
    :param limits: the capacity limits of the service's targets.
    :param now: the current time, in seconds.
    :param spare_bytes: storage at all targets beyond what started jobs will need;
        infinite if any job may start.
    :param zone_targets: by id, the targets for which pieces may wait.
    :param full_zones: the zones whose capacity is exceeded by the plan in force; None
        without a plan.
    """

    __slots__ = (
        "_call_s",
        "_full_zones",
        "_jobs",
        "_largest_unstarted_bytes",
        "_limits",
        "_now",
        "_spare_bytes",
        "_zone_targets",
    )

    def __init__(
        self,
        jobs: PieceQueue,
        limits: PieceLimits,
        now: float,
        spare_bytes: float,
        zone_targets: dict[str, ZoneTarget],
        *,
        full_zones: Collection[str] | None = None,
    ) -> None:
        self._full_zones = full_zones
        self._jobs = jobs
        self._limits = limits
        self._now = now
        self._call_s = estimate_call_ms(limits.batch, limits) / 1000
        self._spare_bytes = spare_bytes
        self._largest_unstarted_bytes = jobs.find_largest_unstarted_bytes()
        self._zone_targets = zone_targets

    def choose_pieces(
        self, target: ForwardTarget, allocation: Allocation, free_bytes: float
    ) -> list[PieceRef]:
        """Choose the pieces of a target's call.

        A job is started only when there is storage for all its results, and started
        jobs go first: the results of an incomplete job occupy storage that other
        jobs need.

        :param target: the target.
        :param allocation: the part of the queue from which it may get pieces.
        :param free_bytes: bytes of results that it can still store.
        :returns: the pieces.
        """
        chosen: list[PieceRef] = []
        skipped = 0
        zone_waits = self._make_zone_waits()
        call_end = self._now + self._call_s
        for number, job in self._jobs.list_waiting(target.zone, call_end):
            if zone_waits.must_wait(job, target.zone):
                continue
            if skipped < allocation.skipped_pieces:
                skipped += len(job.waiting)
                continue
            if allocation.is_probe and job.is_started:
                continue
            if not job.is_started and not self._reserve(job):
                continue
            size = job.job.result_bytes
            for index in job.waiting:
                if len(chosen) >= allocation.max_pieces:
                    return chosen
                if size > free_bytes:
                    break
                free_bytes -= size
                chosen.append(PieceRef(number, index))
        return chosen

    def record_call(self, target: ForwardTarget, result_bytes: int) -> None:
        """Record that a target got a call, so that no piece waits for it too long.

        :param target: the target.
        :param result_bytes: approximate size of the call's results, in bytes.
        """
        known = self._zone_targets.get(target.target)
        if known is not None:
            self._zone_targets[target.target] = ZoneTarget(
                known.zone, self._call_s, known.free_bytes - result_bytes
            )

    def _make_zone_waits(self) -> ZoneWaits:
        return ZoneWaits(
            self._zone_targets.values(),
            self._limits,
            self._now,
            is_storage_short=self._largest_unstarted_bytes > self._spare_bytes,
            full_zones=self._full_zones,
        )

    def _reserve(self, job: QueuedJob) -> bool:
        """Reserve storage for a job's results; return whether there is enough."""
        job_bytes = job.job.result_bytes * len(job.waiting)
        if job_bytes > self._spare_bytes:
            return False
        self._spare_bytes -= job_bytes
        return True
