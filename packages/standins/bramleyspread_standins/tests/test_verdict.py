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
from bramleyspread_standins._asks import CallerRequest
from bramleyspread_standins._caller import (
    CallerAttempt,
    CallerReport,
    ErrorBody,
    NoResponse,
    SuccessBody,
    Token,
)
from bramleyspread_standins._ledger import LedgerEntry
from bramleyspread_standins._verdict import DemoCounts, Verdict
from bramleyspread_standins._work import StagePayload, StageRecord, make_token

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
ASK = CallerRequest("m", 0.0, "lm", STREAM, BRAND, 5, "", True, None)
PAYMENT = CallerRequest("m", 0.0, "ledger", CHARGE, BRAND, 5, "key", False, 0.1)
REFUSED = ErrorBody("r1", "refused", True, "overload", "arrival")
UNKNOWN = ErrorBody("r1", "unknown", False, "closed", "charge")
FAILED = ErrorBody("r1", "failed", False, "silent", "generate")


def make_whole(
    marker: str = "m",
    stage: str = "generate",
    brand: Brand = BRAND,
    text: str = "".join(TOKENS),
    us: int = 1,
) -> SuccessBody:
    work = StagePayload(marker, 64, (StageRecord(stage, "t", brand.key, us),), text)
    return SuccessBody("r1", Payload(encode_json(work)))


def make_asked(
    result: SuccessBody | ErrorBody | NoResponse,
    tokens: tuple[tuple[int, str], ...] = (),
    took: float = 0.5,
) -> CallerAttempt:
    asked = CallerAttempt(
        Address("127.0.0.1", 1), 1.0, 10.0, 10.0 + took, result=result
    )
    asked.tokens = [Token(index, token) for index, token in tokens]
    return asked


def judge(
    *reports: CallerReport, ledger: tuple[LedgerEntry, ...] = ()
) -> tuple[DemoCounts, list[str]]:
    verdict = Verdict.from_reports(reports, ledger, {"charge"})
    return verdict.counts, verdict.counts.list_broken_guarantees(
        planned_stop_only=False
    )


def test_a_whole_streamed_answer_breaks_nothing() -> None:
    tokens = tuple(enumerate(TOKENS))
    counts, broken = judge(
        CallerReport(ASK, False, (make_asked(make_whole(), tokens),))
    )
    assert (counts.requests, counts.answered_whole, counts.late) == (1, 1, 0)
    assert broken == []


@pytest.mark.parametrize(
    ("asked", "promise"),
    [
        (make_asked(NoResponse("closed")), "lost"),
        (make_asked(make_whole(text=TOKENS[0])), "lost"),
        (make_asked(make_whole(stage="encode")), "lost"),
        (make_asked(make_whole(), ((0, TOKENS[0]),)), "lost"),
        (make_asked(make_whole(marker="other")), "crossed"),
        (make_asked(make_whole(brand=Brand("rimac", "foto"))), "crossed"),
        (make_asked(FAILED, ((0, "other.0.aa "),)), "crossed"),
        (make_asked(FAILED, ((0, TOKENS[0]), (0, TOKENS[0]))), "doubled"),
    ],
)
def test_finds_the_broken_promise(asked: CallerAttempt, promise: str) -> None:
    _, broken = judge(CallerReport(ASK, False, (asked,)))
    assert promise in broken


def test_no_report_at_the_end_is_lost() -> None:
    assert judge(CallerReport(ASK, False, ()))[1] == ["lost"]


def test_an_answer_behind_its_deadline_is_late() -> None:
    report = CallerReport(ASK, False, (make_asked(make_whole(), took=1.1),))
    assert judge(report)[0].late == 1


def test_two_answers_under_one_key_are_doubled() -> None:
    first, other = (make_whole(stage="charge", text="", us=us) for us in (1, 2))
    for answers, broken in (((first, first), []), ((first, other), ["doubled"])):
        reports = [
            CallerReport(PAYMENT, resend, (make_asked(answer),))
            for resend, answer in zip((False, True), answers, strict=True)
        ]
        assert judge(*reports)[1] == broken


def test_reads_the_ledger() -> None:
    line = LedgerEntry("m", "charge", "a1", "r1", "ledger-1")
    done = CallerReport(
        PAYMENT, False, (make_asked(make_whole("m", "charge", text="")),)
    )
    assert judge(done, ledger=(line,))[1] == []
    assert judge(done, ledger=(line, line))[1] == ["ran_more_than_once"]
    refused = CallerReport(PAYMENT, False, (make_asked(REFUSED),))
    assert judge(refused)[0].refused_not_run == 1
    assert judge(refused, ledger=(line,))[1] == ["lost"]


def test_a_refusal_behind_an_unknown_ask_is_not_a_refusal() -> None:
    asks = (make_asked(UNKNOWN), make_asked(REFUSED))
    counts, broken = judge(CallerReport(PAYMENT, False, asks))
    assert (counts.refused_not_run, counts.failed) == (0, 1)
    assert broken == []
    assert counts.list_broken_guarantees(planned_stop_only=True) == ["failed"]
