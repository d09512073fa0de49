"""Tests of the engine with simulated time."""

import random
from typing import Any

import pytest
from msgspec.structs import replace

from bramleyspread_core import (
    AttemptId,
    Brand,
    LoadedModel,
    Payload,
    RequestId,
    TargetAnswer,
    TargetCall,
    TargetRefusal,
    decode_json,
)
from bramleyspread_standins._cache import CacheEventSettings, PrefixCache
from bramleyspread_standins._engine import Engine, EngineCapacity
from bramleyspread_standins._ledger import discard_entry
from bramleyspread_standins._payload import StagePayload, make_token
from bramleyspread_standins._run import CancelledRun, Run

STEP_S = 0.01
CALL = TargetCall(
    request=RequestId("r"),
    stage="generate",
    attempt=AttemptId("a"),
    brand=Brand("inti", "express"),
    priority=5,
    remaining_ms=4_000,
    input=Payload(b"{}"),
    model="rules",
    prefix="inti/express/x",
    max_tokens=4,
)


def make_engine(slots: int = 2, waiting: int = 2) -> Engine:
    cache = PrefixCache(4, CacheEventSettings(), random.Random(1))
    engine = Engine(
        "engine-1", EngineCapacity(slots, waiting, STEP_S, 64), cache, discard_entry
    )
    engine.models = (LoadedModel("rules", "1", ("spanish",)),)
    return engine


def make_run(marker: str = "m", **changes: Any) -> Run:  # noqa: ANN401
    call = replace(CALL, attempt=AttemptId(f"a-{marker}"), **changes)
    return Run(call, StagePayload(marker), 0.0)


def finish(engine: Engine) -> None:
    while (due := engine.next_due()) is not None:
        engine.advance(due)


def test_generates_complete_answer_with_the_marker() -> None:
    engine, run = make_engine(), make_run("m7")
    engine.admit(run, 0.0)
    finish(engine)
    assert isinstance(run.result, TargetAnswer)
    payload: StagePayload = decode_json(bytes(run.result.output), StagePayload)
    assert payload.marker == "m7"
    tokens = [make_token("m7", "generate", "rules", index) for index in range(4)]
    assert payload.text == "".join(tokens)
    assert payload.trail[0].brand == "inti/express"
    assert run.result.usage.tokens_out == 4


def test_resumes_after_the_tokens_in_continue_after() -> None:
    first, engine = make_run(), make_engine()
    engine.admit(first, 0.0)
    finish(engine)
    resumed = make_run("m", continue_after=tuple(first.tokens[:3]))
    engine.admit(resumed, 1.0)
    finish(engine)
    assert resumed.tokens == first.tokens
    assert isinstance(resumed.result, TargetAnswer)
    assert resumed.result.usage.tokens_out == 1
    assert resumed.result.usage.tokens_cached == 64


@pytest.mark.parametrize(
    "changes",
    [
        {"prefix": "inti/express-2/x"},
        {"prefix": "rimac/express/x"},
        {"model": "other"},
        {"adapter": "german"},
        {"remaining_ms": 0},
    ],
)
def test_refuses_without_running(changes: dict[str, Any]) -> None:
    engine, run = make_engine(), make_run(**changes)
    engine.admit(run, 0.0)
    finish(engine)
    assert isinstance(run.result, TargetRefusal)
    assert run.started_at is None


def test_runs_by_priority_and_refuses_when_the_queue_is_full() -> None:
    engine = make_engine(slots=1, waiting=3)
    normal, low, urgent, excess = (
        make_run(name, priority=priority)
        for name, priority in (("a", 5), ("b", 9), ("c", 0), ("d", 0))
    )
    for run in (normal, low, urgent, excess):
        engine.admit(run, 0.0)
    assert isinstance(excess.result, TargetRefusal)
    finish(engine)
    assert urgent.started_at is not None and normal.started_at is not None
    assert low.started_at is not None
    assert urgent.started_at < normal.started_at < low.started_at


def test_batches_concurrent_sequences() -> None:
    engine, runs = make_engine(slots=2), [make_run("a"), make_run("b")]
    for run in runs:
        engine.admit(run, 0.0)
    engine.advance(STEP_S)
    assert engine.measure_load().running == 2
    assert runs[0].started_at == runs[1].started_at == STEP_S


def test_cancel_distinguishes_queued_and_started_attempts() -> None:
    engine = make_engine(slots=1)
    running, waiting = make_run("a"), make_run("b")
    engine.admit(running, 0.0)
    engine.admit(waiting, 0.0)
    engine.advance(STEP_S)
    engine.cancel(waiting)
    engine.cancel(running)
    assert isinstance(waiting.result, TargetRefusal)
    assert isinstance(running.result, CancelledRun)
    finish(engine)
    assert engine.measure_load().running == 0
