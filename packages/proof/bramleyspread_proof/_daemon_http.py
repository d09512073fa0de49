"""Just enough HTTP by hand for loads that must cost little."""

from __future__ import annotations

import socket
from typing import Any

import curio

from bramleyspread_core import Address


async def read_message(connected: Any, rest: bytes) -> tuple[bytes, bytes, bytes]:  # noqa: ANN401
    """Read a message with a length, or the head of one without.

    :param connected: the connection.
    :param rest: bytes read before.
    :returns: head, body and what was read beyond; nothing at the end.
    """
    data = rest
    while b"\r\n\r\n" not in data:
        piece = await connected.recv(65_536)
        if not piece:
            return b"", b"", b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += await connected.recv(65_536)
    return head, body[:length], body[length:]


async def post(address: Address, path: str, body: bytes) -> bytes:
    """Send one request over a connection of its own.

    :param address: where to.
    :param path: the path.
    :param body: JSON.
    :returns: the body of the answer.
    """
    connected = await curio.open_connection(address.ip, address.port)
    async with connected:
        return await ask(connected, path, body)


async def ask(connected: Any, path: str, body: bytes) -> bytes:  # noqa: ANN401
    """Send one request over an open connection.

    :param connected: the connection.
    :param path: the path.
    :param body: JSON.
    :returns: the body of the answer.
    """
    head = f"POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
    await connected.sendall(head.encode() + body)
    _, answer, _ = await read_message(connected, b"")
    return answer


def find_port() -> int:
    """Find a free port of the loopback interface.

    :returns: the port.
    """
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port
