"""Tests of the choice of an engine for a request."""

from __future__ import annotations

import random
from collections import Counter

from bramleyspread_core import EngineLimits, decode_json, encode_json
from bramleyspread_forwarding import (
    NoTarget,
    Placed,
    Placement,
    PlaceQuery,
    PlaceStep,
    TargetLoad,
    find_preferred_engine,
)
from bramleyspread_forwarding.tests.builders import make_prompt, make_targets

ENGINES = make_targets(9, slots=64)
LIMITS = EngineLimits(slots=64, memory_tokens=326_040)


def make_placement() -> Placement:
    return Placement(random.Random(1))


def query(*shared: str, **changes: object) -> PlaceQuery:
    fields: dict[str, object] = {
        "service": "llm",
        "zone": "z0",
        "prompt": make_prompt(*shared),
        "slack_ms": 1_000.0,
        **changes,
    }
    return PlaceQuery(**fields)  # type: ignore[arg-type]


def place(placement: Placement, place_query: PlaceQuery, now: float = 0.0) -> Placed:
    placed = placement.choose(place_query, ENGINES, LIMITS, now)
    assert isinstance(placed, Placed)
    return placed


def test_prompts_with_the_same_parts_go_to_one_engine_that_meets_their_goal() -> None:
    placement = make_placement()
    chosen = set()
    for index in range(20):
        placed = place(placement, query("top", "sub"), index * 0.4)
        chosen.add(placed.target.target)
        step = PlaceStep(ticket=placed.ticket, target=placed.target.target, ended=True)
        placement.record_step(step, index * 0.4)
    preferred = find_preferred_engine(make_prompt("top", "sub"), ENGINES)
    assert preferred is not None
    assert chosen == {preferred.target}


def test_burst_of_one_prompt_is_spread_over_engines() -> None:
    placement = make_placement()
    placed = [place(placement, query("top", "sub")) for _ in range(27)]
    requests_by_engine = [sum(x.target == target for x in placed) for target in ENGINES]
    assert max(requests_by_engine) <= 6


def test_prompts_with_the_same_first_part_share_few_engines() -> None:
    engines = {
        find_preferred_engine(make_prompt("top", f"sub{index}"), ENGINES)
        for index in range(200)
    }
    assert len(engines) == 3


def test_failed_target_is_used_again_after_its_backoff() -> None:
    placement = make_placement()
    first = place(placement, query("top", "sub"))
    failed = PlaceStep(
        ticket=first.ticket, target=first.target.target, ended=True, good=False
    )
    placement.record_step(failed, 0.0)
    assert place(placement, query("top", "sub"), 0.5).target != first.target
    assert place(placement, query("top", "sub"), 9.5).target == first.target


# Guards against an overflow of the backoff, which ended each further request with an
# internal error once a target had failed 1,024 times in a row.
def test_target_that_failed_thousands_of_times_in_a_row_is_used_again() -> None:
    placement = make_placement()
    first = place(placement, query("top", "sub"))
    for _ in range(5_000):
        failed = PlaceStep(ticket=0, target=first.target.target, good=False)
        placement.record_step(failed, 0.0)
    assert place(placement, query("top", "sub"), 0.5).target != first.target
    assert place(placement, query("top", "sub"), 9.5).target == first.target


def test_target_that_reports_waiting_requests_gets_no_more() -> None:
    placement = make_placement()
    preferred = place(placement, query("top", "sub")).target
    load = TargetLoad(running=64, waiting=40, slots=64)
    placement.record_step(PlaceStep(ticket=0, target=preferred.target, load=load), 0.0)
    assert place(placement, query("top", "sub")).target != preferred


# Guards against targets that report a slowdown, but get as many requests as others.
def test_target_that_reports_a_slowdown_gets_less_at_once() -> None:
    placement = make_placement()
    load = TargetLoad(0, 0, 64, slowdown=1.3)
    placement.record_step(PlaceStep(ticket=0, target="t0", load=load), 0.0)
    own = [query(prompt=make_prompt(tokens_in=3_000)) for _ in range(90)]
    chosen = Counter(place(placement, each, 0.1).target.target for each in own)
    usual = (90 - chosen["t0"]) / 8
    assert 0 < chosen["t0"] < usual / 1.2


# Guards against targets that get nothing for ever, since only answers carry reports.
def test_slowdown_that_is_no_longer_reported_expires() -> None:
    placement = make_placement()
    load = TargetLoad(0, 0, 64, slowdown=10.0)
    placement.record_step(PlaceStep(ticket=0, target="t0", load=load), 0.0)
    placed = [place(placement, query(prompt=None), at) for at in [1.0] * 9]
    assert "t0" not in {each.target.target for each in placed}
    placed = [place(placement, query(prompt=None), at) for at in [6.0] * 9]
    assert "t0" in {each.target.target for each in placed}


# Guards against hosts of earlier builds that can't read messages, or can't be read.
def test_messages_without_the_new_fields_are_those_of_earlier_builds() -> None:
    load = b'{"running":1,"waiting":2,"slots":3}'
    assert encode_json(TargetLoad(1, 2, 3)) == load
    assert decode_json(load, TargetLoad) == TargetLoad(1, 2, 3)
    step = PlaceStep(ticket=1, target="t", began=True)
    assert encode_json(step) == b'{"ticket":1,"target":"t","began":true}'
    placed = Placed(1, ENGINES[0])
    assert b"reading_ahead" not in encode_json(placed)
    assert decode_json(encode_json(placed), Placed).tokens_ahead < 0


# Guards against a message of a faulty host that makes a target look infinitely fast.
def test_slowdown_of_another_host_is_bounded() -> None:
    placement = make_placement()
    load = TargetLoad(0, 0, 64, slowdown=-1e9)
    placement.record_step(PlaceStep(ticket=0, target="t0", load=load), 0.0)
    own = [query(prompt=make_prompt(tokens_in=3_000)) for _ in range(90)]
    chosen = Counter(place(placement, each, 0.1).target.target for each in own)
    assert len(chosen) == 9


def test_large_prompts_go_to_engines_with_free_memory() -> None:
    placement = make_placement()
    large = make_prompt(tokens_in=150_000)
    chosen = [place(placement, query(prompt=large)).target for _ in range(9)]
    assert len(set(chosen)) == 9


def test_prompt_larger_than_engine_memory_gets_no_target() -> None:
    huge = query(prompt=make_prompt(tokens_in=400_000))
    assert isinstance(make_placement().choose(huge, ENGINES, LIMITS, 0.0), NoTarget)


def test_no_target_when_all_were_tried_or_none_exists() -> None:
    placement = make_placement()
    tried = tuple(each.target for each in ENGINES)
    assert isinstance(
        placement.choose(query(tried=tried), ENGINES, LIMITS, 0.0), NoTarget
    )
    assert isinstance(placement.choose(query(), (), LIMITS, 0.0), NoTarget)


def test_reservations_without_reported_end_expire() -> None:
    placement = make_placement()
    for _ in range(200):
        place(placement, query("top", "sub"))
    placement.expire(100.0)
    preferred = find_preferred_engine(make_prompt("top", "sub"), ENGINES)
    assert place(placement, query("top", "sub"), 100.0).target == preferred
