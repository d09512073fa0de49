"""Which news of a target counts."""

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


def make(incarnation: int, sequence: int, leaving: bool = False) -> Announcement:
    net = Network({})
    net.zones["a-0"] = "a"
    net.add_target("t-1", "a")
    state = TargetState.LEAVING if leaving else TargetState.SERVING
    target = net.targets["t-1"]
    return replace(target, incarnation=incarnation, sequence=sequence, state=state)


@pytest.mark.parametrize(
    ("news", "age", "merge", "usable"),
    [
        (make(5, 11), 0.0, MergeResult.RENEWED, True),
        (make(5, 10), 0.0, MergeResult.IGNORED, True),
        (make(5, 9), 0.0, MergeResult.IGNORED, True),
        (make(4, 99), 0.0, MergeResult.IGNORED, True),
        (make(6, 1), 0.0, MergeResult.CHANGED, True),
        (make(6, 1), 9.0, MergeResult.IGNORED, True),
        (make(5, 1, leaving=True), 0.0, MergeResult.LEAVING, False),
        (make(6, 1, leaving=True), 0.0, MergeResult.LEAVING, False),
        (make(4, 99, leaving=True), 0.0, MergeResult.IGNORED, True),
    ],
)
def test_newer_news_wins(
    news: Announcement, age: float, merge: MergeResult, usable: bool
) -> None:
    table = TargetTable(2.5, 60.0, ContractWatch(strict=True))
    table.merge(make(5, 10), 100.0, HOST, 100.0)
    assert table.merge(news, 101.0 - age, HOST, 101.0) is merge
    assert bool(table.list_usable(POOL, 101.0)) is usable
    repeated = table.merge(make(5, 10), 101.0, HOST, 101.0)
    assert repeated is MergeResult.IGNORED


def test_repeated_announcement_renews_nothing() -> None:
    table = TargetTable(2.5, 60.0, ContractWatch(strict=True))
    table.merge(make(5, 10), 100.0, HOST, 100.0)
    table.merge(make(5, 10), 102.0, HOST, 102.0)
    assert not table.list_usable(POOL, 102.6)


def test_target_name_cannot_be_revived_by_a_relay() -> None:
    table = TargetTable(2.5, 60.0, ContractWatch(strict=True))
    assert table.mark_leaving(TargetName("t-1"), 5, 100.0) is MergeResult.LEAVING
    assert table.merge(make(5, 10), 100.0, HOST, 100.0) is MergeResult.IGNORED
    assert not table.list_usable(POOL, 100.0)
