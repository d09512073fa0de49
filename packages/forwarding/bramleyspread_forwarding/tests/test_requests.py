"""Tests of routes, API keys, the retry budget and outcomes."""

from __future__ import annotations

import math

import pytest

from bramleyspread_core import (
    Deployment,
    ForwardRoute,
    OrganisationKeys,
    RequestKind,
    ServiceShare,
)
from bramleyspread_forwarding import (
    AttemptEnd,
    Delivered,
    KeyRing,
    KeysUnconfirmed,
    KeyUnknown,
    MayHaveRun,
    RetryBudget,
    RouteTable,
    TargetFailed,
    WasNotRun,
    may_retry,
)


def make_route(prefix: str = "/a/", **changes: object) -> ForwardRoute:
    fields: dict[str, object] = {
        "name": f"route {prefix}",
        "host": "One.example",
        "prefix": prefix,
        "kind": RequestKind.IDEMPOTENT,
        "timeout_ms": 1_000,
        "aim_ms": 100.0,
        "shares": (ServiceShare("photos", 1.0),),
        "attempts": 2,
        **changes,
    }
    return ForwardRoute(**fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("one.example", "/a/x", "/a/"),
        ("one.example:80", "/a/b/x", "/a/b/"),
        ("ONE.EXAMPLE", "/a/b", "/a/"),
        ("one.example", "/b/", None),
        ("two.example", "/a/x", None),
        ("", "/a/x", None),
    ],
)
def test_route_with_longest_prefix_of_the_host_is_found(
    host: str, path: str, prefix: str | None
) -> None:
    routes = (make_route("/a/"), make_route("/a/b/"))
    table = RouteTable(Deployment(version=1, routes=routes))
    found = table.find_route(host, path)
    assert (found.prefix if found else None) == prefix


def rank_all(*holder_priorities: int | None) -> list[tuple[int, str]]:
    """Rank three kinds of request of some organisations."""
    routes = tuple(make_route(f"/{x}/", priority=x) for x in (0, 1, 2))
    holders = tuple(
        OrganisationKeys(name=f"org-{each}", keys=(f"key-{each}",), priority=each)
        for each in holder_priorities
    )
    table = RouteTable(Deployment(version=1, routes=routes, holders=holders))
    return sorted(
        (table.rank_urgency(route, holder), f"{holder}:{route.priority}")
        for route in routes
        for holder in holder_priorities
    )


# Guards against urgent kinds of request served after others: the priority of their
# organisations, the same for all, took the place of the routes'.
def test_routes_decide_among_organisations_of_the_same_priority() -> None:
    assert rank_all(1) == [(0, "1:0"), (1, "1:1"), (2, "1:2")]


def test_organisations_go_before_routes() -> None:
    names = [name for _, name in rank_all(4, 0)]
    assert names == ["0:0", "0:1", "0:2", "4:0", "4:1", "4:2"]


def test_organisations_without_priority_rank_with_the_least_urgent() -> None:
    assert [rank for rank, _ in rank_all(1, None)] == [0, 0, 1, 1, 2, 2]
    assert [rank for rank, _ in rank_all(None)] == [0, 1, 2]


def test_service_choice_is_stable_per_request_and_follows_weights() -> None:
    shares = (ServiceShare("a", 90.0), ServiceShare("b", 10.0), ServiceShare("c", 0.0))
    route = make_route(shares=shares)
    table = RouteTable(Deployment(version=1, routes=(route,)))
    chosen = [table.choose_service(route, f"r{index}") for index in range(2_000)]
    assert chosen == [
        table.choose_service(route, f"r{index}") for index in range(2_000)
    ]
    assert 1_700 < chosen.count("a") < 1_900
    assert chosen.count("c") == 0


def test_keys_are_trusted_only_while_the_document_is_confirmed() -> None:
    ring = KeyRing(trusted_s=3.0)
    holder = OrganisationKeys(name="inka", keys=("k1",))
    ring.apply(Deployment(version=1, holders=(holder,)))
    assert isinstance(ring.find_holder("k1", 0.0), KeysUnconfirmed)
    ring.confirm(10.0)
    assert ring.find_holder("k1", 13.0) == holder
    assert isinstance(ring.find_holder("k2", 13.0), KeyUnknown)
    assert isinstance(ring.find_holder(None, 13.0), KeyUnknown)
    assert isinstance(ring.find_holder("k1", 13.1), KeysUnconfirmed)
    ring.confirm(9.0)
    assert isinstance(ring.find_holder("k1", 13.1), KeysUnconfirmed)


def test_no_key_is_required_when_the_document_has_none() -> None:
    ring = KeyRing(trusted_s=math.inf)
    ring.apply(Deployment(version=1))
    assert ring.find_holder(None, 0.0) is None


def test_retries_of_all_hosts_stay_within_the_budget_in_any_window() -> None:
    hosts = [
        RetryBudget(ratio=0.2, fixed_retries=56.0, window_s=10.0) for _ in range(8)
    ]
    retries: list[float] = []
    first_attempts: list[float] = []
    for step in range(3_000):
        now = step * 0.01
        host = hosts[step % 8]
        host.record_first_attempt(now)
        first_attempts.append(now)
        if host.try_acquire(now, hosts=8):
            retries.append(now)
    for window_start in range(25):
        retries_in_window = [
            x for x in retries if window_start <= x <= window_start + 10
        ]
        first_in_window = [
            x for x in first_attempts if window_start <= x <= window_start + 10
        ]
        assert len(retries_in_window) <= 0.2 * len(first_in_window) + 56


OUTCOMES: list[tuple[AttemptEnd, bool, bool]] = [
    # outcome, retry on a repeatable route, retry on another route
    (Delivered(), False, False),
    (WasNotRun("full"), True, True),
    (MayHaveRun("reset"), True, False),
    (TargetFailed(500, (), b""), True, False),
]


@pytest.mark.parametrize(("end", "repeatable", "unrepeatable"), OUTCOMES)
def test_retry_depends_on_outcome_and_route(
    end: AttemptEnd, repeatable: bool, unrepeatable: bool
) -> None:
    non_idempotent = make_route(kind=RequestKind.NON_IDEMPOTENT)
    unresumable = make_route(kind=RequestKind.STREAM)
    resumable = make_route(kind=RequestKind.STREAM, resumable=True)
    assert may_retry(make_route(), end, 1) is repeatable
    assert may_retry(resumable, end, 1) is repeatable
    assert may_retry(non_idempotent, end, 1) is unrepeatable
    assert may_retry(unresumable, end, 1) is unrepeatable
    assert not may_retry(make_route(), end, 2)
