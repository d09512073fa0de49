"""Load on the stage targets of three zones, with simulated time and link delays."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

import msgspec

from bramleyspread_core import Address, PieceLimits
from bramleyspread_forwarding import (
    BatchedCall,
    Batcher,
    ForwardTarget,
    PieceJob,
    TargetLoad,
)
from bramleyspread_forwarding.tests.builders import make_job, make_results

ZONES = ("z0", "z1", "z2")
#: Times between which the load differs from a calm one, and the length of a run, in s.
CHANGE_AT, CHANGE_END, RUN_S = 6.0, 12.0, 18.0
#: Time by which a megabyte that crosses zones delays a job, in seconds.
CROSSING_S_PER_MB = 0.0135
#: How long results are held, and the interval at which late jobs are removed, in s.
HELD_S, TICK_S = 0.4, 0.05


class Stage(msgspec.Struct, frozen=True, kw_only=True):
    """A service of stage targets, and its jobs."""

    limits: PieceLimits
    #: Number of targets; they are spread evenly over the zones.
    targets: int = 9
    #: Possible numbers of pieces of a job.
    pieces: tuple[int, ...]
    piece_bytes: int
    goal_ms: float

    @property
    def jobs_per_s(self) -> float:
        """Jobs per second that all targets can do with full calls."""
        limits = self.limits
        call_s = (limits.call_ms + limits.batch * limits.piece_ms) / 1000
        mean = sum(self.pieces) / len(self.pieces)
        return self.targets * limits.batch / call_s / mean


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """How the load differs from an even one of all zones."""

    #: Share of the capacity that is used in calm periods.
    calm: float = 0.6
    #: Weight of each zone's jobs.
    weights: tuple[float, float, float] = (1.0, 1.0, 1.0)
    #: Factor of the first zone's jobs while the load differs.
    burst: float = 1.0
    #: Whether the first zone's targets get no calls then.
    is_drained: bool = False
    #: How many times as long the calls of the first zone's targets take then.
    slowdown: float = 1.0


class Outcome(msgspec.Struct):
    """What became of the jobs, by zone, and what crossed."""

    on_time: Counter[str] = msgspec.field(default_factory=Counter)
    late: Counter[str] = msgspec.field(default_factory=Counter)
    refused: Counter[str] = msgspec.field(default_factory=Counter)
    crossing_mb: float = 0.0


class OverflowLoad:
    """Runs a scenario on one service."""

    def __init__(
        self, stage: Stage, scenario: Scenario, seed: int, *, is_planned: bool
    ) -> None:
        self._stage, self._scenario = stage, scenario
        self._rng = Random(seed)
        self._targets = tuple(
            ForwardTarget(f"t{at}", Address("10.0.0.1", 8000 + at), ZONES[at % 3], 1)
            for at in range(stage.targets)
        )
        #: Assigns the pieces.
        self.batcher = Batcher(is_planned=is_planned)
        self._order = count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._jobs: dict[int, tuple[PieceJob, float]] = {}
        self._crossed: Counter[str] = Counter()
        #: The result.
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run the load."""
        self._add_arrivals()
        for tick in range(round((RUN_S + 6.0) / TICK_S)):
            self._schedule(tick * TICK_S, self._tick)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)
            self._dispatch(now)
        return self.outcome

    def _add_arrivals(self) -> None:
        scenario, stage = self._scenario, self._stage
        for zone, weight in zip(ZONES, scenario.weights, strict=True):
            per_s = stage.jobs_per_s * scenario.calm * weight / sum(scenario.weights)
            highest = per_s * (scenario.burst if zone == ZONES[0] else 1.0)
            at = 0.0
            while (at := at + self._rng.expovariate(highest)) < RUN_S:
                if self._changes(at) or self._rng.random() < per_s / highest:
                    self._schedule(at, self._make_arrival(zone))

    @staticmethod
    def _changes(at: float) -> bool:
        return CHANGE_AT <= at < CHANGE_END

    def _schedule(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _make_arrival(self, zone: str) -> Callable[[float], None]:
        stage = self._stage
        pieces = self._rng.choice(stage.pieces)
        job = make_job(
            f"r{next(self._order)}",
            pieces,
            zone=zone,
            crossing_bytes=pieces * stage.piece_bytes,
            result_bytes=stage.piece_bytes,
            aim_ms=stage.goal_ms,
            remaining_ms=5_000.0,
        )

        def arrive(now: float) -> None:
            number = self.batcher.add(job, stage.limits, len(self._list(now)), now)
            if isinstance(number, int):
                self._jobs[number] = job, now
            else:
                self.outcome.refused[zone] += 1

        return arrive

    def _list(self, now: float) -> tuple[ForwardTarget, ...]:
        if not (self._scenario.is_drained and self._changes(now)):
            return self._targets
        return tuple(each for each in self._targets if each.zone != ZONES[0])

    def _tick(self, now: float) -> None:
        for done in self.batcher.expire_and_shed(self._stage.limits, now):
            job, _ = self._jobs.pop(done.job)
            self.outcome.refused[job.zone] += 1

    def _find_slowdown(self, target: ForwardTarget, now: float) -> float:
        is_slow = target.zone == ZONES[0] and self._changes(now)
        return self._scenario.slowdown if is_slow else 1.0

    def _dispatch(self, now: float) -> None:
        limits = self._stage.limits
        for call in self.batcher.dispatch(self._list(now), limits, now):
            slowdown = self._find_slowdown(call.target, now)
            ends_at = now + call.expected_ms * slowdown / 1000
            self._schedule(ends_at, self._make_answer(call, slowdown))

    def _make_answer(
        self, call: BatchedCall, slowdown: float
    ) -> Callable[[float], None]:
        def answer(now: float) -> None:
            target = call.target
            load = TargetLoad(1, 0, 1, slowdown)
            self.batcher.record_load(target.target, load, now)
            results = make_results(len(call.items), target.zone)
            for item in call.items:
                self._crossed[item.item.request, target.zone] += 1  # type: ignore[index]
            for done in self.batcher.finish(call.call, results, now):
                self._end(done.job, now)
            handles = tuple(each.handle for each in results)
            self._schedule(now + HELD_S, lambda _: self.batcher.release(handles))

        return answer

    def _end(self, number: int, now: float) -> None:
        job, added_at = self._jobs.pop(number)
        outside = sum(
            made
            for zone in ZONES
            if zone != job.zone and (made := self._crossed.pop((job.request, zone), 0))  # type: ignore[call-overload]
        )
        crossing_mb = outside * job.result_bytes / 1e6
        self.outcome.crossing_mb += crossing_mb
        elapsed_ms = (now - added_at + crossing_mb * CROSSING_S_PER_MB) * 1000
        ended = self.outcome.on_time if elapsed_ms <= job.aim_ms else self.outcome.late
        ended[job.zone] += 1


def make_limits(batch: int, piece_ms: float, room_mb: float) -> PieceLimits:
    """Build the limits of a service whose calls take 150 ms without pieces."""
    return PieceLimits(
        slots=1,
        queue=2,
        batch=batch,
        call_ms=150.0,
        piece_ms=piece_ms,
        result_capacity_bytes=room_mb * 1e6,
        result_retention_s=4.0,
    )


#: Services of the deployments in ``docs/design/overload-and-zones.md``.
STAGES = {
    "A": Stage(
        limits=make_limits(14, 9.2, 78.0),
        pieces=(1, 1, 2, 2, 2, 3, 3, 6),
        piece_bytes=3_000_000,
        goal_ms=800.0,
    ),
    "B": Stage(
        limits=make_limits(58, 2.24, 10.3),
        pieces=(8,),
        piece_bytes=60_000,
        goal_ms=900.0,
    ),
    "C": Stage(
        limits=make_limits(96, 1.3, 1.7),
        pieces=(8, 12, 16, 20, 24),
        piece_bytes=6_000,
        goal_ms=900.0,
    ),
}
SCENARIOS = {
    "calm": Scenario(),
    "burst in one zone": Scenario(burst=3.0),
    "one zone drained": Scenario(is_drained=True),
    "uneven zones, 1.4 to 1": Scenario(calm=0.8, weights=(1.4, 1.0, 1.0)),
    "slow zone": Scenario(calm=0.7, slowdown=1.6),
}
