"""The jobs of one service that have not ended, and the order of their pieces."""

from __future__ import annotations

from collections import Counter
from itertools import count

import msgspec

from bramleyspread_forwarding._pieces import PieceFault, PieceJob, PieceResult

#: Maximum number of retries of a job, for each of its pieces on average.
MAX_RETRIES_PER_PIECE = 3
#: Time by which jobs of other zones come later than their goal says, in seconds.
REMOTE_DELAY_S = 0.1


class JobDone(msgspec.Struct, frozen=True):
    """The end of a job."""

    #: Number of the job.
    job: int
    #: The results, in the order of the job's pieces.
    results: tuple[PieceResult, ...]


class PieceRef(msgspec.Struct, frozen=True):
    """Identifies a piece of a job in the queue."""

    #: Number of the job.
    job: int
    #: Index of the piece in the job.
    index: int


class QueuedJob:
    """A job that has not ended."""

    __slots__ = (
        "added_at",
        "deadline",
        "goal_at",
        "is_begun",
        "is_local",
        "job",
        "missing_results",
        "results",
        "retries",
        "waiting",
        "waiting_since",
        "zone",
    )

    def __init__(self, job: PieceJob, now: float, is_local: bool) -> None:
        self.job = job
        #: Whether another stage of the request has results already. Hosts of earlier
        #: builds don't say so of jobs that read such results.
        self.is_begun = job.is_begun or bool(job.inputs)
        #: Whether the job stays here when another host becomes the batching host.
        self.is_local = is_local
        #: When the job expires, in seconds.
        self.deadline = now + job.remaining_ms / 1000
        #: When the job was enqueued, in seconds.
        self.added_at = now
        #: When the job was enqueued or, once it has started, when it started, in
        #: seconds.
        self.waiting_since = now
        #: Availability zone where the pieces should be processed; empty for any.
        self.zone = job.zone
        #: When the job's request misses its latency goal, in seconds.
        self.goal_at = now + job.aim_ms / 1000
        #: The results so far, in the order of the job's pieces.
        self.results: list[PieceResult | None] = [None] * job.pieces
        #: Indexes of the pieces that wait to be put into a call.
        self.waiting = list(range(job.pieces))
        #: Number of pieces without a result.
        self.missing_results = job.pieces
        #: Number of times that a piece of the job was retried.
        self.retries = 0

    @property
    def is_started(self) -> bool:
        """Whether any piece is in a call or has a result."""
        return len(self.waiting) < self.job.pieces


