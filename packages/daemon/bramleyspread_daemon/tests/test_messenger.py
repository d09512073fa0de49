"""Delivery of messages between hosts."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest
from loguru import logger

from bramleyspread_core import Address, HostName, PeerMessage, PeerSend
from bramleyspread_daemon._client import Response
from bramleyspread_daemon._messenger import REFUSAL_LOG_INTERVAL_S, PeerMessenger
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time

PEER = Address("10.0.0.7", 7100)
MESSAGE = PeerMessage(HostName("a"), HostName("b"), msgspec.Raw(b"{}"))


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
