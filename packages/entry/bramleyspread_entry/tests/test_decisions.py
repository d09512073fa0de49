"""Requests from arrival to answer, depending on the outcomes of their attempts."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from bramleyspread_core import (
    AnswerFailed,
    AnswerRefused,
    AnswerUnknown,
    AnswerWhole,
    Brand,
    CancelAttempt,
    ClaimDone,
    Claimed,
    ClaimMismatch,
    ClaimRunning,
    ClaimUnknown,
    CommandResult,
    Dispatch,
    DropConnections,
    LoadedModel,
    NotLeader,
    Payload,
    Reason,
    RequestId,
    SendClaim,
    SendSettlement,
    SendToken,
    Settled,
    TargetAnswer,
    Undecided,
)
from bramleyspread_entry.tests.harness import (
    Harness,
    make_done,
    make_not_run,
    make_other_attempt_id,
    make_unknown,
)


def end_attempts(harness: Harness, outcomes: str) -> None:
    """End the newest attempts with outcomes: d(one), n(ot run) or u(nknown)."""
    for letter in outcomes:
        dispatch = harness.last_dispatch
        if letter == "d":
            harness.complete(dispatch, f'"{dispatch.call.stage}"')
        else:
            outcome = make_not_run() if letter == "n" else make_unknown()
            harness.end_attempt(dispatch, outcome)


@pytest.mark.parametrize(
    ("pipeline", "outcomes", "answer", "attempts"),
    [
        ("check", "dd", AnswerWhole, 2),
        ("check", "ndd", AnswerWhole, 3),
        ("check", "udd", AnswerWhole, 3),
        ("check", "dud", AnswerWhole, 3),
        ("check", "unnn", AnswerFailed, 4),
        ("check", "nnnn", AnswerRefused, 4),
        ("pay", "dd", AnswerWhole, 2),
        ("pay", "dnd", AnswerWhole, 3),
        ("pay", "du", AnswerUnknown, 2),
        ("pay", "dnu", AnswerUnknown, 3),
        ("pay-and-explain", "nnnn", AnswerRefused, 4),
        ("pay-and-explain", "dud", AnswerWhole, 3),
        ("pay-and-explain", "dnnnn", AnswerUnknown, 5),
    ],
)
def test_outcomes_determine_answer_and_number_of_attempts(
    pipeline: str, outcomes: str, answer: type, attempts: int
) -> None:
    harness = Harness()
    request = harness.submit(pipeline)
    for letter in outcomes:
        end_attempts(harness, letter)
        harness.pass_time(0.06)
    assert isinstance(harness.find_answer(request), answer)
    assert len(harness.list_effects(Dispatch)) == attempts
    assert harness.host.in_flight == 0
    assert harness.host.next_due() is None


def test_each_stage_gets_the_previous_stage_output() -> None:
    harness = Harness()
    request = harness.submit("check")
    assert harness.last_dispatch.call.input == msgspec.Raw(b'"in"')
    harness.complete(harness.last_dispatch, '"encoded"')
    call = harness.last_dispatch.call
    assert call.input == msgspec.Raw(b'"encoded"')
    assert call.prefix.startswith("inka/fast/")
    harness.complete(harness.last_dispatch, '"explained"')
    answer = harness.find_answer(request)
    assert answer == AnswerWhole(msgspec.Raw(b'"explained"'))


@pytest.mark.parametrize(
    "fields",
    [
        {"pipeline": "none"},
        {"service": "none"},
        {"brand": Brand("inka", "one")},
        {"brand": Brand("none", "fast")},
    ],
)
def test_unknown_names_are_refused(fields: dict[str, object]) -> None:
    harness = Harness()
    request = harness.submit("check", **fields)
    answer = harness.find_answer(request)
    assert isinstance(answer, AnswerRefused)
    assert answer.fault.reason is Reason.UNKNOWN_NAME
    assert not harness.list_effects(Dispatch)


@pytest.mark.parametrize(
    ("pipeline", "before", "answer"),
    [
        ("check", "", AnswerFailed),
        ("check", "d", AnswerFailed),
        ("pay", "d", AnswerUnknown),
        ("pay-and-explain", "d", AnswerUnknown),
    ],
)
def test_request_is_answered_at_its_deadline(
    pipeline: str, before: str, answer: type
) -> None:
    harness = Harness()
    request = harness.submit(pipeline, deadline_ms=500)
    end_attempts(harness, before)
    live = harness.last_dispatch
    harness.pass_time(0.499)
    assert harness.find_answer(request) is None
    harness.pass_time(0.002)
    assert isinstance(harness.find_answer(request), answer)
    harness.complete(live)
    harness.pass_time(10.0)
    assert harness.host.in_flight == 0


def test_request_is_refused_when_a_pool_has_no_target() -> None:
    harness = Harness()
    harness.directory.pools["engines"] = []
    request = harness.submit("check")
    answer = harness.find_answer(request)
    assert isinstance(answer, AnswerRefused)
    assert answer.fault.reason is Reason.NO_TARGET
    assert answer.retry_after_ms > 0


def test_request_refused_by_every_target_gets_a_retry_delay() -> None:
    harness = Harness()
    request = harness.submit("check")
    while harness.find_answer(request) is None:
        harness.end_attempt(harness.last_dispatch, make_not_run())
        harness.pass_time(0.1)
    answer = harness.find_answer(request)
    assert isinstance(answer, AnswerRefused)
    assert answer.retry_after_ms > 0


def test_request_waits_until_a_target_is_usable_again() -> None:
    harness = Harness()
    request = harness.submit("check")
    engines = harness.directory.pools.pop("engines")
    harness.complete(harness.last_dispatch)
    assert harness.last_dispatch.call.stage == "encode"
    harness.pass_time(0.2)
    harness.directory.pools["engines"] = engines
    harness.pass_time(0.06)
    harness.complete(harness.last_dispatch)
    assert isinstance(harness.find_answer(request), AnswerWhole)


STORED: Payload = msgspec.Raw(b'"stored"')


@pytest.mark.parametrize(
    ("result", "answer", "settlements"),
    [
        (ClaimDone(RequestId("r"), STORED), AnswerWhole, []),
        (ClaimRunning(RequestId("r"), 50), AnswerFailed, []),
        (ClaimUnknown(RequestId("r")), AnswerUnknown, []),
        (ClaimMismatch(), AnswerRefused, []),
        (NotLeader(), AnswerRefused, []),
        (Undecided("no quorum"), AnswerRefused, ["not-run"]),
    ],
)
def test_nothing_is_dispatched_without_a_granted_claim(
    result: CommandResult, answer: type, settlements: list[str]
) -> None:
    harness = Harness()
    request = harness.submit("pay", key="k")
    assert len(harness.list_effects(SendClaim)) == 1
    harness.collect(harness.host.handle_claim_result(request, result, harness.now))
    assert isinstance(harness.find_answer(request), answer)
    assert not harness.list_effects(Dispatch)
    assert [
        each.settlement.ended for each in harness.list_effects(SendSettlement)
    ] == settlements


@pytest.mark.parametrize(
    ("pipeline", "outcomes", "settled"),
    [
        ("pay", "dd", "done"),
        ("pay", "du", "unknown"),
        ("pay", "dnnnn", "not-run"),
        ("pay-and-explain", "dnnnn", "unknown"),
    ],
)
def test_claim_is_settled_with_the_outcome_until_durable(
    pipeline: str, outcomes: str, settled: str
) -> None:
    harness = Harness()
    request = harness.submit(pipeline, key="k")
    harness.collect(harness.host.handle_claim_result(request, Claimed(), harness.now))
    for letter in outcomes:
        end_attempts(harness, letter)
        harness.pass_time(0.06)
    assert [each.settlement.ended for each in harness.list_effects(SendSettlement)] == [
        settled
    ]
    assert harness.host.in_flight == 1
    harness.collect(
        harness.host.handle_settlement_result(request, Undecided("?"), harness.now)
    )
    harness.pass_time(0.6)
    assert len(harness.list_effects(SendSettlement)) == 2
    harness.collect(
        harness.host.handle_settlement_result(request, Settled(), harness.now)
    )
    assert harness.host.in_flight == 0


def close_caller(harness: Harness, request: RequestId) -> None:
    harness.collect(harness.host.handle_caller_disconnect(request, harness.now))


def pass_deadline(harness: Harness, request: RequestId) -> None:
    harness.pass_time(4.001)


@pytest.mark.parametrize("stop", [close_caller, pass_deadline])
def test_claim_granted_after_the_answer_is_settled_as_not_run(
    stop: Callable[[Harness, RequestId], None],
) -> None:
    harness = Harness()
    request = harness.submit("pay", key="k", deadline_ms=300)
    stop(harness, request)
    assert isinstance(harness.find_answer(request), AnswerRefused)
    harness.collect(harness.host.handle_claim_result(request, Claimed(), harness.now))
    assert [each.settlement.ended for each in harness.list_effects(SendSettlement)] == [
        "not-run"
    ]
    assert not harness.list_effects(Dispatch)


@pytest.mark.parametrize(
    ("late", "settled"),
    [("d", "done"), ("n", "not-run"), ("u", "unknown"), ("", "unknown")],
)
def test_side_effect_attempt_that_ends_after_the_answer_settles_the_claim(
    late: str, settled: str
) -> None:
    harness = Harness()
    request = harness.submit("pay", key="k")
    harness.collect(harness.host.handle_claim_result(request, Claimed(), harness.now))
    end_attempts(harness, "d")
    harness.pass_time(4.01)
    assert isinstance(harness.find_answer(request), AnswerUnknown)
    assert not harness.list_effects(SendSettlement)
    end_attempts(harness, late)
    harness.pass_time(12.0)
    assert {each.settlement.ended for each in harness.list_effects(SendSettlement)} == {
        settled
    }
    assert len(harness.list_effects(Dispatch)) == 2


def test_caller_leaving_ends_a_request_without_side_effect_in_flight() -> None:
    harness = Harness()
    request = harness.submit("check")
    close_caller(harness, request)
    assert len(harness.list_effects(CancelAttempt)) == 1
    assert harness.host.in_flight == 0
    request = harness.submit("pay")
    end_attempts(harness, "d")
    close_caller(harness, request)
    assert harness.host.in_flight == 1
    end_attempts(harness, "d")
    assert harness.host.in_flight == 0


# Guards against an answer whose tokens come from two versions of a model.
def test_stream_continues_only_at_the_model_version_that_began_it() -> None:
    harness = Harness()
    engines = harness.directory.pools["engines"]
    for at in (1, 2):
        announcement = msgspec.structs.replace(
            engines[at].announcement, models=(LoadedModel("m", "2"),)
        )
        engines[at] = msgspec.structs.replace(engines[at], announcement=announcement)
    for _ in range(20):
        harness.submit("check", stream=True)
        harness.complete(harness.last_dispatch)
        first = harness.last_dispatch
        harness.send_token(first, 0)
        harness.end_attempt(first, make_unknown())
        harness.pass_time(0.5)
        second = harness.last_dispatch
        versions = {
            each.announcement.models[0].version
            for each in engines
            if each.announcement.target in (first.target, second.target)
        }
        assert len(versions) == 1
        harness.pass_time(60.0)


def test_stream_continues_in_a_retry_without_repeated_tokens() -> None:
    harness = Harness()
    request = harness.submit("check", stream=True)
    end_attempts(harness, "d")
    first = harness.last_dispatch
    for index in (0, 1, 1):
        harness.send_token(first, index)
    harness.end_attempt(first, make_unknown())
    second = harness.last_dispatch
    assert second.call.continue_after == ("t0", "t1")
    harness.send_token(first, 2)
    for index in (2, 3):
        harness.send_token(second, index)
    harness.complete(second, tokens=2)
    assert isinstance(harness.find_answer(request), AnswerWhole)
    assert [each.token.index for each in harness.list_effects(SendToken)] == [
        0,
        1,
        2,
        3,
    ]


@pytest.mark.parametrize("how", ["gap", "cut"])
def test_stream_with_missing_tokens_is_not_answered_whole(how: str) -> None:
    harness = Harness()
    request = harness.submit("check", stream=True)
    end_attempts(harness, "d")
    for _ in range(4):
        broken = harness.last_dispatch
        if how == "gap":
            harness.send_token(broken, 1)
        else:
            harness.complete(broken, tokens=2)
        harness.pass_time(0.06)
    assert isinstance(harness.find_answer(request), AnswerFailed)


def test_late_repeated_and_crossed_answers_are_dropped() -> None:
    harness = Harness()
    request = harness.submit("pay")
    first = harness.last_dispatch
    harness.complete(first)
    harness.complete(first, '"again"')
    harness.end_attempt(first, make_unknown())
    paid = harness.last_dispatch
    answer = make_done(paid).answer
    crossed = msgspec.structs.replace(answer, attempt=make_other_attempt_id())
    assert isinstance(crossed, TargetAnswer)
    harness.end_attempt(paid, msgspec.structs.replace(make_done(paid), answer=crossed))
    assert isinstance(harness.find_answer(request), AnswerUnknown)
    counts = harness.host.count_events()
    assert counts["late-dropped"] == 2
    assert counts["crossed-dropped"] == 1
    assert len(harness.list_effects(Dispatch)) == 2


def test_silent_pooled_connection_is_replaced_and_its_target_retried() -> None:
    harness = Harness()
    harness.directory.pools["encoders"] = harness.directory.pools["encoders"][:1]
    request = harness.submit("check")
    assert not harness.last_dispatch.fresh_connection
    harness.end_attempt(harness.last_dispatch, make_unknown(Reason.SILENT))
    assert (
        harness.list_effects(DropConnections)[0].attempt
        == harness.list_effects(Dispatch)[0].call.attempt
    )
    assert harness.last_dispatch.fresh_connection
    assert harness.last_dispatch.target == "encoders-0"
    end_attempts(harness, "dd")
    assert isinstance(harness.find_answer(request), AnswerWhole)
    harness.submit("pay")
    assert not harness.last_dispatch.fresh_connection
    end_attempts(harness, "d")
    assert harness.last_dispatch.fresh_connection


def test_late_attempt_is_cancelled_when_its_hedge_answers() -> None:
    harness = Harness()
    for _ in range(30):
        harness.submit("check")
        for _ in range(2):
            harness.pass_time(0.1)
            harness.complete(harness.last_dispatch)
    harness.submit("check")
    first = harness.last_dispatch
    harness.pass_time(0.2)
    hedge = harness.last_dispatch
    assert hedge.call.attempt != first.call.attempt
    assert hedge.target != first.target
    harness.complete(hedge)
    assert [each.attempt for each in harness.list_effects(CancelAttempt)] == [
        first.call.attempt
    ]
    report = harness.host.cost_report()
    assert {row.kind.value for row in report.rows} == {"first", "hedge", "cancelled"}
    assert sum(row.cost.target_us for row in report.rows) == report.total.target_us
    assert sum(row.cost.attempts for row in report.rows) == report.total.attempts == 62


def test_drain_completes_accepted_requests_and_refuses_later_ones() -> None:
    harness = Harness()
    early = harness.submit("check")
    harness.collect(harness.host.begin_drain(harness.now))
    during = harness.submit("check")
    harness.pass_time(3.0)
    late = harness.submit("check")
    answer = harness.find_answer(late)
    assert isinstance(answer, AnswerRefused)
    assert answer.fault.reason is Reason.DRAINING
    for dispatch in harness.list_effects(Dispatch):
        harness.complete(dispatch)
    for dispatch in harness.list_effects(Dispatch)[2:]:
        harness.complete(dispatch)
    for request in (early, during):
        assert isinstance(harness.find_answer(request), AnswerWhole)
    assert harness.host.in_flight == 0
