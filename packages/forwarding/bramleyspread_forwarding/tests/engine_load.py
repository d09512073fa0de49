"""Load on the engines of one service, with simulated time."""

from __future__ import annotations

import heapq
from collections import Counter
from itertools import count
from random import Random
from statistics import fmean

import msgspec

from bramleyspread_capacity import EngineSpeed, ReadingSample
from bramleyspread_core import EngineLimits
from bramleyspread_forwarding import (
    Placed,
    Placement,
    PlaceQuery,
    PlaceStep,
    TargetLoad,
)
from bramleyspread_forwarding._rate_shares import OWNER_SHARE
from bramleyspread_forwarding.tests.builders import make_prompt, make_targets

#: Length of a run, in seconds, and the part at its beginning that isn't measured.
RUN_S, WARM_UP_S = 40.0, 10.0
#: Mean duration of an answer after its first event, in seconds.
ANSWER_S = 2.0
#: Largest deviation of an engine's time from its speed.
DEVIATION = 0.15
#: Time by which a megabyte of inputs that crosses zones delays a request, in seconds.
CROSSING_S_PER_MB = 0.0135


class _Engine:
    """Reads prompts one after another, and runs as many requests as it has slots."""

    __slots__ = ("_ends", "_reads_until", "_slots", "_speed")

    def __init__(self, speed: EngineSpeed, slots: int) -> None:
        self._speed = speed
        self._slots = slots
        self._reads_until = 0.0
        # When the requests that have a slot end, the earliest first.
        self._ends: list[float] = []

    def start(self, tokens: float, answer_s: float, noise: float, now: float) -> float:
        """Start a request; return when its first event comes, in seconds."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        running = len(self._ends)
        slot_at = now if running < self._slots else heapq.heappop(self._ends)
        reading_s = tokens / self._speed.tokens_per_ms / 1000 * noise
        self._reads_until = max(self._reads_until, slot_at) + reading_s
        rest_ms = self._speed.estimate_ms(0, min(running, self._slots)) * noise
        first_at = self._reads_until + rest_ms / 1000
        heapq.heappush(self._ends, first_at + answer_s)
        return first_at


class EngineLoad:
    """Sends requests at random times, and measures the time to their first events.

    :param placement: chooses the engines.
    :param speeds: the speed of each engine.
    :param slots: number of slots of each engine.
    :param requests_per_s: mean number of requests per second.
    :param reported: by engine, the slowdown that it reports.
    :param input_mb: inputs of each request, in the zone where it comes from.
    :param weights: weight of each zone's requests, with the engines spread evenly. If
        there are none, each engine has its own zone, and requests come from the first.
    """

    def __init__(
        self,
        placement: Placement,
        speeds: list[EngineSpeed],
        slots: int,
        requests_per_s: float,
        reported: dict[str, float] | None = None,
        *,
        input_mb: float = 0.0,
        weights: tuple[float, ...] = (),
    ) -> None:
        self._placement = placement
        self._input_mb, self._weights = input_mb, weights
        self._targets = make_targets(len(speeds), slots)
        if weights:
            self._targets = tuple(
                msgspec.structs.replace(each, zone=f"z{at % len(weights)}")
                for at, each in enumerate(self._targets)
            )
        self._slots = slots
        self._requests_per_s = requests_per_s
        self._reported = reported or {}
        self._engines = {
            target.target: _Engine(speed, slots)
            for target, speed in zip(self._targets, speeds, strict=True)
        }
        self._rng = Random(5)
        self._order = count()
        self._steps: list[tuple[float, int, PlaceStep]] = []
        #: The engines of all requests, in turn.
        self.chosen: list[str] = []
        #: Megabytes of inputs that crossed zones.
        self.crossing_mb = 0.0
        #: Times to the first event after the warm-up, in milliseconds.
        self.first_ms: list[float] = []

    @property
    def mean_ms(self) -> float:
        """Mean time to the first event, in milliseconds."""
        return fmean(self.first_ms)

    def count_requests(self) -> Counter[str]:
        """Count the requests by engine."""
        return Counter(self.chosen)

    def run(self) -> None:
        """Run the load."""
        limits = EngineLimits(slots=self._slots, memory_tokens=10_000_000)
        now = 0.0
        while (now := now + self._rng.expovariate(self._requests_per_s)) < RUN_S:
            while self._steps and self._steps[0][0] <= now:
                at, _, step = heapq.heappop(self._steps)
                self._placement.record_step(step, at)
            tokens = self._rng.choice((200, 600, 1_500, 4_000))
            home = "z0"
            if self._weights:
                zones = [f"z{at}" for at in range(len(self._weights))]
                (home,) = self._rng.choices(zones, self._weights)
            query = PlaceQuery(
                service="llm",
                zone=home,
                prompt=make_prompt(tokens_in=tokens),
                input_mb={home: self._input_mb},
            )
            placed = self._placement.choose(
                query, self._targets, limits, now, OWNER_SHARE
            )
            assert isinstance(placed, Placed)
            self.chosen.append(placed.target.target)
            crossing_mb = self._input_mb if placed.target.zone != home else 0.0
            self.crossing_mb += crossing_mb
            self._start(placed, now, crossing_mb * CROSSING_S_PER_MB)

    def _start(self, placed: Placed, now: float, crossing_s: float) -> None:
        noise = 1 + DEVIATION * self._rng.uniform(-1, 1)
        answer_s = self._rng.uniform(0.5, 1.5) * ANSWER_S
        engine = self._engines[placed.target.target]
        first_at = engine.start(placed.unread_tokens, answer_s, noise, now + crossing_s)
        first_ms = (first_at - now) * 1000
        if now > WARM_UP_S:
            self.first_ms.append(first_ms)
        sample = ReadingSample(
            "llm",
            placed.unread_tokens,
            placed.tokens_ahead,
            placed.requests_ahead,
            first_ms,
        )
        step = PlaceStep(ticket=placed.ticket, target=placed.target.target)
        slowdown = self._reported.get(placed.target.target)
        load = TargetLoad(0, 0, self._slots, slowdown) if slowdown else None
        began = msgspec.structs.replace(
            step,
            began=True,
            load=load,
            sample=sample if placed.requests_ahead < self._slots else None,
        )
        ended = msgspec.structs.replace(step, ended=True, good=True)
        heapq.heappush(self._steps, (first_at, next(self._order), began))
        heapq.heappush(self._steps, (first_at + answer_s, next(self._order), ended))
