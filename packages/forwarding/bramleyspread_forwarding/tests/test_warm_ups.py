"""Warm-ups by reports in any order, and the shares of their rates."""

from __future__ import annotations

import math
from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyspread_core import Address
from bramleyspread_forwarding import (
    ControlContact,
    ForwardTarget,
    ResponseSignals,
    SignalTable,
    TargetAccess,
    WarmUpBound,
    WarmUpReport,
    WarmUps,
    WarmUpShares,
)
from bramleyspread_forwarding.tests.builders import make_notice

RATE = 16.0
TARGET = ForwardTarget("t", Address("10.0.0.1", 8000), "z0", 1, born=5)
OTHER = ForwardTarget("u", Address("10.0.0.2", 8000), "z0", 1, born=5)


def make_table() -> SignalTable:
    return SignalTable(warm_ups=WarmUps(lambda service: RATE))


def is_warming(table: SignalTable, now: float) -> bool:
    table.warm_ups.pop_ended(now)
    return table.is_limited(TARGET)


def warm(left_s: float) -> ResponseSignals:
    return ResponseSignals(warm_up_s=left_s)


# Guards against a page with an older heartbeat that ends the warm-up which a response
# has named since, or prolongs one that has ended.
def test_newer_report_of_the_same_process_holds() -> None:
    table = make_table()
    table.record_heartbeat(make_notice(born=5, warm_up_left_ms=0.0), 10.0)
    table.record(TARGET, warm(3.0), 10.1, 10.2)
    table.record_heartbeat(make_notice(born=5, warm_up_left_ms=0.0, sequence=2), 10.3)
    assert is_warming(table, 13.1)
    table.record(TARGET, warm(0.0), 13.2, 13.3)
    assert not is_warming(table, 13.3)
    beat = make_notice(born=5, warm_up_left_ms=100.0, sequence=1)
    table.record_heartbeat(beat, 13.3)
    assert not is_warming(table, 13.3)


# Guards against the warm-up of a former process that is taken for one of the next.
def test_report_belongs_to_one_start_of_the_target() -> None:
    table = make_table()
    table.record_heartbeat(make_notice(born=4, warm_up_left_ms=9_000.0), 10.0)
    assert not is_warming(table, 10.0)
    table.record_heartbeat(make_notice(born=5, warm_up_left_ms=3_000.0), 10.1)
    assert is_warming(table, 12.9)
    table.record_heartbeat(make_notice(born=4, sequence=9), 13.0)
    assert is_warming(table, 13.0)
    assert not is_warming(table, 13.7)


@given(
    reports=st.lists(
        st.builds(
            lambda left, after, took: WarmUpReport(
                after + took + left, after, after + took
            ),
            st.floats(0, 5),
            st.floats(0, 10),
            st.floats(0, 2),
        ),
        min_size=3,
        max_size=3,
    )
)
def test_end_is_not_before_that_of_the_newest_report(
    reports: list[WarmUpReport],
) -> None:
    last = max(reports, key=lambda each: (each.said_after, each.said_before))
    others = [each for each in reports if each is not last]
    for first, second, third in permutations(reports):
        merged = first.merge(second).merge(third)
        assert merged.ends_at >= last.ends_at
        if all(x.said_before < last.said_after for x in others):
            assert merged == last


# Guards against owners that hand out a target at its full rate, since only the asking
# host has heard of the warm-up.
def test_warm_ups_are_told_to_other_hosts() -> None:
    asker, owner = make_table(), make_table()
    asker.record_heartbeat(make_notice(born=5, warm_up_left_ms=3_000.0), 10.0)
    # Control hosts tell all hosts; so many messages to one owner would fill its link.
    assert asker.list_news(0, 10.1) == (0, ())
    owner.record_heartbeat(make_notice(born=4), 9.0)
    assert asker.tell_warm_up(TARGET, owner.share_limit(TARGET, 50.0), 10.1)
    _, news = asker.list_news(0, 10.1)
    for each in news:
        owner.apply(each, 50.0)
    shared = owner.share_limit(TARGET, 51.0)
    assert shared is not None
    assert 2_000 <= shared.warm_up_left_ms <= 2_500
    assert not asker.tell_warm_up(TARGET, shared, 10.1)
    assert not asker.tell_warm_up(TARGET, None, 12.6)
    assert is_warming(owner, 52.9)
    assert not is_warming(owner, 53.7)


