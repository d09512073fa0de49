"""Work that a plan sends to other availability zones."""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec
import pytest

from bramleyspread_capacity import EngineSpeed
from bramleyspread_core import EngineLimits
from bramleyspread_forwarding import (
    Batcher,
    Placed,
    Placement,
    PlaceQuery,
    PlaceStep,
    TargetLoad,
)
from bramleyspread_forwarding.tests.builders import (
    LIMITS,
    make_job,
    make_prompt,
    make_targets,
)
from bramleyspread_forwarding.tests.engine_load import EngineLoad
from bramleyspread_forwarding.tests.overflow_load import (
    SCENARIOS,
    STAGES,
    Outcome,
    OverflowLoad,
)

ENGINES = make_targets(6, slots=12)
ENGINE_LIMITS = EngineLimits(slots=12, memory_tokens=10_000_000)
#: Share of rate limits of the placement host, and of one that stands in for it.
OWNER, STAND_IN = 0.9, 0.25


def run_load(stage: str, scenario: str, *, is_planned: bool) -> Outcome:
    load = OverflowLoad(STAGES[stage], SCENARIOS[scenario], 1, is_planned=is_planned)
    return load.run()


def find_on_time_share(outcome: Outcome) -> float:
    ended = outcome.on_time + outcome.late + outcome.refused
    return outcome.on_time.total() / ended.total()


# Guards against a full zone whose jobs wait until it is too late, while others idle.
@pytest.mark.parametrize("scenario", ["burst in one zone", "one zone drained"])
def test_more_large_jobs_are_on_time_with_a_plan(scenario: str) -> None:
    planned = find_on_time_share(run_load("A", scenario, is_planned=True))
    by_cost = find_on_time_share(run_load("A", scenario, is_planned=False))
    assert planned >= by_cost + 0.01


# Guards against bytes that cross zones although each has capacity for its own work.
@pytest.mark.parametrize("scenario", ["calm", "uneven zones, 1.4 to 1", "slow zone"])
def test_fewer_bytes_of_small_jobs_cross_with_a_plan(scenario: str) -> None:
    planned = run_load("B", scenario, is_planned=True)
    by_cost = run_load("B", scenario, is_planned=False)
    assert planned.crossing_mb <= 0.7 * by_cost.crossing_mb
    assert find_on_time_share(planned) >= find_on_time_share(by_cost) - 0.005


def plan_jobs_of_one_zone(targets: int, *, is_local: bool) -> Batcher:
    """Batch three seconds of jobs that all belong to one of three zones."""
    batcher = Batcher(is_planned=True)
    listed = [
        msgspec.structs.replace(each, zone=f"z{at % 3}")
        for at, each in enumerate(make_targets(targets))
    ]
    for at in range(300):
        job = make_job(f"r{at}", 4, zone="z0", crossing_bytes=9_000_000)
        batcher.add(job, LIMITS, targets, at * 0.01, is_local=is_local)
        batcher.dispatch(listed, LIMITS, at * 0.01)
    return batcher


# Guards against a plan of a host that stands in for the batching host, and doesn't see
# the jobs of others.
def test_jobs_of_hosts_that_do_not_reach_the_owner_are_not_planned() -> None:
    batcher = plan_jobs_of_one_zone(6, is_local=True)
    assert batcher.overflow is not None
    assert batcher.overflow.list_shares(3.0) == ()
    assert batcher.overflow.find_full_zones(3.0) is None


# Guards against jobs that wait for the only target of their zone since a plan takes it
# for all of the zone's capacity.
@pytest.mark.parametrize(("targets", "is_planned"), [(3, False), (6, True)])
def test_zones_with_a_single_target_are_not_planned(
    targets: int, is_planned: bool
) -> None:
    batcher = plan_jobs_of_one_zone(targets, is_local=False)
    assert batcher.overflow is not None
    assert (batcher.overflow.find_full_zones(3.0) is not None) is is_planned


