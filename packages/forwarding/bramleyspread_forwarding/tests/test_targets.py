"""What an entry host makes of several control hosts' words."""

from __future__ import annotations

from bramleyspread_core import Address
from bramleyspread_forwarding import (
    FeedPage,
    Readiness,
    TargetChange,
    TargetNotice,
    TargetTable,
)
from bramleyspread_forwarding.tests.builders import make_notice

A, B = Address("10.0.0.1", 1), Address("10.0.0.2", 1)


def page(*notices: TargetNotice, silent: bool = False, life: str = "1") -> FeedPage:
    changes = tuple(TargetChange(each, silent) for each in notices)
    return FeedPage(life=life, position=len(changes), changes=changes)


def names(table: TargetTable) -> list[str]:
    return [each.target for each in table.list_usable("photos")]


def test_leaving_at_one_control_host_counts_whatever_others_believe() -> None:
    table = TargetTable()
    table.apply(A, page(make_notice(sequence=9)), 0.0)
    table.apply(B, page(make_notice(sequence=2, readiness=Readiness.DRAINING)), 0.1)
    assert names(table) == []


def test_silence_at_one_control_host_counts_only_alone() -> None:
    table = TargetTable()
    table.apply(A, page(make_notice()), 0.0)
    table.apply(B, page(make_notice(readiness=Readiness.GONE), silent=True), 0.1)
    assert names(table) == ["t"]
    table.apply(A, page(make_notice(readiness=Readiness.GONE), silent=True), 0.2)
    assert names(table) == []


def test_a_later_start_comes_back_under_its_id() -> None:
    table = TargetTable()
    table.apply(A, page(make_notice(born=1, readiness=Readiness.GONE)), 0.0)
    table.apply(B, page(make_notice(born=2)), 0.1)
    assert names(table) == ["t"]


def test_targets_of_an_unheard_control_host_come_last() -> None:
    table = TargetTable()
    table.apply(A, page(make_notice("far")), 0.0)
    table.apply(B, page(make_notice("near")), 0.0)
    table.apply(B, page(life="1"), 5.0)
    table.tick(5.0)
    assert names(table) == ["near"]
    table.tick(50.0)
    assert sorted(names(table)) == ["far", "near"]


def test_a_control_host_that_started_again_is_asked_from_the_beginning() -> None:
    table = TargetTable()
    table.apply(A, page(make_notice(), life="1"), 0.0)
    assert table.find_position(A) == ("1", 1)
    table.apply(A, page(life="2"), 1.0)
    assert table.find_position(A) == ("2", 0)
    assert names(table) == []
