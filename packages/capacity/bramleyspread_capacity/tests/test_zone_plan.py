"""Tests of the plan of which work goes to other availability zones."""

from __future__ import annotations

from collections import Counter, deque
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyspread_capacity import ZoneDemand, ZonePlan

AMOUNT = st.floats(0.0, 1e4)
#: Rounding errors of sums.
ROUNDING = 1e-6


@st.composite
def make_demands(draw: st.DrawFn) -> list[ZoneDemand]:
    """Draw the demand of up to ten zones."""
    number = draw(st.integers(1, 10))
    return [
        ZoneDemand(
            f"z{at}", draw(AMOUNT), draw(AMOUNT), draw(AMOUNT), draw(st.booleans())
        )
        for at in range(number)
    ]


def run_rounds(
    demands: list[ZoneDemand], crossing_s: float = 0.0, rounds: int = 12
) -> list[dict[tuple[str, str], float]]:
    """Update a plan with constant input; return the shares after each round."""
    plan = ZonePlan()
    shares = []
    for at in range(rounds):
        plan.update(demands, crossing_s, at * 0.25)
        known = plan.list_shares(at * 0.25)
        shares.append({(each.source, each.target): each.share for each in known})
    return shares


def sum_received(
    demands: list[ZoneDemand], shares: dict[tuple[str, str], float]
) -> Counter[str]:
    rates = {each.zone: each.rate for each in demands}
    received: Counter[str] = Counter()
    for (source, target), share in shares.items():
        received[target] += share * rates[source]  # type: ignore[assignment]
    return received


def sum_sent(demands: list[ZoneDemand], shares: dict[tuple[str, str], float]) -> float:
    return sum(sum_received(demands, shares).values())


# Guards against a zone that gets more than it has capacity for, and against work for a
# drained zone.
@given(make_demands(), st.floats(0.0, 10.0))
def test_no_zone_gets_more_than_it_has_to_spare(
    demands: list[ZoneDemand], crossing_s: float
) -> None:
    for shares in run_rounds(demands, crossing_s):
        received = sum_received(demands, shares)
        for each in demands:
            spare = 0.0 if each.is_drained else max(each.capacity - each.rate, 0.0)
            assert received[each.zone] <= spare * (1 + ROUNDING)


# Guards against work that crosses although its own zone could do it.
@given(make_demands(), st.floats(0.0, 10.0))
def test_zone_sends_only_what_exceeds_its_capacity(
    demands: list[ZoneDemand], crossing_s: float
) -> None:
    shares = run_rounds(demands, crossing_s)[-1]
    for each in demands:
        sent = sum(x for (source, _), x in shares.items() if source == each.zone)
        own = 0.0 if each.is_drained else each.capacity
        excess = max(each.rate + each.backlog - own, 0.0)
        assert sent * each.rate <= excess * (1 + ROUNDING)
        assert sent <= 1 + ROUNDING


# Guards against shares that swing although nothing changes.
@given(make_demands(), st.floats(0.0, 10.0))
def test_sum_of_changes_over_ten_rounds_of_constant_input_is_bounded(
    demands: list[ZoneDemand], crossing_s: float
) -> None:
    rounds = run_rounds(demands, crossing_s, rounds=16)[5:]
    for pair in rounds[-1].keys() | rounds[0].keys():
        values = [shares.get(pair, 0.0) for shares in rounds]
        changes = sum(abs(b - a) for a, b in zip(values, values[1:], strict=False))
        assert changes <= abs(values[-1] - values[0]) + ROUNDING


# Guards against a plan that keeps more work in a full zone when crossing gets cheaper.
@given(make_demands(), st.floats(0.0, 10.0), st.floats(0.0, 10.0))
def test_lower_cost_of_crossing_never_sends_less(
    demands: list[ZoneDemand], one_s: float, other_s: float
) -> None:
    cheaper = sum_sent(demands, run_rounds(demands, min(one_s, other_s))[-1])
    dearer = sum_sent(demands, run_rounds(demands, max(one_s, other_s))[-1])
    assert cheaper >= dearer * (1 - ROUNDING) - ROUNDING


@given(AMOUNT, AMOUNT, st.integers(1, 10))
def test_equal_zones_send_nothing(rate: float, capacity: float, number: int) -> None:
    demands = [ZoneDemand(f"z{at}", rate, capacity) for at in range(number)]
    assert not any(run_rounds(demands))


