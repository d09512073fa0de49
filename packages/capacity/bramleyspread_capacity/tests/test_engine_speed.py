"""Tests of the speeds of engines that are learnt from their answers."""

from __future__ import annotations

import msgspec
import pytest

from bramleyspread_capacity import EngineSpeed, EngineSpeeds, ReadingSample


# Guards against a message of other hosts that makes engines useless for all requests.
@pytest.mark.parametrize("elapsed_ms", [1e-9, 600_000.0, float("nan"), -5.0, 1e300])
def test_impossible_times_leave_the_estimate_within_its_bounds(
    elapsed_ms: float,
) -> None:
    known = EngineSpeeds()
    for at in range(2_000):
        sample = ReadingSample("llm", at % 7 * 1e3, at % 5 * 1e3, at % 9, elapsed_ms)
        known.record("t0", sample, 1.0)
    speed, initial = known.find("llm", "t0"), EngineSpeed()
    for figure, before, error in zip(
        msgspec.structs.astuple(speed),
        msgspec.structs.astuple(initial),
        (10.0, 10.0, 40.0),
        strict=True,
    ):
        assert before / error <= figure * 1.000001
        assert figure <= before * error * 1.000001


def record_answers(known: EngineSpeeds, engine: str, number: int, ms: float) -> None:
    for at in range(number):
        tokens = at % 7 * 1e3
        sample = ReadingSample("llm", tokens, 0.0, at % 9, ms + tokens / 30.0)
        known.record(engine, sample, 1.0)


# Guards against an engine that seems slow for long after it has recovered, and against
# one that gets nothing since a single answer came late.
def test_estimate_follows_a_change_within_two_hundred_answers() -> None:
    known = EngineSpeeds()
    record_answers(known, "t0", 300, 450.0)
    assert known.find("llm", "t0").first_event_ms == pytest.approx(450.0, rel=0.1)
    record_answers(known, "t0", 1, 30_000.0)
    assert known.find("llm", "t0").first_event_ms < 600.0
    record_answers(known, "t0", 200, 150.0)
    assert known.find("llm", "t0").first_event_ms == pytest.approx(150.0, rel=0.3)


# Guards against estimates of an engine without answers that differ from its peers'.
def test_engine_without_answers_is_estimated_like_the_others() -> None:
    known = EngineSpeeds()
    record_answers(known, "t0", 199, 450.0)
    assert known.find("llm", "t0") == known.find("llm", "t1") == EngineSpeed()
    record_answers(known, "t0", 101, 450.0)
    assert known.find("llm", "t1").first_event_ms == pytest.approx(450.0, rel=0.1)
    assert known.find("other") == EngineSpeed()


# Guards against memory that grows with engines that have gone.
def test_number_of_engines_and_services_is_bounded() -> None:
    known = EngineSpeeds()
    for at in range(2_500):
        known.record(f"t{at}", ReadingSample("llm", 1.0, 0.0, 0, 100.0), 1.0)
    for at in range(250):
        known.record("t0", ReadingSample(f"s{at}", 1.0, 0.0, 0, 100.0), 1.0)
    kept = known._services  # noqa: SLF001
    assert len(kept) == 200
