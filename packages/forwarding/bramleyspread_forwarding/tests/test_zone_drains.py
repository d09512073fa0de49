"""Tests of zone drains at an entry host: which targets still get work."""

from __future__ import annotations

from random import Random

import pytest

from bramleyspread_core import Address, PieceLimits, ZoneDrains
from bramleyspread_forwarding import (
    Batcher,
    FeedPage,
    Placed,
    Placement,
    PlaceQuery,
    TargetChange,
    TargetTable,
)
from bramleyspread_forwarding.tests.builders import (
    LIMITS,
    make_job,
    make_notice,
    make_targets,
)

CONTROL_A, CONTROL_B = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
NORTH_DRAINED = ZoneDrains().drain("north", 1)
ALL_DRAINED = NORTH_DRAINED.drain("south", 2)


def make_page(drains: ZoneDrains | None = None, *zones: str) -> FeedPage:
    """Build a page with one target in each zone, which has the zone's name."""
    changes = tuple(
        TargetChange(make_notice(zone, zone=zone, address=Address("10.1.0.1", at)))
        for at, zone in enumerate(zones, 8000)
    )
    return FeedPage(incarnation="1", position=1, changes=changes, zone_drains=drains)


def list_usable_ids(table: TargetTable) -> list[str]:
    return [each.target for each in table.list_usable("photos")]


# Guards against a zone that is used again since one control host lags behind another,
# or has started with an older state.
def test_newest_drains_hold_whichever_host_names_older_ones_later() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(ALL_DRAINED, "north", "south"), 0.0)
    assert list_usable_ids(table) == []
    for drains in (NORTH_DRAINED, ZoneDrains(), None):
        table.apply(CONTROL_B, make_page(drains), 0.1)
        assert (table.drains, list_usable_ids(table)) == (ALL_DRAINED, [])
    table.apply(CONTROL_B, make_page(ALL_DRAINED.undrain("north")), 0.2)
    assert list_usable_ids(table) == ["north"]
    table.apply(CONTROL_A, make_page(ALL_DRAINED), 0.3)
    assert list_usable_ids(table) == ["north"]


# Guards against drains that end since the control hosts can't be reached any more.
def test_drains_hold_while_no_control_host_is_heard() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(NORTH_DRAINED, "north", "south"), 0.0)
    table.tick(500.0)
    assert list_usable_ids(table) == ["south"]


# Guards against answers and results that are lost since their target isn't known.
def test_drained_targets_are_known_by_address_and_process() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(None, "north", "south"), 0.0)
    (north, south) = table.list_usable("photos")
    table.apply(CONTROL_A, make_page(NORTH_DRAINED), 0.1)
    assert table.find_by_address(north.address) == north
    assert table.knows_process("north", north.born)
    assert list(table.list_addresses()) == [south.address]
    assert table.list_drained("photos") == (north,)


# Guards against hosts that relay new requests for one that learns of a drain late, and
# against in-flight work of one that knows it which loses its path.
def test_connections_to_drained_zones_are_relayed_only_for_hosts_that_know() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(NORTH_DRAINED, "north", "south"), 0.0)
    north, south = Address("10.1.0.1", 8000), Address("10.1.0.1", 8001)
    assert [table.may_relay(north, x) for x in (0, 1, 2)] == [False, True, True]
    assert table.may_relay(south, 0)
    assert not table.may_relay(Address("10.9.9.9", 1), 9)


# Guards against requests that are refused while targets accept them which only control
# hosts knew that aren't heard any more.
def test_targets_in_stale_views_are_used_once_all_others_are_drained() -> None:
    table = TargetTable()
    table.apply(CONTROL_B, make_page(None, "south"), 0.0)
    table.apply(CONTROL_A, make_page(None, "north"), 5.0)
    table.tick(5.0)
    assert list_usable_ids(table) == ["north"]
    table.apply(CONTROL_A, make_page(NORTH_DRAINED), 5.1)
    assert list_usable_ids(table) == ["south"]
    table.apply(CONTROL_A, make_page(ALL_DRAINED), 5.2)
    assert list_usable_ids(table) == []


@pytest.mark.parametrize("zones", [("north",), ("north", "south")])
def test_service_is_drained_only_if_it_has_targets_and_all_of_them_are(
    zones: tuple[str, ...],
) -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(NORTH_DRAINED, *zones), 0.0)
    assert table.is_all_drained("photos") == (zones == ("north",))
    assert not table.is_all_drained("unknown")


# Guards against a host that learns late and hands out drained targets to one that
# knows the drain.
def test_placement_leaves_out_the_zones_that_its_asker_names() -> None:
    targets = make_targets(2)
    query = PlaceQuery(service="photos", zone="z0", drained_zones=("z0",))
    for _ in range(20):
        placed = Placement(Random(1)).choose(query, targets, None, 0.0)
        assert isinstance(placed, Placed)
        assert placed.target.zone == "z1"


# Guards against a call that was not sent and counts as a failure of its target, or as
# a try of its pieces, and against a job that stays bound to the drained zone.
def test_pieces_of_a_withdrawn_call_wait_as_before() -> None:
    batcher, targets = Batcher(), make_targets(2)
    batcher.add(make_job("r", 4, result_bytes=1_000_000), LIMITS, 2, 0.0)
    for _ in range(50):
        (call,) = batcher.dispatch(targets[:1], LIMITS, 0.0)
        batcher.withdraw(call.call, 0.0)
    assert batcher.jobs.waiting_pieces == 4
    assert (batcher.calls_in_flight, batcher.jobs.count_reserved_bytes()) == (0, 0)
    (call,) = batcher.dispatch(targets[1:], LIMITS, 0.0)
    assert [each.item.piece for each in call.items] == [0, 1, 2, 3]


# Guards against jobs that are held until their deadline while all zones are drained.
def test_jobs_with_waiting_pieces_fail_once_no_target_may_get_them() -> None:
    limits = PieceLimits(
        slots=1, queue=1, batch=2, call_ms=1.0, piece_ms=1.0, result_retention_s=4.0
    )
    batcher = Batcher()
    started = batcher.add(make_job("a", 2), limits, 1, 0.0)
    waiting = batcher.add(make_job("b", 2), limits, 1, 0.0)
    batcher.dispatch(make_targets(1), limits, 0.0)
    assert [each.job for each in batcher.jobs.fail_waiting()] == [waiting]
    assert batcher.jobs.fail_waiting() == []
    assert started != waiting
