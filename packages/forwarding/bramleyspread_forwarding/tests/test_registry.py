"""Tests of a control host's target registry with heartbeats in any order."""

from __future__ import annotations

import msgspec
import pytest

from bramleyspread_forwarding import Readiness, TargetHeartbeat, TargetRegistry
from bramleyspread_forwarding.tests.builders import make_notice

READY, DRAINING, GONE = Readiness.READY, Readiness.DRAINING, Readiness.GONE


def find_readiness(registry: TargetRegistry) -> Readiness:
    return registry.list_changes(0)[0].notice.readiness


@pytest.mark.parametrize(
    ("heartbeats", "readiness"),
    [
        ([make_notice(sequence=1)], READY),
        (
            [make_notice(sequence=1), make_notice(sequence=2, readiness=DRAINING)],
            DRAINING,
        ),
        # A delayed heartbeat is ignored.
        (
            [
                make_notice(sequence=1),
                make_notice(sequence=3, readiness=DRAINING),
                make_notice(sequence=2),
            ],
            DRAINING,
        ),
        # A process that drains can't become ready again.
        (
            [make_notice(sequence=1, readiness=DRAINING), make_notice(sequence=2)],
            DRAINING,
        ),
        # A new process with the same id starts without the old one's readiness.
        (
            [
                make_notice(born=1, sequence=9, readiness=DRAINING),
                make_notice(born=2, sequence=1),
            ],
            READY,
        ),
        # Heartbeats of the former process are ignored after that.
        (
            [
                make_notice(born=2, sequence=1),
                make_notice(born=1, sequence=9, readiness=DRAINING),
            ],
            READY,
        ),
    ],
)
def test_readiness_after_heartbeats_in_any_order(
    heartbeats: list[TargetHeartbeat], readiness: Readiness
) -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    for notice in heartbeats:
        registry.handle_heartbeat(notice, 0.0)
    assert find_readiness(registry) is readiness


def test_heartbeats_after_leaving_are_ignored() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.handle_heartbeat(make_notice(sequence=1), 0.0)
    registry.handle_departure("t", 0, 0.1)
    registry.handle_heartbeat(make_notice(sequence=2), 0.2)
    assert find_readiness(registry) is GONE


def test_leaving_of_a_former_process_is_ignored() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.handle_heartbeat(make_notice(born=5), 0.0)
    registry.handle_departure("t", 4, 0.1)
    assert find_readiness(registry) is READY


def test_silent_target_is_ready_again_after_a_heartbeat() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.handle_heartbeat(make_notice(sequence=1), 0.0)
    registry.tick(4.5)
    change = registry.list_changes(0)[0]
    assert (change.notice.readiness, change.silent) == (GONE, True)
    registry.handle_heartbeat(make_notice(sequence=2), 5.0)
    assert find_readiness(registry) is READY


def test_unchanged_heartbeat_gets_no_position() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.handle_heartbeat(make_notice(sequence=1), 0.0)
    position = registry.position
    registry.handle_heartbeat(make_notice(sequence=2), 1.0)
    assert registry.position == position
    assert registry.list_changes(position) == ()


# Guards against pages for each heartbeat of a warming target, and against hosts that
# don't hear of a warm-up that begins, grows or ends early.
@pytest.mark.parametrize(
    ("left_ms", "is_change"),
    [
        # By now 2,000 ms are expected to remain.
        (2_000.0, False),
        (2_450.0, False),
        (1_550.0, False),
        (2_600.0, True),
        (1_400.0, True),
        (0.0, True),
    ],
)
def test_warm_up_is_reported_when_it_differs(left_ms: float, is_change: bool) -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.handle_heartbeat(make_notice(sequence=1, warm_up_left_ms=3_000.0), 0.0)
    position = registry.position
    beat = make_notice(sequence=2, warm_up_left_ms=left_ms)
    assert registry.handle_heartbeat(beat, 1.0) == is_change
    told = registry.list_changes(position, 1.25)
    assert [x.notice.warm_up_left_ms for x in told] == (
        [max(left_ms - 250.0, 0.0)] if is_change else []
    )


def test_warm_up_that_begins_later_is_reported_and_its_end_is_not() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.handle_heartbeat(make_notice(sequence=1), 0.0)
    beat = make_notice(sequence=2, warm_up_left_ms=900.0)
    assert registry.handle_heartbeat(beat, 10.0)
    assert not registry.handle_heartbeat(make_notice(sequence=3), 11.0)


# Guards against hosts that start late and take a target for warm too early, or for
# warming for as long again.
def test_remaining_warm_up_counts_from_the_page() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.handle_heartbeat(make_notice(sequence=1, warm_up_left_ms=3_000.0), 0.0)
    registry.handle_departure("t", 0, 0.5)
    (change,) = registry.list_changes(0, 2.0)
    assert change.notice.warm_up_left_ms == 1_000.0
    (change,) = registry.list_changes(0, 9.0)
    assert change.notice.warm_up_left_ms == 0.0


def test_target_that_left_is_removed_after_the_retention_time() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.handle_heartbeat(make_notice(), 0.0)
    registry.handle_departure("t", 0, 0.0)
    registry.tick(500.0)
    assert registry.list_changes(0) == ()


# Guards against a control host, and a feed, that run out of room since a faulty peer
# names ever new targets.
def test_new_targets_find_no_room_while_known_ones_go_on() -> None:
    registry = TargetRegistry(heartbeat_s=1.0, max_bytes=20_000)
    known = make_notice(target="known", sequence=1)
    registry.handle_heartbeat(known, 0.0)
    refused = 0
    for number in range(500):
        notice = make_notice(target=f"t{number}", zone="z" * 100)
        if registry.find_room(notice):
            registry.handle_heartbeat(notice, 0.0)
        else:
            refused += 1
    changes = registry.list_changes(0)
    assert len(changes) == 501 - refused
    assert 10_000 < len(msgspec.json.encode(changes)) <= 20_000
    again = make_notice(target="known", sequence=2, readiness=DRAINING)
    assert registry.find_room(again)
    assert registry.handle_heartbeat(again, 0.1)


# Guards against sound targets that are refused as long as records of others, who have
# fallen silent, are kept.
def test_silent_targets_make_room_for_new_ones() -> None:
    registry = TargetRegistry(heartbeat_s=1.0, max_bytes=20_000)
    registry.handle_heartbeat(make_notice(target="left"), 0.0)
    registry.handle_departure("left", 0, 0.0)
    for number in range(500):
        notice = make_notice(target=f"t{number}", zone="z" * 100)
        if registry.find_room(notice):
            registry.handle_heartbeat(notice, 0.0)
    sound = make_notice(target="sound")
    assert not registry.find_room(make_notice(target="sound", zone="z" * 300))
    registry.tick(4.5)
    assert registry.find_room(sound)
    registry.handle_heartbeat(sound, 4.5)
    names = {each.notice.target for each in registry.list_changes(0)}
    assert {"sound", "left"} <= names
    assert len(msgspec.json.encode(registry.list_changes(0))) <= 20_000
    registry.tick(500.0)
    registry.tick(1_000.0)
    assert registry.list_changes(0) == ()
    assert registry.size == 0
