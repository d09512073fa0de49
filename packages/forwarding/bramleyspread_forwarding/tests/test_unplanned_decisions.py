"""Decisions without a zone plan, reported paces and learnt speeds.

They are compared with those of the build before these, of 2026-12-06.
"""

from __future__ import annotations

import hashlib
from random import Random

from bramleyspread_core import EngineLimits
from bramleyspread_forwarding import (
    BatchedCall,
    Batcher,
    Placed,
    Placement,
    PlaceQuery,
    PlaceStep,
    TargetLoad,
)
from bramleyspread_forwarding.tests.builders import (
    LIMITS,
    make_job,
    make_prompt,
    make_results,
    make_targets,
)

#: Digests of the decisions, computed with the build before (f4a5c1e).
PLACED, CALLED = "4f2901442a40f7a1", "9fa1bb5f00e8654f"


def place_requests() -> list[str]:
    """Place requests of three zones, with inputs, load reports and failures."""
    rng = Random(3)
    placement = Placement(Random(1))
    engines = make_targets(9, slots=64)
    limits = EngineLimits(slots=64, memory_tokens=326_040)
    in_flight: list[Placed] = []
    chosen = []
    for at in range(3_000):
        now = at * 0.01
        prompt = make_prompt(f"top{rng.randrange(4)}", f"sub{rng.randrange(9)}")
        zone = f"z{rng.randrange(3)}"
        query = PlaceQuery(
            service="llm",
            zone=zone,
            prompt=prompt,
            input_mb={f"z{rng.randrange(3)}": rng.choice((0.05, 7.5))},
            slack_ms=rng.choice((300.0, 1_500.0)),
        )
        placed = placement.choose(query, engines, limits, now, 0.9)
        assert isinstance(placed, Placed)
        chosen.append(placed.target.target)
        in_flight.append(placed)
        while len(in_flight) > 150:
            ended = in_flight.pop(rng.randrange(len(in_flight)))
            step = PlaceStep(
                ticket=ended.ticket,
                target=ended.target.target,
                ended=True,
                good=rng.random() > 0.01,
                load=TargetLoad(rng.randrange(64), rng.randrange(3), 64),
            )
            placement.record_step(step, now)
    return chosen


def call_targets() -> list[str]:
    """Batch jobs of six zones, and let calls take up to three times as long."""
    rng = Random(4)
    batcher = Batcher()
    targets = make_targets(6)
    running: list[tuple[float, BatchedCall]] = []
    called = []
    for at in range(4_000):
        now = at * 0.01
        if rng.random() < 0.35:
            size = rng.choice((6_000, 3_000_000))
            pieces = rng.randrange(1, 9)
            zone = rng.choice(("", "z0", "z0", "z1", "z2", "z3"))
            job = make_job(
                f"r{at}",
                pieces,
                zone=zone,
                crossing_bytes=pieces * size,
                result_bytes=size,
            )
            batcher.add(job, LIMITS, 6, now)
        for ends_at, call in tuple(running):
            if ends_at <= now:
                running.remove((ends_at, call))
                results = make_results(len(call.items), call.target.zone)
                batcher.finish(call.call, results, now)
                batcher.release(each.handle for each in results)
        batcher.expire_and_shed(LIMITS, now)
        for call in batcher.dispatch(targets, LIMITS, now):
            items = [(each.item.request, each.item.piece) for each in call.items]
            called.append(f"{call.target.target}{items}")
            factor = rng.choice((1.0, 1.0, 1.2, 3.0))
            running.append((now + call.expected_ms * factor / 1000, call))
    return called


def digest(decisions: list[str]) -> str:
    return hashlib.sha256(" ".join(decisions).encode()).hexdigest()[:16]


# Guards against other decisions in deployments that use none of what is new.
def test_decisions_are_those_of_the_build_before() -> None:
    assert digest(place_requests()) == PLACED
    assert digest(call_targets()) == CALLED
