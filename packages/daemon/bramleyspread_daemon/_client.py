"""The HTTP client, built on h11."""

from __future__ import annotations

import curio
import h11
import msgspec

from bramleyspread_core import Address
from bramleyspread_daemon._clock import STAMP_HEADER, ProcessClock, read_monotonic
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_daemon._turns import Turns

#: Maximum size of a response's head.
MAX_HEAD_BYTES = 16_384
#: Maximum size of a response's body.
MAX_RESPONSE_BYTES = 16_777_216

#: A connection whose peer acknowledges no sent bytes for this long is closed.
ACK_TIMEOUT_MS = 600

#: The bytes that end a chunk. h11 returns the chunk's data before it consumes them, so
#: a buffer that contains only these bytes contains no further data.
_CHUNK_END = b"\r\n"


class ConnectionClosedError(Exception):
    """The connection was closed, by either side, before the response was complete."""


class RequestNotSentError(Exception):
    """No byte of the request was sent."""


class TargetRefusedError(RequestNotSentError):
    """Nothing accepts connections at the address, although its machine runs."""


class Response(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    #: The HTTP status.
    status: int
    #: The body.
    body: bytes


class ClientConnection:
    """A connection opened by this process that carries one request at a time."""

    __slots__ = (
        "_body_ended",
        "_clock",
        "_connection",
        "_http",
        "_needs_data",
        "_peer_closed",
        "_turns",
        "address",
        "idle_since",
    )

    def __init__(
        self, connection: Connection, address: Address, clock: ProcessClock
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._body_ended = False
        self._needs_data = True
        self._peer_closed = False
        self._turns = Turns()
        #: The address of the peer.
        self.address = address
        #: When its last response ended, as monotonic time in seconds.
        self.idle_since = connection.opened_at

    @classmethod
    async def open(
        cls, address: Address, clock: ProcessClock, timeout: float
    ) -> ClientConnection:
        """Connect to an address.

        :param address: the address of the peer.
        :param clock: the clock whose stamps are added to requests.
        :param timeout: the timeout in seconds.
        :returns: the connection.
        :raises RequestNotSentError: when the connection cannot be established in time.
        """
        try:
            connection = await timeout_after(timeout, Connection.open, address)
        except curio.TaskTimeout:
            raise RequestNotSentError(f"not connected within {timeout:.3f} s") from None
        except OSError as error:
            raise RequestNotSentError(
                f"not connected: {error.strerror or error}"
            ) from None
        connection.enable_peer_timeout(ACK_TIMEOUT_MS)
        return cls(connection, address, clock)

    @property
    def opened_at(self) -> float:
        """When it was opened, as monotonic time in seconds."""
        return self._connection.opened_at

    @property
    def is_reusable(self) -> bool:
        """Whether another request can be sent on it."""
        return (
            self._http.our_state is h11.IDLE
            and not self._http.trailing_data[0]
            and self._connection.is_idle()
        )

    async def send(self, method: str, path: str, body: bytes) -> None:
        """Send a request.

        :param method: the HTTP method.
        :param path: the path.
        :param body: JSON; may be empty.
        :raises RequestNotSentError: when no byte was sent.
        :raises ConnectionClosedError: when only a part was sent, or may have been sent.
        """
        headers = [
            ("host", str(self.address)),
            ("content-length", str(len(body))),
            ("content-type", "application/json"),
            (STAMP_HEADER, self._clock.tick_text()),
        ]
        head = h11.Request(method=method, target=path, headers=headers)
        pieces = [self._http.send(head)]
        if body:
            pieces.append(self._http.send(h11.Data(data=body)))
        pieces.append(self._http.send(h11.EndOfMessage()))
        data = b"".join(piece for piece in pieces if piece)
        try:
            sent = self._connection.send_nonblocking(data)
        except OSError as error:
            raise RequestNotSentError(f"not sent: {error.strerror or error}") from None
        if sent == len(data):
            return
        try:
            await self._connection.send_all(data[sent:])
        except OSError as error:
            raise ConnectionClosedError(
                f"partly sent: {error.strerror or error}"
            ) from None

    async def read_head(self) -> h11.Response:
        """Wait for the head of the response.

        :returns: the head.
        :raises ConnectionClosedError: when the connection closes first.
        :raises h11.RemoteProtocolError: when the response is not valid HTTP.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.Response):
                self._merge_stamp(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionClosedError("closed before the answer")

    async def read_chunk(self) -> bytes:
        """Wait for the next part of the response's body.

        :returns: all body bytes received so far; empty at the end of the body.
        :raises ConnectionClosedError: when the connection closes before the body is
            complete.
        :raises h11.RemoteProtocolError: when the response is not valid HTTP.
        """
        pieces: list[bytes] = []
        while not self._body_ended:
            if self._needs_data:
                await self._read_more()
            event = self._next_event()
            await self._turns.step()
            if event is h11.NEED_DATA:
                if pieces:
                    break
            elif isinstance(event, h11.Data):
                pieces.append(event.data)
                if event.chunk_end and self._http.trailing_data[0] == _CHUNK_END:
                    self._needs_data = True
                    break
            elif isinstance(event, h11.EndOfMessage):
                self._body_ended = True
            else:
                raise ConnectionClosedError("closed in the middle of the answer")
        if not pieces:
            self._end_cycle()
        return b"".join(pieces)

    async def read_body(self) -> bytes:
        """Wait for the complete body of the response.

        :returns: the body.
        :raises ConnectionClosedError: when the connection closes first, or the body is
            too long.
        :raises h11.RemoteProtocolError: when the response is not valid HTTP.
        """
        pieces: list[bytes] = []
        size = 0
        while piece := await self.read_chunk():
            size += len(piece)
            if size > MAX_RESPONSE_BYTES:
                raise ConnectionClosedError(f"answer over {MAX_RESPONSE_BYTES} bytes")
            pieces.append(piece)
        return b"".join(pieces)

    async def _read_event(self) -> object:
        while (event := self._next_event()) is h11.NEED_DATA:
            await self._read_more()
        await self._turns.step()
        return event

    def _next_event(self) -> object:
        """Return the next event of the received bytes, or note that more are needed."""
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            if self._peer_closed:
                raise ConnectionClosedError(
                    "closed in the middle of the answer"
                ) from None
            raise
        if event is h11.NEED_DATA:
            self._needs_data = True
        return event

    async def _read_more(self) -> None:
        data = await self._connection.read()
        if not data:
            self._peer_closed = True
            if self._connection.was_reset:
                raise ConnectionClosedError("reset")
            if self._http.their_state is not h11.SEND_BODY:
                raise ConnectionClosedError("closed before the answer")
        self._needs_data = False
        self._http.receive_data(data)

    def _merge_stamp(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name == b"x-stamp":
                self._clock.merge_text(value.decode("ascii", "replace"))

    def _end_cycle(self) -> None:
        self._body_ended = False
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.idle_since = read_monotonic()

    def take_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""
        return self._connection.take_byte_counts()

    def abort(self) -> None:
        """Close the connection at once.

        A pending read raises :class:`ConnectionClosedError`.
        """
        self._connection.abort()

    async def reset(self) -> None:
        """Close the connection and discard unsent bytes."""
        await self._connection.reset()

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()


async def fetch(
    connection: ClientConnection, method: str, path: str, body: bytes
) -> Response:
    """Send a request and wait for the complete response.

    :param connection: a reusable connection.
    :param method: the HTTP method.
    :param path: the path.
    :param body: JSON; may be empty.
    :returns: the response.
    :raises RequestNotSentError: when no byte of the request was sent.
    :raises ConnectionClosedError: when the connection closed before the response was
        complete.
    :raises h11.RemoteProtocolError: when the response is not valid HTTP.
    """
    await connection.send(method, path, body)
    head = await connection.read_head()
    return Response(head.status_code, await connection.read_body())
