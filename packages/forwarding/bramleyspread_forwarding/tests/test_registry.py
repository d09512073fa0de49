"""What a control host makes of heartbeats in any order."""

from __future__ import annotations

import pytest

from bramleyspread_forwarding import Readiness, TargetNotice, TargetRegistry
from bramleyspread_forwarding.tests.builders import make_notice

READY, DRAINING, GONE = Readiness.READY, Readiness.DRAINING, Readiness.GONE


def find_stance(registry: TargetRegistry) -> Readiness:
    return registry.list_changes(0)[0].notice.readiness


@pytest.mark.parametrize(
    ("heard", "readiness"),
    [
        ([make_notice(sequence=1)], READY),
        (
            [make_notice(sequence=1), make_notice(sequence=2, readiness=DRAINING)],
            DRAINING,
        ),
        # A heartbeat that was held up on its way changes nothing.
        (
            [
                make_notice(sequence=1),
                make_notice(sequence=3, readiness=DRAINING),
                make_notice(sequence=2),
            ],
            DRAINING,
        ),
        # Draining is not taken back by the same start.
        (
            [make_notice(sequence=1, readiness=DRAINING), make_notice(sequence=2)],
            DRAINING,
        ),
        # A later start under the same id is another target.
        (
            [
                make_notice(born=1, sequence=9, readiness=DRAINING),
                make_notice(born=2, sequence=1),
            ],
            READY,
        ),
        # And what its former start still says is old.
        (
            [
                make_notice(born=2, sequence=1),
                make_notice(born=1, sequence=9, readiness=DRAINING),
            ],
            READY,
        ),
    ],
)
def test_order_of_heartbeats(heard: list[TargetNotice], readiness: Readiness) -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    for notice in heard:
        registry.hear(notice, 0.0)
    assert find_stance(registry) is readiness


def test_leaving_beats_every_heartbeat_of_the_same_start() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.hear(make_notice(sequence=1), 0.0)
    registry.leave("t", 0, 0.1)
    registry.hear(make_notice(sequence=2), 0.2)
    assert find_stance(registry) is GONE


def test_leaving_of_a_former_start_is_old() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.hear(make_notice(born=5), 0.0)
    registry.leave("t", 4, 0.1)
    assert find_stance(registry) is READY


def test_silence_is_taken_back_by_a_heartbeat() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.hear(make_notice(sequence=1), 0.0)
    registry.tick(4.5)
    change = registry.list_changes(0)[0]
    assert (change.notice.readiness, change.silent) == (GONE, True)
    registry.hear(make_notice(sequence=2), 5.0)
    assert find_stance(registry) is READY


def test_only_changes_get_a_position() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.hear(make_notice(sequence=1), 0.0)
    position = registry.position
    registry.hear(make_notice(sequence=2), 1.0)
    assert registry.position == position
    assert registry.list_changes(position) == ()


def test_what_left_is_forgotten_in_the_end() -> None:
    registry = TargetRegistry(heartbeat_s=1.0)
    registry.hear(make_notice(), 0.0)
    registry.leave("t", 0, 0.0)
    registry.tick(500.0)
    assert registry.list_changes(0) == ()
