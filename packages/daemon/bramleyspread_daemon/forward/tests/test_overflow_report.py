"""Log lines about work that a plan sends to other zones."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from loguru import logger

from bramleyspread_capacity import ZoneShare
from bramleyspread_daemon.forward._overflow_report import OverflowReport
from bramleyspread_forwarding import ShardId

SHARD = ShardId("photos", 0)


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Collect the texts of log lines, with their shares."""
    written: list[str] = []

    def write(message: object) -> None:
        record = message.record  # type: ignore[attr-defined]
        written.append(f"{record['message']} {record['extra']['share']}")

    number = logger.add(write, level="INFO")
    yield written
    logger.remove(number)


def make_share(share: float) -> ZoneShare:
    return ZoneShare("z0", "z1", share, 10.0, 20.0)


# Guards against four lines in a second for each pair of zones.
def test_shares_are_logged_when_they_begin_change_and_end(lines: list[str]) -> None:
    report = OverflowReport()
    report.update(SHARD, (), 0.0)
    for at in range(8):
        report.update(SHARD, (make_share(0.1 + at * 0.01),), at * 0.25)
    report.update(SHARD, (make_share(0.5),), 2.0)
    report.update(SHARD, (make_share(0.9),), 2.25)
    assert report.list_shares() == [(SHARD, make_share(0.9))]
    report.update(SHARD, (), 2.5)
    report.update(SHARD, (), 2.75)
    assert lines == ["begun 0.1", "changed 0.5", "ended 0.9"]
    assert report.list_shares() == []
