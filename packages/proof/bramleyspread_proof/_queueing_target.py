"""A queueing fake of a target: slots, a queue, batching and a prefix cache."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bramleyspread_core import (
    Address,
    Announcement,
    AttemptId,
    Load,
    LoadedModel,
    PoolName,
    ServiceName,
    TargetCall,
    TargetName,
    Usage,
    ZoneName,
)
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._sizes import SERVICE, PoolSize, Size

#: Prefixes that an engine's cache holds.
CACHED_PREFIXES = 24
#: Part of the prompt's time that is left when its prefix is in the cache.
CACHED_PROMPT = 0.2
#: Tokens of a prompt.
PROMPT_TOKENS = 600
#: Longest answer, as a multiple of the mean one; engines are told to stop there.
LONGEST = 1.5
#: Shape of service times: the mean of this many exponential draws.
SHAPE = 4


@dataclass(slots=True)
class Job:
    """One call on a target."""

    #: The call.
    call: TargetCall
    #: What to do when it is done.
    done: Callable[[Usage], None]
    #: What to do when the target dies.
    died: Callable[[], None]
    #: Where it stands in the queue, or -1 when it runs.
    number: int
    #: Whether it was stopped.
    stopped: bool = False


class QueueingTarget:
    """A target with a fixed number of slots and an unbounded queue by priority."""

    def __init__(
        self,
        name: str,
        zone: str,
        size: Size,
        pool: PoolSize,
        address: Address,
        agenda: Agenda,
        rng: Random,
    ) -> None:
        self.name = TargetName(name)
        self.zone = ZoneName(zone)
        self.pool = pool
        self.address = address
        self.alive = True
        self.died_at = 0.0
        self.incarnation = 1
        self.slowness = 1.0
        #: Time worked, in seconds, and jobs begun on a full engine, for capacity.
        self.full_time = 0.0
        self.full_jobs = 0
        self._size = size
        self._agenda = agenda
        self._rng = rng
        self._jobs: dict[AttemptId, Job] = {}
        self._queue: list[tuple[int, int, Job]] = []
        self._running = 0
        self._number = 0
        self._cache: OrderedDict[str, None] = OrderedDict()

    def submit(self, job: Job) -> None:
        """Take a call; run it now or later."""
        self._jobs[job.call.attempt] = job
        if self._running < self.pool.slots:
            self._start(job)
            return
        self._number += 1
        job.number = self._number
        heapq.heappush(self._queue, (job.call.priority, self._number, job))

    def cancel(self, attempt: AttemptId) -> None:
        """Stop a call, waiting or running."""
        job = self._jobs.pop(attempt, None)
        if job is None:
            return
        job.stopped = True
        if job.number < 0:
            self._running -= 1
            self._start_next()

    def die(self) -> None:
        """Lose everything at once."""
        self.alive = False
        self.died_at = self._agenda.now
        jobs = list(self._jobs.values())
        self._jobs.clear()
        self._queue.clear()
        self._cache.clear()
        self._running = 0
        for job in jobs:
            job.stopped = True
            job.died()

    def rise(self) -> None:
        """Start again, empty."""
        self.alive = True
        self.incarnation += 1

    def announce(self, sequence: int) -> Announcement:
        """Say what a target says of itself."""
        waiting = len(self._jobs) - self._running
        engine = self.pool is self._size.engines
        return Announcement(
            target=self.name,
            incarnation=self.incarnation,
            sequence=sequence,
            pool=PoolName(ServiceName(SERVICE), self.pool.name),
            address=self.address,
            zone=self.zone,
            load=Load(running=self._running, waiting=waiting, slots=self.pool.slots),
            models=(LoadedModel("model", "1"),) if engine else (),
        )

    def _start(self, job: Job) -> None:
        self._running += 1
        job.number = -1
        fill = self._running / self.pool.slots
        seconds, usage = self._work(job.call, fill)
        seconds *= self.slowness
        if fill == 1.0:
            self.full_time += seconds
            self.full_jobs += 1
        self._agenda.after(seconds, lambda: self._finish(job, seconds, usage))

    def _finish(self, job: Job, seconds: float, usage: Usage) -> None:
        if job.stopped:
            return
        del self._jobs[job.call.attempt]
        self._running -= 1
        job.done(
            Usage(
                target_us=round(seconds * 1e6),
                tokens_in=usage.tokens_in,
                tokens_cached=usage.tokens_cached,
                tokens_out=usage.tokens_out,
            )
        )
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and self._running < self.pool.slots:
            job = heapq.heappop(self._queue)[2]
            if not job.stopped:
                self._start(job)

    def _work(self, call: TargetCall, fill: float) -> tuple[float, Usage]:
        draw = sum(self._rng.expovariate(1.0) for _ in range(SHAPE)) / SHAPE
        if not call.model:
            return draw * self.pool.alone * (1.0 + 0.5 * fill), Usage()
        hit = call.prefix in self._cache
        self._cache[call.prefix] = None
        self._cache.move_to_end(call.prefix)
        if len(self._cache) > CACHED_PREFIXES:
            self._cache.popitem(last=False)
        prompt = self.pool.alone * (CACHED_PROMPT if hit else 1.0)
        length = min(LONGEST, 0.5 + 0.5 * draw)
        tokens = max(1, round(self._size.tokens * length))
        cached = round(PROMPT_TOKENS * (1.0 - CACHED_PROMPT)) if hit else 0
        usage = Usage(0, PROMPT_TOKENS, cached, tokens)
        return self._size.service_time(tokens, prompt, fill), usage
