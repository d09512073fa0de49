"""A minimal HTTP client for load generators, which must use little processor time."""

from __future__ import annotations

import socket
from typing import Any

import curio

from bramleyspread_core import Address


async def read_message(connection: Any, rest: bytes) -> tuple[bytes, bytes, bytes]:  # noqa: ANN401
    """Read a message with a Content-Length, or the head of one without.

    :param connection: the connection.
    :param rest: bytes that were already read.
    :returns: head, body and surplus bytes; all empty at the end of the stream.
    """
    data = rest
    while b"\r\n\r\n" not in data:
        piece = await connection.recv(65_536)
        if not piece:
            return b"", b"", b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += await connection.recv(65_536)
    return head, body[:length], body[length:]


async def post(address: Address, path: str, body: bytes) -> bytes:
    """Send a request over a new connection.

    :param address: address of the server.
    :param path: path of the request.
    :param body: body of the request, as JSON.
    :returns: the body of the response.
    """
    connection = await curio.open_connection(address.ip, address.port)
    async with connection:
        return await post_over(connection, path, body)


async def post_over(connection: Any, path: str, body: bytes) -> bytes:  # noqa: ANN401
    """Send a request over an open connection.

    :param connection: the connection.
    :param path: path of the request.
    :param body: body of the request, as JSON.
    :returns: the body of the response.
    """
    head = f"POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
    await connection.sendall(head.encode() + body)
    _, answer, _ = await read_message(connection, b"")
    return answer


def find_port() -> int:
    """Find a free port on the loopback interface.

    :returns: the port.
    """
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port
