"""A queueing model of a target with slots, a queue, batching and a prefix cache."""

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
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._sizes import SERVICE, PoolSize, Size

#: Maximum number of prefixes in the cache of an engine.
MAX_CACHED_PREFIXES = 24
#: Share of the prompt's processing time that remains on a cache hit.
CACHED_PROMPT_SHARE = 0.2
#: Number of tokens in a prompt.
PROMPT_TOKENS = 600
#: Length at which engines are told to stop, as a multiple of the mean length.
MAX_LENGTH_RATIO = 1.5
#: Shape of the Erlang distribution of service times: the mean of so many
#: exponential draws.
ERLANG_SHAPE = 4


@dataclass(slots=True)
class Job:
    """A queued or running call."""

    #: The call.
    call: TargetCall
    #: Called with the target time and tokens used when the call completes.
    on_done: Callable[[Usage], None]
    #: Called when the target dies.
    on_died: Callable[[], None]
    #: Sequence number in the queue; -1 while the call is running.
    queue_number: int
    #: Whether the call was cancelled or lost.
    cancelled: bool = False


class QueueingTarget:
    """A target with a fixed number of slots and an unbounded priority queue."""

    def __init__(
        self,
        name: str,
        zone: str,
        size: Size,
        pool: PoolSize,
        address: Address,
        scheduler: Scheduler,
        rng: Random,
    ) -> None:
        self.name = TargetName(name)
        self.zone = ZoneName(zone)
        self.pool = pool
        self.address = address
        self.alive = True
        self.died_at = 0.0
        self.incarnation = 1
        self.slow_factor = 1.0
        #: Total run time (in seconds) and number of the jobs that took the last free
        #: slot when they started; the capacity is computed from both.
        self.full_batch_s = 0.0
        self.full_batch_jobs = 0
        self._size = size
        self._scheduler = scheduler
        self._rng = rng
        self._jobs: dict[AttemptId, Job] = {}
        self._queue: list[tuple[int, int, Job]] = []
        self._running = 0
        self._last_queue_number = 0
        self._cache: OrderedDict[str, None] = OrderedDict()

    def submit(self, job: Job) -> None:
        """Run a call if a slot is free; enqueue it otherwise."""
        self._jobs[job.call.attempt] = job
        if self._running < self.pool.slots:
            self._start(job)
            return
        self._last_queue_number += 1
        job.queue_number = self._last_queue_number
        heapq.heappush(self._queue, (job.call.priority, self._last_queue_number, job))

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel a queued or running call, without calling its callbacks."""
        job = self._jobs.pop(attempt, None)
        if job is None:
            return
        job.cancelled = True
        if job.queue_number < 0:
            self._running -= 1
            self._start_next()

    def kill(self) -> None:
        """Kill the target, which loses its jobs, queue and cache."""
        self.alive = False
        self.died_at = self._scheduler.now
        jobs = list(self._jobs.values())
        self._jobs.clear()
        self._queue.clear()
        self._cache.clear()
        self._running = 0
        for job in jobs:
            job.cancelled = True
            job.on_died()

    def restart(self) -> None:
        """Start the target again as a new incarnation."""
        self.alive = True
        self.incarnation += 1

    def make_announcement(self, sequence: int) -> Announcement:
        """Return the target's announcement of its current state."""
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
        job.queue_number = -1
        fill = self._running / self.pool.slots
        seconds, usage = self._draw_work(job.call, fill)
        seconds *= self.slow_factor
        if fill == 1.0:
            self.full_batch_s += seconds
            self.full_batch_jobs += 1
        self._scheduler.call_later(seconds, lambda: self._finish(job, seconds, usage))

    def _finish(self, job: Job, seconds: float, usage: Usage) -> None:
        if job.cancelled:
            return
        del self._jobs[job.call.attempt]
        self._running -= 1
        job.on_done(
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
            if not job.cancelled:
                self._start(job)

    def _draw_work(self, call: TargetCall, fill: float) -> tuple[float, Usage]:
        draw = (
            sum(self._rng.expovariate(1.0) for _ in range(ERLANG_SHAPE)) / ERLANG_SHAPE
        )
        if not call.model:
            return draw * self.pool.unloaded_s * (1.0 + 0.5 * fill), Usage()
        hit = call.prefix in self._cache
        self._cache[call.prefix] = None
        self._cache.move_to_end(call.prefix)
        if len(self._cache) > MAX_CACHED_PREFIXES:
            self._cache.popitem(last=False)
        prompt = self.pool.unloaded_s * (CACHED_PROMPT_SHARE if hit else 1.0)
        length = min(MAX_LENGTH_RATIO, 0.5 + 0.5 * draw)
        tokens = max(1, round(self._size.mean_tokens * length))
        cached = round(PROMPT_TOKENS * (1.0 - CACHED_PROMPT_SHARE)) if hit else 0
        usage = Usage(0, PROMPT_TOKENS, cached, tokens)
        return self._size.service_time_s(tokens, prompt, fill), usage
