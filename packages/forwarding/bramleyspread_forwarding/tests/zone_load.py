"""Load on three targets in three zones, with simulated time."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

import msgspec

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding import BatchedCall, Batcher, PieceJob
from bramleyspread_forwarding.tests.builders import make_results, make_targets

#: Length of a run, in seconds.
RUN_S = 60.0
#: How long results are held before they are released, in seconds.
HELD_S = 0.4
#: Interval at which late jobs are removed, in seconds.
TICK_S = 0.05


class ZoneLoad:
    """Adds jobs at random times, and counts the bytes that cross zones.

    :param limits: limits of the targets.
    :param make_job: builds a job from its number.
    :param jobs_per_s: mean number of jobs per second.
    :param is_zone_kept: whether the batcher is told which bytes would cross.
    """

    def __init__(
        self,
        limits: PieceLimits,
        make_job: Callable[[Random, int], PieceJob],
        jobs_per_s: float,
        *,
        is_zone_kept: bool = True,
    ) -> None:
        self._limits = limits
        self._make_job = make_job
        self._jobs_per_s = jobs_per_s
        self._is_zone_kept = is_zone_kept
        self._rng = Random(21)
        self._targets = make_targets(3)
        self._batcher = Batcher()
        self._order = count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._jobs: dict[str, tuple[PieceJob, float]] = {}
        self._requests: dict[int, str] = {}
        self._zones: dict[str, Counter[str]] = {}
        self._on_time = 0
        self._ended = 0
        #: Number of pieces with a result.
        self.pieces_made = 0

    @property
    def on_time_share(self) -> float:
        """Share of ended jobs that met their goal."""
        return self._on_time / self._ended

    @property
    def crossing_bytes(self) -> float:
        """Bytes of results outside the zone of their job, or of most of its results."""
        crossing = 0.0
        for request, zones in self._zones.items():
            job, _ = self._jobs[request]
            inside = zones[job.zone] if job.zone else max(zones.values())
            crossing += job.crossing_bytes / job.pieces * (zones.total() - inside)
        return crossing

    def run(self) -> None:
        """Run the load."""
        number, at = 0, 0.0
        while (at := at + self._rng.expovariate(self._jobs_per_s)) < RUN_S:
            self._schedule(at, self._make_arrival(number))
            number += 1
        for tick in range(round(RUN_S / TICK_S)):
            self._schedule(tick * TICK_S, self._tick)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)
            self._dispatch(now)

    def _schedule(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _make_arrival(self, number: int) -> Callable[[float], None]:
        job = self._make_job(self._rng, number)

        def arrive(now: float) -> None:
            self._jobs[job.request] = (job, now)
            self._zones[job.request] = Counter()
            told = job
            if not self._is_zone_kept:
                told = msgspec.structs.replace(job, zone="", crossing_bytes=0)
            number = self._batcher.add(told, self._limits, 3, now)
            if isinstance(number, int):
                self._requests[number] = job.request
            else:
                self._ended += 1

        return arrive

    def _tick(self, now: float) -> None:
        self._ended += len(self._batcher.expire_and_shed(self._limits, now))

    def _dispatch(self, now: float) -> None:
        for call in self._batcher.dispatch(self._targets, self._limits, now):
            self._schedule(now + call.expected_ms / 1000, self._make_answer(call))

    def _make_answer(self, call: BatchedCall) -> Callable[[float], None]:
        def answer(now: float) -> None:
            results = make_results(len(call.items), call.target.zone)
            self.pieces_made += len(results)
            for item in call.items:
                self._zones[item.item.request][call.target.zone] += 1
            for done in self._batcher.finish(call.call, results, now):
                self._end(done.job, now)
            handles = tuple(each.handle for each in results)
            self._schedule(now + HELD_S, lambda _: self._batcher.release(handles))

        return answer

    def _end(self, number: int, now: float) -> None:
        self._ended += 1
        job, added_at = self._jobs[self._requests[number]]
        self._on_time += (now - added_at) * 1000 <= job.aim_ms
