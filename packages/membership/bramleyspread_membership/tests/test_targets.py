"""Tests which updates change the table of targets."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from bramleyspread_core import (
    Announcement,
    ContractWatch,
    HostName,
    TargetName,
    TargetState,
)
from bramleyspread_membership._record import MergeResult
from bramleyspread_membership._targets import TargetTable
from bramleyspread_membership.tests.network import POOL, Network

HOST = HostName("a-0")


def make_announcement(
    incarnation: int, sequence: int, leaving: bool = False
) -> Announcement:
    net = Network({})
    net.zones["a-0"] = "a"
    net.add_target("t-1", "a")
    state = TargetState.LEAVING if leaving else TargetState.SERVING
    target = net.targets["t-1"]
    return replace(target, incarnation=incarnation, sequence=sequence, state=state)


@pytest.mark.parametrize(
    ("update", "age", "expected", "usable"),
    [
        (make_announcement(5, 11), 0.0, MergeResult.RENEWED, True),
        (make_announcement(5, 10), 0.0, MergeResult.IGNORED, True),
        (make_announcement(5, 9), 0.0, MergeResult.IGNORED, True),
        (make_announcement(4, 99), 0.0, MergeResult.IGNORED, True),
        (make_announcement(6, 1), 0.0, MergeResult.CHANGED, True),
        (make_announcement(6, 1), 9.0, MergeResult.IGNORED, True),
        (make_announcement(5, 1, leaving=True), 0.0, MergeResult.LEAVING, False),
        (make_announcement(6, 1, leaving=True), 0.0, MergeResult.LEAVING, False),
        (make_announcement(4, 99, leaving=True), 0.0, MergeResult.IGNORED, True),
    ],
)
def test_only_newer_updates_take_effect(
    update: Announcement, age: float, expected: MergeResult, usable: bool
) -> None:
    table = TargetTable(2.5, 60.0, ContractWatch(strict=True))
    table.merge(make_announcement(5, 10), 100.0, HOST, 100.0)
    assert table.merge(update, 101.0 - age, HOST, 101.0) is expected
    assert bool(table.list_usable(POOL, 101.0)) is usable
    repeated = table.merge(make_announcement(5, 10), 101.0, HOST, 101.0)
    assert repeated is MergeResult.IGNORED


def test_repeated_announcement_does_not_renew_the_lease() -> None:
    table = TargetTable(2.5, 60.0, ContractWatch(strict=True))
    table.merge(make_announcement(5, 10), 100.0, HOST, 100.0)
    table.merge(make_announcement(5, 10), 102.0, HOST, 102.0)
    assert not table.list_usable(POOL, 102.6)


def test_relayed_announcement_does_not_make_a_leaving_incarnation_usable() -> None:
    table = TargetTable(2.5, 60.0, ContractWatch(strict=True))
    assert table.mark_leaving(TargetName("t-1"), 5, 100.0) is MergeResult.LEAVING
    assert (
        table.merge(make_announcement(5, 10), 100.0, HOST, 100.0) is MergeResult.IGNORED
    )
    assert not table.list_usable(POOL, 100.0)
