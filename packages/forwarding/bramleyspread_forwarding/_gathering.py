"""Gathers the pieces of many requests into few calls.

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
from bramleyspread_forwarding._pieces import (
    PieceFault,
    PieceItem,
    PieceJob,
    PieceResult,
)
from bramleyspread_forwarding._rooms import RoomBook
from bramleyspread_forwarding._targets import ForwardTarget

#: Times that one piece is sent to a target, at most.
MOST_TRIES = 3
#: How long a target that had no room or failed is passed over, in seconds.
PASSED_OVER_S = 0.3
#: A call that isn't answered after this many times its expected length is given up.
LATE_CALL = 4.0


class GatheredItem(msgspec.Struct, frozen=True):
    """A piece in a call."""

    #: The piece.
    item: PieceItem
    #: Time left for it, in milliseconds.
    remaining_ms: float
    #: What it is made from in a first stage.
    key: str = ""
    #: The results that it is made from in a later stage.
    inputs: tuple[str, ...] = ()


class GatheredCall(msgspec.Struct, frozen=True):
    """A call to be made."""

    #: Its number.
    call: int
    #: The target.
    target: ForwardTarget
    #: The pieces.
    items: tuple[GatheredItem, ...]
    #: When to give it up, in milliseconds.
    timeout_ms: float


class JobDone(msgspec.Struct, frozen=True):
    """A job whose pieces have all ended."""

    #: Its number.
    job: int
    #: The results, in the order of its pieces.
    results: tuple[PieceResult, ...]


class _Waiting:
    """A job in work."""

    __slots__ = (
        "aim",
        "begun",
        "job",
        "missing",
        "results",
        "stays",
        "tries",
        "until",
        "waiting",
    )

    def __init__(self, job: PieceJob, now: float, stays: bool) -> None:
        self.job = job
        self.stays = stays
        self.until = now + job.remaining_ms / 1000
        self.aim = now + job.aim_ms / 1000
        self.results: list[PieceResult | None] = [None] * len(job.items)
        self.waiting = list(range(len(job.items)))
        self.missing = len(job.items)
        self.tries = 0
        self.begun = False


class _PieceRef(msgspec.Struct, frozen=True):
    """A piece of a job in work."""

    #: The job's number.
    job: int
    #: The piece's place in the job.
    index: int


class _Call:
    """A call on its way."""

    __slots__ = ("kept_s", "pieces", "target")

    def __init__(
        self, target: ForwardTarget, pieces: list[_PieceRef], kept_s: float
    ) -> None:
        self.kept_s = kept_s
        self.target = target
        self.pieces = pieces


class Gatherer:
    """The pieces of one service that wait, and the calls on their way.

    The most urgent job that can still be on time goes first; jobs that are late
    already go behind those that aren't.
    """

    def __init__(self) -> None:
        self._numbers = count(1)
        self._jobs: dict[int, _Waiting] = {}
        self._calls: dict[int, _Call] = {}
        self._passed_over: dict[str, float] = {}
        self._rooms = RoomBook()
        self._unwanted: list[str] = []

    @property
    def waiting_pieces(self) -> int:
        """Pieces that are in no call yet."""
        return sum(len(job.waiting) for job in self._jobs.values())

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
        :param stays: whether it is made here whoever gathers.
        :returns: its number; or why it is refused.
        """
        expected = self._estimate_ms(job, limits, targets, now)
        if expected > job.remaining_ms:
            return PieceFault.FULL
        number = next(self._numbers)
        self._jobs[number] = _Waiting(job, now, stays)
        return number

    def cancel(self, number: int) -> None:
        """Forget a job that nobody waits for; calls on their way go on."""
        job = self._jobs.pop(number, None)
        if job is not None:
            self._unwanted += [x.handle for x in job.results if x and x.handle]

    def take_unwanted(self) -> tuple[str, ...]:
        """Take the results that nobody will ask for, so that they can be given up."""
        unwanted = tuple(self._unwanted)
        self._unwanted.clear()
        return unwanted

    def dispatch(
        self, targets: Sequence[ForwardTarget], limits: PieceLimits, now: float
    ) -> list[GatheredCall]:
        """Make up the calls that can go out now.

        :param targets: targets that take work.
        :param limits: how a target works.
        :param now: seconds.
        :returns: the calls.
        """
        if not any(job.waiting for job in self._jobs.values()):
            return []
        busy: dict[str, int] = {}
        for call in self._calls.values():
            busy[call.target.target] = busy.get(call.target.target, 0) + 1
        free = [
            each
            for each in targets
            if busy.get(each.target, 0) < limits.slots
            and self._passed_over.get(each.target, 0.0) <= now
        ]
        if not free:
            return []
        calls = []
        self._rooms.forget(now)
        all_bound = self._find_bound_zones(targets, limits)
        for target in free:
            room = self._rooms.find_left(target.target, limits)
            spare = self._find_spare(targets, limits)
            bound = all_bound - {target.zone}
            pieces = self._choose_pieces(target, limits, room, spare, bound, now)
            if not pieces:
                continue
            calls.append(self._begin(target, pieces, limits, now))
        return calls

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
        self._keep(made, results, now)
        done = []
        if all(result.fault is PieceFault.ROOM for result in results):
            self._passed_over[made.target.target] = now + PASSED_OVER_S
        for piece, result in zip(made.pieces, results, strict=True):
            done += self._put(piece, result, now)
        return done

    def fail(self, call: int, now: float, *, counts: bool = True) -> list[JobDone]:
        """Take note that a call had no answer, or was turned away.

        :param call: its number.
        :param now: seconds.
        :param counts: whether the pieces may have been worked on.
        :returns: jobs that are given up by it.
        """
        made = self._calls.pop(call)
        self._passed_over[made.target.target] = now + PASSED_OVER_S
        fault = PieceFault.ERROR if counts else PieceFault.ROOM
        done = []
        for piece in made.pieces:
            done += self._put(piece, PieceResult(fault=fault), now)
        return done

    def hand_over(self) -> list[JobDone]:
        """Give up the jobs that were not begun: another host gathers by now."""
        return [
            self._give_up(number, PieceFault.MOVED)
            for number, job in tuple(self._jobs.items())
            if not job.begun and not job.stays
        ]

    def expire(self, now: float) -> list[JobDone]:
        """Give up the jobs whose time is over.

        :param now: seconds.
        :returns: the jobs.
        """
        late = [number for number, job in self._jobs.items() if job.until <= now]
        return [self._give_up(number, PieceFault.LATE) for number in late]

    def release(self, handles: Iterable[str]) -> None:
        """Take note that results are needed no more."""
        self._rooms.release(handles)

    def count_kept_bytes(self, target: str) -> int:
        """Count the bytes of results that lie at a target, as far as is known."""
        return self._rooms.count_bytes(target)

    def _keep(self, made: _Call, results: Sequence[PieceResult], now: float) -> None:
        for piece, result in zip(made.pieces, results, strict=True):
            job = self._jobs.get(piece.job)
            if result.handle:
                size = job.job.result_bytes if job is not None else 0
                until = now + made.kept_s
                self._rooms.keep(result.handle, made.target.target, size, until)

    def _find_bound_zones(
        self, targets: Sequence[ForwardTarget], limits: PieceLimits
    ) -> set[str]:
        """Find the zones whose own targets will soon take all that waits for them.

        Their pieces are left to them, so that results need not cross zones.
        """
        places = Counter(each.zone for each in targets)
        wanted: Counter[str] = Counter()
        for job in self._jobs.values():
            if job.job.is_bound:
                wanted[job.job.zone] += len(job.waiting)
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
        promised = sum(
            job.job.result_bytes * job.missing
            for job in self._jobs.values()
            if job.begun
        )
        return rooms - promised

    def _estimate_ms(
        self, job: PieceJob, limits: PieceLimits, targets: int, now: float
    ) -> float:
        ahead = sum(
            len(each.waiting)
            for each in self._jobs.values()
            if each.job.priority <= job.priority
        )
        whole_call = limits.call_ms + limits.batch * limits.piece_ms
        own = limits.call_ms + min(len(job.items), limits.batch) * limits.piece_ms
        if not targets:
            return float("inf")
        rounds = (ahead + max(0, len(job.items) - limits.batch)) / limits.batch
        return own + rounds * whole_call / (targets * limits.slots)

    def _choose_pieces(
        self,
        target: ForwardTarget,
        limits: PieceLimits,
        room: float,
        spare: float,
        bound: set[str],
        now: float,
    ) -> list[_PieceRef]:
        """Choose the pieces of one call.

        A job is begun only when there is room for all its results, and one that
        is begun goes first: half a job would only keep others from their room.
        """

        def rank(number: int) -> tuple[bool, bool, int, bool, float]:
            job = self._jobs[number]
            away = job.job.zone not in ("", target.zone)
            late = job.aim < now
            return (not job.begun, late, job.job.priority, away, job.aim)

        chosen: list[_PieceRef] = []
        waiting = [
            number
            for number, job in self._jobs.items()
            if job.waiting and not (job.job.is_bound and job.job.zone in bound)
        ]
        for number in sorted(waiting, key=rank):
            size = self._jobs[number].job.result_bytes
            if not self._jobs[number].begun:
                whole = size * len(self._jobs[number].waiting)
                if whole > spare and not self._rooms.is_empty:
                    continue
                spare -= whole
            for index in self._jobs[number].waiting:
                if len(chosen) >= limits.batch:
                    return chosen
                if size > room:
                    break
                room -= size
                chosen.append(_PieceRef(number, index))
        return chosen

    def _begin(
        self,
        target: ForwardTarget,
        pieces: list[_PieceRef],
        limits: PieceLimits,
        now: float,
    ) -> GatheredCall:
        call = next(self._numbers)
        self._calls[call] = _Call(target, pieces, limits.kept_s)
        items = []
        for piece in pieces:
            job = self._jobs[piece.job]
            job.waiting.remove(piece.index)
            job.begun = True
            left = (job.until - now) * 1000
            item = job.job.items[piece.index]
            items.append(GatheredItem(item, left, job.job.key, job.job.inputs))
        length = limits.call_ms + len(items) * limits.piece_ms
        longest = max(each.remaining_ms for each in items)
        return GatheredCall(
            call, target, tuple(items), min(longest, length * LATE_CALL)
        )

    def _put(self, piece: _PieceRef, result: PieceResult, now: float) -> list[JobDone]:
        job = self._jobs.get(piece.job)
        if job is None:
            if result.handle:
                self._unwanted.append(result.handle)
            return []
        again = result.fault in (PieceFault.ROOM, PieceFault.ERROR)
        if again and job.tries < MOST_TRIES * len(job.results) and now < job.until:
            job.tries += 1
            job.waiting.append(piece.index)
            return []
        if result.fault is not None:
            return [self._give_up(piece.job, result.fault)]
        job.results[piece.index] = result
        job.missing -= 1
        if job.missing:
            return []
        whole = [each for each in job.results if each is not None]
        del self._jobs[piece.job]
        return [JobDone(piece.job, tuple(whole))]

    def _give_up(self, number: int, fault: PieceFault) -> JobDone:
        job = self._jobs.pop(number)
        results = tuple(each or PieceResult(fault=fault) for each in job.results)
        return JobDone(number, results)
