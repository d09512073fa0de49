"""Tests that the demo's verdict detects each kind of broken guarantee."""

import pytest

from bramleyspread_core import (
    Address,
    Brand,
    Payload,
    Pipeline,
    Stage,
    encode_json,
)
from bramleyspread_standins._caller import (
    CallerAttempt,
    CallerReport,
    ErrorBody,
    NoResponse,
    SuccessBody,
    Token,
)
from bramleyspread_standins._caller_requests import CallerRequest
from bramleyspread_standins._ledger import LedgerEntry
from bramleyspread_standins._payload import StagePayload, StageRecord, make_token
from bramleyspread_standins._verdict import DemoCounts, Verdict

BRAND = Brand("inti", "express")
TOKENS = [make_token("m", "generate", "rules", index) for index in range(2)]
STREAM = Pipeline(
    name="explain",
    deadline_ms=1_000,
    stages=(Stage(name="generate", pool="e", model="rules", max_tokens=2),),
)
CHARGE = Pipeline(
    name="payment",
    deadline_ms=1_000,
    stages=(Stage(name="charge", pool="l", idempotent=False),),
)
STREAM_REQUEST = CallerRequest("m", 0.0, "lm", STREAM, BRAND, 5, "", True, None)
PAYMENT_REQUEST = CallerRequest("m", 0.0, "ledger", CHARGE, BRAND, 5, "key", False, 0.1)
REFUSED = ErrorBody("r1", "refused", True, "overload", "arrival")
UNKNOWN = ErrorBody("r1", "unknown", False, "closed", "charge")
FAILED = ErrorBody("r1", "failed", False, "silent", "generate")


def make_success(
    marker: str = "m",
    stage: str = "generate",
    brand: Brand = BRAND,
    text: str = "".join(TOKENS),
    us: int = 1,
) -> SuccessBody:
    payload = StagePayload(marker, 64, (StageRecord(stage, "t", brand.key, us),), text)
    return SuccessBody("r1", Payload(encode_json(payload)))


def make_attempt(
    result: SuccessBody | ErrorBody | NoResponse,
    tokens: tuple[tuple[int, str], ...] = (),
    duration_s: float = 0.5,
) -> CallerAttempt:
    attempt = CallerAttempt(
        Address("127.0.0.1", 1), 1.0, 10.0, 10.0 + duration_s, result=result
    )
    attempt.tokens = [Token(index, token) for index, token in tokens]
    return attempt


def check_reports(
    *reports: CallerReport, ledger: tuple[LedgerEntry, ...] = ()
) -> tuple[DemoCounts, list[str]]:
    verdict = Verdict.from_reports(reports, ledger, {"charge"})
    return verdict.counts, verdict.counts.list_broken_guarantees(
        planned_stop_only=False
    )


def test_complete_streamed_answer_breaks_no_guarantee() -> None:
    tokens = tuple(enumerate(TOKENS))
    counts, broken = check_reports(
        CallerReport(STREAM_REQUEST, False, (make_attempt(make_success(), tokens),))
    )
    assert (counts.requests, counts.answered_whole, counts.late) == (1, 1, 0)
    assert broken == []


@pytest.mark.parametrize(
    ("attempt", "guarantee"),
    [
        (make_attempt(NoResponse("closed")), "lost"),
        (make_attempt(make_success(text=TOKENS[0])), "lost"),
        (make_attempt(make_success(stage="encode")), "lost"),
        (make_attempt(make_success(), ((0, TOKENS[0]),)), "lost"),
        (make_attempt(make_success(marker="other")), "crossed"),
        (make_attempt(make_success(brand=Brand("rimac", "foto"))), "crossed"),
        (make_attempt(FAILED, ((0, "other.0.aa "),)), "crossed"),
        (make_attempt(FAILED, ((0, TOKENS[0]), (0, TOKENS[0]))), "doubled"),
    ],
)
def test_detects_broken_guarantee(attempt: CallerAttempt, guarantee: str) -> None:
    _, broken = check_reports(CallerReport(STREAM_REQUEST, False, (attempt,)))
    assert guarantee in broken


def test_request_without_an_attempt_is_lost() -> None:
    assert check_reports(CallerReport(STREAM_REQUEST, False, ()))[1] == ["lost"]


def test_answer_after_its_deadline_is_late() -> None:
    report = CallerReport(
        STREAM_REQUEST, False, (make_attempt(make_success(), duration_s=1.1),)
    )
    assert check_reports(report)[0].late == 1


def test_different_answers_under_one_key_are_doubled() -> None:
    first, other = (make_success(stage="charge", text="", us=us) for us in (1, 2))
    for answers, broken in (((first, first), []), ((first, other), ["doubled"])):
        reports = [
            CallerReport(PAYMENT_REQUEST, resend, (make_attempt(answer),))
            for resend, answer in zip((False, True), answers, strict=True)
        ]
        assert check_reports(*reports)[1] == broken


def test_detects_repeated_runs_and_runs_reported_as_not_run() -> None:
    entry = LedgerEntry("m", "charge", "a1", "r1", "ledger-1")
    done = CallerReport(
        PAYMENT_REQUEST, False, (make_attempt(make_success("m", "charge", text="")),)
    )
    assert check_reports(done, ledger=(entry,))[1] == []
    assert check_reports(done, ledger=(entry, entry))[1] == ["ran_more_than_once"]
    refused = CallerReport(PAYMENT_REQUEST, False, (make_attempt(REFUSED),))
    assert check_reports(refused)[0].refused_not_run == 1
    assert check_reports(refused, ledger=(entry,))[1] == ["lost"]


def test_refusal_after_an_unknown_outcome_counts_as_failed() -> None:
    attempts = (make_attempt(UNKNOWN), make_attempt(REFUSED))
    counts, broken = check_reports(CallerReport(PAYMENT_REQUEST, False, attempts))
    assert (counts.refused_not_run, counts.failed) == (0, 1)
    assert broken == []
    assert counts.list_broken_guarantees(planned_stop_only=True) == ["failed"]