# Guards against two zones that send each other work at the same time.
@settings(max_examples=50)
@given(st.lists(st.tuples(AMOUNT, AMOUNT), min_size=2, max_size=20))
def test_zones_never_send_work_to_each_other(rates: list[tuple[float, float]]) -> None:
    plan = ZonePlan()
    for at, (one, other) in enumerate(rates):
        demands = [ZoneDemand("a", one, 5e3), ZoneDemand("b", other, 5e3)]
        plan.update(demands, 0.0, at * 0.25)
        assert len(plan.list_shares(at * 0.25)) <= 1


BURST = [ZoneDemand("a", 30.0, 10.0), ZoneDemand("b", 4.0, 10.0)]
CALM = [ZoneDemand("a", 5.0, 10.0), ZoneDemand("b", 4.0, 10.0)]


def settle(demands: list[ZoneDemand], until: float = 3.0) -> ZonePlan:
    plan = ZonePlan()
    for at in range(int(until / 0.25) + 1):
        plan.update(demands, 0.0, at * 0.25)
    return plan


# Guards against a new owner that plans with the demand of the few who have found it.
def test_new_plan_and_one_after_a_gap_send_nothing_at_first() -> None:
    plan = settle(BURST, 0.75)
    assert plan.choose("a", 1.0, 0.75) == "a"
    assert not plan.list_shares(0.75)
    plan = settle(BURST)
    assert plan.list_shares(3.0)
    assert not plan.list_shares(5.1)
    plan.update(BURST, 0.0, 5.5)
    assert not plan.list_shares(6.0)


# Guards against a receiver that goes on to get work after it has filled up or is cut
# off, or is drained.
@pytest.mark.parametrize(
    "receiver",
    [
        ZoneDemand("b", 9.5, 10.0),
        ZoneDemand("b", 4.0, 10.0, backlog=30.0),
        ZoneDemand("b", 4.0, 0.0),
        ZoneDemand("b", 4.0, 10.0, is_drained=True),
    ],
)
def test_receiver_without_room_gets_nothing_from_the_next_round_on(
    receiver: ZoneDemand,
) -> None:
    plan = settle(BURST)
    plan.update([BURST[0], receiver], 0.0, 3.25)
    assert not [x for x in plan.list_shares(3.25) if x.target == "b"]


def test_work_stays_at_home_as_soon_as_its_zone_has_capacity_again() -> None:
    plan = settle(BURST)
    plan.update(CALM, 0.0, 3.25)
    assert not plan.list_shares(3.25)
    assert {plan.choose("a", 1.0, 3.25) for _ in range(20)} == {"a"}


# Guards against work that is kept in a drained zone, which can't do it.
def test_all_work_of_a_drained_zone_goes_elsewhere() -> None:
    drained = [ZoneDemand("a", 5.0, 10.0, is_drained=True), ZoneDemand("b", 2.0, 10.0)]
    plan = settle(drained, 8.0)
    chosen = Counter(plan.choose("a", 1.0, 8.0) for _ in range(100))
    assert chosen["b"] >= 99


def test_chosen_zones_follow_the_shares_for_work_of_any_size() -> None:
    plan = settle(BURST, 8.0)
    (share,) = plan.list_shares(8.0)
    rng = Random(1)
    sent: Counter[str] = Counter()
    for _ in range(2_000):
        work = rng.choice((1.0, 8.0, 40.0))
        sent[plan.choose("a", work, 8.0)] += work  # type: ignore[assignment]
    assert sent["b"] / sent.total() == pytest.approx(share.share, abs=0.01)


# Guards against a plan that swings, or fills the receiver, when what it knows is 2 s
# old.
def test_plan_with_information_that_is_two_seconds_old_settles() -> None:
    plan = ZonePlan()
    known = deque([BURST], maxlen=9)
    backlog = {"a": 0.0, "b": 0.0}
    shares, waiting = [], []
    for at in range(120):
        now = at * 0.25
        plan.update(known[0], 0.0, now)
        share = sum(each.share for each in plan.list_shares(now))
        shares.append(share)
        arrivals = {"a": 14.0 * (1 - share), "b": 4.0 + 14.0 * share}
        for zone, rate in arrivals.items():
            backlog[zone] = max(backlog[zone] + (rate - 10.0) * 0.25, 0.0)
        waiting.append(backlog["b"])
        known.append(
            [
                ZoneDemand("a", 14.0, 10.0, backlog["a"]),
                ZoneDemand("b", 4.0, 10.0, backlog["b"]),
            ]
        )
    changes = [abs(b - a) for a, b in zip(shares[60:], shares[61:], strict=False)]
    assert sum(changes) < 0.2
    assert max(waiting) < 2.5
    assert max(backlog.values()) < 10.0
