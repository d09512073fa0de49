"""Tests of the order of one request's stages and of the release of results."""

from __future__ import annotations

from bramleyspread_core import StagePlan
from bramleyspread_forwarding import PieceResult, StageRun

#: A stage that doesn't belong to the chain.
INDEPENDENT_STAGE = StagePlan("photos", (), 3_000_000)
#: A chain of stages in a route where another stage has number 0.
CHAIN_FROM_STAGE_1 = (
    StagePlan("photos", (), 8_000),
    StagePlan("ledger", (1,), 60_000),
    StagePlan("console", (2,), 6_000),
)


def finish(run: StageRun, number: int, pieces: int, zone: str = "z0") -> None:
    run.record_results(
        number,
        [PieceResult(f"s{number}-{index}", None, zone) for index in range(pieces)],
    )


def test_independent_stage_starts_with_the_last_stage_of_the_longest_chain() -> None:
    run = StageRun((INDEPENDENT_STAGE, *CHAIN_FROM_STAGE_1), (2, 1, 8, 16), "key")
    started = []
    for pieces in (1, 8):
        ready = run.start_ready_stages()
        started.append([each.number for each in ready])
        finish(run, ready[0].number, pieces)
    started.append([each.number for each in run.start_ready_stages()])
    assert started == [[1], [2], [0, 3]]


def test_inputs_are_all_results_of_the_preceding_stages() -> None:
    run = StageRun(CHAIN_FROM_STAGE_0, (1, 8, 2), "key")
    (first,) = run.start_ready_stages()
    assert (first.pieces, first.key, first.inputs) == (1, "key", ())
    finish(run, 0, 1)
    (second,) = run.start_ready_stages()
    assert (second.pieces, second.key, second.inputs) == (8, "", ("s0-0",))
    finish(run, 1, 8, "z1")
    assert run.find_input_location(2) == ("z1", 2 * 8 * 60_000)
    (third,) = run.start_ready_stages()
    assert (third.pieces, len(third.inputs)) == (2, 8)
    finish(run, 2, 2)
    assert run.is_done
    assert [x.handle for x in run.inputs] == ["s2-0", "s2-1"]


#: The same chain in a route without other stages.
CHAIN_FROM_STAGE_0 = (
    StagePlan("photos", (), 8_000),
    StagePlan("ledger", (0,), 60_000),
    StagePlan("console", (1,), 6_000),
)


def test_stage_without_pieces_is_skipped() -> None:
    run = StageRun((INDEPENDENT_STAGE,), (0,), "key")
    assert run.start_ready_stages() == []
    assert run.is_done
    assert run.inputs == ()
    assert run.release_all() == []


def test_every_result_is_released_at_the_service_that_produced_it() -> None:
    run = StageRun(CHAIN_FROM_STAGE_0, (1, 1, 1), "key")
    for number in range(3):
        run.start_ready_stages()
        finish(run, number, 1)
    released = {each.service: each.handles for each in run.release_all()}
    assert released == {"photos": ("s0-0",), "ledger": ("s1-0",), "console": ("s2-0",)}


def test_results_are_released_once_all_following_stages_are_done() -> None:
    run = StageRun(CHAIN_FROM_STAGE_0, (1, 1, 1), "key")
    released = []
    for number in range(3):
        run.start_ready_stages()
        finish(run, number, 1)
        released.append([each.handles for each in run.release_unneeded()])
    assert released == [[], [("s0-0",)], [("s1-0",)]]
    assert [each.handles for each in run.release_all()] == [("s2-0",)]
    assert run.release_all() == []
