"""Tests of the ramps of zones that come back."""

from __future__ import annotations

import pytest

from bramleyspread_forwarding import ForwardTarget, SlowStarts
from bramleyspread_forwarding._slow_starts import RAMP_S
from bramleyspread_forwarding.tests.builders import make_targets

#: Targets t0 to t5, each in its own zone: z0 to z5.
TARGETS = make_targets(6)


def undrain(zone: str, now: float, drained_s: float = 100.0) -> SlowStarts:
    starts = SlowStarts()
    starts.follow_drains([zone], now - drained_s)
    starts.follow_drains([], now)
    return starts


def count_uses(starts: SlowStarts, zone: str, since: float, until: float) -> int:
    """Count the requests that may use a zone, of 100 a second."""
    times = [since + at / 100 for at in range(round((until - since) * 100))]
    chosen = (starts.choose("s", TARGETS, at) for at in times)
    return sum(any(each.zone == zone for each in targets) for targets in chosen)


# Guards against decisions that change where no zone was drained.
def test_without_a_ramp_the_targets_are_passed_on_as_they_are() -> None:
    starts = SlowStarts()
    starts.follow_drains([], 0.0)
    starts.follow_drains(["z0"], 1.0)
    for now in (0.5, 1.5):
        assert starts.choose("s", TARGETS, now) is TARGETS
        assert starts.list_open("s", TARGETS, now) is TARGETS


# Guards against a host that starts, hears of earlier drains, and ramps nothing up that
# it never kept away.
def test_zone_that_this_host_never_kept_away_is_not_ramped_up() -> None:
    starts = SlowStarts()
    starts.follow_drains(["z1"], 0.0)
    starts.follow_drains(["z1"], 9.0)
    assert starts.choose("s", TARGETS, 9.0) is TARGETS


@pytest.mark.parametrize("second", range(5))
def test_zone_gets_a_rising_part_of_its_share(second: int) -> None:
    starts = undrain("z0", 0.0)
    uses = count_uses(starts, "z0", second, second + 1.0)
    assert uses == pytest.approx(100 / 6 * (second + 0.5) / RAMP_S, abs=1.0)


def test_ramp_ends_and_is_forgotten() -> None:
    starts = undrain("z0", 0.0)
    assert len(starts.list_open("s", TARGETS, RAMP_S - 0.01)) == 6
    assert starts.choose("s", TARGETS, RAMP_S) is TARGETS


# Guards against a zone that loses its share for seconds since it was drained by mistake
# and undrained at once.
@pytest.mark.parametrize("drained_s", [0.0, 1.0, 4.0, 5.0, 60.0])
def test_ramp_is_no_longer_than_the_drain(drained_s: float) -> None:
    starts = undrain("z0", 10.0, drained_s)
    share = starts.find_share("s", "z0", 10.0)
    assert share == pytest.approx(max(1 - drained_s / RAMP_S, 0.0))


# Guards against a zone that is drained once more in the middle of its ramp, and gets
# nearly all of its share after that.
def test_ramp_that_a_drain_interrupts_goes_on_where_it_was() -> None:
    starts = undrain("z0", 0.0)
    starts.follow_drains(["z0"], 2.0)
    starts.follow_drains([], 2.5)
    assert starts.find_share("s", "z0", 2.5) == pytest.approx(1.5 / RAMP_S)
    starts.follow_drains(["z0"], 3.0)
    starts.follow_drains([], 30.0)
    assert starts.find_share("s", "z0", 30.0) == 0.0


# Guards against requests that find no target while all zones come back together.
def test_all_targets_are_used_where_every_zone_is_ramped_up() -> None:
    starts = SlowStarts()
    starts.follow_drains([each.zone for each in TARGETS], 0.0)
    starts.follow_drains([], 100.0)
    assert starts.choose("s", TARGETS, 100.0) is TARGETS
    assert starts.list_open("s", TARGETS, 100.0) is TARGETS
    two = [each for each in TARGETS if each.zone in ("z0", "z1")]
    assert starts.list_open("s", two, 100.0) is two


def test_calls_open_target_by_target() -> None:
    targets = [
        ForwardTarget(f"{zone}-{at}", TARGETS[at].address, zone, 1)
        for zone in ("z0", "z1")
        for at in range(4)
    ]
    starts = undrain("z0", 0.0)
    listed = [len(starts.list_open("s", targets, RAMP_S * x / 8)) for x in range(9)]
    assert listed == [4, 5, 5, 6, 6, 7, 7, 8, 8]


# Guards against the targets of a zone that were all restarted, or were partitioned off,
# and get their whole share in the moment in which they come back.
def test_zone_of_a_service_that_warms_up_is_ramped_up_after_an_absence() -> None:
    starts = SlowStarts()
    starts.follow_usable("s", ["z0", "z1"], [], 0.0)
    starts.follow_usable("s", ["z1"], [], 1.0)
    starts.follow_usable("s", ["z1"], [], 20.0)
    starts.follow_usable("s", ["z0", "z1"], [], 30.0)
    assert starts.find_share("s", "z0", 31.0) == pytest.approx(1.0 / RAMP_S)
    assert starts.find_share("s", "z1", 31.0) == 1.0
    assert starts.find_share("other", "z0", 31.0) == 1.0
    starts.follow_usable("s", ["z0", "z1"], [], 32.0)
    assert starts.find_share("s", "z0", 32.0) == pytest.approx(2.0 / RAMP_S)


# Guards against two ramps of one zone, the second of which begins with its drain's end
# and lasts longer than the drain allows.
def test_absence_by_a_drain_starts_no_ramp_of_its_own() -> None:
    starts = SlowStarts()
    starts.follow_usable("s", ["z0", "z1"], [], 0.0)
    starts.follow_usable("s", ["z1"], ["z0"], 1.0)
    starts.follow_usable("s", ["z0", "z1"], [], 2.0)
    assert starts.find_share("s", "z0", 2.0) == 1.0
