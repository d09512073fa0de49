"""Admission by load and deadline, fair shares, and the retry budget."""

from __future__ import annotations

import pytest

from bramleyspread_core import AnswerRefused, Brand, Dispatch, Load, Reason
from bramleyspread_entry import SharedBudget, WeightedShares
from bramleyspread_entry.tests.harness import (
    BRAND,
    Harness,
    make_unknown,
    make_view,
)

OTHER_BRAND = Brand("lima", "one")


def record_stage_times(harness: Harness, seconds: float = 0.3) -> None:
    """Complete 10 requests, so that the host has enough latencies of both stages."""
    for _ in range(10):
        harness.submit("check")
        for _ in range(2):
            harness.pass_time(seconds)
            harness.complete(harness.last_dispatch, target_us=round(seconds * 1e6))


def set_engine_load(harness: Harness, waiting: int) -> None:
    load = Load(running=8, waiting=waiting, slots=8)
    harness.directory.pools["engines"] = [
        make_view(f"engines-{number}", "engines", load=load) for number in range(3)
    ]


@pytest.mark.parametrize(
    ("waiting", "in_flight", "deadline_ms", "reason"),
    [
        (0, 0, 4_000, None),
        (60, 0, 4_000, None),
        (0, 20, 4_000, None),
        (60, 600, 4_000, Reason.OVERLOAD),
        (60, 600, 600_000, None),
        (0, 0, 100, Reason.DEADLINE),
    ],
)
def test_admission_depends_on_load_and_deadline(
    waiting: int, in_flight: int, deadline_ms: int, reason: Reason | None
) -> None:
    harness = Harness()
    harness.directory.set_deadline(600_000)
    record_stage_times(harness)
    set_engine_load(harness, waiting)
    for _ in range(in_flight):
        harness.submit("check")
    harness.pass_time(0.06)
    harness.submit("check", deadline_ms=deadline_ms, brand=OTHER_BRAND)
    answer = harness.find_answer(
        harness.submit("check", deadline_ms=deadline_ms, brand=OTHER_BRAND)
    )
    if reason is None:
        assert answer is None
    else:
        assert isinstance(answer, AnswerRefused)
        assert answer.fault.reason is reason
        assert 200 <= answer.retry_after_ms <= 5_000


def test_only_the_organisation_with_excess_requests_exceeds_its_share() -> None:
    document = Harness().directory.document
    shares = WeightedShares()
    within = {BRAND: 0, OTHER_BRAND: 0}
    for step in range(2_000):
        brand = OTHER_BRAND if step % 21 == 0 else BRAND
        now = step * 0.002
        shares.record_request(document, brand, now)
        if shares.is_within(document, brand, now):
            within[brand] += 1
            shares.record_admission(document, brand, now)
        elif step % 2:
            shares.record_admission(document, brand, now)
    assert within[OTHER_BRAND] == 96
    assert within[BRAND] < 1_000


def test_brand_within_its_share_is_admitted_while_another_exceeds_its_share() -> None:
    document = Harness().directory.document
    shares = WeightedShares()
    heavy, light = Brand("inka", "fast"), Brand("inka", "slow")
    refused = 0
    for step in range(2_000):
        now = step * 0.002
        brand = light if step % 50 == 0 else (OTHER_BRAND if step % 3 == 0 else heavy)
        shares.record_request(document, brand, now)
        if shares.is_within(document, brand, now):
            shares.record_admission(document, brand, now)
        elif brand == light:
            refused += 1
    assert refused == 0


@pytest.mark.parametrize("failure_share", [0.0, 0.1, 0.5, 1.0])
def test_retries_stay_under_a_tenth_of_first_attempts(failure_share: float) -> None:
    harness = Harness()
    for number in range(400):
        request = harness.submit("check")
        while harness.find_answer(request) is None:
            if (number * 7 % 10) / 10 < failure_share:
                harness.end_attempt(harness.last_dispatch, make_unknown())
            else:
                harness.complete(harness.last_dispatch)
            harness.pass_time(0.06)
    sent = harness.list_effects(Dispatch)
    first = len({(each.call.request, each.call.stage) for each in sent})
    assert len(sent) - first <= 0.1 * first + 3


def test_retry_budget_balance_is_capped() -> None:
    budget = SharedBudget(ratio=0.5, max_balance=2, initial_balance=0)
    for _ in range(100):
        budget.record_first_attempt()
    assert [budget.try_acquire() for _ in range(3)] == [True, True, False]
