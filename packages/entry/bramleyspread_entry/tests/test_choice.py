"""Target selection: load, zones, slices, prefixes and outliers."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from msgspec.structs import replace

from bramleyspread_core import (
    CacheEvent,
    EntryHostStatus,
    HostName,
    Load,
    PoolName,
    Reason,
    ServiceName,
    Stage,
    TargetName,
    TargetView,
)
from bramleyspread_entry._choice import PowerOfTwoChoices, TargetRequirements
from bramleyspread_entry._outliers import PeerOutlierDetection
from bramleyspread_entry._peer_times import PeerTimes
from bramleyspread_entry._slices import HostSlices, WholeZone
from bramleyspread_entry._traffic import OwnTraffic
from bramleyspread_entry.tests.harness import FakeDirectory, make_view

POOL = PoolName(ServiceName("booth"), "engines")
STAGE = Stage(name="explain", pool="engines", model="m")


def make_choice() -> PowerOfTwoChoices:
    return PowerOfTwoChoices("a", PeerOutlierDetection(), WholeZone(), Random(1))


def make_requirements(
    prefix: str = "", avoid: frozenset[TargetName] = frozenset()
) -> TargetRequirements:
    return TargetRequirements(POOL, STAGE, prefix, avoid)


def count_choices(
    choice: PowerOfTwoChoices, views: list[TargetView], requirements: TargetRequirements
) -> Counter[str]:
    found: Counter[str] = Counter()
    for _ in range(200):
        view = choice.select(requirements, views, 1.0)
        assert view is not None
        found[view.announcement.target] += 1
    return found


def make_views(loads: list[tuple[str, int]]) -> list[TargetView]:
    return [
        make_view(f"e{number}", "engines", zone, Load(running=running, slots=4))
        for number, (zone, running) in enumerate(loads)
    ]


@pytest.mark.parametrize(
    ("loads", "chosen"),
    [
        ([("a", 0), ("b", 0)], {"e0"}),
        ([("a", 4), ("b", 0)], {"e1"}),
        ([("a", 4), ("b", 4)], {"e0"}),
        ([("b", 0)], {"e0"}),
        ([("a", 0), ("a", 3)], {"e0"}),
    ],
)
def test_same_zone_and_less_loaded_targets_are_preferred(
    loads: list[tuple[str, int]], chosen: set[str]
) -> None:
    found = count_choices(make_choice(), make_views(loads), make_requirements())
    assert max(found, key=found.__getitem__) in chosen
    assert sum(found[name] for name in chosen) > 190


def test_choices_from_one_stale_report_are_spread_over_targets() -> None:
    views = make_views([("a", 0)] * 10)
    found = count_choices(make_choice(), views, make_requirements())
    assert max(found.values()) < 60


def test_own_attempts_since_the_load_report_are_added() -> None:
    traffic = OwnTraffic()
    view = make_views([("a", 1)])[0]
    for at in (-1.0, 0.5, 0.6):
        traffic.record(view.announcement.target, 1, at)
    assert traffic.estimate(view) == 3 / 4
    assert traffic.estimate(replace(view, load_measured_at=0.55)) == 3 / 4
    traffic.record(view.announcement.target, -1, 0.7)
    assert traffic.estimate(replace(view, load_measured_at=0.65)) == 2 / 4


def test_targets_without_the_model_are_not_chosen() -> None:
    plain = make_view("p", "encoders")
    assert make_choice().select(make_requirements(), [plain], 1.0) is None
    assert make_choice().select(make_requirements(), [], 1.0) is None


def test_avoided_target_is_chosen_only_without_alternative() -> None:
    views = make_views([("a", 0), ("a", 3)])
    requirements = make_requirements(avoid=frozenset({TargetName("e0")}))
    assert count_choices(make_choice(), views, requirements) == {"e1": 200}
    assert count_choices(make_choice(), views[:1], requirements) == {"e0": 200}


def test_prefix_stays_on_its_target_until_the_target_is_full() -> None:
    views = make_views([("a", 0)] * 8)
    choice = make_choice()
    preferred = count_choices(
        choice, views, make_requirements("inka/fast/1")
    ).most_common(1)[0]
    assert preferred[1] == 200
    number = int(preferred[0][1:])
    views[number] = make_views([("a", 0)] * number + [("a", 4)])[-1]
    moved = count_choices(choice, views, make_requirements("inka/fast/1"))
    assert moved[preferred[0]] == 0


def test_prefix_hints_expire_and_are_dropped_on_eviction() -> None:
    views = make_views([("a", 0)] * 8)
    choice = make_choice()
    choice.record_answer(TargetName("e5"), "k", 1.0)
    hints = choice._hints  # noqa: SLF001
    assert hints.find(POOL, "k", views, 2.0) is views[5]
    assert hints.find(POOL, "k", views, 40.0) is None
    choice.record_answer(TargetName("e5"), "k", 41.0)
    event = CacheEvent(1, "k", stored=False)
    announcement = replace(views[5].announcement, cache_events=(event,))
    views[5] = replace(views[5], announcement=announcement)
    assert hints.find(POOL, "k", views, 41.0) is None


def test_slices_cover_the_zone_and_adapt_to_its_hosts() -> None:
    directory = FakeDirectory({})
    hosts = [EntryHostStatus(HostName(f"h{n}"), "a", 1, 0.0) for n in range(4)]
    directory.hosts = [*hosts, EntryHostStatus(HostName("far"), "b", 1, 0.0)]
    slices = [HostSlices(directory, f"h{n}", "a") for n in range(4)]
    found = [each.find(100, 1.0) for each in slices]
    positions = [each.position(n) for each in found for n in range(each.size)]
    assert sorted(positions) == list(range(100))
    assert all(each.find(5, 1.0).size == 5 for each in slices)
    directory.hosts = directory.hosts[:2]
    assert slices[0].find(100, 3.0).size == 50


def test_failing_target_is_excluded_until_a_successful_trial() -> None:
    outliers = PeerOutlierDetection()
    target = TargetName("e0")
    outliers.record_failure(target, Reason.CLOSED, 0.0)
    assert outliers.allows(target, 0.0)
    outliers.record_failure(target, Reason.CLOSED, 0.0)
    assert not outliers.allows(target, 0.4)
    assert outliers.allows(target, 0.5)
    outliers.record_sent(target, 0.5)
    assert not outliers.allows(target, 0.6)
    outliers.record_failure(target, Reason.CLOSED, 0.7)
    assert not outliers.allows(target, 1.6)
    outliers.record_sent(target, 1.8)
    outliers.record_success(target, 1.0, 1.9)
    assert outliers.allows(target, 1.9)


def test_target_much_slower_than_typical_is_excluded() -> None:
    outliers = PeerOutlierDetection()
    for _ in range(12):
        outliers.record_success(TargetName("slow"), 5.0, 1.0)
        outliers.record_success(TargetName("usual"), 1.2, 1.0)
    assert not outliers.allows(TargetName("slow"), 1.0)
    assert outliers.allows(TargetName("usual"), 1.0)


@pytest.mark.parametrize(("zone_targets", "probed"), [(1, True), (2, True), (3, False)])
def test_other_zones_are_probed_when_own_zone_is_small(
    zone_targets: int, probed: bool
) -> None:
    views = make_views([("a", 0)] * zone_targets + [("b", 0)] * 4)
    found = count_choices(make_choice(), views, make_requirements())
    other_zone_choices = sum(
        number for name, number in found.items() if int(name[1:]) >= zone_targets
    )
    assert (other_zone_choices > 0) is probed
    assert other_zone_choices < 0.1 * 200


def test_target_slow_from_the_start_is_excluded_by_peer_comparison() -> None:
    key = ("booth", "check", "rank", "booth.rankers")
    times, outliers = PeerTimes(), PeerOutlierDetection()
    slow, fast = TargetName("slow"), TargetName("fast")
    assert times.compare(key, slow, 0.7, 0.0) is None
    for now in range(4):
        times.record(key, fast, 0.01, now)
    for now in range(4):
        times.record(key, slow, 0.7, now)
        outliers.record_success(slow, times.compare(key, slow, 0.7, now), now)
    assert not outliers.allows(slow, 3.0)
    assert times.compare(key, slow, 0.7, 40.0) is None
