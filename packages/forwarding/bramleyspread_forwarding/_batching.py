"""Batches the pieces of many requests into few calls to targets.

A call has a large fixed cost and a small cost for each piece. One call per request
would overload a service that can easily carry the same pieces in full calls.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from itertools import count

import msgspec

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding._batched_calls import (
    BatchedCall,
    BatchedItem,
    RunningCall,
    estimate_call_ms,
    find_nominal_rate,
)
from bramleyspread_forwarding._call_history import CallHistory
from bramleyspread_forwarding._dispatch import Allocation, DispatchRound
from bramleyspread_forwarding._piece_queue import JobDone, PieceQueue, PieceRef
from bramleyspread_forwarding._pieces import (
    HeldResult,
    PieceFault,
    PieceJob,
    PieceResult,
)
from bramleyspread_forwarding._placement_messages import TargetLoad
from bramleyspread_forwarding._rooms import StorageUsage
from bramleyspread_forwarding._signal_table import SignalTable
from bramleyspread_forwarding._stage_load import NO_LOAD, LoadMeter, StageLoad
from bramleyspread_forwarding._target_access import TargetAccess
from bramleyspread_forwarding._targets import ForwardTarget
from bramleyspread_forwarding._zone_overflow import PieceOverflow
from bramleyspread_forwarding._zone_waits import ZoneTarget

#: A job that has not started is shed when this many durations of a full call have
#: passed since the last moment at which it could start and still meet its latency goal;
#: by then every target has started other work twice.
LATE_WAIT_CALLS = 3
#: Backlog up to which any job is added, in durations of a full call.
FREE_BACKLOG_CALLS = 0.5
#: Time between the expected end of a new job and its goal, in durations of a full call:
#: targets end their calls one after another, not when a job comes.
GOAL_MARGIN_CALLS = 0.5
#: Slowdown that is assumed of a target whose latest call failed.
FAILING_SLOWDOWN = 6.0
#: Share of the time that a faster target would save for which a target leaves pieces to
#: it. If it left them for all of that time, it would be idle too often under load.
LEAVE_SHARE = 0.5


class Batcher:
    """Queues the pieces of one service and assigns them to calls.

    Jobs that can still meet their latency goal go before jobs that can't, and more
    urgent jobs go first among them. A slow or failing target gets only the pieces that
    faster targets would not start before the slow target completes them, and now and
    then a single piece as a probe. A target that limits its rate, or wants no calls for
    a while, gets none before its time.

    :param access: paces the calls to each target.
    :param is_fair: whether each priority gets its share in overload.
    :param is_planned: whether a plan decides what is sent to other zones.
    """

    def __init__(
        self,
        access: TargetAccess | None = None,
        *,
        is_fair: bool = False,
        is_planned: bool = False,
    ) -> None:
        self._access = access if access is not None else TargetAccess(SignalTable())
        self._call_numbers = count(1)
        #: The jobs that have not ended.
        self.jobs = PieceQueue(is_fair=is_fair)
        self._meter = LoadMeter() if is_fair else None
        self._calls: dict[int, RunningCall] = {}
        # By target, the approximate bytes that its calls in flight will store.
        self._expected_bytes: Counter[str] = Counter()
        self._storage = StorageUsage()
        self._history = CallHistory()
        #: Plans what is sent to other zones; None if the cost of each job decides.
        self.overflow = PieceOverflow() if is_planned else None

    @property
    def calls_in_flight(self) -> int:
        """Number of calls in flight."""
        return len(self._calls)

    def add(
        self,
        job: PieceJob,
        limits: PieceLimits,
        targets: float,
        now: float,
        *,
        is_local: bool = False,
    ) -> int | PieceFault:
        """Enqueue a job unless it can't end before its deadline.

        While no target is available, one job waits to find out when one is again;
        others are refused.

        :param job: the job.
        :param limits: the capacity limits of the service's targets.
        :param targets: number of targets that accept work; those that limit the rate of
            their calls count less.
        :param now: the current time, in seconds.
        :param is_local: whether this host processes the job even when another host
            becomes the batching host of the service.
        :returns: the job's number, or the reason for which it is refused.
        """
        zone = None
        if self.overflow is not None and not is_local:
            zone = self.overflow.choose_zone(job, now)
        unavailable = self._history.count_unavailable()
        if targets <= unavailable and self.jobs.waiting_pieces:
            return PieceFault.SHED
        working = max(targets - unavailable, min(targets, 1.0))
        if self._meter is not None:
            self._meter.nominal_rate = find_nominal_rate(working, limits)
            self._meter.record_demand(job.priority, job.pieces, job.weight, now)
            if not working or not self._may_be_on_time(job, limits, self._meter, now):
                return PieceFault.SHED
            if job.aim_ms >= limits.call_ms:
                self._meter.record_added(job.priority, job.pieces)
        elif self._estimate_job_ms(job, limits, working) > job.remaining_ms:
            return PieceFault.SHED
        return self.jobs.add(job, now, is_local=is_local, zone=zone)

    def _may_be_on_time(
        self, job: PieceJob, limits: PieceLimits, meter: LoadMeter, now: float
    ) -> bool:
        """Whether a job may be added while on-time jobs fill the targets.

        Any job may be added while there is little waiting. Beyond that, a job of a new
        request must meet its goal with the part of the capacity that is its
        priority's.
        """
        own_call_s = estimate_call_ms(min(job.pieces, limits.batch), limits) / 1000
        backlog_s = meter.timely.total() / max(meter.capacity, 1e-9)
        if job.is_begun or job.inputs:
            return own_call_s + backlog_s <= job.remaining_ms / 1000
        full_call_s = estimate_call_ms(limits.batch, limits) / 1000
        if backlog_s <= FREE_BACKLOG_CALLS * full_call_s:
            return own_call_s <= job.remaining_ms / 1000
        # While the targets are filled, the job's pieces share full calls.
        margin_s = GOAL_MARGIN_CALLS * full_call_s
        budget_s = job.aim_ms / 1000 - own_call_s - margin_s
        if not meter.timely[job.priority]:
            # The part of a priority with few requests may be less than one large job.
            return budget_s > 0
        rate = meter.find_guaranteed_rate(job.priority, now)
        return meter.timely[job.priority] + job.pieces <= rate * budget_s

    def _estimate_job_ms(
        self, job: PieceJob, limits: PieceLimits, targets: float
    ) -> float:
        """Estimate the time until a new job ends, in milliseconds."""
        if not targets:
            return math.inf
        pieces_ahead = self.jobs.count_ahead(job.priority)
        full_call_ms = estimate_call_ms(limits.batch, limits)
        own_call_ms = estimate_call_ms(min(job.pieces, limits.batch), limits)
        full_calls = (pieces_ahead + max(0, job.pieces - limits.batch)) / limits.batch
        return own_call_ms + full_calls * full_call_ms / (targets * limits.slots)

    @property
    def load(self) -> StageLoad:
        """The load that hosts are told; empty unless each priority gets its share."""
        return self._meter.load if self._meter is not None else NO_LOAD

    def expire_and_shed(self, limits: PieceLimits, now: float) -> list[JobDone]:
        """Expire jobs past their deadline and shed late jobs that have not started.

        :param limits: the capacity limits of the service's targets.
        :param now: the current time, in seconds.
        :returns: the removed jobs.
        """
        full_call_s = estimate_call_ms(limits.batch, limits) / 1000
        # A job meets its goal if its call starts at least one duration before the goal.
        late_before = now - (LATE_WAIT_CALLS - 1) * full_call_s
        removed = [*self.jobs.expire(now), *self.jobs.shed(late_before)]
        if self._meter is not None:
            timely = self.jobs.count_timely(now + limits.call_ms / 1000)
            self._meter.sample(timely, limits.batch, now)
            if timely.total() > self._meter.capacity * FREE_BACKLOG_CALLS * full_call_s:
                removed += self.jobs.shed_new(now)
        return removed

    def dispatch(
        self,
        targets: Sequence[ForwardTarget],
        limits: PieceLimits,
        now: float,
        lead_s: float = 0.0,
        share: float = 1.0,
    ) -> list[BatchedCall]:
        """Create the calls that can be sent now.

        :param targets: targets that accept work.
        :param limits: the capacity limits of the service's targets.
        :param now: the current time, in seconds.
        :param lead_s: how long before a target is free its next call is sent, because
            a call takes that long to reach it, in seconds.
        :param share: this host's share of targets' rate limits.
        :returns: the calls.
        """
        if not self.jobs.waiting_pieces:
            return []
        free = self._list_free(targets, limits, now, lead_s, share)
        is_round_due = self.overflow is not None and self.overflow.is_due(now)
        if not free and not is_round_due:
            return []
        target_ids = [each.target for each in targets]
        self._history.remove_unlisted(target_ids)
        relative_slowdowns = self._find_relative_slowdowns(target_ids)
        if is_round_due:
            self._plan_overflow(targets, relative_slowdowns, limits, now)
        if not free:
            return []
        calls = []
        self._storage.expire(now)
        fast_targets = [x for x in targets if relative_slowdowns[x.target] == 1.0]
        dispatch_round = self._begin_round(targets, fast_targets, limits, now)
        reported = {
            each: self._history.slowdowns.find_reported(each, now)
            for each in target_ids
        }
        free.sort(key=lambda x: (relative_slowdowns[x.target], reported[x.target]))
        for target in free:
            allocation = self._allocate(target, relative_slowdowns, limits, now)
            if relative_slowdowns[target.target] == 1.0:
                allocation = self._leave_to_faster(
                    target, fast_targets, reported, limits, now
                )
            free_bytes = self._find_free_bytes(target, limits)
            pieces = dispatch_round.choose_pieces(target, allocation, free_bytes)
            if not pieces:
                continue
            self._access.acquire(target, share, now)
            call = self._start_call(target, pieces, limits, now)
            calls.append(call)
            dispatch_round.record_call(target, self._calls[call.call].result_bytes)
        return calls

    def _list_free(
        self,
        targets: Sequence[ForwardTarget],
        limits: PieceLimits,
        now: float,
        lead_s: float,
        share: float,
    ) -> list[ForwardTarget]:
        """List the targets to which a call can be sent now."""
        occupied = self._count_occupied_slots(now, lead_s)
        return [
            each
            for each in targets
            if occupied[each.target] < limits.slots
            and self._history.is_available(each.target, now)
            and self._access.is_ready(each, share, now)
        ]

    def _begin_round(
        self,
        targets: Sequence[ForwardTarget],
        fast_targets: Sequence[ForwardTarget],
        limits: PieceLimits,
        now: float,
    ) -> DispatchRound:
        """Begin a round of calls.

        :param targets: targets that accept work.
        :param fast_targets: those of them that don't count as slow.
        :param limits: the capacity limits of the service's targets.
        :param now: the current time, in seconds.
        """
        overflow = self.overflow
        return DispatchRound(
            self.jobs,
            limits,
            now,
            self._find_spare_bytes(targets, limits),
            self._describe_zone_targets(fast_targets, limits, now),
            full_zones=overflow.find_full_zones(now) if overflow is not None else None,
        )

    def _plan_overflow(
        self,
        targets: Sequence[ForwardTarget],
        relative_slowdowns: dict[str, float],
        limits: PieceLimits,
        now: float,
    ) -> None:
        """Plan what is sent to other zones, by the targets that aren't in backoff."""
        if self.overflow is None:
            return
        slowdowns = {
            target: max(factor, self._history.slowdowns.find_reported(target, now))
            for target, factor in relative_slowdowns.items()
        }
        available = [x for x in targets if self._history.is_available(x.target, now)]
        self.overflow.update(available, slowdowns, limits, self.jobs, now)

    def _find_relative_slowdowns(self, targets: Sequence[str]) -> dict[str, float]:
        """Compare each target with its peers; 1 for those that are not slow.

        A target whose latest call failed counts as slow while another one works.
        """
        slowdowns = {
            each: self._history.slowdowns.find_relative_slowdown(each, targets)
            for each in targets
        }
        failing = {each for each in targets if self._history.is_failing(each)}
        if len(failing) < len(targets):
            slowdowns |= dict.fromkeys(failing, FAILING_SLOWDOWN)
        return slowdowns

    def _count_occupied_slots(self, now: float, lead_s: float) -> Counter[str]:
        """Count the slots of each target that a call sent now could not use in time.

        One call may be sent while another is about to end. An overdue call is not about
        to end, since nobody knows when it ends.
        """
        occupied: Counter[str] = Counter()
        ending: set[str] = set()
        for call in self._calls.values():
            target = call.target.target
            occupied[target] += 1
            slowdown = max(1.0, self._history.slowdowns.find_slowdown(target))
            remaining_s = call.started_at + call.expected_ms * slowdown / 1000 - now
            if abs(remaining_s) < lead_s and not call.is_ahead:
                ending.add(target)
        occupied.subtract(ending)
        return occupied

    def _allocate(
        self,
        target: ForwardTarget,
        relative_slowdowns: dict[str, float],
        limits: PieceLimits,
        now: float,
    ) -> Allocation:
        """Find the part of the queue from which a target may get pieces.

        A slow target skips as many pieces as the fast targets start before the slow
        one completes a call.
        """
        relative_slowdown = relative_slowdowns[target.target]
        if relative_slowdown == 1.0:
            return Allocation(0, limits.batch)
        fast_targets = sum(each == 1.0 for each in relative_slowdowns.values())
        skipped = int(fast_targets * limits.slots * limits.batch * relative_slowdown)
        waiting = self.jobs.waiting_pieces
        if waiting <= skipped and self._history.slowdowns.is_probe_due(
            target.target, now
        ):
            return Allocation(waiting // 2, 1, is_probe=True)
        return Allocation(skipped, limits.batch)

    def _leave_to_faster(
        self,
        target: ForwardTarget,
        targets: Sequence[ForwardTarget],
        reported: dict[str, float],
        limits: PieceLimits,
        now: float,
    ) -> Allocation:
        """Find the part of the queue for a target that reports that it is slower.

        It skips the pieces of a call for each faster target that would complete the
        call clearly earlier, although it has to end another one first. Those that are
        free have had their turn and left what remains, for instance to its zone.

        :param target: a target that doesn't count as slow.
        :param targets: the targets that don't count as slow.
        :param reported: by target, the slowdown that it reported.
        :param limits: the capacity limits of the service's targets.
        :param now: the current time, in seconds.
        """
        own = reported[target.target]
        call_s = estimate_call_ms(limits.batch, limits) / 1000 * LEAVE_SHARE
        earlier = sum(
            0
            < self._find_free_in(each, limits, now)
            < (own - reported[each.target]) * call_s
            for each in targets
            if reported[each.target] < own
            and self._history.is_available(each.target, now)
            and self._find_free_bytes(each, limits) > 0
        )
        return Allocation(earlier * limits.batch, limits.batch)

    def has_call_in_flight(self, target: str) -> bool:
        """Whether a call to a target is in flight."""
        return any(each.target.target == target for each in self._calls.values())

    def record_load(self, target: str, load: TargetLoad, now: float) -> None:
        """Record the load that a target reported with its answer to a call.

        :param target: the target.
        :param load: its load; only the slowdown counts, as this host knows its calls.
        :param now: the current time, in seconds.
        """
        self._history.slowdowns.record_report(target, load.slowdown, now)

    def finish(
        self, call: int, results: Sequence[PieceResult], now: float
    ) -> list[JobDone]:
        """Record the answer to a call.

        :param call: the call's number.
        :param results: the results, in the order of the call's pieces.
        :param now: the current time, in seconds.
        :returns: the jobs that end with this answer.
        """
        finished = self._end_call(call, now)
        target_id = finished.target.target
        results = [msgspec.structs.replace(x, maker=target_id) for x in results]
        self._record_storage(finished, results, now)
        has_result = any(result.handle for result in results)
        self._history.record_answer(finished, has_result, now)
        if all(result.fault is PieceFault.STORAGE_FULL for result in results):
            self._history.record_storage_full(target_id, now)
        done = []
        for piece, result in zip(finished.pieces, results, strict=True):
            done += self.jobs.record_result(piece, result, now)
        return done

    def fail(
        self, call: int, now: float, *, may_have_run: bool = True
    ) -> list[JobDone]:
        """Record that a call got no answer or was rejected by its target.

        :param call: the call's number.
        :param now: the current time, in seconds.
        :param may_have_run: whether the target may have processed the pieces.
        :returns: the jobs that fail with this call.
        """
        failed = self._end_call(call, now)
        self._history.record_failure(failed, now)
        fault = PieceFault.ERROR if may_have_run else PieceFault.STORAGE_FULL
        done = []
        for piece in failed.pieces:
            done += self.jobs.record_result(piece, PieceResult(fault=fault), now)
        return done

    def withdraw(self, call: int, now: float) -> None:
        """Return the pieces of a call that was not sent to the queue.

        The call says nothing about its target.

        :param call: the call's number.
        :param now: the current time, in seconds.
        """
        for piece in self._end_call(call, now).pieces:
            self.jobs.return_piece(piece)

    def _end_call(self, number: int, now: float) -> RunningCall:
        """Remove a call; the one that was sent ahead of its end starts now."""
        ended = self._calls.pop(number)
        self._expected_bytes[ended.target.target] -= ended.result_bytes
        for other, call in self._calls.items():
            if call.target == ended.target and call.is_ahead:
                self._calls[other] = msgspec.structs.replace(
                    call, started_at=now, is_ahead=False
                )
                break
        return ended

    def add_held_results(self, held: Iterable[HeldResult], now: float) -> None:
        """Add results that another host's requests hold to the storage usage.

        :param held: the results.
        :param now: the current time, in seconds.
        """
        for each in held:
            expires_at = now + each.remaining_ms / 1000
            self._storage.add(each.handle, each.maker, each.size, expires_at)

    def release(self, handles: Iterable[str]) -> None:
        """Remove results that are no longer needed from the storage usage."""
        self._storage.release(handles)

    def is_in_backoff(self, target: str, now: float) -> bool:
        """Whether a target gets no calls now, since one failed or had no storage."""
        return not self._history.is_available(target, now)

    def count_stored_bytes(self, target: str) -> int:
        """Count the bytes of results known to be stored at a target."""
        return self._storage.count_bytes(target)

    def _record_storage(
        self, call: RunningCall, results: Sequence[PieceResult], now: float
    ) -> None:
        target_id, limits = call.target.target, call.limits
        expires_at = now + limits.result_retention_s
        rejected_sizes = []
        for piece, result in zip(call.pieces, results, strict=True):
            size = self.jobs.find_result_bytes(piece)
            if result.handle:
                self._storage.add(result.handle, target_id, size, expires_at)
            elif result.fault is PieceFault.STORAGE_FULL:
                rejected_sizes.append(size)
        if rejected_sizes:
            self._storage.record_full(target_id, min(rejected_sizes), limits, now)

    def _describe_zone_targets(
        self, targets: Sequence[ForwardTarget], limits: PieceLimits, now: float
    ) -> dict[str, ZoneTarget]:
        """Describe, by id, the targets for which pieces may wait.

        :param targets: targets that accept work and are not slow.
        :param limits: their limits.
        :param now: the current time, in seconds.
        """
        return {
            each.target: ZoneTarget(
                each.zone,
                self._find_free_in(each, limits, now),
                self._find_free_bytes(each, limits),
            )
            for each in targets
            if self._history.is_available(each.target, now)
        }

    def _find_free_in(
        self, target: ForwardTarget, limits: PieceLimits, now: float
    ) -> float:
        """Find when a target can take a call, in seconds; infinite if it is overdue."""
        calls = [call for call in self._calls.values() if call.target == target]
        if len(calls) < limits.slots:
            return 0.0
        slowdown = max(1.0, self._history.slowdowns.find_reported(target.target, now))
        call_s = [each.expected_ms * slowdown / 1000 for each in calls]
        ends_at = [each.started_at + x for each, x in zip(calls, call_s, strict=True)]
        free_in_s = min(ends_at) - now
        if free_in_s < -min(call_s):
            return math.inf
        return max(free_in_s, 0.0)

    def _find_free_bytes(self, target: ForwardTarget, limits: PieceLimits) -> float:
        """Find the bytes that a target has left after its calls in flight."""
        free_bytes = self._storage.find_free_bytes(target.target, limits)
        return free_bytes - self._expected_bytes[target.target]

    def _find_spare_bytes(
        self, targets: Sequence[ForwardTarget], limits: PieceLimits
    ) -> float:
        """Find the free bytes at all targets beyond what started jobs will need.

        Targets whose latest call failed don't count while another one works.
        """
        if not limits.result_capacity_bytes or self._storage.is_empty:
            return math.inf
        working = [x for x in targets if not self._history.is_failing(x.target)]
        free_bytes = sum(
            self._storage.find_free_bytes(each.target, limits)
            for each in working or targets
        )
        return free_bytes - self.jobs.count_reserved_bytes()

    def _start_call(
        self,
        target: ForwardTarget,
        pieces: list[PieceRef],
        limits: PieceLimits,
        now: float,
    ) -> BatchedCall:
        number = next(self._call_numbers)
        in_flight = sum(x.target == target for x in self._calls.values())
        is_ahead = in_flight >= limits.slots
        result_bytes = sum(self.jobs.find_result_bytes(piece) for piece in pieces)
        call = RunningCall.start(
            target, pieces, limits, now, result_bytes, is_ahead=is_ahead
        )
        self._calls[number] = call
        self._expected_bytes[target.target] += result_bytes
        items = tuple(self._start_piece(piece, target.zone, now) for piece in pieces)
        remaining_ms = max(each.remaining_ms for each in items)
        timeout_ms = self._history.find_timeout_ms(target.target, call.expected_ms)
        return BatchedCall(
            number, target, items, call.expected_ms, min(remaining_ms, timeout_ms), now
        )

    def _start_piece(self, piece: PieceRef, zone: str, now: float) -> BatchedItem:
        job = self.jobs.start_piece(piece, zone, now)
        if self._meter is not None:
            self._meter.record_started(job.job.priority)
        return BatchedItem(
            job.job.make_item(piece.index),
            (job.deadline - now) * 1000,
            job.job.key,
            job.job.inputs,
        )
