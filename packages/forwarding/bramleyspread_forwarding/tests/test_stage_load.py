"""Shares of a stage service for each priority, and what hosts are told of them."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyspread_core import decode_json, encode_json
from bramleyspread_forwarding import (
    AdmittedRequest,
    Batcher,
    PieceFault,
    PieceResult,
    PieceResults,
    RefusedRequest,
    ShardId,
    StageAdmission,
    StageLoad,
    find_return_s,
)
from bramleyspread_forwarding._fair_shares import divide_capacity
from bramleyspread_forwarding._stage_load import MIN_ADMITTED, LoadMeter
from bramleyspread_forwarding.tests.builders import (
    LIMITS,
    make_job,
    make_results,
    make_targets,
)

TARGETS = make_targets(3)
SHARD = ShardId("photos", 0)
DEMAND = st.dictionaries(st.integers(0, 40), st.floats(0.01, 1e4), min_size=1)


@given(DEMAND, st.floats(0.0, 3.0))
def test_capacity_is_divided_nearly_in_proportion_to_demand(
    demand: dict[int, float], load: float
) -> None:
    total = sum(demand.values())
    capacity = total * load
    shares = divide_capacity(demand, capacity)
    granted = sum(shares[each] * demand[each] for each in demand)
    assert granted == pytest.approx(min(capacity, total))
    in_order = [shares[each] for each in sorted(shares)]
    assert in_order == sorted(in_order, reverse=True)
    assert min(in_order) >= granted / total / 4


def fill(
    meter: LoadMeter, until: float, pieces: dict[int, int], now: float = 0.0
) -> float:
    """Offer pieces each 50 ms; return when the last ones were offered."""
    while now < until:
        now += 0.05
        for priority, number in pieces.items():
            meter.record_demand(priority, number, 1.0, now)
        # The targets process 100 pieces a second, and as many are added.
        for _ in range(5):
            meter.record_added(0, 1)
            meter.record_started(0)
        meter.sample(meter.timely, 7, now)
    return now


def test_hosts_are_told_to_admit_what_the_capacity_carries() -> None:
    meter = LoadMeter()
    meter.nominal_rate = 100.0
    now = fill(meter, 3.0, {0: 5, 1: 5})
    # Nothing is refused without a backlog: averages over short times vary.
    assert meter.load.admitted == {}
    assert meter.load.ends_in_ms == 0
    meter.record_added(0, 25)
    fill(meter, 6.0, {0: 5, 1: 5}, now)
    assert 40 < meter.load.admitted[1] < meter.load.admitted[0] < 60
    assert meter.load.ends_in_ms >= 2_000


# Guards against a service that gets no work any more: its batching host was suspended,
# and seemed to have processed nothing in the meantime.
def test_suspension_does_not_count_as_lost_capacity() -> None:
    meter = LoadMeter()
    meter.nominal_rate = 100.0
    meter.record_added(0, 50)
    now = fill(meter, 0.2, {0: 1})
    before = meter.capacity
    meter.sample(meter.timely, 7, now + 10.0)
    assert meter.capacity == before


# Guards against memory that hosts of other builds, or faulty ones, could fill.
def test_priorities_without_demand_are_forgotten() -> None:
    meter = LoadMeter()
    meter.nominal_rate = 100.0
    for priority in range(500):
        meter.record_demand(priority, 1, 1e300, 0.0)
    meter.sample(meter.timely, 7, 30.0)
    meter.record_demand(3, 1, 1.0, 30.0)
    assert meter.find_guaranteed_rate(3, 30.0) == meter.capacity


def count_admitted(admission: StageAdmission, services: list[str], now: float) -> int:
    answers = [admission.decide(services, 1, f"r{x}", now) for x in range(2_000)]
    return sum(isinstance(each, AdmittedRequest) for each in answers)


def test_hosts_admit_the_share_they_were_told_until_it_is_out_of_date() -> None:
    admission = StageAdmission()
    admission.record(SHARD, StageLoad({1: 40}, 800, 2_000), 0.0)
    admission.record(ShardId("photos", 1), StageLoad({1: 60}), 0.0)
    assert 900 < count_admitted(admission, ["photos"], 0.0) < 1_100
    assert 1_400 < count_admitted(admission, ["photos"], 0.5) < 1_600
    assert count_admitted(admission, ["photos"], 9.0) == 2_000
    assert count_admitted(admission, ["mail"], 0.0) == 2_000
    admission.record(SHARD, StageLoad(), 0.1)
    admission.record(ShardId("photos", 1), StageLoad(), 0.1)
    assert count_admitted(admission, ["photos"], 0.1) == 2_000


# Guards against a share that swings: a service whose demand is refused elsewhere would
# see none, and would tell hosts to admit everything.
def test_admitted_requests_stand_for_those_refused_for_the_sake_of_a_service() -> None:
    admission = StageAdmission()
    admission.record(SHARD, StageLoad({1: 50}), 0.0)
    admission.record(ShardId("mail", 0), StageLoad({1: 80}), 0.0)
    seen = {"photos": 0.0, "mail": 0.0}
    for number in range(2_000):
        answer = admission.decide(seen, 1, f"r{number}", 0.0)
        if isinstance(answer, AdmittedRequest):
            for service, weight in answer.weights.items():
                seen[service] += weight
    assert seen["photos"] == pytest.approx(0.8 * 2_000, rel=0.05)
    assert seen["mail"] == pytest.approx(0.5 * 2_000, rel=0.05)


@pytest.mark.parametrize("admitted", [-400, 100_000])
def test_shares_out_of_range_are_limited(admitted: int) -> None:
    admission = StageAdmission()
    admission.record(SHARD, StageLoad({1: admitted}, -5, 10**12), 0.0)
    assert MIN_ADMITTED <= admission.find_share("photos", 1, 0.0) <= 1
    assert admission.find_end_s("photos", 0.0) <= 4.0


def test_callers_come_back_spread_and_before_their_deadline() -> None:
    returns_s = [find_return_s(2.0, 9.0, drawn / 10) for drawn in range(11)]
    assert (min(returns_s), max(returns_s)) == (2.0, 4.0)
    assert find_return_s(4.0, 3.0, 1.0) == 3.0
    assert find_return_s(4.0, -1.0, 1.0) == 0.5


class EarlierResults(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to a job as hosts of the previous build know it."""

    handles: tuple[str, ...]
    makers: tuple[tuple[str, str], ...]
    made_by: tuple[int, ...]
    faults: dict[int, PieceFault] = {}


