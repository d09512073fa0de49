"""A small HTTP client for the stand-ins and the demo's callers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any

import curio
import h11

from bramleyspread_core import Address
from bramleyspread_standins._http import READ_BYTES


class IncompleteResponseError(ConnectionError):
    """An answer that ended before it was whole."""


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole answer."""

    #: The HTTP status.
    status: int
    #: Header values by name in lower case.
    headers: dict[str, str]
    #: The body.
    body: bytes


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One server-sent event."""

    #: The event's name; empty for the default.
    name: str
    #: Its data, lines joined.
    data: bytes


class HttpClient:
    """One connection that carries one request; closed by the ``async with``."""

    __slots__ = ("_address", "_protocol", "_socket", "headers", "status")

    def __init__(self, address: Address) -> None:
        self._address = address
        self._protocol = h11.Connection(h11.CLIENT)
        self._socket: Any = None
        #: The answer's status, once its head is here.
        self.status = 0
        #: The answer's header values by name in lower case.
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
        """Send a request and read the head of its answer.

        :param method: the method in capitals.
        :param path: the path, quoted.
        :param headers: headers besides host and length.
        :param body: the body.
        :raises BrokenExchangeError: when the connection closes first.
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
            raise IncompleteResponseError("closed before an answer")
        self.status = head.status_code
        self.headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}

    async def read_body(self) -> AsyncIterator[bytes]:
        """Read the body in pieces.

        :raises BrokenExchangeError: when it ends before it is whole.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise IncompleteResponseError("closed in the middle of an answer")

    async def read_events(self) -> AsyncIterator[ServerEvent]:
        """Read the body as server-sent events."""
        pending = b""
        async for piece in self.read_body():
            *whole, pending = (pending + piece).split(b"\n\n")
            for block in whole:
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
    r"""Read one server-sent event.

    :param block: its lines without the empty one behind them.
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
    """Ask for one whole answer over a connection of its own.

    :param address: where to ask.
    :param method: the method in capitals.
    :param path: the path, quoted.
    :param body: the body.
    :param headers: headers besides host and length.
    :param timeout: the longest to wait for the whole, in seconds.
    :returns: the answer.
    :raises OSError: when there is none; ``curio.TaskTimeout`` when it is late.
    """
    async with curio.timeout_after(timeout), HttpClient(address) as client:
        await client.send_request(method, path, headers or {}, body)
        pieces = [piece async for piece in client.read_body()]
        return HttpReply(client.status, client.headers, b"".join(pieces))