class PieceQueue:
    """Jobs by number; a job stays until all its pieces have results, or it fails.

    :param is_fair: whether jobs go by their goals instead of their priority, because
        it was decided when they were added how much each priority gets.
    """

    def __init__(self, *, is_fair: bool = False) -> None:
        self._is_fair = is_fair
        self._numbers = count(1)
        self._jobs: dict[int, QueuedJob] = {}
        self._unwanted_handles: list[str] = []

    @property
    def waiting_pieces(self) -> int:
        """Number of pieces that wait to be put into a call."""
        return sum(len(job.waiting) for job in self._jobs.values())

    def count_waiting_by_zone(self) -> dict[str, int]:
        """Count the waiting pieces by zone; those for any zone under an empty name."""
        waiting: dict[str, int] = {}
        for job in self._jobs.values():
            waiting[job.zone] = waiting.get(job.zone, 0) + len(job.waiting)
        return waiting

    def add(
        self,
        job: PieceJob,
        now: float,
        *,
        is_local: bool = False,
        zone: str | None = None,
    ) -> int:
        """Enqueue a job.

        :param job: the job.
        :param now: the current time, in seconds.
        :param is_local: whether the job stays here when another host becomes the
            batching host.
        :param zone: availability zone where the pieces should be processed, if another
            one than the job names.
        :returns: the job's number.
        """
        number = next(self._numbers)
        self._jobs[number] = queued = QueuedJob(job, now, is_local)
        if zone is not None:
            queued.zone = zone
        return number

    def cancel(self, number: int) -> None:
        """Remove a job that no requester waits for; its calls in flight continue."""
        job = self._jobs.pop(number, None)
        if job is not None:
            self._unwanted_handles += [x.handle for x in job.results if x and x.handle]

    def take_unwanted_handles(self) -> tuple[str, ...]:
        """Return and clear the handles of results that no job needs any more.

        The caller releases these results at their targets.
        """
        unwanted = tuple(self._unwanted_handles)
        self._unwanted_handles.clear()
        return unwanted

    def fail_unstarted(self) -> list[JobDone]:
        """Fail the jobs that have not started and may move to another batching host.

        Called while another host is the batching host; the requesters send the jobs
        there. Local jobs stay.

        :returns: the removed jobs.
        """
        return [
            self._fail_job(number, PieceFault.MOVED)
            for number, job in tuple(self._jobs.items())
            if not job.is_started and not job.is_local
        ]

    def expire(self, now: float) -> list[JobDone]:
        """Fail the jobs whose deadline has passed.

        :param now: the current time, in seconds.
        :returns: the removed jobs.
        """
        expired = [number for number, job in self._jobs.items() if job.deadline <= now]
        return [self._fail_job(number, PieceFault.LATE) for number in expired]

    def shed(self, late_before: float) -> list[JobDone]:
        """Fail jobs that have long missed their latency goal without being started.

        Jobs that can still meet their goal go first, so most of these jobs would
        wait until their deadline without being started.

        :param late_before: time before which a job must have been enqueued and have
            missed its goal in order to be shed, in seconds.
        :returns: the removed jobs.
        """
        late = [
            number
            for number, job in self._jobs.items()
            if max(job.goal_at, job.added_at) < late_before and not job.is_started
        ]
        return [self._fail_job(number, PieceFault.SHED) for number in late]

    def shed_new(self, call_end: float) -> list[JobDone]:
        """Fail unstarted jobs of new requests that can't meet their latency goal.

        :param call_end: when a call that starts now would end, in seconds.
        """
        late = [
            number
            for number, job in self._jobs.items()
            if job.goal_at < call_end and not job.is_started and not job.is_begun
        ]
        return [self._fail_job(number, PieceFault.SHED) for number in late]

    def list_waiting(self, zone: str, call_end: float) -> list[tuple[int, QueuedJob]]:
        """List the jobs from which a target may get pieces, best choice first.

        Started jobs go first, then jobs that can still meet their latency goal, then
        more urgent ones, then jobs of the target's zone, then those with the earliest
        goal.

        :param zone: the target's availability zone.
        :param call_end: when a call that starts now would end, in seconds.
        :returns: the jobs with their numbers.
        """
        if self._is_fair:
            return self._list_fairly(zone, call_end)

        def rank(
            numbered: tuple[int, QueuedJob],
        ) -> tuple[bool, bool, int, bool, float]:
            job = numbered[1]
            is_remote = job.zone not in ("", zone)
            is_late = job.goal_at < call_end
            return (
                not job.is_started,
                is_late,
                job.job.priority,
                is_remote,
                job.goal_at,
            )

        waiting = [(number, job) for number, job in self._jobs.items() if job.waiting]
        return sorted(waiting, key=rank)

    def _list_fairly(self, zone: str, call_end: float) -> list[tuple[int, QueuedJob]]:
        """List the jobs from which a target may get pieces, best choice first.

        Started jobs go first, then jobs that can still meet their latency goal, then
        jobs of requests that have results of other stages, then those with the
        earliest goal.
        """

        def rank(numbered: tuple[int, QueuedJob]) -> tuple[bool, bool, bool, float]:
            job = numbered[1]
            is_remote = job.zone not in ("", zone)
            return (
                not job.is_started,
                job.goal_at < call_end,
                not job.is_begun,
                job.goal_at + REMOTE_DELAY_S * is_remote,
            )

        waiting = [(number, job) for number, job in self._jobs.items() if job.waiting]
        return sorted(waiting, key=rank)

    def count_timely(self, call_end: float) -> Counter[int]:
        """Count the waiting pieces that can meet their latency goal, by priority.

        :param call_end: when a call that starts now would end, in seconds.
        """
        counts: Counter[int] = Counter()
        for job in self._jobs.values():
            if job.waiting and job.goal_at >= call_end:
                counts[job.job.priority] += len(job.waiting)
        return counts

    def count_ahead(self, priority: int) -> int:
        """Count the waiting pieces of jobs that are at least as urgent."""
        return sum(
            len(job.waiting)
            for job in self._jobs.values()
            if job.job.priority <= priority
        )

    def count_reserved_bytes(self) -> int:
        """Count the bytes that the missing results of started jobs will occupy."""
        return sum(
            job.job.result_bytes * job.missing_results
            for job in self._jobs.values()
            if job.is_started
        )

    def find_largest_unstarted_bytes(self) -> int:
        """Find the size of all results of the largest job that has not started."""
        return max(
            (
                job.job.result_bytes * job.job.pieces
                for job in self._jobs.values()
                if not job.is_started
            ),
            default=0,
        )

    def find_result_bytes(self, piece: PieceRef) -> int:
        """Find the size of a piece's result; 0 when its job was removed."""
        job = self._jobs.get(piece.job)
        return job.job.result_bytes if job is not None else 0

    def start_piece(self, piece: PieceRef, zone: str, now: float) -> QueuedJob:
        """Remove a piece from the waiting ones because a call carries it.

        :param piece: a waiting piece.
        :param zone: availability zone of the call's target, where the job's other
            pieces should be processed too if the job names no zone.
        :param now: the current time, in seconds.
        :returns: the piece's job.
        """
        job = self._jobs[piece.job]
        if not job.is_started:
            job.waiting_since = now
            job.zone = job.zone or zone
        job.waiting.remove(piece.index)
        return job

    def return_piece(self, piece: PieceRef) -> None:
        """Return a piece to the waiting ones because its call was not sent.

        A job that hasn't started after all may be processed in any zone again.
        """
        job = self._jobs.get(piece.job)
        if job is None:
            return
        job.waiting.append(piece.index)
        if not job.is_started:
            job.waiting.sort()
            job.waiting_since = job.added_at
            job.zone = job.job.zone

    def fail_waiting(self) -> list[JobDone]:
        """Fail the jobs with pieces that wait, since no target may get them.

        :returns: the removed jobs.
        """
        return [
            self._fail_job(number, PieceFault.SHED)
            for number, job in tuple(self._jobs.items())
            if job.waiting
        ]

    def record_result(
        self, piece: PieceRef, result: PieceResult, now: float
    ) -> list[JobDone]:
        """Record a piece's result, or retry the piece after a transient fault.

        :param piece: the piece.
        :param result: the result, or the reason for which there is none.
        :param now: the current time, in seconds.
        :returns: the piece's job when it ends with this result; else nothing.
        """
        job = self._jobs.get(piece.job)
        if job is None:
            if result.handle:
                self._unwanted_handles.append(result.handle)
            return []
        is_transient = result.fault in (PieceFault.STORAGE_FULL, PieceFault.ERROR)
        if (
            is_transient
            and job.retries < MAX_RETRIES_PER_PIECE * len(job.results)
            and now < job.deadline
        ):
            job.retries += 1
            job.waiting.append(piece.index)
            return []
        if result.fault is not None:
            return [self._fail_job(piece.job, result.fault)]
        job.results[piece.index] = result
        job.missing_results -= 1
        if job.missing_results:
            return []
        results = [each for each in job.results if each is not None]
        del self._jobs[piece.job]
        return [JobDone(piece.job, tuple(results))]

    def _fail_job(self, number: int, fault: PieceFault) -> JobDone:
        job = self._jobs.pop(number)
        results = tuple(each or PieceResult(fault=fault) for each in job.results)
        return JobDone(number, results)