# Guards against hosts that all rush to a target which has crashed and is back, before
# its first heartbeat names a warm-up.
def test_target_that_has_crashed_counts_as_warming_until_it_is_heard() -> None:
    table = make_table()
    table.record_heartbeat(make_notice(born=5, sequence=7), 10.0)
    table.record_crash("t", 4, 10.5)
    assert not is_warming(table, 10.5)
    table.record_crash("t", 5, 11.0)
    assert is_warming(table, 20.9)
    table.record_crash("t", 5, 20.9)
    assert not is_warming(table, 21.0)
    table.record_heartbeat(make_notice(born=6, warm_up_left_ms=3_000.0), 21.0)
    assert is_warming(table, 24.0)
    assert not is_warming(table, 24.5)


# Guards against a limit that the target names and that a warm-up hides, or the other
# way round.
@pytest.mark.parametrize(("named", "expected"), [(2.0, 2.0), (100.0, RATE)])
def test_smaller_limit_holds(named: float, expected: float) -> None:
    table = make_table()
    access = TargetAccess(table)
    table.record(TARGET, ResponseSignals(rate_limit=named, warm_up_s=3.0), 9.9, 10.0)
    table.record_heartbeat(make_notice(born=5, warm_up_left_ms=3_000.0), 10.0)
    assert table.find_rate_limit(TARGET) == expected
    assert table.is_restricted(TARGET)
    assert access.find_rate(TARGET, 0.5, 10.0) == expected * 0.5
    assert access.find_rate(OTHER, 0.5, 10.0) == math.inf
    table.warm_ups.pop_ended(14.0)
    assert table.find_rate_limit(TARGET) == named


# Guards against warm-ups that change decisions where the document doesn't limit them.
def test_warm_up_limits_nothing_unless_the_document_says_so() -> None:
    table = SignalTable(warm_ups=WarmUps(lambda service: math.inf))
    table.record_heartbeat(make_notice(born=5, warm_up_left_ms=3_000.0), 10.0)
    assert not table.is_restricted(TARGET)
    assert TargetAccess(table).find_wait_s(TARGET, 0.0, 10.0) == 0.0


# Guards against a bound that several hosts exceed together: two sides of a partition
# with an owner each, a former owner, and two stand-ins on each side, all in use.
@pytest.mark.parametrize("rate", [2.0, 16.0, 40.0])
@pytest.mark.parametrize(("overage", "slack"), [(1.5, 5.0), (1.2, 8.0), (2.0, 5.0)])
def test_all_who_may_count_stay_within_the_bound(
    rate: float, overage: float, slack: float
) -> None:
    bound, lost = WarmUpBound(overage, slack), ControlContact()
    sent: list[float] = []
    for share, contact, hosts in (
        (0.9, None, 1),
        (0.25, None, 2),
        (0.9, lost, 2),
        (0.25, lost, 4),
    ):
        for number in range(hosts):
            table = SignalTable(warm_ups=WarmUps(lambda service: rate))
            beat = make_notice(born=5, warm_up_left_ms=60_000.0)
            table.record_heartbeat(beat, 10.0)
            access = TargetAccess(table, WarmUpShares(bound, contact))
            for step in range(1_000):
                now = 10.0 + 0.037 * number + 0.01 * step
                while access.is_ready(TARGET, share, now):
                    access.acquire(TARGET, share, now)
                    sent.append(now)
    most = max(sum(at <= x < at + 1.0 for x in sent) for at in sent)
    assert most <= bound.count_allowed(rate)


# Guards against an owner that was replaced while it heard nothing, and uses the full
# share when it hears control hosts again.
def test_owner_out_of_contact_uses_a_smaller_share() -> None:
    contact, control = ControlContact(), Address("10.0.0.9", 1)
    shares = WarmUpShares(WarmUpBound(1.5, 5.0), contact)
    now = 0.0

    def hear(seconds: float) -> float:
        nonlocal now
        for _ in range(round(seconds / 0.4)):
            now += 0.4
            contact.record(control, (control,), now)
        return shares.convert(0.9, now)

    assert hear(1.2) < 0.5
    assert hear(4.0) > 0.8
    now += 1.25
    assert shares.convert(0.9, now) < 0.5
    assert hear(1.2) < 0.5
    assert hear(2.0) > 0.8
    others = (control, Address("10.0.0.8", 1), Address("10.0.0.7", 1))
    contact.record(control, others, now)
    assert shares.convert(0.9, now) < 0.5
