"""Helpers shared by the daemon's tests: servers and raw connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import curio

from bramleyspread_core import Address
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._routes import RouteHandler, Routes
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon._settings import Limits

T = TypeVar("T")

#: The address on which test servers listen; port 0 selects a free port.
FREE_PORT_ADDRESS = Address("127.0.0.1", 0)


#: Time after which a test counts as hanging, in seconds, unless it takes long itself.
HANGING_S = 20.0


def run(action: Callable[[], Awaitable[T]], hanging_s: float = HANGING_S) -> T:
    """Run an action in a new curio kernel.

    :param action: the action.
    :param hanging_s: time after which it is given up, in seconds.
    """

    async def guard() -> T:
        result: T = await curio.timeout_after(hanging_s, action)
        return result

    outcome: T = curio.run(guard)
    return outcome


async def start_server(
    *routes: tuple[str, str, RouteHandler], limits: Limits | None = None
) -> tuple[HttpServer, Address]:
    """Start a server on a free port."""
    exact = {(method, path): route for method, path, route in routes}
    server = HttpServer(Routes(exact), limits or Limits(), ProcessClock())
    return server, await server.start(FREE_PORT_ADDRESS)


async def start_scripted_server(
    script: Callable[[Any], Awaitable[None]],
) -> tuple[Any, Address]:
    """Start a server that handles each connection with a script."""
    listen_socket = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
    listen_socket.bind(("127.0.0.1", 0))
    listen_socket.listen(16)

    async def accept() -> None:
        while True:
            connected, _ = await listen_socket.accept()
            await curio.spawn(script, connected, daemon=True)

    task = await curio.spawn(accept, daemon=True)
    return task, Address(*listen_socket.getsockname())


async def connect(address: Address) -> Any:  # noqa: ANN401
    """Open a plain connection."""
    return await curio.open_connection(address.ip, address.port)


async def read_all(connected: Any) -> bytes:  # noqa: ANN401
    """Read until the peer closes the connection."""
    pieces = []
    try:
        while piece := await connected.recv(65_536):
            pieces.append(piece)
    except ConnectionError:
        pass
    return b"".join(pieces)


async def read_until(connected: Any, end: bytes) -> bytes:  # noqa: ANN401
    """Read until the data contains some bytes."""
    data = b""
    while end not in data:
        piece = await connected.recv(65_536)
        assert piece, data
        data += piece
    return data


async def read_request(connected: Any) -> bytes:  # noqa: ANN401
    """Read one request with a content length."""
    data = await read_until(connected, b"\r\n\r\n")
    head, _, body = data.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            while len(body) < int(line.split(b":")[1]):
                body += await connected.recv(65_536)
    return head + b"\r\n\r\n" + body


def write_answer(body: bytes, status: str = "200 OK") -> bytes:
    """Encode a complete JSON response."""
    head = f"HTTP/1.1 {status}\r\ncontent-type: application/json\r\n"
    return head.encode() + b"content-length: %d\r\n\r\n" % len(body) + body


async def echo(request: HttpRequest, reply: Reply) -> None:
    """Answer with the request's body."""
    reply.send(200, request.body)