class Engines:
    """Sends requests of one zone more than its engines can run, and ends each later."""

    def __init__(self, share: float = OWNER) -> None:
        self.placement = Placement(Random(1), is_planned=True)
        self.share = share
        self.targets = ENGINES
        self.now = 0.0
        self._running: list[Placed] = []

    def run(self, seconds: float, home: str = "z0", number: int = 60) -> Counter[str]:
        """Keep a number of requests running; return how many each zone got."""
        zones: Counter[str] = Counter()
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            while len(self._running) >= number:
                self._end(self._running.pop(0))
            query = PlaceQuery(
                service="llm",
                zone=home,
                prompt=make_prompt(tokens_in=100),
                input_mb={home: 7.5},
            )
            placed = self.placement.choose(
                query, self.targets, ENGINE_LIMITS, self.now, self.share
            )
            assert isinstance(placed, Placed)
            began = PlaceStep(
                ticket=placed.ticket, target=placed.target.target, began=True
            )
            self.placement.record_step(began, self.now)
            zones[placed.target.zone] += 1
            self._running.append(placed)
        return zones

    def list_shares(self) -> list[tuple[str, str]]:
        shares = self.placement.overflows["llm"].list_shares(self.now)
        return [(each.source, each.target) for each in shares]

    def _end(self, placed: Placed) -> None:
        step = PlaceStep(ticket=placed.ticket, target=placed.target.target, ended=True)
        self.placement.record_step(step, self.now)


# Guards against requests that wait for a slot at home although other zones have some,
# and against a plan that ends all work at home.
def test_requests_beyond_the_slots_of_their_zone_go_to_others() -> None:
    engines = Engines()
    engines.run(6.0)
    zones = engines.run(6.0)
    # Each zone has an engine of 12 slots; 60 requests of one zone run.
    assert 0.15 < zones["z0"] / zones.total() < 0.3
    assert ("z0", "z1") in engines.list_shares()
    calm = Engines()
    assert set(calm.run(6.0, number=11)) == {"z0"}
    assert not calm.list_shares()


# Guards against inputs that cross zones although the engines of their zone have slots.
def test_fewer_inputs_cross_with_a_plan_and_answers_begin_no_later() -> None:
    def run_engines(*, is_planned: bool) -> EngineLoad:
        placement = Placement(Random(1), is_planned=is_planned)
        speeds = [EngineSpeed(220.0, 18.0, 2.0)] * 9
        load = EngineLoad(
            placement, speeds, 32, 50.0, input_mb=7.5, weights=(1.4, 1.0, 1.0)
        )
        load.run()
        return load

    planned, by_cost = run_engines(is_planned=True), run_engines(is_planned=False)
    assert planned.crossing_mb <= 0.6 * by_cost.crossing_mb
    assert planned.mean_ms <= 1.02 * by_cost.mean_ms


# Guards against requests for a zone whose engines get nothing any more.
def test_requests_leave_a_zone_without_engines_and_return() -> None:
    engines = Engines()
    engines.run(3.0, number=9)
    engines.targets = tuple(each for each in ENGINES if each.zone != "z0")
    assert engines.run(3.0, number=9)["z0"] == 0
    engines.targets = ENGINES
    engines.run(1.0, number=9)
    assert set(engines.run(2.0, number=9)) == {"z0"}


# Guards against a plan of a host that stands in for the placement host.
def test_requests_of_hosts_that_do_not_reach_the_owner_are_not_planned() -> None:
    engines = Engines(STAND_IN)
    engines.run(4.0)
    assert not engines.placement.overflows


# Guards against requests that count for ever in the demand of their zone.
def test_demand_of_requests_without_reported_end_expires() -> None:
    engines = Engines()
    engines.run(4.0, number=1_000)
    assert engines.list_shares()
    engines.placement.expire(engines.now + 100.0)
    engines.now += 100.0
    engines.run(4.0, number=2)
    assert not engines.list_shares()


# Guards against a zone whose engines say that they are slow and that gets what exceeds
# the capacity of another one all the same.
def test_zone_of_slow_engines_has_less_to_spare() -> None:
    engines = Engines()
    load = TargetLoad(0, 0, 12, slowdown=10.0)
    for target in ("t1", "t4"):
        engines.placement.record_step(
            PlaceStep(ticket=0, target=target, load=load), 0.0
        )
    zones = engines.run(4.0)
    assert zones["z1"] < zones["z2"] / 3
