"""Tests of which connections the pool reuses."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import ProcessClock, read_monotonic
from bramleyspread_daemon._pool import MAX_AGE_S, MAX_IDLE_S, ConnectionPool
from bramleyspread_daemon.tests.loopback import (
    echo,
    read_request,
    run,
    start_scripted_server,
    start_server,
    write_answer,
)


def test_idle_connection_is_reused() -> None:
    async def main() -> None:
        _, address = await start_server(("POST", "/echo", echo))
        pool = ConnectionPool(ProcessClock())
        for number in range(3):
            body = str(number).encode()
            answer = await pool.request(address, "/echo", body, timeout=10)
            assert (answer.status, answer.body) == (200, body)
        assert (pool.counts.opened, pool.counts.reused) == (1, 2)
        await pool.close_idle(read_monotonic() + MAX_IDLE_S + 1)
        await pool.request(address, "/echo", b"", timeout=10)
        assert pool.counts.opened == 2

    run(main)


def test_connections_with_unexpected_bytes_are_not_reused() -> None:
    async def script(connected: Any) -> None:  # noqa: ANN401
        async with connected:
            await read_request(connected)
            await connected.sendall(write_answer(b"1") + write_answer(b"2"))
            await connected.recv(1)

    async def main() -> None:
        _, address = await start_scripted_server(script)
        pool = ConnectionPool(ProcessClock())
        for _ in range(2):
            assert (await pool.request(address, "/", b"", timeout=10)).body == b"1"
        assert pool.counts.reused == 0

    run(main)


def test_connections_closed_by_peer_are_not_reused() -> None:
    async def script(connected: Any) -> None:  # noqa: ANN401
        async with connected:
            await read_request(connected)
            await connected.sendall(write_answer(b"1"))

    async def main() -> None:
        _, address = await start_scripted_server(script)
        pool = ConnectionPool(ProcessClock())
        for _ in range(2):
            answer = await pool.request(address, "/", b"", timeout=10)
            assert answer.body == b"1"
            await curio.sleep(0)

    run(main)


def test_old_connections_are_closed() -> None:
    async def main() -> None:
        _, address = await start_server(("POST", "/echo", echo))
        pool = ConnectionPool(ProcessClock())
        old_connection = await pool.acquire(address)
        old_connection._connection.opened_at -= MAX_AGE_S + 1
        await pool.release_connection(old_connection)
        await pool.acquire(address)
        assert pool.counts.reused == 0

    run(main)


def test_timeout_is_an_error_and_opens_new_connection() -> None:
    async def script(connected: Any) -> None:  # noqa: ANN401
        await connected.recv(1)
        await connected.recv(1_000_000)
        await connected.recv(1)

    async def main() -> None:
        _, address = await start_scripted_server(script)
        pool = ConnectionPool(ProcessClock())
        for opened in (1, 2):
            with pytest.raises(ConnectionClosedError):
                await pool.request(address, "/", b"", timeout=0.01)
            assert pool.counts.opened == opened

    run(main)


def test_no_listener_raises_unsent_error() -> None:
    async def main() -> None:
        pool = ConnectionPool(ProcessClock())
        with pytest.raises(RequestNotSentError):
            await pool.request(Address("127.0.0.1", 1), "/", b"", timeout=5)

    run(main)
