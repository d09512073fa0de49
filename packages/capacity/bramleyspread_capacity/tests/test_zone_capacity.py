"""Tests of the capacity of zones."""

from __future__ import annotations

import pytest

from bramleyspread_capacity import Restriction, TargetCapacity, sum_by_zone


# Guards against a target that is counted twice since two things restrict it.
def test_each_target_counts_once_under_its_first_restriction() -> None:
    everything = tuple(reversed(Restriction))
    targets = [
        TargetCapacity(f"t{at}", "s", "z", 2, everything[at:])
        for at in range(len(everything) + 1)
    ]
    (zone,) = sum_by_zone(targets)
    assert zone.targets == len(targets)
    assert (zone.usable, zone.restricted) == (1, {Restriction.LEAVING: 7})


# Guards against capacity that is planned with though the targets get no work.
@pytest.mark.parametrize("restriction", Restriction)
def test_only_targets_that_get_work_count_for_calls_and_rate(
    restriction: Restriction,
) -> None:
    (zone,) = sum_by_zone([TargetCapacity("t", "s", "z", 3, (restriction,), 5.0)])
    works = restriction.value in ("warming-up", "rate-limited", "brittle")
    assert (zone.calls, zone.limited_rate) == ((3, 5.0) if works else (0, 0.0))
    assert zone.limited_calls == zone.calls
    assert zone.usable == 0


def test_services_and_zones_are_summed_separately() -> None:
    targets = [
        TargetCapacity(f"t{at}", service, zone, 1)
        for at, (service, zone) in enumerate([("b", "y"), ("a", "z"), ("a", "y")] * 2)
    ]
    summed = [(x.service, x.zone, x.usable) for x in sum_by_zone(targets)]
    assert summed == [("a", "y", 2), ("a", "z", 2), ("b", "y", 2)]
