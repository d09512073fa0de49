"""Placement at engines whose speeds differ from the initial estimate."""

from __future__ import annotations

from random import Random

import pytest

from bramleyspread_capacity import EngineSpeed, EngineSpeeds, ReadingSample
from bramleyspread_forwarding import Placement
from bramleyspread_forwarding.tests.engine_load import EngineLoad

#: Speeds of engines by number of slots; that of 64 slots is the initial estimate.
SPEEDS = {
    12: EngineSpeed(first_event_ms=90.0, tokens_per_ms=9.0, request_ms=9.0),
    32: EngineSpeed(first_event_ms=220.0, tokens_per_ms=18.0, request_ms=2.0),
    64: EngineSpeed(),
}
ENGINES = 6


class _Unlearnt(EngineSpeeds):
    """Speeds of which nothing is learnt."""

    __slots__ = ()

    def record(self, engine: str, sample: ReadingSample, slowdown: float) -> None:
        """Ignore an answer."""


def run_load(
    speeds: list[EngineSpeed],
    slots: int,
    requests_per_s: float,
    *,
    is_learnt: bool = True,
    reported: dict[str, float] | None = None,
) -> tuple[EngineLoad, EngineSpeeds]:
    known = EngineSpeeds() if is_learnt else _Unlearnt()
    placement = Placement(Random(1), speeds=known)
    load = EngineLoad(placement, speeds, slots, requests_per_s, reported)
    load.run()
    return load, known


def slow_down(speed: EngineSpeed, factor: float) -> EngineSpeed:
    return EngineSpeed(
        speed.first_event_ms * factor,
        speed.tokens_per_ms / factor,
        speed.request_ms * factor,
    )


# Guards against constants that fit the engines of one deployment only.
@pytest.mark.parametrize("slots", [12, 32, 64])
def test_speed_of_engines_is_learnt(slots: int) -> None:
    true = SPEEDS[slots]
    load, known = run_load([true] * ENGINES, slots, slots)
    for engine in load.count_requests():
        learnt = known.find("llm", engine)
        for tokens, requests in ((1_000, 1), (6_000, 1), (3_000, slots // 2)):
            expected = true.estimate_ms(tokens, requests)
            estimated = learnt.estimate_ms(tokens, requests)
            assert estimated == pytest.approx(expected, rel=0.2)
    before, _ = run_load([true] * ENGINES, slots, slots, is_learnt=False)
    assert load.mean_ms <= 1.02 * before.mean_ms


# Guards against a slow engine that gets as many requests as the fast ones beside it.
@pytest.mark.parametrize("reported", [None, {"t0": 2.0}])
def test_slow_engine_beside_fast_ones_gets_less(
    reported: dict[str, float] | None,
) -> None:
    speeds = [slow_down(SPEEDS[32], 2.0), *[SPEEDS[32]] * (ENGINES - 1)]
    load, known = run_load(speeds, 32, 30.0, reported=reported)
    before, _ = run_load(speeds, 32, 30.0, is_learnt=False)
    assert load.mean_ms < 0.97 * before.mean_ms
    chosen = load.count_requests()
    assert 0 < chosen["t0"] < 0.8 * min(chosen[f"t{at}"] for at in range(1, ENGINES))
    slowdown = 2.0 if reported is None else 1.0
    slow_ms, fast_ms = (
        known.find("llm", engine).estimate_ms(3_000, 4) for engine in ("t0", "t1")
    )
    assert slow_ms / fast_ms == pytest.approx(slowdown, rel=0.2)


# Guards against other decisions at engines that the initial estimate fits.
def test_engines_like_the_initial_estimate_are_served_as_before() -> None:
    speeds = [SPEEDS[64]] * ENGINES
    load, _ = run_load(speeds, 64, 60.0)
    before, _ = run_load(speeds, 64, 60.0, is_learnt=False)
    assert load.chosen[:200] == before.chosen[:200]
    assert load.mean_ms == pytest.approx(before.mean_ms, rel=0.03)
