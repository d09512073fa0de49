"""A small HTTP server for the stand-ins: h11 over curio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import curio
import h11

#: Largest body taken, in bytes.
MAX_BODY_BYTES = 4_000_000
#: Bytes read from a socket at once.
READ_BYTES = 65_536
#: Connections that wait to be accepted.
BACKLOG = 1_024


#: Header names and values.
Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its whole body."""

    #: The method in capitals.
    method: str
    #: The path with its query, still quoted.
    path: str
    #: Header values by name in lower case.
    headers: dict[str, str]
    #: The body.
    body: bytes


class Exchange:
    """One request's way of answering: a whole reply, or a stream of events."""

    __slots__ = ("_connection", "_started", "_stream")

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._started = False
        self._stream = False

    @property
    def started(self) -> bool:
        """Whether the head of an answer was sent."""
        return self._started

    async def reply(
        self, status: int, body: bytes = b"{}", extra_headers: Headers = ()
    ) -> None:
        """Send a whole JSON answer.

        :param status: the HTTP status.
        :param body: JSON text.
        :param extra: headers besides type and length.
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
        """Send the head of a stream of server-sent events."""
        self._started = True
        self._stream = True
        headers = [("Content-Type", "text/event-stream")]
        await self._connection.send(h11.Response(status_code=200, headers=headers))

    async def send_event(self, data: bytes, event: str = "") -> None:
        """Send one server-sent event.

        :param data: one line.
        :param event: the event's name; empty for the default.
        """
        head = f"event: {event}\n".encode() if event else b""
        await self._connection.send(h11.Data(data=head + b"data: " + data + b"\n\n"))

    async def end_stream(self) -> None:
        """Send the end of a stream that is whole."""
        await self._connection.send(h11.EndOfMessage())

    async def abort(self) -> None:
        """Close the connection without an end, so that nobody takes it for whole."""
        self._started = True
        await self._connection.close()


#: Answers one request.
Handler = Callable[[HttpRequest, Exchange], Awaitable[None]]


class Connection:
    """One accepted connection, which may carry many requests in turn."""

    __slots__ = ("_closed", "_protocol", "_socket")

    def __init__(self, socket: Any) -> None:  # noqa: ANN401
        self._socket = socket
        self._protocol = h11.Connection(h11.SERVER)
        self._closed = False

    async def serve(self, handler: Handler) -> None:
        """Answer requests until either side closes.

        :param handler: answers one request.
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
        """Close the connection; harmless when it is closed."""
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
                return _describe(head, bytes(body))
            else:
                return None

    async def _next_event(self) -> Any:  # noqa: ANN401
        event: Any = self._protocol.next_event()
        while event is h11.NEED_DATA:
            if self._protocol.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self.send(go_on)
            self._protocol.receive_data(await self._socket.recv(READ_BYTES))
            event = self._protocol.next_event()
        return event


def _describe(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return HttpRequest(head.method.decode(), head.target.decode(), headers, body)


async def serve_http(ip: str, port: int, handler: Handler) -> None:
    """Serve until cancelled.

    :param ip: the IP number to listen on.
    :param port: the TCP port.
    :param handler: answers one request.
    """

    async def serve_one(socket: Any, _address: object) -> None:  # noqa: ANN401
        await Connection(socket).serve(handler)

    await curio.tcp_server(ip, port, serve_one, backlog=BACKLOG)
