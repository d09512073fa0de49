"""Requests served from stage services whose capacity is exceeded for some seconds."""

from __future__ import annotations

import hashlib
from collections import Counter

import pytest

from bramleyspread_forwarding.tests.overload_loads import BURSTS
from bramleyspread_forwarding.tests.overload_site import Caller, OverloadSite

#: Digest of all calls of a burst before shares were introduced.
PRIORITY_DIGEST = "a4f2344129fac8a0910c85d976ebb3a60635d7d045182c739a336215b66e6269"


def run_burst(name: str, *, is_fair: bool) -> OverloadSite:
    load, burst = BURSTS[name]
    site = OverloadSite(load, burst, is_fair=is_fair)
    site.run()
    return site


def find_timely_shares(callers: list[Caller]) -> dict[str, float]:
    """Find the share of callers that were served on time, by kind."""
    sent = Counter(each.kind.name for each in callers)
    timely = Counter(x.kind.name for x in callers if x.outcome == "on time")
    return {name: timely[name] / number for name, number in sent.items()}


# Guards against a driver whose load is not that of a calm day, and against refusals
# while there is capacity for all.
@pytest.mark.parametrize("is_fair", [False, True])
def test_all_requests_are_on_time_in_a_calm_period(is_fair: bool) -> None:
    site = run_burst("1 calm", is_fair=is_fair)
    assert {each.outcome for each in site.callers} == {"on time"}


# Guards against a change of what deployments get that don't set ``overload: fair``.
def test_decisions_by_priority_are_unchanged() -> None:
    site = run_burst("1 medium x 3", is_fair=False)
    assert hashlib.sha256(repr(site.calls).encode()).hexdigest() == PRIORITY_DIGEST


# Guards against the least urgent kind yielding to all others: it got .01.
def test_no_kind_falls_below_a_quarter_of_the_average_share() -> None:
    site = run_burst("1 medium x 3", is_fair=True)
    callers = site.list_burst_callers()
    shares = find_timely_shares(callers)
    average = sum(x.outcome == "on time" for x in callers) / len(callers)
    assert min(shares.values()) > average / 4
    assert shares["medium"] >= shares["small"]


# Guards against starvation by what a request needs: jobs of many pieces find storage
# later than small ones, and zones have different numbers of requests and targets.
def test_no_size_and_no_zone_falls_below_a_quarter_of_the_average_share() -> None:
    callers = run_burst(
        "1 all x 2.1, A lost, crowded zone", is_fair=True
    ).list_burst_callers()
    large = sorted(
        (x for x in callers if x.kind.name == "long"), key=lambda x: x.pieces
    )
    tenth, fifth = len(large) // 10, len(large) // 5
    groups = [large[-tenth:], large[-tenth - fifth : -tenth]]
    groups += [[x for x in callers if x.zone == zone] for zone in ("z0", "z1", "z2")]
    shares = [sum(x.outcome == "on time" for x in each) / len(each) for each in groups]
    average = sum(x.outcome == "on time" for x in callers) / len(callers)
    assert min(shares) > average / 4


# Guards against work on requests that are refused later, and against refusals only
# after 1.7 s: both stages that follow the first one are full here.
def test_requests_are_refused_before_their_first_piece_if_later_stages_are_full() -> (
    None
):
    site = run_burst("1 medium x 3", is_fair=True)
    assert sum(site.waited_s) / len(site.waited_s) < 0.2
    busy_s = sum(each.busy_s for each in site.shards)
    assert site.wasted_s < 0.02 * busy_s
