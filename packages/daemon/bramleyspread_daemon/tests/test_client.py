"""Connections of the HTTP client, over real sockets."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from bramleyspread_daemon._client import ClientConnection, ConnectionClosedError
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon.tests.loopback import (
    read_request,
    run,
    start_scripted_server,
)

#: ``SO_LINGER`` value with which closing resets a connection.
NO_LINGER = b"\x01\x00\x00\x00\x00\x00\x00\x00"


# Guards against an answer without a length that was reset and is taken for whole.
@pytest.mark.parametrize("resets", [False, True])
def test_answer_without_a_length_is_whole_unless_it_is_reset(resets: bool) -> None:
    async def serve(connected: Any) -> None:  # noqa: ANN401
        await read_request(connected)
        await connected.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        await curio.sleep(0.05)
        if resets:
            connected.setsockopt(curio.socket.SOL_SOCKET, 13, NO_LINGER)
        await connected.close()

    async def main() -> None:
        _, address = await start_scripted_server(serve)
        connection = await ClientConnection.open(address, ProcessClock(), 1.0)
        await connection.send("GET", "/", b"")
        await connection.read_head()
        if resets:
            with pytest.raises(ConnectionClosedError):
                await connection.read_body()
        else:
            assert await connection.read_body() == b"part"

    run(main)
