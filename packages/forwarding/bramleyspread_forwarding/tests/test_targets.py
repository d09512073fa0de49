"""Tests of the target table that merges the feeds of several control hosts."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Address
from bramleyspread_forwarding import (
    FeedPage,
    Readiness,
    TargetChange,
    TargetHeartbeat,
    TargetRegistry,
    TargetTable,
)
from bramleyspread_forwarding.tests.builders import make_notice

CONTROL_A, CONTROL_B = Address("10.0.0.1", 1), Address("10.0.0.2", 1)


def make_page(
    *notices: TargetHeartbeat, silent: bool = False, incarnation: str = "1"
) -> FeedPage:
    changes = tuple(TargetChange(each, silent) for each in notices)
    return FeedPage(incarnation=incarnation, position=len(changes), changes=changes)


def list_usable_ids(table: TargetTable) -> list[str]:
    return [each.target for each in table.list_usable("photos")]


def test_draining_reported_by_one_control_host_removes_the_target() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(make_notice(sequence=9)), 0.0)
    table.apply(
        CONTROL_B, make_page(make_notice(sequence=2, readiness=Readiness.DRAINING)), 0.1
    )
    assert list_usable_ids(table) == []


def test_silence_removes_a_target_only_when_all_control_hosts_report_it() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(make_notice()), 0.0)
    table.apply(
        CONTROL_B, make_page(make_notice(readiness=Readiness.GONE), silent=True), 0.1
    )
    assert list_usable_ids(table) == ["t"]
    table.apply(
        CONTROL_A, make_page(make_notice(readiness=Readiness.GONE), silent=True), 0.2
    )
    assert list_usable_ids(table) == []


def test_new_process_with_the_same_id_is_usable_after_the_old_one_left() -> None:
    table = TargetTable()
    table.apply(
        CONTROL_A, make_page(make_notice(born=1, readiness=Readiness.GONE)), 0.0
    )
    table.apply(CONTROL_B, make_page(make_notice(born=2)), 0.1)
    assert list_usable_ids(table) == ["t"]


def test_targets_of_a_stale_control_host_are_listed_only_without_others() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(make_notice("far")), 0.0)
    table.apply(CONTROL_B, make_page(make_notice("near")), 0.0)
    table.apply(CONTROL_B, make_page(incarnation="1"), 5.0)
    table.tick(5.0)
    assert list_usable_ids(table) == ["near"]
    table.tick(50.0)
    assert sorted(list_usable_ids(table)) == ["far", "near"]


def test_position_restarts_with_a_new_control_host_process() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(make_notice(), incarnation="1"), 0.0)
    assert table.find_position(CONTROL_A) == ("1", 1)
    table.apply(CONTROL_A, make_page(incarnation="2"), 1.0)
    assert table.find_position(CONTROL_A) == ("2", 0)
    assert list_usable_ids(table) == []


# Guards against a target that told one entry host that it leaves, and is used by others
# since its heartbeats go on saying that it is ready.
def test_departure_told_to_one_entry_host_reaches_the_others() -> None:
    registry, told, other = TargetRegistry(1.0), TargetTable(), TargetTable()
    tables = (told, other)

    def poll(now: float) -> None:
        for table in tables:
            for each in table.list_unknown_departures(CONTROL_A):
                registry.handle_reported_departure(each.target, each.born, now)
        for table in tables:
            changes = registry.list_changes(0)
            page = FeedPage(incarnation="1", position=0, changes=changes)
            table.apply(CONTROL_A, page, now)

    registry.handle_heartbeat(make_notice(born=4, sequence=1), 0.0)
    poll(0.1)
    told.record_departure("t", 4, 0.2)
    assert (list_usable_ids(told), list_usable_ids(other)) == ([], ["t"])
    poll(0.3)
    assert (list_usable_ids(told), list_usable_ids(other)) == ([], [])
    assert told.list_unknown_departures(CONTROL_A) == ()
    registry.handle_heartbeat(make_notice(born=4, sequence=2), 1.0)
    poll(1.1)
    assert list_usable_ids(other) == []
    registry.handle_heartbeat(make_notice(born=5, sequence=1), 2.0)
    poll(2.1)
    assert (list_usable_ids(told), list_usable_ids(other)) == (["t"], ["t"])


# Guards against a target that is counted as leaving while a new process serves under
# its id, or once it is gone.
def test_leaving_targets_are_listed_until_they_return_or_are_gone() -> None:
    table = TargetTable()
    draining = make_notice(born=1, sequence=2, readiness=Readiness.DRAINING)
    table.apply(CONTROL_A, make_page(draining), 0.0)
    table.apply(CONTROL_B, make_page(make_notice(born=1)), 0.1)
    assert table.list_leaving() == (draining,)
    table.apply(CONTROL_B, make_page(make_notice(born=2)), 0.2)
    assert table.list_leaving() == ()
    gone = make_notice(born=2, readiness=Readiness.GONE)
    table.apply(CONTROL_B, make_page(gone), 0.3)
    table.apply(CONTROL_A, make_page(gone), 0.3)
    assert table.list_leaving() == ()


# Guards against a target that had left and is in use again after some minutes, or after
# a restart of the control hosts.
def test_departed_target_stays_away_while_its_heartbeats_say_it_is_ready() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_page(make_notice(born=4)), 0.0)
    table.record_departure("t", 4, 1.0)
    table.apply(CONTROL_A, make_page(make_notice(born=4), incarnation="2"), 400.0)
    table.apply(CONTROL_A, make_page(make_notice(born=4), incarnation="3"), 800.0)
    assert list_usable_ids(table) == []
    assert [each.target for each in table.list_unknown_departures(CONTROL_A)] == ["t"]


def make_versions_page(
    software: str, history_s: int, *, incarnation: str = "1"
) -> FeedPage:
    page = make_page(make_notice(software=software), incarnation=incarnation)
    controls = (CONTROL_A, CONTROL_B)
    return msgspec.structs.replace(page, control=controls, history_s=history_s)


# Guards against a host that has heard of one version only, and takes it for the only
# one although it hears too little, or knows too little of what was before.
def test_sole_version_is_known_only_from_most_control_hosts_that_know_history() -> None:
    table = TargetTable()
    table.apply(CONTROL_A, make_versions_page("v1", 40), 0.0)
    assert table.find_sole_version("photos", 0.0) is None
    table.apply(CONTROL_B, make_versions_page("v1", 3), 0.0)
    assert table.find_sole_version("photos", 0.0) is None
    table.apply(CONTROL_B, make_versions_page("v1", 40, incarnation="2"), 0.1)
    assert table.find_sole_version("photos", 0.2) == "v1"
    assert table.find_sole_version("photos", 2.0) is None


# Guards against a host that goes by what it heard before it was cut off for a while.
def test_history_of_versions_ends_with_a_gap() -> None:
    table = TargetTable()
    for control in (CONTROL_A, CONTROL_B):
        table.apply(control, make_versions_page("v1", 40), 0.0)
    assert table.find_sole_version("photos", 0.0) == "v1"
    for control in (CONTROL_A, CONTROL_B):
        table.apply(control, make_versions_page("v1", 0, incarnation="2"), 9.0)
    assert table.find_sole_version("photos", 9.0) is None


def read_page_without_software(*notices: TargetHeartbeat) -> FeedPage:
    """Return a page as a control host writes it that knows no software versions."""
    page = msgspec.to_builtins(make_page(*notices))
    for change in page["changes"]:
        del change["notice"]["software"]
    return msgspec.convert(page, FeedPage)


# Guards against streams that are joined of two versions beside control hosts of an
# earlier build: what they don't tell was taken for one version that all targets have.
def test_versions_that_a_control_host_does_not_tell_are_not_known() -> None:
    table = TargetTable()
    notices = [make_notice(name, software=f"v-{name}") for name in ("t", "u")]
    table.apply(CONTROL_A, read_page_without_software(*notices), 0.0)
    assert [each.software for each in table.list_usable("photos")] == [None, None]
    assert table.software.find_sole_version("photos", 1.0) is None


def test_version_that_one_of_two_control_hosts_tells_counts() -> None:
    table = TargetTable()
    notice = make_notice(software="v1")
    table.apply(CONTROL_A, read_page_without_software(notice), 0.0)
    table.apply(CONTROL_B, make_page(notice), 0.1)
    assert [each.software for each in table.list_usable("photos")] == ["v1"]
    assert table.software.find_sole_version("photos", 1.0) == "v1"


def test_untold_version_of_a_target_that_has_vanished_may_be_any() -> None:
    table = TargetTable()
    gone = make_notice("u", readiness=Readiness.GONE)
    table.apply(
        CONTROL_A, read_page_without_software(make_notice(), make_notice("u")), 0.0
    )
    table.apply(CONTROL_A, read_page_without_software(gone), 0.1)
    table.apply(CONTROL_B, make_page(make_notice(software="v1")), 0.2)
    assert [each.software for each in table.list_usable("photos")] == ["v1"]
    assert table.software.find_sole_version("photos", 1.0) is None


def test_target_that_names_no_version_has_one_of_its_own() -> None:
    table = TargetTable()
    notice, unnamed = make_notice(software="v1"), make_notice("u", software="")
    table.apply(CONTROL_B, make_page(notice, unnamed), 0.2)
    assert {each.software for each in table.list_usable("photos")} == {"v1", ""}
