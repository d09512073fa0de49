"""One HTTP exchange at a time, by h11 over a blocking socket."""

from __future__ import annotations

import socket

import h11
import msgspec

from bramleyspread_core import Address, Fault, Reason

#: Longest wait for a connection, and for the next bytes of an answer, in seconds.
TIMEOUT_S = 3.0
#: Bytes read from the socket at a time.
CHUNK_BYTES = 65_536
#: Largest answer taken, in bytes.
MAX_ANSWER_BYTES = 64_000_000


class Reply(msgspec.Struct, frozen=True):
    """What a host answered."""

    #: HTTP status.
    status: int
    #: The body.
    body: bytes


def exchange(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    timeout: float = TIMEOUT_S,
) -> Reply | Fault:
    """Ask a host one thing.

    :param address: the host.
    :param method: ``GET`` or ``POST``.
    :param path: the path, with its query.
    :param body: JSON, or nothing.
    :param timeout: longest wait for progress, in seconds.
    :returns: the answer, or why there is none. ``Reason.CONNECT`` means that
        the host has not seen the request.
    """
    step = f"{method} {path}"
    try:
        connection = socket.create_connection((address.ip, address.port), timeout)
    except OSError as error:
        return Fault(Reason.CONNECT, step, str(address), str(error))
    try:
        with connection:
            connection.sendall(_write_request(address, method, path, body))
            return _read_reply(connection)
    except TimeoutError:
        return Fault(Reason.SILENT, step, str(address), f"no byte for {timeout} s")
    except OSError as error:
        return Fault(Reason.CLOSED, step, str(address), str(error))
    except h11.RemoteProtocolError as error:
        return Fault(Reason.PROTOCOL, step, str(address), str(error))


def _write_request(address: Address, method: str, path: str, body: bytes) -> bytes:
    writer = h11.Connection(h11.CLIENT)
    headers = [
        ("Host", str(address)),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    head = writer.send(h11.Request(method=method, target=path, headers=headers)) or b""
    data = writer.send(h11.Data(data=body)) or b""
    end = writer.send(h11.EndOfMessage()) or b""
    return head + data + end


def _read_reply(connection: socket.socket) -> Reply:
    reader = h11.Connection(h11.CLIENT)
    reader.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
    reader.send(h11.EndOfMessage())
    status = 0
    parts: list[bytes] = []
    size = 0
    while True:
        event = reader.next_event()
        if event is h11.NEED_DATA:
            reader.receive_data(connection.recv(CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status, b"".join(parts))
        if size > MAX_ANSWER_BYTES:
            raise h11.RemoteProtocolError(f"answer above {MAX_ANSWER_BYTES} bytes")
        if isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("closed before the answer was whole")
