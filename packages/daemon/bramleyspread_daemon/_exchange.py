"""HTTP requests to this process and the replies to them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import h11
import msgspec

from bramleyspread_core import encode_json
from bramleyspread_daemon._connection import Connection

#: Names and values of response headers.
Headers = Sequence[tuple[str, str]]

JSON_TYPE = ("content-type", "application/json")
EVENTS_TYPE = ("content-type", "text/event-stream")


class HttpRequest(msgspec.Struct, frozen=True):
    """A complete HTTP request."""

    #: The HTTP method.
    method: str
    #: The path, without the query.
    path: str
    #: The query, without the question mark.
    query: str
    #: The headers by lower-case name; repeated headers are joined by commas.
    headers: dict[str, str]
    #: The body.
    body: bytes
    #: The request target, path and query, as received.
    target: str = ""
    #: The headers as received, in their order.
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()


def build_request(head: h11.Request, body: bytes) -> HttpRequest:
    """Put a request together.

    :param head: its head.
    :param body: its body.
    """
    path, _, query = head.target.decode("ascii").partition("?")
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return HttpRequest(
        head.method.decode("ascii"),
        path,
        query,
        headers,
        body,
        head.target.decode("ascii"),
        tuple((bytes(name), bytes(value)) for name, value in head.headers.raw_items()),
    )


class ReplyConnection(Protocol):
    """The connection over which a reply is sent to the peer."""

    @property
    def unsent_bytes(self) -> int:
        """Number of response bytes buffered because the peer reads too slowly."""

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response of unknown length."""

    def send_chunk(self, piece: bytes) -> None:
        """Send a part of a response's body."""

    def send_end(self) -> None:
        """End a response of unknown length."""

    def abort(self) -> None:
        """Close the connection at once."""


#: Uses a connection for another protocol, given the bytes that the peer has sent
#: already; returns whether it must be reset afterwards.
UseConnection = Callable[[Connection, bytes], Awaitable[bool]]


class Switch(msgspec.Struct, frozen=True):
    """A change of a connection to another protocol."""

    #: Name of the protocol.
    protocol: str
    use: UseConnection


class Reply:
    """The reply to one HTTP request, sent at once or streamed.

    No method blocks. Data sent after the caller has disconnected is discarded.
    """

    __slots__ = (
        "_connection",
        "begun",
        "caller_disconnected",
        "ended",
        "on_disconnect",
        "switched",
    )

    def __init__(self, connection: ReplyConnection) -> None:
        self._connection = connection
        #: Whether the head has been sent.
        self.begun = False
        #: Whether the reply is complete or was aborted.
        self.ended = False
        #: Whether the caller disconnected before the end.
        self.caller_disconnected = False
        #: Awaited once when the caller disconnects before the end.
        self.on_disconnect: Callable[[], Awaitable[None]] | None = None
        #: The protocol to which the connection changes in place of a reply.
        self.switched: Switch | None = None

    def send(self, status: int, body: bytes, headers: Headers = (JSON_TYPE,)) -> None:
        """Send a complete reply.

        :param status: the HTTP status.
        :param body: the body.
        :param headers: the headers except content length and clock stamp.
        """
        if self.ended or self.caller_disconnected:
            return
        self.begun = self.ended = True
        self._connection.send_response(status, headers, body)

    def send_json(self, value: object, status: int = 200) -> None:
        """Send a typed value as a complete JSON reply.

        :param value: the value.
        :param status: the HTTP status.
        """
        self.send(status, encode_json(value))

    @property
    def unsent_bytes(self) -> int:
        """Number of buffered response bytes; 0 once the caller has disconnected."""
        return 0 if self.caller_disconnected else self._connection.unsent_bytes

    def begin_events(self) -> None:
        """Send the head of a stream of server-sent events."""
        if self.begun or self.caller_disconnected:
            return
        self.begun = True
        self._connection.send_head(200, (EVENTS_TYPE, ("cache-control", "no-store")))

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed reply.

        :param status: the HTTP status.
        :param headers: the headers except the clock stamp.
        """
        if self.begun or self.caller_disconnected:
            return
        self.begun = True
        self._connection.send_head(status, headers)

    def abort(self) -> None:
        """Abort the connection, so that the peer sees the reply as incomplete."""
        if self.ended or self.caller_disconnected:
            return
        self.ended = True
        self._connection.abort()

    def drop_unsent(self) -> None:
        """Abort the connection of a caller that doesn't read, also after the end."""
        if not self.caller_disconnected:
            self._connection.abort()

    def send_chunk(self, piece: bytes) -> None:
        """Send a part of a streamed body.

        :param piece: the bytes; complete events when the reply is an event stream.
        """
        if not (self.ended or self.caller_disconnected):
            self._connection.send_chunk(piece)

    def switch(self, protocol: str, use: UseConnection) -> None:
        """Change the connection to another protocol in place of a reply.

        :param protocol: name of the protocol that the peer asked for.
        :param use: uses the connection until it closes.
        """
        self.begun = True
        self.switched = Switch(protocol, use)

    def end(self) -> None:
        """End a streamed reply."""
        if self.ended or self.caller_disconnected:
            return
        self.ended = True
        self._connection.send_end()


class Handler(Protocol):
    """A handler of HTTP requests."""

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Handle a request; the reply may be sent after this returns.

        :param request: the request.
        :param reply: the reply.
        """
