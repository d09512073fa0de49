"""Notices that another entry host no longer answers while something waits for it."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import curio
from loguru import logger

from bramleyspread_core import Address
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_forwarding import EntryHost

T = TypeVar("T")

#: Where every process says that it is there.
LIVE_PATH = "/v1/live"
#: How long an answer is waited for before its host is asked whether it is there, in
#: seconds; a call for pieces takes about this long.
PATIENCE_S = 0.4
#: Most time for a host to say that it is there, in seconds.
SIGN_S = 0.25
#: Signs of life that a host may miss, one after the other; one may be lost.
MOST_MISSED = 2
#: How long a sign of life counts, in seconds.
FRESH_S = 0.3


class HostWatch:
    """Signs of life of other hosts, asked for only while an answer is overdue.

    A host that lost power, is frozen or cut off keeps a connection open that it has
    acknowledged everything on: nothing but asking tells it from one that is busy.
    """

    __slots__ = ("_peers", "_seen")

    def __init__(self, peers: ConnectionPool) -> None:
        self._peers = peers
        self._seen: dict[Address, float] = {}

    async def wait(self, host: EntryHost, answer: Awaitable[T]) -> T | None:
        """Wait for a host's answer for as long as it is there.

        :param host: the host.
        :param answer: its answer to come.
        :returns: the answer; None when the host is gone, which is logged.
        """
        task = await curio.spawn(_await, answer)
        try:
            while True:
                try:
                    result: T = await curio.timeout_after(PATIENCE_S, task.join)
                except curio.TaskTimeout:
                    if not await self._is_there(host.address):
                        logger.bind(step="watch", peer=host.host).warning("gone")
                        return None
                else:
                    return result
        finally:
            await task.cancel(blocking=False)

    async def _is_there(self, address: Address) -> bool:
        for _ in range(MOST_MISSED):
            if read_monotonic() - self._seen.get(address, 0.0) < FRESH_S:
                return True
            try:
                await self._peers.ask(
                    address, LIVE_PATH, b"", SIGN_S, "GET", connect_timeout=SIGN_S
                )
            except (UnsentError, ClosedError):
                continue
            self._seen[address] = read_monotonic()
        return read_monotonic() - self._seen.get(address, 0.0) < FRESH_S


async def _await(answer: Awaitable[T]) -> T:
    return await answer
