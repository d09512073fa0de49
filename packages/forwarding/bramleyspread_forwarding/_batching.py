"""Batches the pieces of many requests into few calls.

A call takes long whatever it holds, and a little longer for each piece; a call
for each request would overload a service that easily carries full calls.
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
    measure_call,
)
from bramleyspread_forwarding._call_history import CallHistory
from bramleyspread_forwarding._piece_queue import JobDone, PieceQueue, PieceRef
from bramleyspread_forwarding._pieces import (
    HeldResult,
    PieceFault,
    PieceJob,
    PieceResult,
)
from bramleyspread_forwarding._rooms import RoomAccount
from bramleyspread_forwarding._targets import ForwardTarget

#: Lengths of a full call for which a job that can't be in time waits to be begun;
#: by then every target has taken other work twice.
LATE_WAIT_CALLS = 3


class _Share(msgspec.Struct, frozen=True):
    """Which of the waiting pieces a target may have, in the order they go."""

    #: Pieces in front that are left to quicker targets.
    sooner: int
    #: Pieces in the call, at most.
    most: int


class Batcher:
    """The pieces of one service that wait, and the calls on their way.

    The most urgent job that can still be on time goes first; jobs that are late
    already go behind those that aren't. A slow target gets only what the quick ones
    would not come to before it is done, and a single piece now and then as a trial.
    """

    def __init__(self) -> None:
        self._numbers = count(1)
        #: The jobs in work.
        self.jobs = PieceQueue()
        self._calls: dict[int, RunningCall] = {}
        self._rooms = RoomAccount()
        self._history = CallHistory()

    @property
    def calls_running(self) -> int:
        """Calls on their way."""
        return len(self._calls)

    def add(
        self,
        job: PieceJob,
        limits: PieceLimits,
        targets: int,
        now: float,
        *,
        stays: bool = False,
    ) -> int | PieceFault:
        """Take a job.

        :param job: the job.
        :param limits: how a target works.
        :param targets: targets that take work.
        :param now: seconds.
        :param stays: whether it is made here whoever batches.
        :returns: its number; or why it is refused.
        """
        if self._estimate_ms(job, limits, targets) > job.remaining_ms:
            return PieceFault.FULL
        return self.jobs.add(job, now, stays=stays)

    def _estimate_ms(self, job: PieceJob, limits: PieceLimits, targets: int) -> float:
        if not targets:
            return math.inf
        ahead = self.jobs.count_ahead(job.priority)
        whole_call = measure_call(limits.batch, limits)
        own = measure_call(min(len(job.items), limits.batch), limits)
        rounds = (ahead + max(0, len(job.items) - limits.batch)) / limits.batch
        return own + rounds * whole_call / (targets * limits.slots)

    def give_up(self, limits: PieceLimits, now: float) -> list[JobDone]:
        """Give up the jobs whose time is over, and late ones that wait in vain.

        :param limits: how a target works.
        :param now: seconds.
        :returns: the jobs.
        """
        length_s = measure_call(limits.batch, limits) / 1000
        since = now - (LATE_WAIT_CALLS - 1) * length_s
        return [*self.jobs.expire(now), *self.jobs.shed(since)]

    def dispatch(
        self, targets: Sequence[ForwardTarget], limits: PieceLimits, now: float
    ) -> list[BatchedCall]:
        """Make up the calls that can go out now.

        :param targets: targets that take work.
        :param limits: how a target works.
        :param now: seconds.
        :returns: the calls.
        """
        if not self.jobs.waiting_pieces:
            return []
        busy: dict[str, int] = {}
        for call in self._calls.values():
            busy[call.target.target] = busy.get(call.target.target, 0) + 1
        free = [
            each
            for each in targets
            if busy.get(each.target, 0) < limits.slots
            and self._history.may_call(each.target, now)
        ]
        if not free:
            return []
        calls = []
        self._rooms.forget(now)
        names = [each.target for each in targets]
        self._history.forget_gone(names)
        factors = {each: self._history.paces.compare(each, names) for each in names}
        all_bound = self._find_bound_zones(targets, limits)
        for target in sorted(free, key=lambda each: factors[each.target]):
            room = self._rooms.find_left(target.target, limits)
            spare = self._find_spare(targets, limits)
            bound = all_bound - {target.zone}
            share = self._find_share(target, factors, limits, now)
            pieces = self._choose_pieces(target, limits, room, spare, bound, share, now)
            if not pieces:
                continue
            calls.append(self._begin(target, pieces, limits, now))
        return calls

    def _find_share(
        self,
        target: ForwardTarget,
        factors: dict[str, float],
        limits: PieceLimits,
        now: float,
    ) -> _Share:
        """Find which of the waiting pieces a target may have."""
        factor = factors[target.target]
        if factor == 1.0:
            return _Share(0, limits.batch)
        quick = sum(each == 1.0 for each in factors.values())
        sooner = int(quick * limits.slots * limits.batch * factor)
        waiting = self.jobs.waiting_pieces
        if waiting <= sooner and self._history.paces.is_trial_due(target.target, now):
            return _Share(waiting // 2, 1)
        return _Share(sooner, limits.batch)

    def finish(
        self, call: int, results: Sequence[PieceResult], now: float
    ) -> list[JobDone]:
        """Take the answer to a call.

        :param call: its number.
        :param results: the results, in the order of its pieces.
        :param now: seconds.
        :returns: jobs that are done by it.
        """
        made = self._calls.pop(call)
        maker = made.target.target
        results = [msgspec.structs.replace(x, maker=maker) for x in results]
        self._keep(made, results, now)
        any_made = any(result.handle for result in results)
        self._history.note_answer(made, any_made, now)
        if all(result.fault is PieceFault.ROOM for result in results):
            self._history.note_no_room(maker, now)
        done = []
        for piece, result in zip(made.pieces, results, strict=True):
            done += self.jobs.put(piece, result, now)
        return done

    def fail(self, call: int, now: float, *, counts: bool = True) -> list[JobDone]:
        """Take note that a call had no answer, or was turned away.

        :param call: its number.
        :param now: seconds.
        :param counts: whether the pieces may have been worked on.
        :returns: jobs that are given up by it.
        """
        made = self._calls.pop(call)
        self._history.note_failure(made, now)
        fault = PieceFault.ERROR if counts else PieceFault.ROOM
        done = []
        for piece in made.pieces:
            done += self.jobs.put(piece, PieceResult(fault=fault), now)
        return done

    def learn_held(self, held: Iterable[HeldResult], now: float) -> None:
        """Take another host's word on results that it holds.

        :param held: the results.
        :param now: seconds.
        """
        for each in held:
            until = now + each.remaining_ms / 1000
            self._rooms.keep(each.handle, each.maker, each.size, until)

    def release(self, handles: Iterable[str]) -> None:
        """Take note that results are needed no more."""
        self._rooms.release(handles)

    def count_kept_bytes(self, target: str) -> int:
        """Count the bytes of results that lie at a target, as far as is known."""
        return self._rooms.count_bytes(target)

    def _keep(
        self, made: RunningCall, results: Sequence[PieceResult], now: float
    ) -> None:
        for piece, result in zip(made.pieces, results, strict=True):
            if result.handle:
                size = self.jobs.find_result_bytes(piece)
                until = now + made.kept_s
                self._rooms.keep(result.handle, made.target.target, size, until)

    def _find_bound_zones(
        self, targets: Sequence[ForwardTarget], limits: PieceLimits
    ) -> set[str]:
        """Find the zones whose own targets will soon take all that waits for them.

        Their pieces are left to them, so that results need not cross zones.
        """
        places = Counter(each.zone for each in targets)
        wanted = self.jobs.count_bound()
        return {
            zone
            for zone, number in places.items()
            if wanted[zone] <= number * limits.slots * limits.batch
        }

    def _find_spare(
        self, targets: Sequence[ForwardTarget], limits: PieceLimits
    ) -> float:
        """Find the bytes of room at all targets that no begun job will need."""
        if not limits.room_bytes:
            return math.inf
        rooms = sum(self._rooms.find_left(each.target, limits) for each in targets)
        return rooms - self.jobs.count_promised_bytes()

    def _choose_pieces(
        self,
        target: ForwardTarget,
        limits: PieceLimits,
        room: float,
        spare: float,
        bound: set[str],
        share: _Share,
        now: float,
    ) -> list[PieceRef]:
        """Choose the pieces of one call.

        A job is begun only when there is room for all its results, and one that
        is begun goes first: half a job would only keep others from their room.
        """
        chosen: list[PieceRef] = []
        passed = 0
        by = now + measure_call(limits.batch, limits) / 1000
        for number, job in self.jobs.list_waiting(target.zone, bound, by):
            if passed < share.sooner:
                passed += len(job.waiting)
                continue
            size = job.job.result_bytes
            if not job.begun:
                whole = size * len(job.waiting)
                if whole > spare and not self._rooms.is_empty:
                    continue
                spare -= whole
            for index in job.waiting:
                if len(chosen) >= share.most:
                    return chosen
                if size > room:
                    break
                room -= size
                chosen.append(PieceRef(number, index))
        return chosen

    def _begin(
        self,
        target: ForwardTarget,
        pieces: list[PieceRef],
        limits: PieceLimits,
        now: float,
    ) -> BatchedCall:
        call = next(self._numbers)
        made = RunningCall.from_pieces(target, pieces, limits, now)
        self._calls[call] = made
        items = tuple(self._describe(piece, now) for piece in pieces)
        longest = max(each.remaining_ms for each in items)
        patience = self._history.find_patience(target.target, made.length_ms)
        return BatchedCall(call, target, items, min(longest, patience))

    def _describe(self, piece: PieceRef, now: float) -> BatchedItem:
        job = self.jobs.begin(piece)
        return BatchedItem(
            job.job.items[piece.index],
            (job.until - now) * 1000,
            job.job.key,
            job.job.inputs,
        )
