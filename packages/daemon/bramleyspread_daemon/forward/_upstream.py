"""Connections to targets that carry other people's requests."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Sequence
from typing import Any

import curio
import h11

from bramleyspread_core import Address
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._connection import Connection

#: Most bytes of an answer's head.
MAX_HEAD_BYTES = 65_536
#: Most bytes of an answer that is kept whole before it is passed on.
MAX_ANSWER_BYTES = 16_777_216
#: Unacknowledged bytes end a connection after this long, in milliseconds.
SILENT_MS = 1_000
#: How long a connection is kept idle where its target doesn't say, in seconds.
KEPT_S = 3.0
#: The part of a target's own limit after which an idle connection isn't used.
KEPT_SHARE = 0.6
#: Idle connections kept to one target.
MAX_IDLE_EACH = 16


class UpstreamConnection:
    """A connection to a target; it carries one request at a time."""

    __slots__ = (
        "_connection",
        "_http",
        "_over",
        "_sending",
        "address",
        "idle_since",
        "kept_s",
    )

    def __init__(self, connection: Connection, address: Address) -> None:
        self._connection = connection
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._sending: Any = None
        self._over = False
        #: The far end.
        self.address = address
        #: When its last answer ended, in monotonic seconds.
        self.idle_since = connection.opened_at
        #: How long it may be idle before it isn't used again, in seconds.
        self.kept_s = KEPT_S

    @classmethod
    async def open(cls, address: Address, timeout: float) -> UpstreamConnection:
        """Connect to a target.

        :param address: where it takes calls.
        :param timeout: most time for it, in seconds.
        :returns: the connection.
        :raises UnsentError: when it can't be reached in time.
        """
        try:
            connection = await curio.timeout_after(timeout, Connection.open, address)
        except curio.TaskTimeout:
            raise UnsentError(f"not connected within {timeout:.3f} s") from None
        except OSError as error:
            raise UnsentError(f"not connected: {error.strerror or error}") from None
        connection.watch(SILENT_MS)
        return cls(connection, address)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            self._http.our_state is h11.IDLE
            and self._sending is None
            and not self._http.trailing_data[0]
            and self._connection.is_quiet()
        )

    async def send(
        self,
        method: str,
        target: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a request; what doesn't fit at once goes on in the background.

        :param method: the method.
        :param target: path and query.
        :param headers: all headers.
        :param body: the body.
        :raises UnsentError: when no byte of it left.
        """
        head = h11.Request(method=method, target=target, headers=list(headers))
        pieces = [self._http.send(head)]
        if body:
            pieces.append(self._http.send(h11.Data(data=body)))
        pieces.append(self._http.send(h11.EndOfMessage()))
        data = b"".join(piece for piece in pieces if piece)
        try:
            sent = self._connection.send_first(data)
        except OSError as error:
            raise UnsentError(f"not sent: {error.strerror or error}") from None
        if sent < len(data):
            self._sending = await curio.spawn(self._send_rest, data[sent:], daemon=True)

    async def _send_rest(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            await self._connection.send_all(data)
        self._sending = None

    async def read_head(self) -> h11.Response:
        """Wait for the head of the answer.

        :returns: the head.
        :raises ClosedError: when the connection ends before, or it is no HTTP.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ClosedError("closed before the answer")

    async def read_piece(self) -> bytes:
        """Wait for the next bytes of the answer's body.

        :returns: the bytes; none at its end.
        :raises ClosedError: when the connection ends before the answer does.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._end_cycle()
                return b""
            raise ClosedError("closed in the middle of the answer")

    async def read_body(self) -> bytes:
        """Wait for the whole body.

        :returns: the body.
        :raises ClosedError: when the connection ends before, or it is too long.
        """
        pieces: list[bytes] = []
        size = 0
        while piece := await self.read_piece():
            size += len(piece)
            if size > MAX_ANSWER_BYTES:
                raise ClosedError(f"answer over {MAX_ANSWER_BYTES} bytes")
            pieces.append(piece)
        return b"".join(pieces)

    async def _read_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ClosedError(f"not HTTP: {error}") from None
            if event is not h11.NEED_DATA:
                return event
            data = await self._connection.read()
            if not data:
                if self._over:
                    raise ClosedError("closed")
                self._over = True
                if self._connection.was_reset:
                    raise ClosedError("reset")
            self._http.receive_data(data)

    def _end_cycle(self) -> None:
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        self.idle_since = read_monotonic()

    async def close(self) -> None:
        """Release the connection; bytes not yet sent are dropped."""
        if self._sending is not None:
            await self._sending.cancel(blocking=False)
        await self._connection.reset()


class UpstreamPool:
    """Idle connections to targets."""

    __slots__ = ("_idle", "opened", "reused")

    def __init__(self) -> None:
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        #: Connections opened.
        self.opened = 0
        #: Connections used again.
        self.reused = 0

    async def take(
        self, address: Address, timeout: float, *, idle_s: float = math.inf
    ) -> UpstreamConnection:
        """Take an idle connection, or open one.

        :param address: the target's address.
        :param timeout: most time for opening one, in seconds.
        :param idle_s: most time that it may have been idle, in seconds; 0 to open
            one in any case.
        :returns: a connection that belongs to the asker.
        :raises UnsentError: when the target can't be reached in time.
        """
        idle = self._idle.get(address, [])
        now = read_monotonic()
        while idle and idle_s > 0:
            connection = idle.pop()
            young = now - connection.idle_since < min(connection.kept_s, idle_s)
            if young and connection.is_reusable:
                self.reused += 1
                return connection
            await connection.close()
        self.opened += 1
        return await UpstreamConnection.open(address, timeout)

    async def give_back(
        self, connection: UpstreamConnection, keep_s: float | None
    ) -> None:
        """Keep a connection whose answer was read to its end.

        :param connection: the connection.
        :param keep_s: how long the target keeps it, in seconds, when it said so.
        """
        if keep_s is not None:
            connection.kept_s = keep_s * KEPT_SHARE
        idle = self._idle.setdefault(connection.address, [])
        if connection.is_reusable and len(idle) < MAX_IDLE_EACH:
            idle.append(connection)
        else:
            await connection.close()

    async def drop(self, address: Address) -> None:
        """Close the idle connections to a target."""
        for connection in self._idle.pop(address, []):
            await connection.close()

    async def close_idle(self) -> None:
        """Close the idle connections that won't be used again."""
        now = read_monotonic()
        for address, idle in tuple(self._idle.items()):
            old = [each for each in idle if now - each.idle_since >= each.kept_s]
            idle[:] = [each for each in idle if each not in old]
            if not idle:
                del self._idle[address]
            for connection in old:
                await connection.close()
