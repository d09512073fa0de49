"""A minimal blocking HTTP client built on h11."""

from __future__ import annotations

import socket

import h11
import msgspec

from bramleyspread_core import Address, Fault, Reason

#: Time limit for connecting, and for the next bytes of a response, in seconds.
TIMEOUT_S = 3.0
#: Maximum number of bytes per read from the socket.
CHUNK_BYTES = 65_536
#: Maximum size of a response body, in bytes.
MAX_RESPONSE_BYTES = 64_000_000


class Reply(msgspec.Struct, frozen=True):
    """An HTTP response."""

    #: The status code.
    status: int
    body: bytes


def exchange(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    timeout: float = TIMEOUT_S,
) -> Reply | Fault:
    """Send one HTTP request over a new connection.

    :param address: the host.
    :param method: ``GET`` or ``POST``.
    :param path: the path, with its query.
    :param body: the JSON body; may be empty.
    :param timeout: the time limit for connecting and for each read, in seconds.
    :returns: the reply, or a fault. ``Reason.CONNECT`` means that the host did
        not receive the request.
    """
    step = f"{method} {path}"
    try:
        connection = socket.create_connection((address.ip, address.port), timeout)
    except OSError as error:
        return Fault(Reason.CONNECT, step, str(address), str(error))
    try:
        with connection:
            connection.sendall(_encode_request(address, method, path, body))
            return _read_reply(connection)
    except TimeoutError:
        return Fault(Reason.SILENT, step, str(address), f"no byte for {timeout} s")
    except OSError as error:
        return Fault(Reason.CLOSED, step, str(address), str(error))
    except h11.RemoteProtocolError as error:
        return Fault(Reason.PROTOCOL, step, str(address), str(error))


def _encode_request(address: Address, method: str, path: str, body: bytes) -> bytes:
    connection = h11.Connection(h11.CLIENT)
    headers = [
        ("Host", str(address)),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    head = (
        connection.send(h11.Request(method=method, target=path, headers=headers)) or b""
    )
    data = connection.send(h11.Data(data=body)) or b""
    end = connection.send(h11.EndOfMessage()) or b""
    return head + data + end


def _read_reply(connection: socket.socket) -> Reply:
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
    parser.send(h11.EndOfMessage())
    status = 0
    parts: list[bytes] = []
    size = 0
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(connection.recv(CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status, b"".join(parts))
        if size > MAX_RESPONSE_BYTES:
            raise h11.RemoteProtocolError(
                f"response larger than {MAX_RESPONSE_BYTES} bytes"
            )
        if isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError(
                "connection closed before the response was complete"
            )
