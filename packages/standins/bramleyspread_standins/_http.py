"""A minimal HTTP server for the stand-ins, built on h11 and curio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import curio
import h11

#: Maximum size of a request body, in bytes.
MAX_BODY_BYTES = 4_000_000
#: Maximum number of bytes per read from a socket.
READ_BYTES = 65_536
#: Maximum number of connections waiting to be accepted.
BACKLOG = 1_024


#: Header names and values.
Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request with its complete body."""

    #: The method in upper case.
    method: str
    #: The path with its query, percent-encoded.
    path: str
    #: Header values by name in lower case.
    headers: dict[str, str]
    body: bytes


class Exchange:
    """Sends the response to one request: a complete one, or a stream of events."""

    __slots__ = ("_connection", "_started", "_stream")

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._started = False
        self._stream = False

    @property
    def started(self) -> bool:
        """Whether a response was started or the connection aborted."""
        return self._started

    async def reply(
        self, status: int, body: bytes = b"{}", extra_headers: Headers = ()
    ) -> None:
        """Send a complete JSON response.

        :param status: the status code.
        :param body: the JSON text.
        :param extra_headers: headers other than Content-Type and Content-Length.
        """
        self._started = True
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *extra_headers,
        ]
        response = h11.Response(status_code=status, headers=headers)
        data = h11.Data(data=body)
        await self._connection.send(response, data, h11.EndOfMessage())

    async def begin_stream(self) -> None:
        """Send the head of a response that is a stream of server-sent events."""
        self._started = True
        self._stream = True
        headers = [("Content-Type", "text/event-stream")]
        await self._connection.send(h11.Response(status_code=200, headers=headers))

    async def send_event(self, data: bytes, event: str = "") -> None:
        """Send one server-sent event.

        :param data: the data; a single line.
        :param event: the value of the ``event`` field; empty to omit the field.
        """
        head = f"event: {event}\n".encode() if event else b""
        await self._connection.send(h11.Data(data=head + b"data: " + data + b"\n\n"))

    async def end_stream(self) -> None:
        """End a complete stream."""
        await self._connection.send(h11.EndOfMessage())

    async def abort(self) -> None:
        """Close the connection, so that the client sees an incomplete response."""
        self._started = True
        await self._connection.close()


#: Handles one request and sends its response through the exchange.
Handler = Callable[[HttpRequest, Exchange], Awaitable[None]]


class Connection:
    """An accepted connection, which may carry several requests in sequence."""

    __slots__ = ("_closed", "_protocol", "_socket")

    def __init__(self, socket: Any) -> None:  # noqa: ANN401
        self._socket = socket
        self._protocol = h11.Connection(h11.SERVER)
        self._closed = False

    async def serve(self, handler: Handler) -> None:
        """Handle requests until either side closes the connection.

        :param handler: handles one request.
        """
        try:
            while (request := await self._read_request()) is not None:
                exchange = Exchange(self)
                await handler(request, exchange)
                if not exchange.started:
                    await exchange.reply(500)
                if self._closed or self._protocol.our_state is not h11.DONE:
                    return
                self._protocol.start_next_cycle()
        except (OSError, h11.ProtocolError):
            return
        finally:
            await self.close()

    async def send(self, *events: Any) -> None:  # noqa: ANN401
        """Send h11 events in one write."""
        parts = [self._protocol.send(event) for event in events]
        await self._socket.sendall(b"".join(part for part in parts if part))

    async def close(self) -> None:
        """Close the connection; does nothing if it is already closed."""
        if not self._closed:
            self._closed = True
            await self._socket.close()

    async def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    return None
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, bytes(body))
            else:
                return None

    async def _next_event(self) -> Any:  # noqa: ANN401
        event: Any = self._protocol.next_event()
        while event is h11.NEED_DATA:
            if self._protocol.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self.send(interim)
            self._protocol.receive_data(await self._socket.recv(READ_BYTES))
            event = self._protocol.next_event()
        return event


def _make_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return HttpRequest(head.method.decode(), head.target.decode(), headers, body)


async def serve_http(ip: str, port: int, handler: Handler) -> None:
    """Serve until cancelled.

    :param ip: the IP address to listen on.
    :param port: the TCP port.
    :param handler: handles one request.
    """

    async def serve_one(socket: Any, _address: object) -> None:  # noqa: ANN401
        await Connection(socket).serve(handler)

    await curio.tcp_server(ip, port, serve_one, backlog=BACKLOG)
