"""Connections to other processes, kept for reuse while they can be trusted."""

from __future__ import annotations

import curio
import h11
import msgspec

from bramleyspread_core import Address
from bramleyspread_daemon._client import (
    ClientConnection,
    ClosedError,
    Response,
    fetch,
)
from bramleyspread_daemon._clock import ProcessClock, read_monotonic

#: An idle connection is not used again after this long, in seconds.
MAX_IDLE_S = 15.0
#: A connection is not used again when it is this old, in seconds.
MAX_AGE_S = 120.0
#: Idle connections kept to one address.
MAX_IDLE_EACH = 64
#: Most time for opening a connection, in seconds.
CONNECT_S = 1.0


class PoolCounts(msgspec.Struct):
    """What a pool has done so far."""

    #: Connections opened.
    opened: int = 0
    #: Connections used again.
    reused: int = 0
    #: Idle connections dropped as old as a silent one.
    dropped: int = 0


class ConnectionPool:
    """Idle connections by address.

    A connection comes back only after a whole response; one with an abandoned
    answer is closed by its user and never given back.
    """

    __slots__ = ("_clock", "_idle", "counts")

    def __init__(self, clock: ProcessClock) -> None:
        self._clock = clock
        self._idle: dict[Address, list[ClientConnection]] = {}
        #: What it has done so far.
        self.counts = PoolCounts()

    async def take(
        self, address: Address, fresh: bool = False, timeout: float = CONNECT_S
    ) -> ClientConnection:
        """Take an idle connection, or open one.

        :param address: the far end.
        :param fresh: True to open one even when there is an idle one.
        :param timeout: most time for opening one, in seconds.
        :returns: a connection that belongs to the caller until given back.
        :raises UnsentError: when the address cannot be reached in time.
        """
        idle = self._idle.get(address, [])
        now = read_monotonic()
        while idle and not fresh:
            connection = idle.pop()
            if connection.is_reusable and _is_young(connection, now):
                self.counts.reused += 1
                return connection
            await connection.close()
        self.counts.opened += 1
        return await ClientConnection.open(address, self._clock, timeout)

    async def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection for reuse if it can be trusted, else close it.

        :param connection: one whose response was read to its end.
        """
        idle = self._idle.setdefault(connection.address, [])
        young = _is_young(connection, read_monotonic())
        if young and connection.is_reusable and len(idle) < MAX_IDLE_EACH:
            idle.append(connection)
        else:
            await connection.close()

    async def drop_old(self, address: Address, opened_by: float) -> int:
        """Close the idle connections that are as old as a silent one.

        :param address: the far end.
        :param opened_by: when the silent one was opened, in monotonic seconds.
        :returns: how many were closed.
        """
        idle = self._idle.get(address, [])
        old = [each for each in idle if each.opened_at <= opened_by]
        idle[:] = [each for each in idle if each.opened_at > opened_by]
        for connection in old:
            await connection.close()
        self.counts.dropped += len(old)
        return len(old)

    async def close_idle(self, now: float) -> None:
        """Close the idle connections that are too old to be used again.

        :param now: monotonic seconds.
        """
        for address in tuple(self._idle):
            idle = self._idle[address]
            old = [each for each in idle if not _is_young(each, now)]
            idle[:] = [each for each in idle if _is_young(each, now)]
            if not idle:
                del self._idle[address]
            for connection in old:
                await connection.close()

    async def ask(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: float,
        method: str = "POST",
        connect_timeout: float = CONNECT_S,
    ) -> Response:
        """Make one request with a whole response.

        :param address: the far end.
        :param path: the path.
        :param body: JSON.
        :param timeout: most time for it, in seconds.
        :param method: the method.
        :param connect_timeout: most time for opening a connection, in seconds.
        :returns: the response.
        :raises UnsentError: when no byte of the request left.
        :raises ClosedError: when the response did not come whole in time; the
            connection, and idle ones as old as it, are dropped.
        """
        connection = await self.take(address, timeout=min(timeout, connect_timeout))
        whole = False
        try:
            response: Response = await curio.timeout_after(
                timeout, fetch, connection, method, path, body
            )
            whole = True
        except curio.TaskTimeout:
            await self.drop_old(address, connection.opened_at)
            raise ClosedError(f"no whole answer within {timeout:.3f} s") from None
        except h11.RemoteProtocolError as error:
            raise ClosedError(f"not HTTP: {error}") from None
        finally:
            if whole:
                await self.give_back(connection)
            else:
                await connection.close()
        return response


def _is_young(connection: ClientConnection, now: float) -> bool:
    idle = now - connection.idle_since
    age = now - connection.opened_at
    return idle <= MAX_IDLE_S and age <= MAX_AGE_S
