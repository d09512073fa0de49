"""A pool of reusable connections to targets and other hosts."""

from __future__ import annotations

import curio
import h11
import msgspec

from bramleyspread_core import Address
from bramleyspread_daemon._client import (
    ClientConnection,
    ConnectionClosedError,
    Response,
    fetch,
)
from bramleyspread_daemon._clock import ProcessClock, read_monotonic
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_daemon._traffic import Traffic

#: Maximum idle time after which a connection is not reused.
MAX_IDLE_S = 15.0
#: Maximum age after which a connection is not reused.
MAX_AGE_S = 120.0
#: Maximum idle connections per address.
MAX_IDLE_PER_ADDRESS = 64
#: Default timeout for opening a connection.
CONNECT_TIMEOUT_S = 1.0


class PoolCounts(msgspec.Struct):
    """Counters of a connection pool."""

    #: Connections opened.
    opened: int = 0
    #: Connections reused.
    reused: int = 0
    #: Idle connections closed because they were as old as an unresponsive one.
    dropped: int = 0


class ConnectionPool:
    """Idle connections by address.

    A connection is released to the pool only after a complete response. One whose
    response was abandoned is closed by its user instead.
    """

    __slots__ = ("_clock", "_idle", "counts", "traffic")

    def __init__(self, clock: ProcessClock) -> None:
        self._clock = clock
        self._idle: dict[Address, list[ClientConnection]] = {}
        #: Counters of its activity.
        self.counts = PoolCounts()
        #: Bytes of its requests, by path.
        self.traffic = Traffic()

    async def acquire(
        self,
        address: Address,
        force_new: bool = False,
        timeout: float = CONNECT_TIMEOUT_S,
    ) -> ClientConnection:
        """Take an idle connection from the pool, or open a new one.

        :param address: the address of the peer.
        :param force_new: whether to open a new one even when an idle one exists.
        :param timeout: the timeout for opening a connection, in seconds.
        :returns: a connection for exclusive use until it is released.
        :raises RequestNotSentError: when the connection cannot be established in time.
        """
        idle = self._idle.get(address, [])
        now = read_monotonic()
        while idle and not force_new:
            connection = idle.pop()
            if connection.is_reusable and _is_fresh(connection, now):
                self.counts.reused += 1
                return connection
            await connection.close()
        self.counts.opened += 1
        return await ClientConnection.open(address, self._clock, timeout)

    async def release_connection(self, connection: ClientConnection) -> None:
        """Return a connection to the pool if it is reusable, else close it.

        :param connection: a connection whose response was read completely.
        """
        idle = self._idle.setdefault(connection.address, [])
        is_fresh = _is_fresh(connection, read_monotonic())
        if is_fresh and connection.is_reusable and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            await connection.close()

    async def close_older(self, address: Address, opened_until: float) -> int:
        """Close the idle connections that are at least as old as an unresponsive one.

        :param address: the address of the peer.
        :param opened_until: when the unresponsive one was opened, as monotonic time
            in seconds.
        :returns: the number of closed connections.
        """
        idle = self._idle.get(address, [])
        old = [each for each in idle if each.opened_at <= opened_until]
        idle[:] = [each for each in idle if each.opened_at > opened_until]
        for connection in old:
            await connection.close()
        self.counts.dropped += len(old)
        return len(old)

    async def close_idle(self, now: float) -> None:
        """Close the idle connections that are too old to be reused.

        :param now: the monotonic time, in seconds.
        """
        for address in tuple(self._idle):
            idle = self._idle[address]
            old = [each for each in idle if not _is_fresh(each, now)]
            idle[:] = [each for each in idle if _is_fresh(each, now)]
            if not idle:
                del self._idle[address]
            for connection in old:
                await connection.close()

    async def request(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: float,
        method: str = "POST",
        connect_timeout: float = CONNECT_TIMEOUT_S,
    ) -> Response:
        """Send one request and wait for the complete response.

        :param address: the address of the peer.
        :param path: the path.
        :param body: JSON.
        :param timeout: the timeout for the request, in seconds.
        :param method: the HTTP method.
        :param connect_timeout: the timeout for opening a connection, in seconds.
        :returns: the response.
        :raises RequestNotSentError: when no byte of the request was sent.
        :raises ConnectionClosedError: when the connection closes, the response is not
            valid HTTP, or it is not complete in time. After a timeout, idle connections
            at least as old are closed too.
        """
        connection = await self.acquire(address, timeout=min(timeout, connect_timeout))
        is_complete = False
        try:
            response: Response = await timeout_after(
                timeout, fetch, connection, method, path, body
            )
            is_complete = True
        except curio.TaskTimeout:
            await self.close_older(address, connection.opened_at)
            raise ConnectionClosedError(
                f"no whole answer within {timeout:.3f} s"
            ) from None
        except h11.RemoteProtocolError as error:
            raise ConnectionClosedError(f"not HTTP: {error}") from None
        finally:
            self.traffic.record_exchange(path, connection)
            if is_complete:
                await self.release_connection(connection)
            else:
                await connection.close()
        return response


def _is_fresh(connection: ClientConnection, now: float) -> bool:
    idle = now - connection.idle_since
    age = now - connection.opened_at
    return idle <= MAX_IDLE_S and age <= MAX_AGE_S
