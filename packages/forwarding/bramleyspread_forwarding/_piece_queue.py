"""The jobs of one service that are in work, and the order in which they go."""

from __future__ import annotations

from collections import Counter
from itertools import count

import msgspec

from bramleyspread_forwarding._pieces import PieceFault, PieceJob, PieceResult

#: Times that one piece is sent to a target, at most.
MOST_TRIES = 3


class JobDone(msgspec.Struct, frozen=True):
    """A job whose pieces have all ended."""

    #: Its number.
    job: int
    #: The results, in the order of its pieces.
    results: tuple[PieceResult, ...]


class PieceRef(msgspec.Struct, frozen=True):
    """A piece of a job in work."""

    #: The job's number.
    job: int
    #: The piece's place in the job.
    index: int


class WaitingJob:
    """A job in work."""

    __slots__ = (
        "added",
        "aim",
        "job",
        "missing",
        "results",
        "stays",
        "tries",
        "until",
        "waiting",
    )

    def __init__(self, job: PieceJob, now: float, stays: bool) -> None:
        #: The job.
        self.job = job
        #: Whether it is made here whoever batches.
        self.stays = stays
        #: When its time is over, in seconds.
        self.until = now + job.remaining_ms / 1000
        #: When it came, in seconds.
        self.added = now
        #: When its request is late, in seconds.
        self.aim = now + job.aim_ms / 1000
        #: The results so far, in the order of its pieces.
        self.results: list[PieceResult | None] = [None] * len(job.items)
        #: Places of the pieces that are in no call.
        self.waiting = list(range(len(job.items)))
        #: Pieces without a result.
        self.missing = len(job.items)
        #: Pieces that were tried again.
        self.tries = 0

    @property
    def begun(self) -> bool:
        """Whether any piece is in a call, or made."""
        return len(self.waiting) < len(self.job.items)


class PieceQueue:
    """Jobs by number, until all their pieces have ended."""

    def __init__(self) -> None:
        self._numbers = count(1)
        self._jobs: dict[int, WaitingJob] = {}
        self._unwanted: list[str] = []

    @property
    def waiting_pieces(self) -> int:
        """Pieces that are in no call."""
        return sum(len(job.waiting) for job in self._jobs.values())

    def add(self, job: PieceJob, now: float, *, stays: bool = False) -> int:
        """Take a job.

        :param job: the job.
        :param now: seconds.
        :param stays: whether it is made here whoever batches.
        :returns: its number.
        """
        number = next(self._numbers)
        self._jobs[number] = WaitingJob(job, now, stays)
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

    def hand_over(self) -> list[JobDone]:
        """Give up the jobs that were not begun: another host batches by now."""
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

    def shed(self, since: float) -> list[JobDone]:
        """Give up jobs that can't be in time and for which no time was left over.

        What is on time goes before them, so that they would mostly wait in vain.

        :param since: jobs that are late and here for longer go, in seconds.
        :returns: the jobs.
        """
        late = [
            number
            for number, job in self._jobs.items()
            if max(job.aim, job.added) < since and not job.begun
        ]
        return [self._give_up(number, PieceFault.FULL) for number in late]

    def list_waiting(
        self, zone: str, bound: set[str], by: float
    ) -> list[tuple[int, WaitingJob]]:
        """List the jobs with waiting pieces for a target, in the order they go.

        What is begun, urgent, near and due goes first; what can't be made by its aim
        any more goes behind what can.

        :param zone: the target's availability zone.
        :param bound: zones whose bound jobs are left to their own targets.
        :param by: when a call that begins now would end, in seconds.
        :returns: their numbers and the jobs.
        """

        def rank(
            numbered: tuple[int, WaitingJob],
        ) -> tuple[bool, bool, int, bool, float]:
            job = numbered[1]
            away = job.job.zone not in ("", zone)
            late = job.aim < by
            return (not job.begun, late, job.job.priority, away, job.aim)

        waiting = [
            (number, job)
            for number, job in self._jobs.items()
            if job.waiting and not (job.job.is_bound and job.job.zone in bound)
        ]
        return sorted(waiting, key=rank)

    def count_ahead(self, priority: int) -> int:
        """Count the waiting pieces that are at least as urgent."""
        return sum(
            len(job.waiting)
            for job in self._jobs.values()
            if job.job.priority <= priority
        )

    def count_bound(self) -> Counter[str]:
        """Count the waiting pieces that are bound to a zone, by zone."""
        wanted: Counter[str] = Counter()
        for job in self._jobs.values():
            if job.job.is_bound:
                wanted[job.job.zone] += len(job.waiting)
        return wanted

    def count_promised_bytes(self) -> int:
        """Count the bytes that the missing results of begun jobs will take."""
        return sum(
            job.job.result_bytes * job.missing
            for job in self._jobs.values()
            if job.begun
        )

    def find_result_bytes(self, piece: PieceRef) -> int:
        """Find the size of a piece's result; 0 when its job is gone."""
        job = self._jobs.get(piece.job)
        return job.job.result_bytes if job is not None else 0

    def begin(self, piece: PieceRef) -> WaitingJob:
        """Take a piece into a call.

        :param piece: a waiting piece.
        :returns: its job.
        """
        job = self._jobs[piece.job]
        job.waiting.remove(piece.index)
        return job

    def put(self, piece: PieceRef, result: PieceResult, now: float) -> list[JobDone]:
        """Take the end of a piece's call.

        :param piece: the piece.
        :param result: its result, or why there is none.
        :param now: seconds.
        :returns: its job, when that is done by it.
        """
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
