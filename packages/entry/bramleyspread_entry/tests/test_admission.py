"""Taking requests on: load, time, shares, and the budget for retries."""

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

OTHER = Brand("lima", "one")


def teach(harness: Harness, seconds: float = 0.3) -> None:
    """Have the host learn what its stages take."""
    for _ in range(10):
        harness.submit("check")
        for _ in range(2):
            harness.pass_time(seconds)
            harness.complete(harness.last_dispatch, us=round(seconds * 1e6))


def load_engines(harness: Harness, waiting: int) -> None:
    load = Load(running=8, waiting=waiting, slots=8)
    harness.directory.pools["engines"] = [
        make_view(f"engines-{number}", "engines", load=load) for number in range(3)
    ]


@pytest.mark.parametrize(
    ("waiting", "held", "deadline_ms", "reason"),
    [
        (0, 0, 4_000, None),
        (60, 0, 4_000, None),
        (0, 20, 4_000, None),
        (60, 600, 4_000, Reason.OVERLOAD),
        (60, 600, 600_000, None),
        (0, 0, 100, Reason.DEADLINE),
    ],
)
def test_what_cannot_finish_is_refused_at_once(
    waiting: int, held: int, deadline_ms: int, reason: Reason | None
) -> None:
    harness = Harness()
    harness.directory.set_deadline(600_000)
    teach(harness)
    load_engines(harness, waiting)
    for _ in range(held):
        harness.submit("check")
    harness.pass_time(0.06)
    harness.submit("check", deadline_ms=deadline_ms, brand=OTHER)
    answer = harness.answer(
        harness.submit("check", deadline_ms=deadline_ms, brand=OTHER)
    )
    if reason is None:
        assert answer is None
    else:
        assert isinstance(answer, AnswerRefused)
        assert answer.fault.reason is reason
        assert 200 <= answer.retry_after_ms <= 5_000


def test_a_greedy_organisation_is_beyond_its_share_and_others_are_not() -> None:
    document = Harness().directory.document
    shares = WeightedShares()
    within = {BRAND: 0, OTHER: 0}
    for step in range(2_000):
        brand = OTHER if step % 21 == 0 else BRAND
        now = step * 0.002
        shares.record_request(document, brand, now)
        if shares.is_within(document, brand, now):
            within[brand] += 1
            shares.record_admission(document, brand, now)
        elif step % 2:
            shares.record_admission(document, brand, now)
    assert within[OTHER] == 96
    assert within[BRAND] < 1_000


def test_a_brand_within_its_part_is_served_beside_a_greedy_one() -> None:
    document = Harness().directory.document
    shares = WeightedShares()
    greedy, modest = Brand("inka", "fast"), Brand("inka", "slow")
    refused = 0
    for step in range(2_000):
        now = step * 0.002
        brand = modest if step % 50 == 0 else (OTHER if step % 3 == 0 else greedy)
        shares.record_request(document, brand, now)
        if shares.is_within(document, brand, now):
            shares.record_admission(document, brand, now)
        elif brand == modest:
            refused += 1
    assert refused == 0


@pytest.mark.parametrize("failing", [0.0, 0.1, 0.5, 1.0])
def test_added_attempts_stay_under_a_tenth(failing: float) -> None:
    harness = Harness()
    for number in range(400):
        request = harness.submit("check")
        while harness.answer(request) is None:
            if (number * 7 % 10) / 10 < failing:
                harness.end_attempt(harness.last_dispatch, make_unknown())
            else:
                harness.complete(harness.last_dispatch)
            harness.pass_time(0.06)
    sent = harness.list_effects(Dispatch)
    first = len({(each.call.request, each.call.stage) for each in sent})
    assert len(sent) - first <= 0.1 * first + 3


def test_the_budget_saves_up_to_a_bound() -> None:
    budget = SharedBudget(ratio=0.5, max_balance=2, initial_balance=0)
    for _ in range(100):
        budget.earn()
    assert [budget.spend() for _ in range(3)] == [True, True, False]
