"""Detects that another entry host has failed while an answer from it is pending."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import curio
from loguru import logger

from bramleyspread_core import Address
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_forwarding import EntryHost

T = TypeVar("T")

#: Path of the liveness endpoint that every process serves.
LIVE_PATH = "/v1/live"
#: Time to wait for an answer before the host is probed, in seconds. A call for pieces
#: takes about this long.
PROBE_DELAY_S = 0.4
#: Timeout of one probe, in seconds.
PROBE_TIMEOUT_S = 0.25
#: Number of failed probes after which a host counts as gone. A single probe may be
#: lost.
MAX_PROBES = 2
#: How long a successful probe proves that a host is alive, in seconds.
PROBE_VALIDITY_S = 0.3


class HostWatch:
    """Probes other hosts, but only while an answer from them is overdue.

    A host that lost power, is frozen or is partitioned may leave a connection open with
    every byte acknowledged, so that TCP reports no error. Only a probe tells such a
    host from a busy one.
    """

    __slots__ = ("_last_alive", "_peers")

    def __init__(self, peers: ConnectionPool) -> None:
        self._peers = peers
        self._last_alive: dict[Address, float] = {}

    async def wait(self, host: EntryHost, answer: Awaitable[T]) -> T | None:
        """Wait for a host's answer for as long as the host is alive.

        :param host: the host.
        :param answer: the pending answer.
        :returns: the answer; None if the host is gone, which is logged.
        """
        task = await curio.spawn(_await, answer)
        try:
            while True:
                try:
                    result: T = await timeout_after(PROBE_DELAY_S, task.join)
                except curio.TaskTimeout:
                    if not await self._is_alive(host.address):
                        logger.bind(step="watch", peer=host.host).warning("gone")
                        return None
                else:
                    return result
        finally:
            await task.cancel(blocking=False)

    async def _is_alive(self, address: Address) -> bool:
        for _ in range(MAX_PROBES):
            if read_monotonic() - self._last_alive.get(address, 0.0) < PROBE_VALIDITY_S:
                return True
            try:
                await self._peers.request(
                    address,
                    LIVE_PATH,
                    b"",
                    PROBE_TIMEOUT_S,
                    "GET",
                    connect_timeout=PROBE_TIMEOUT_S,
                )
            except (RequestNotSentError, ConnectionClosedError):
                continue
            self._last_alive[address] = read_monotonic()
        return read_monotonic() - self._last_alive.get(address, 0.0) < PROBE_VALIDITY_S


async def _await(answer: Awaitable[T]) -> T:
    return await answer