def test_hosts_of_the_previous_build_read_and_are_read() -> None:
    results = (PieceResult("h", None, "z", "t"),)
    told = encode_json(PieceResults.pack(results, StageLoad({1: 50}, 9, 9)))
    earlier: EarlierResults = decode_json(told, EarlierResults)
    assert earlier.handles == ("h",)
    answer: PieceResults = decode_json(encode_json(earlier), PieceResults)
    assert answer.unpack() == results
    assert answer.load == StageLoad()
    assert encode_json(PieceResults.pack(results)) == encode_json(earlier)


def fill_batcher(batcher: Batcher) -> None:
    """Add on-time jobs that fill all targets for two calls and more."""
    for number in range(12):
        job = make_job(f"r{number}", 7, aim_ms=4_000.0, is_begun=True)
        batcher.add(job, LIMITS, 3, 0.0)


def test_new_job_that_would_be_late_is_refused_only_while_targets_are_filled() -> None:
    batcher = Batcher(is_fair=True)
    late = make_job("late", 2, aim_ms=-1.0)
    assert isinstance(batcher.add(late, LIMITS, 3, 0.0), int)
    fill_batcher(batcher)
    assert batcher.add(late, LIMITS, 3, 0.0) is PieceFault.SHED
    begun = make_job("begun", 2, aim_ms=-1.0, is_begun=True)
    assert isinstance(batcher.add(begun, LIMITS, 3, 0.0), int)
    # Hosts of the previous build don't say that a request has results.
    reader = make_job("reader", 2, aim_ms=-1.0, inputs=("h",))
    assert isinstance(batcher.add(reader, LIMITS, 3, 0.0), int)


# Guards against refusals after the loss of a batching host: all jobs reach the next one
# late at the same moment, and no other work is there.
def test_late_jobs_are_taken_while_there_is_no_other_work() -> None:
    batcher = Batcher(is_fair=True)
    for number in range(40):
        late = make_job(f"r{number}", 2, aim_ms=50.0)
        assert isinstance(batcher.add(late, LIMITS, 3, 0.0), int)


# Guards against organisations whose own priority has so few requests that its part of
# the capacity is less than one of their jobs.
def test_large_job_of_a_rare_priority_is_not_starved() -> None:
    batcher = Batcher(is_fair=True)
    fill_batcher(batcher)
    rare = make_job("rare", 10, aim_ms=700.0, priority=7)
    assert isinstance(batcher.add(rare, LIMITS, 3, 0.0), int)
    assert batcher.add(rare, LIMITS, 3, 0.0) is PieceFault.SHED
    common = make_job("common", 10, aim_ms=700.0)
    assert batcher.add(common, LIMITS, 3, 0.0) is PieceFault.SHED


def test_new_job_that_has_become_late_is_refused_at_the_next_tick() -> None:
    batcher = Batcher(is_fair=True)
    number = batcher.add(make_job("r", 1, aim_ms=300.0), LIMITS, 3, 0.0)
    fill_batcher(batcher)
    assert batcher.expire_and_shed(LIMITS, 0.2) == []
    (refused,) = batcher.expire_and_shed(LIMITS, 0.4)
    assert refused.job == number
    assert refused.results[0].fault is PieceFault.SHED


def test_requests_with_results_go_first_then_by_goal_and_late_ones_last() -> None:
    batcher = Batcher(is_fair=True)
    limits = msgspec.structs.replace(LIMITS, batch=1)
    for name, aim_ms, is_begun in (
        ("late", 10.0, True),
        ("second", 900.0, False),
        ("urgent", 3_000.0, False),
        ("begun", 1_000.0, True),
    ):
        priority = 0 if name == "urgent" else 1
        job = make_job(name, 1, aim_ms=aim_ms, is_begun=is_begun, priority=priority)
        batcher.add(job, limits, 9, 0.0)
    order = []
    for _ in range(4):
        (call,) = batcher.dispatch(TARGETS[:1], limits, 0.001)
        order.append(call.items[0].item.request)
        batcher.finish(call.call, make_results(1), 0.002)
    assert order == ["begun", "second", "urgent", "late"]


def test_jobs_are_refused_if_no_target_is_left() -> None:
    batcher = Batcher(is_fair=True)
    assert batcher.add(make_job("r", 1), LIMITS, 0, 0.0) is PieceFault.SHED
    batcher.expire_and_shed(LIMITS, 0.05)
    admission = StageAdmission()
    admission.record(SHARD, batcher.load, 0.05)
    answers = [admission.decide(["photos"], 0, f"r{x}", 0.05) for x in range(50)]
    assert sum(isinstance(each, RefusedRequest) for each in answers) > 40
    assert admission.refused_counts["photos"] > 40
