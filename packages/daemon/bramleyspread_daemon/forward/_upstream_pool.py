"""Pool of connections to targets, opened by the path that works."""

from __future__ import annotations

import math
from collections.abc import Callable

from bramleyspread_core import Address
from bramleyspread_daemon._client import RequestNotSentError, TargetRefusedError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._traffic import Traffic
from bramleyspread_daemon.forward._held_bytes import DEFAULT_MAX_HELD_BYTES, HeldBytes
from bramleyspread_daemon.forward._target_connector import TargetConnector
from bramleyspread_daemon.forward._upstream import UpstreamConnection

#: Timeout for finding out whether connections are refused, in seconds.
CHECK_TIMEOUT_S = 0.25
#: Maximum number of idle connections kept per target.
MAX_IDLE_PER_TARGET = 16
#: Share of a target's own keep-alive time for which an idle connection is reused.
KEEP_ALIVE_SHARE = 0.6
#: How long an idle connection that another host relays is reused, and for how long any
#: is, in seconds; it keeps that host from stopping.
RELAYED_IDLE_S, RELAYED_MAX_AGE_S = 0.8, 2.0

#: Makes what opens a pool's connections.
MakeConnector = Callable[["UpstreamPool"], "TargetConnector[UpstreamConnection]"]


class UpstreamPool:
    """Pool of idle connections to targets."""

    __slots__ = ("_idle", "_traffic", "connector", "held", "opened", "reused")

    def __init__(
        self,
        traffic: Traffic | None = None,
        make_connector: MakeConnector | None = None,
        max_held_bytes: int = DEFAULT_MAX_HELD_BYTES,
    ) -> None:
        self._traffic = traffic if traffic is not None else Traffic()
        #: Bytes that are kept of the responses on all connections.
        self.held = HeldBytes(max_held_bytes)
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        #: Opens connections by the path that works; None to open all directly.
        self.connector = make_connector(self) if make_connector is not None else None
        #: Number of connections opened.
        self.opened = 0
        #: Number of times a connection was reused.
        self.reused = 0

    async def acquire(
        self, address: Address, timeout: float, *, max_idle_s: float = math.inf
    ) -> UpstreamConnection:
        """Take an idle connection from the pool, or open a new one.

        :param address: the target's address.
        :param timeout: connect timeout, in seconds.
        :param max_idle_s: maximum time for which a reused connection may have been
            idle, in seconds; 0 to always open a new one.
        :returns: a connection that the caller owns.
        :raises RequestNotSentError: if the target can't be reached in time.
        """
        idle = self._idle.get(address, [])
        now = read_monotonic()
        while idle and max_idle_s > 0:
            connection = idle.pop()
            is_fresh = now - connection.idle_since < min(
                connection.max_idle_s, max_idle_s
            )
            if is_fresh and connection.is_reusable and not self._may_hang(connection):
                self.reused += 1
                return connection
            await connection.close()
        self.opened += 1
        if self.connector is not None:
            return await self.connector.open(address, timeout)
        return await self.open_directly(address, timeout)

    def _may_hang(self, connection: UpstreamConnection) -> bool:
        """Whether a kept connection may hang, since new ones do."""
        if self.connector is None or connection.is_relayed:
            return False
        return self.connector.paths.is_silent(connection.address)

    async def open_directly(
        self, address: Address, timeout: float
    ) -> UpstreamConnection:
        """Open a connection to a target without a relay.

        :raises RequestNotSentError: if the target can't be reached in time.
        """
        return await UpstreamConnection.open(address, timeout, self.held)

    def wrap_relayed(
        self, connection: Connection, address: Address
    ) -> UpstreamConnection:
        """Use a connection to a target that another host relays."""
        wrapped = UpstreamConnection(connection, address, self.held)
        wrapped.is_relayed = True
        return wrapped

    async def is_refused(self, address: Address) -> bool:
        """Find whether nothing accepts connections at an address.

        :returns: False as well if the machine doesn't answer in time.
        """
        if self.connector is not None:
            return await self.connector.is_refused(address, CHECK_TIMEOUT_S)
        try:
            connection = await self.acquire(address, CHECK_TIMEOUT_S, max_idle_s=0.0)
        except TargetRefusedError:
            return True
        except RequestNotSentError:
            return False
        await connection.close()
        return False

    async def release_connection(
        self, connection: UpstreamConnection, keep_alive_s: float | None
    ) -> None:
        """Return a connection to the pool after its response was read completely.

        :param connection: the connection.
        :param keep_alive_s: how long the target keeps it open while idle, in seconds;
            None if the target doesn't say.
        """
        connection.release_response()
        if keep_alive_s is not None:
            connection.max_idle_s = keep_alive_s * KEEP_ALIVE_SHARE
        if connection.is_relayed:
            left_s = connection.opened_at + RELAYED_MAX_AGE_S - read_monotonic()
            connection.max_idle_s = min(connection.max_idle_s, RELAYED_IDLE_S, left_s)
        idle = self._idle.setdefault(connection.address, [])
        if connection.is_reusable and len(idle) < MAX_IDLE_PER_TARGET:
            idle.append(connection)
        else:
            await connection.close()

    def record_traffic(self, conversation: str, connection: UpstreamConnection) -> None:
        """Count the bytes of a connection's last exchange.

        :param conversation: name of the conversation.
        :param connection: the connection that carried it.
        """
        self._traffic.record_exchange(conversation, connection)

    async def close_idle_to(self, address: Address) -> None:
        """Close all idle connections to a target."""
        for connection in self._idle.pop(address, []):
            await connection.close()

    async def close_expired(self) -> None:
        """Close idle connections that are too old to be reused."""
        now = read_monotonic()
        for address, idle in tuple(self._idle.items()):
            expired = [
                each for each in idle if now - each.idle_since >= each.max_idle_s
            ]
            idle[:] = [each for each in idle if each not in expired]
            if not idle:
                del self._idle[address]
            for connection in expired:
                await connection.close()
