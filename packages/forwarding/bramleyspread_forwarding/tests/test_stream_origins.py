"""Which software version began a stream, and which hosts are told."""

from __future__ import annotations

import pytest

from bramleyspread_core import Address
from bramleyspread_forwarding import (
    EntryHost,
    StreamOrigin,
    StreamOrigins,
    list_keepers,
)
from bramleyspread_forwarding import _stream_origins as stream_origins
from bramleyspread_forwarding._stream_origins import COPIES, ORIGIN_RETENTION_S


def make_origin(number: int) -> StreamOrigin:
    return StreamOrigin(f"s-{number}", "llm", "v1")


def test_each_origin_is_told_once_in_messages_of_limited_size(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS_PER_MESSAGE", 3)
    table, revision = StreamOrigins(), 0
    told: list[StreamOrigin] = []
    for number in range(5):
        table.record(make_origin(number), 0.0)
    for _ in range(3):
        revision, origins = table.list_news(revision, with_copies=False)
        assert len(origins) <= 3
        told += origins
    assert told == [make_origin(number) for number in range(5)]


# Guards against hosts that tell each other for ever what they were told.
def test_copies_are_told_only_by_the_first_keeper() -> None:
    table = StreamOrigins()
    table.apply_copies([make_origin(1)], 0.0)
    assert table.list_news(0, with_copies=False)[1] == ()
    assert table.list_news(0, with_copies=True)[1] == (make_origin(1),)


def test_origin_is_kept_longer_if_its_stream_is_taken_up_again() -> None:
    table = StreamOrigins()
    table.record(make_origin(1), 0.0)
    table.record(make_origin(2), 0.0)
    table.record(make_origin(1), ORIGIN_RETENTION_S)
    now = ORIGIN_RETENTION_S + 1.0
    table.expire(now)
    assert (len(table), table.find("s-1", now)) == (1, make_origin(1))


def test_table_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 10)
    table = StreamOrigins()
    for number in range(30):
        table.record(make_origin(number), 0.0)
    assert len(table) == 10
    assert table.find("s-29", 0.0) is not None


def test_hosts_agree_on_keepers_of_several_zones() -> None:
    hosts = [
        EntryHost(f"e{at}", f"z{at % 3}", Address("10.0.0.1", at)) for at in range(30)
    ]
    keepers = list_keepers("llm", hosts)
    assert keepers == list_keepers("llm", hosts[::-1])
    assert len(set(keepers)) == COPIES
    assert {each.zone for each in keepers[:3]} == {"z0", "z1", "z2"}
