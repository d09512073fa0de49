"""HTTP requests that this process makes, by h11."""

from __future__ import annotations

import curio
import h11
import msgspec

from bramleyspread_core import Address
from bramleyspread_daemon._clock import STAMP_HEADER, ProcessClock, read_monotonic
from bramleyspread_daemon._connection import Connection

#: Most bytes of a response's head.
MAX_HEAD_BYTES = 16_384
#: Most bytes of a whole response.
MAX_RESPONSE_BYTES = 16_777_216

#: A peer that acknowledges nothing for this long is given up, in milliseconds.
SILENT_MS = 600

#: What is left to read of a chunk whose data was handed out.
_CHUNK_END = b"\r\n"


class ClosedError(Exception):
    """The peer, or this side, closed the connection before the response's end."""


class UnsentError(Exception):
    """No byte of the request left this process."""


class Response(msgspec.Struct, frozen=True):
    """A whole HTTP response."""

    #: The HTTP status.
    status: int
    #: The body.
    body: bytes


class ClientConnection:
    """A connection that this process opened; it carries one request at a time."""

    __slots__ = (
        "_clock",
        "_connection",
        "_ended",
        "_http",
        "_is_dry",
        "_is_over",
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
        self._ended = False
        self._is_dry = True
        self._is_over = False
        #: The far end.
        self.address = address
        #: When its last response ended, in monotonic seconds.
        self.idle_since = connection.opened_at

    @classmethod
    async def open(
        cls, address: Address, clock: ProcessClock, timeout: float
    ) -> ClientConnection:
        """Connect to an address.

        :param address: the far end.
        :param clock: stamps the requests.
        :param timeout: most time for it, in seconds.
        :returns: the connection.
        :raises UnsentError: when it cannot be reached in time.
        """
        try:
            connection = await curio.timeout_after(timeout, Connection.open, address)
        except curio.TaskTimeout:
            raise UnsentError(f"not connected within {timeout:.3f} s") from None
        except OSError as error:
            raise UnsentError(f"not connected: {error.strerror or error}") from None
        connection.watch(SILENT_MS)
        return cls(connection, address, clock)

    @property
    def opened_at(self) -> float:
        """When it was opened, in monotonic seconds."""
        return self._connection.opened_at

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            self._http.our_state is h11.IDLE
            and not self._http.trailing_data[0]
            and self._connection.is_quiet()
        )

    async def send(self, method: str, path: str, body: bytes) -> None:
        """Send a request.

        :param method: such as ``POST``.
        :param path: the path.
        :param body: JSON; may be empty.
        :raises UnsentError: when no byte of it left.
        :raises ClosedError: when only a part of it left, or may have left.
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
            sent = self._connection.send_first(data)
        except OSError as error:
            raise UnsentError(f"not sent: {error.strerror or error}") from None
        if sent == len(data):
            return
        try:
            await self._connection.send_all(data[sent:])
        except OSError as error:
            raise ClosedError(f"partly sent: {error.strerror or error}") from None

    async def read_head(self) -> h11.Response:
        """Wait for the head of the response.

        :returns: the head.
        :raises ClosedError: when the connection ends before.
        :raises h11.RemoteProtocolError: when it is not HTTP.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.Response):
                self._merge_stamp(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ClosedError("closed before the answer")

    async def read_piece(self) -> bytes:
        """Wait for the next piece of the response's body.

        :returns: all that came of it so far; nothing at the end.
        :raises ClosedError: when the connection ends before the response does.
        :raises h11.RemoteProtocolError: when it is not HTTP.
        """
        pieces: list[bytes] = []
        while not self._ended:
            if self._is_dry:
                await self._read_more()
            event = self._take_event()
            if event is h11.NEED_DATA:
                if pieces:
                    break
            elif isinstance(event, h11.Data):
                pieces.append(event.data)
                if event.chunk_end and self._http.trailing_data[0] == _CHUNK_END:
                    self._is_dry = True
                    break
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
            else:
                raise ClosedError("closed in the middle of the answer")
        if not pieces:
            self._end_cycle()
        return b"".join(pieces)

    async def read_body(self) -> bytes:
        """Wait for the whole body of the response.

        :returns: the body.
        :raises ClosedError: when the connection ends before, or it is too long.
        :raises h11.RemoteProtocolError: when it is not HTTP.
        """
        pieces: list[bytes] = []
        size = 0
        while piece := await self.read_piece():
            size += len(piece)
            if size > MAX_RESPONSE_BYTES:
                raise ClosedError(f"answer over {MAX_RESPONSE_BYTES} bytes")
            pieces.append(piece)
        return b"".join(pieces)

    async def _read_event(self) -> object:
        while (event := self._take_event()) is h11.NEED_DATA:
            await self._read_more()
        return event

    def _take_event(self) -> object:
        """Take the next event of what was read, or note that nothing is left."""
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            if self._is_over:
                raise ClosedError("closed in the middle of the answer") from None
            raise
        if event is h11.NEED_DATA:
            self._is_dry = True
        return event

    async def _read_more(self) -> None:
        data = await self._connection.read()
        if not data:
            self._is_over = True
            if self._http.their_state is not h11.SEND_BODY:
                raise ClosedError("closed before the answer")
        self._is_dry = False
        self._http.receive_data(data)

    def _merge_stamp(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name == b"x-stamp":
                self._clock.merge_text(value.decode("ascii", "replace"))

    def _end_cycle(self) -> None:
        self._ended = False
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.idle_since = read_monotonic()

    def abort(self) -> None:
        """Cut the connection; a waiting read ends with :class:`ClosedError`."""
        self._connection.abort()

    async def reset(self) -> None:
        """Release the connection; bytes not yet sent are dropped."""
        await self._connection.reset()

    async def close(self) -> None:
        """Release the connection."""
        await self._connection.close()


async def fetch(
    connection: ClientConnection, method: str, path: str, body: bytes
) -> Response:
    """Send a request and wait for the whole response.

    :param connection: a reusable connection.
    :param method: such as ``POST``.
    :param path: the path.
    :param body: JSON; may be empty.
    :returns: the response.
    :raises UnsentError: when no byte of the request left.
    :raises ClosedError: when the connection ended before the response did.
    :raises h11.RemoteProtocolError: when the response is not HTTP.
    """
    await connection.send(method, path, body)
    head = await connection.read_head()
    return Response(head.status_code, await connection.read_body())
