"""Delivery of messages between hosts."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest
from loguru import logger

from bramleyspread_core import (
    MAX_CHANGE_BYTES,
    Address,
    HostName,
    PeerMessage,
    PeerSend,
)
from bramleyspread_daemon._client import ConnectionClosedError, Response
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._messenger import (
    DELIVERY_TIMEOUT_S,
    MAX_BATCH_BYTES,
    MAX_PENDING_BYTES,
    MAX_SLOWNESS,
    MIN_DELIVERY_RATE,
    REFUSAL_LOG_INTERVAL_S,
    PeerMessenger,
)
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time

PEER = Address("10.0.0.7", 7100)
MESSAGE = PeerMessage(HostName("a"), HostName("b"), msgspec.Raw(b"{}"))


def make_message(size: int) -> PeerMessage:
    """Make a message whose body has a size, in bytes."""
    body = msgspec.Raw(b'"' + b"x" * (size - 2) + b'"')
    return PeerMessage(HostName("a"), HostName("b"), body)


class SlowPool:
    """Takes deliveries, one a second."""

    def __init__(self) -> None:
        #: Size and timeout of each delivery, in bytes and seconds.
        self.deliveries: list[tuple[int, float]] = []

    async def request(
        self, _: Address, __: str, body: bytes, timeout: float
    ) -> Response:
        self.deliveries.append((len(body), timeout))
        await curio.sleep(1.0)
        return Response(204, b"")


class LinkPool:
    """Takes as many bytes a second of each delivery as a link does.

    :param rate: bytes a second.
    """

    def __init__(self, rate: int) -> None:
        self.rate = rate
        #: Sizes of the deliveries that arrived whole, with the time, in seconds.
        self.arrived: list[tuple[float, int]] = []
        #: Number of deliveries begun.
        self.begun = 0

    async def request(
        self, _: Address, __: str, body: bytes, timeout: float
    ) -> Response:
        self.begun += 1
        needed = len(body) / self.rate
        await curio.sleep(min(needed, timeout))
        if needed > timeout:
            raise ConnectionClosedError("no whole answer in time")
        self.arrived.append((read_monotonic(), len(body)))
        return Response(204, b"")


class RefusingPool:
    """Answers each request with one status."""

    def __init__(self, status: int) -> None:
        self.status = status

    async def request(self, *_: object) -> Response:
        return Response(self.status, b"")


def send_repeatedly(
    monkeypatch: pytest.MonkeyPatch, status: int, seconds: int
) -> tuple[PeerMessenger, list[Any]]:
    """Send a message a second to a peer that answers with one status.

    :returns: the messenger, and what it logged.
    """
    messenger = PeerMessenger(RefusingPool(status))  # type: ignore[arg-type]
    logged: list[Any] = []

    async def run() -> None:
        for _ in range(seconds):
            await messenger.send([PeerSend(PEER, MESSAGE)])
            await curio.sleep(1.0)

    number = logger.add(lambda line: logged.append(line.record), level="INFO")
    try:
        run_in_virtual_time(monkeypatch, run)
    finally:
        logger.remove(number)
    return messenger, logged


# Guards against messages that count as delivered while their receiver refuses them,
# so that a log that can't be handed on is sent for ever and no line says so.
def test_refused_messages_are_told_and_not_counted_as_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seconds = int(3 * REFUSAL_LOG_INTERVAL_S)
    messenger, logged = send_repeatedly(monkeypatch, 413, seconds)
    assert (messenger.sent, messenger.refused) == (0, seconds)
    assert len(logged) == 3
    assert logged[0]["message"] == "refused with 413"
    assert logged[0]["extra"]["peer"] == str(PEER)
    assert logged[0]["extra"]["bytes"] > 0


def test_accepted_messages_are_counted_and_not_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    messenger, logged = send_repeatedly(monkeypatch, 204, 3)
    assert (messenger.sent, messenger.refused, logged) == (3, 0, [])


# Guards against deliveries that no receiver takes, since they are bounded by the number
# of their messages alone, or that are given up before they can have arrived.
def test_deliveries_are_bounded_in_bytes_and_get_time_for_their_size(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pool = SlowPool()
    messenger = PeerMessenger(pool)  # type: ignore[arg-type]
    sizes = [MAX_BATCH_BYTES // 3] * 8 + [4 * MAX_BATCH_BYTES, 100, 100]

    async def run() -> None:
        await messenger.send([PeerSend(PEER, make_message(x)) for x in sizes])
        await curio.sleep(20.0)

    run_in_virtual_time(monkeypatch, run)
    assert messenger.sent == len(sizes)
    large = [size for size, _ in pool.deliveries if size > 1.1 * MAX_BATCH_BYTES]
    assert len(large) == 1
    for size, timeout in pool.deliveries:
        assert timeout >= DELIVERY_TIMEOUT_S + size / MIN_DELIVERY_RATE


# Guards against a queue that is bounded by the number of its messages alone, while a
# peer that takes none is sent the same large entry again and again.
def test_queued_messages_are_bounded_in_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    pool = SlowPool()
    messenger = PeerMessenger(pool)  # type: ignore[arg-type]
    message = make_message(MAX_PENDING_BYTES // 4)

    async def run() -> None:
        await messenger.send([PeerSend(PEER, message)] * 100)
        await curio.sleep(20.0)

    run_in_virtual_time(monkeypatch, run)
    assert sum(size for size, _ in pool.deliveries) < 2 * MAX_PENDING_BYTES
    assert messenger.lost + messenger.sent == 100


# Guards against heartbeats that wait behind a large entry for the same host, so that
# the leader that hands it on loses its lease.
def test_small_messages_pass_a_large_one(monkeypatch: pytest.MonkeyPatch) -> None:
    pool = LinkPool(MIN_DELIVERY_RATE)
    messenger = PeerMessenger(pool)  # type: ignore[arg-type]
    arrived: list[int] = []

    async def run() -> None:
        await messenger.send([PeerSend(PEER, make_message(MAX_CHANGE_BYTES))])
        for _ in range(4):
            await messenger.send([PeerSend(PEER, MESSAGE)])
            await curio.sleep(0.1)
        arrived.extend(size for _, size in pool.arrived)
        assert not messenger.is_idle
        await curio.sleep(1.0)

    run_in_virtual_time(monkeypatch, run)
    assert len(arrived) == 4
    assert max(arrived) < 1_000
    assert (messenger.sent, messenger.lost, messenger.is_idle) == (5, 0, True)


# Guards against an entry that is given up for ever at the same time, short of its end,
# because the link or the receiver is slower than expected.
def test_large_message_gets_more_time_after_each_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pool = LinkPool(MIN_DELIVERY_RATE // MAX_SLOWNESS)
    messenger = PeerMessenger(pool)  # type: ignore[arg-type]

    async def run() -> None:
        while not messenger.sent and messenger.lost < 10:
            await messenger.send([PeerSend(PEER, make_message(MAX_CHANGE_BYTES))])
            while not messenger.is_idle:
                await curio.sleep(0.1)

    run_in_virtual_time(monkeypatch, run)
    assert messenger.sent == 1
    assert messenger.lost <= MAX_SLOWNESS.bit_length()
