"""Peers that send or read without end don't take the room of sound ones."""

from __future__ import annotations

import contextlib
from typing import Any

import curio
import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon._settings import Limits
from bramleyspread_daemon.tests.loopback import (
    connect,
    echo,
    read_all,
    read_until,
    run,
    start_server,
)

LIMITS = Limits(held_bytes=200_000, body_bytes=150_000, head_bytes=30_000)
PEERS = 30
HEAD = b"POST /echo HTTP/1.1\r\nhost: a\r\n"
VALID = HEAD + b"content-length: 2\r\n\r\nhi"
#: What endless peers send, and do not finish.
ENDLESS = {
    "heads": HEAD + b"x: " + b"y" * 25_000,
    "bodies": HEAD + b"content-length: 90000\r\n\r\n" + b"x" * 60_000,
    "chunks": HEAD + b"transfer-encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 6_000,
    "heads behind a request": HEAD.replace(b"echo", b"hold")
    + b"content-length: 0\r\n\r\n"
    + HEAD
    + b"x: "
    + b"y" * 25_000,
}


async def hold(request: HttpRequest, reply: Reply) -> None:
    """Leave a request without an answer."""


async def answer_at_length(request: HttpRequest, reply: Reply) -> None:
    """Answer until the caller is gone, with some bytes unsent all the time."""

    async def send_chunks() -> None:
        reply.begin_stream(200, ())
        while not reply.caller_disconnected:
            if reply.unsent_bytes < 40_000:
                reply.send_chunk(bytes(20_000))
            await curio.sleep(0)

    await curio.spawn(send_chunks, daemon=True)


async def start() -> tuple[HttpServer, Address]:
    return await start_server(
        ("POST", "/echo", echo),
        ("POST", "/hold", hold),
        ("POST", "/long", answer_at_length),
        limits=LIMITS,
    )


async def ask(address: Address) -> bool:
    """Whether a small request gets its answer."""
    async with await connect(address) as connected:
        await connected.sendall(VALID)
        return b" 200 " in await read_until(connected, b"\r\n\r\n")


async def send(connected: Any, data: bytes) -> None:  # noqa: ANN401
    with contextlib.suppress(OSError):
        await connected.sendall(data)


# Guards against a process that runs out of memory since each of many peers sends
# as much as one connection may hold.
@pytest.mark.parametrize("name", ENDLESS)
def test_all_connections_together_keep_no_more_than_the_limit(name: str) -> None:
    async def main() -> None:
        server, address = await start()
        peers = [await connect(address) for _ in range(PEERS)]
        for each in peers:
            await send(each, ENDLESS[name])
            await curio.sleep(0.002)
            assert server.kept.size <= LIMITS.held_bytes
            assert await ask(address)
        assert server.kept.given_up
        assert server.kept.size > LIMITS.held_bytes // 4
        for each in peers:
            await each.close()
        while server.open_connections:
            await curio.sleep(0.01)
        assert server.kept.size == 0

    run(main)


# Guards against a process that keeps its replies for ever more peers that don't read.
def test_replies_that_wait_for_slow_readers_count() -> None:
    async def main() -> None:
        server, address = await start()
        request = HEAD.replace(b"echo", b"long") + b"content-length: 0\r\n\r\n"
        peers = [await connect(address) for _ in range(8)]
        for each in peers:
            each.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_RCVBUF, 4_096)
            await send(each, request)
            assert await ask(address)
        while not server.kept.given_up:
            await curio.sleep(0)
            assert sum(x.unsent_bytes for x in server._connections) <= 200_000
            assert server.kept.size <= LIMITS.held_bytes
        assert await ask(address)
        for each in peers:
            await each.close()

    run(main)


# Guards against a large request, or a silent peer, that takes the room of a small one.
def test_largest_gives_up_and_is_told() -> None:
    async def main() -> bytes:
        server, address = await start()
        large = await connect(address)
        await send(large, HEAD + b"content-length: 150000\r\n\r\n" + b"x" * 140_000)
        while server.kept.size < 140_000:
            await curio.sleep(0.001)
        small = [await connect(address) for _ in range(4)]
        for each in small:
            await send(each, HEAD + b"content-length: 20000\r\n\r\n" + b"x" * 19_000)
        received = await read_all(large)
        for each in small:
            await each.sendall(b"x" * 1_000)
            assert b" 200 " in await read_until(each, b"\r\n\r\n")
        assert server.refusals == {503: 1}
        return received

    received = run(main)
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in received


# Guards against requests under way that are broken off for the room of others.
def test_request_that_is_being_answered_does_not_give_up() -> None:
    async def main() -> None:
        server, address = await start()
        head = HEAD.replace(b"echo", b"hold")
        async with await connect(address) as held:
            await held.sendall(
                head + b"content-length: 150000\r\n\r\n" + b"x" * 150_000
            )
            while not server.requests:
                await curio.sleep(0.001)
            for _ in range(4):
                async with await connect(address) as each:
                    body = b"x" * 60_000
                    await send(each, HEAD + b"content-length: 60000\r\n\r\n" + body)
                    assert b" 503 " in await read_until(each, b"\r\n\r\n")
            assert server.open_replies == 1

    run(main)


# Guards against hosts whose messages are lost while others take up the room.
def test_hosts_messages_give_up_last() -> None:
    async def main() -> None:
        server, address = await start()
        server.host_paths = frozenset({"/echo"})
        peers = [await connect(address) for _ in range(8)]
        held = HEAD.replace(b"echo", b"other") + b"content-length: 90000\r\n\r\n"
        async with await connect(address) as host:
            await host.sendall(HEAD + b"content-length: 180000\r\n\r\n")
            for each in peers:
                await send(each, held + b"x" * 20_000)
                await host.sendall(b"x" * 20_000)
                await curio.sleep(0.002)
            await host.sendall(b"x" * 20_000)
            assert b" 200 " in await read_until(host, b"\r\n\r\n")
        for each in peers:
            await each.close()

    run(main)
