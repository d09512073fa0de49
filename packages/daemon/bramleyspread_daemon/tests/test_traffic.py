"""Tests of the counts of bytes by conversation, and of their log line."""

from __future__ import annotations

import json

import curio
import pytest
from loguru import logger

from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._traffic import Traffic
from bramleyspread_daemon.tests.loopback import run, start_server


def test_both_ends_count_the_same_bytes_under_the_path_of_the_request() -> None:
    async def main() -> None:
        async def answer(http: HttpRequest, reply: Reply) -> None:
            reply.send(200, b"x" * 10_000)

        server, address = await start_server(("POST", "/a", answer))
        server.counted_paths = frozenset({"/a"})
        pool = ConnectionPool(ProcessClock())
        for path in ("/a", "/a", "/b"):
            await pool.request(address, path, b"y" * 1_000, 1.0)
        while server.traffic.sent["other"] != pool.traffic.received["/b"]:
            await curio.sleep(0.001)
        assert server.traffic.sent["/a"] == pool.traffic.received["/a"] > 20_000
        assert server.traffic.received["/a"] == pool.traffic.sent["/a"] > 2_000
        assert server.traffic.received["other"] == pool.traffic.sent["/b"] > 1_000

    run(main)


def test_log_line_tells_share_of_the_link_and_busiest_conversation_first() -> None:
    lines: list[dict[str, object]] = []
    sink = logger.add(
        lambda text: lines.append(json.loads(text)["record"]["extra"]), serialize=True
    )
    traffic = Traffic()
    traffic.log(10.0, link_mbps=8.0)
    traffic.record("callers", 100_000, 10)
    traffic.record("/v1/pieces", 400_000, 20)
    traffic.log(11.0, link_mbps=8.0)
    traffic.log(12.0, link_mbps=0.0)
    logger.remove(sink)
    assert [each["link_share"] for each in lines] == [pytest.approx(0.5), None]
    assert lines[0]["sent"] == {"/v1/pieces": 400_000, "callers": 100_000}
    assert lines[0]["received_bytes"] == 30
    assert lines[1]["sent_bytes"] == 0
