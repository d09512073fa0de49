"""One HTTP request to this process, and the reply to it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import msgspec

from bramleyspread_core import encode_json

#: Header names and values, as they go out.
Headers = Sequence[tuple[str, str]]

JSON_TYPE = ("content-type", "application/json")
EVENTS_TYPE = ("content-type", "text/event-stream")


class HttpRequest(msgspec.Struct, frozen=True):
    """A whole HTTP request."""

    #: Such as ``POST``.
    method: str
    #: The path, without the query.
    path: str
    #: The query, without the question mark.
    query: str
    #: Headers by lower-case name; repeated ones joined by commas.
    headers: dict[str, str]
    #: The body.
    body: bytes
    #: Path and query as they came.
    target: str = ""
    #: The headers as they came, in their order.
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()


class ReplyCarrier(Protocol):
    """What carries the parts of a reply to the peer."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the peer to take them."""

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole reply in one piece."""

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a reply of unknown length."""

    def send_piece(self, piece: bytes) -> None:
        """Send a piece of a reply's body."""

    def send_end(self) -> None:
        """Send the end of a reply of unknown length."""

    def abort(self) -> None:
        """Cut the connection."""


class Reply:
    """The reply to one HTTP request, sent whole or piece by piece.

    Nothing here waits. What is sent after the caller left is dropped.
    """

    __slots__ = ("_connection", "begun", "ended", "left", "on_left")

    def __init__(self, connection: ReplyCarrier) -> None:
        self._connection = connection
        #: Whether the head was sent.
        self.begun = False
        #: Whether everything was sent.
        self.ended = False
        #: Whether the caller left before the end.
        self.left = False
        #: Awaited once when the caller leaves before the end.
        self.on_left: Callable[[], Awaitable[None]] | None = None

    def send(self, status: int, body: bytes, headers: Headers = (JSON_TYPE,)) -> None:
        """Send a whole reply.

        :param status: the HTTP status.
        :param body: the body.
        :param headers: headers besides length and stamp.
        """
        if self.ended or self.left:
            return
        self.begun = self.ended = True
        self._connection.send_whole(status, headers, body)

    def send_json(self, value: object, status: int = 200) -> None:
        """Send a typed value as a whole reply.

        :param value: the value.
        :param status: the HTTP status.
        """
        self.send(status, encode_json(value))

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the peer to take them; none once it has left."""
        return 0 if self.left else self._connection.unsent_bytes

    def begin_events(self) -> None:
        """Send the head of a stream of server-sent events."""
        if self.begun or self.left:
            return
        self.begun = True
        self._connection.send_head(200, (EVENTS_TYPE, ("cache-control", "no-store")))

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a reply that goes on piece by piece.

        :param status: the HTTP status.
        :param headers: headers besides the stamp.
        """
        if self.begun or self.left:
            return
        self.begun = True
        self._connection.send_head(status, headers)

    def cut(self) -> None:
        """Break a reply off, so that it can't be taken for a whole one."""
        if self.ended or self.left:
            return
        self.ended = True
        self._connection.abort()

    def send_piece(self, piece: bytes) -> None:
        """Send a piece of a stream.

        :param piece: whole server-sent events.
        """
        if not (self.ended or self.left):
            self._connection.send_piece(piece)

    def end(self) -> None:
        """End a stream."""
        if self.ended or self.left:
            return
        self.ended = True
        self._connection.send_end()


class Handler(Protocol):
    """What answers a process's HTTP requests."""

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Answer a request, now or later through the reply.

        :param request: the request.
        :param reply: the reply.
        """
