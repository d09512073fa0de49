"""A minimal asynchronous HTTP client for the stand-ins and the demo's callers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any

import curio
import h11

from bramleyspread_core import Address
from bramleyspread_standins._http import READ_BYTES


class IncompleteResponseError(ConnectionError):
    """The connection closed before the response was complete."""


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP response."""

    #: The status code.
    status: int
    #: Header values by name in lower case.
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One server-sent event."""

    #: The value of its ``event`` field; empty if it has none.
    name: str
    #: The data; several data lines are joined by newlines.
    data: bytes


class HttpClient:
    """A connection for a single request, used as an asynchronous context manager."""

    __slots__ = ("_address", "_protocol", "_socket", "headers", "status")

    def __init__(self, address: Address) -> None:
        self._address = address
        self._protocol = h11.Connection(h11.CLIENT)
        self._socket: Any = None
        #: The status code of the response; 0 until its head is received.
        self.status = 0
        #: Header values of the response by name in lower case.
        self.headers: dict[str, str] = {}

    async def __aenter__(self) -> HttpClient:
        address = self._address
        self._socket = await curio.open_connection(address.ip, address.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._socket.close()

    async def send_request(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a request and read the head of the response.

        :param method: the method in upper case.
        :param path: the percent-encoded path.
        :param headers: headers other than Host, Content-Length and Connection.
        :param body: the body.
        :raises IncompleteResponseError: if the connection closes before the head ends.
        """
        all_headers = [
            ("Host", str(self._address)),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            *headers.items(),
        ]
        request = h11.Request(method=method, target=path, headers=all_headers)
        parts = [request, h11.Data(data=body), h11.EndOfMessage()]
        sent = [self._protocol.send(part) for part in parts]
        await self._socket.sendall(b"".join(part for part in sent if part))
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise IncompleteResponseError("connection closed before a response")
        self.status = head.status_code
        self.headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}

    async def read_body(self) -> AsyncIterator[bytes]:
        """Read the body in chunks as they arrive.

        :raises IncompleteResponseError: if the body is truncated.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise IncompleteResponseError(
                    "connection closed in the middle of a response"
                )

    async def read_events(self) -> AsyncIterator[ServerEvent]:
        """Read the body as server-sent events."""
        pending = b""
        async for chunk in self.read_body():
            *blocks, pending = (pending + chunk).split(b"\n\n")
            for block in blocks:
                yield parse_event(block)

    async def _next_event(self) -> Any:  # noqa: ANN401
        try:
            event: Any = self._protocol.next_event()
            while event is h11.NEED_DATA:
                self._protocol.receive_data(await self._socket.recv(READ_BYTES))
                event = self._protocol.next_event()
        except h11.ProtocolError as error:
            raise IncompleteResponseError(str(error)) from None
        return event


def parse_event(block: bytes) -> ServerEvent:
    r"""Parse one server-sent event.

    :param block: its lines without the empty line that ends it.
    :returns: the event.

    >>> parse_event(b'event: end\ndata: {"a": 1}')
    ServerEvent(name='end', data=b'{"a": 1}')
    """
    name, data = "", []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"event":
            name = value.decode()
        elif field == b"data":
            data.append(value)
    return ServerEvent(name, b"\n".join(data))


async def fetch(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout: float = 2.0,
) -> HttpReply:
    """Send one request over a new connection and read the whole response.

    :param address: the address of the server.
    :param method: the method in upper case.
    :param path: the percent-encoded path.
    :param body: the body.
    :param headers: headers other than Host, Content-Length and Connection.
    :param timeout: the time limit for the whole exchange, in seconds.
    :returns: the response.
    :raises OSError: if the connection fails; ``curio.TaskTimeout`` after the limit.
    """
    async with curio.timeout_after(timeout), HttpClient(address) as client:
        await client.send_request(method, path, headers or {}, body)
        chunks = [chunk async for chunk in client.read_body()]
        return HttpReply(client.status, client.headers, b"".join(chunks))
