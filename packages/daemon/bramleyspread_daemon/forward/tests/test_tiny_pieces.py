"""Peers that send many tiny pieces: chunks, events, heads; others get their turn."""

from __future__ import annotations

from time import process_time
from typing import Any

import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._client import ClientConnection
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._connection import READ_BYTES, Connection
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward.tests.test_endless_responses import (
    CHUNKED,
    SendingWire,
    count_turns,
    pool_of,
)
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    STREAM,
    StreamReply,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.tests.loopback import (
    read_request,
    run,
    start_scripted_server,
    start_server,
)
from bramleyspread_forwarding import EventError, EventSplitter
from bramleyspread_forwarding._events import MAX_EVENT_BYTES

#: Number of pieces that are sent.
PIECES = 30_000
#: Number of pieces after which other tasks must have got their turn. In the review's
#: case a piece takes up to 0.1 ms, and requests must not wait for over half a second.
MAX_PIECES_PER_TURN = 256
ONE_BYTE_CHUNKS = b"1\r\nx\r\n" * PIECES + b"0\r\n\r\n"
#: Processor time in which as many line ends as one event may have bytes are split, in
#: seconds. If the rest were copied for each of them, it would take minutes.
SPLIT_S = 10.0


async def answer_in_one_byte_chunks(connected: Any) -> None:
    await read_request(connected)
    await connected.sendall(CHUNKED + ONE_BYTE_CHUNKS)


async def check_turns_of_one_answer(
    connection: UpstreamConnection | ClientConnection,
) -> None:
    """Read an answer in one-byte chunks, and check that others get their turn."""

    async def read() -> None:
        await connection.read_head()
        assert await connection.read_body() == b"x" * PIECES

    assert await count_turns(read) >= PIECES / MAX_PIECES_PER_TURN
    await connection.close()


# Guards against a body in tiny chunks that keeps all other requests from running.
def test_tiny_chunks_of_targets_leave_others_their_turn() -> None:
    async def main() -> None:
        _, address = await start_scripted_server(answer_in_one_byte_chunks)
        connection = await UpstreamPool().acquire(address, 1.0)
        await connection.send("GET", "/", [(b"host", b"h")], b"")
        await check_turns_of_one_answer(connection)

    run(main)


def test_tiny_chunks_of_hosts_leave_others_their_turn() -> None:
    async def main() -> None:
        _, address = await start_scripted_server(answer_in_one_byte_chunks)
        connection = await ClientConnection.open(address, ProcessClock(), 1.0)
        await connection.send("GET", "/", b"")
        await check_turns_of_one_answer(connection)

    run(main)


# Guards against a heartbeat or a caller's body that stops the process it is sent to.
def test_tiny_chunks_of_callers_leave_others_their_turn() -> None:
    bodies: list[bytes] = []

    async def serve(http: HttpRequest, reply: Reply) -> None:
        bodies.append(http.body)
        reply.send(200, b"")

    async def main() -> None:
        _, address = await start_server(("POST", "/", serve))
        connection = await Connection.open(address)

        async def send() -> None:
            head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            await connection.send_all(head + ONE_BYTE_CHUNKS)
            assert (await connection.read()).startswith(b"HTTP/1.1 200 ")

        assert await count_turns(send) >= PIECES / MAX_PIECES_PER_TURN
        await connection.close()

    run(main)
    assert bodies == [b"x" * PIECES]


# Guards against bytes that are read without a wait for as long as a peer sends them.
def test_bytes_without_end_leave_others_their_turn() -> None:
    reads = 64

    async def send(connected: Any) -> None:
        await connected.sendall(bytes((reads + 64) * READ_BYTES))

    async def main() -> None:
        _, address = await start_scripted_server(send)
        connection = await Connection.open(address)

        async def read() -> None:
            received = 0
            while received < reads * READ_BYTES:
                received += len(await connection.read())

        assert await count_turns(read) >= reads / 32
        await connection.close()

    run(main)


async def forward_stream(body: bytes, reply: StreamReply) -> int:
    """Forward a stream, and return how often another task got its turn meanwhile."""

    async def answer(connected: Any) -> None:
        await read_request(connected)
        length = b"content-length: %d\r\n\r\n" % len(body)
        await connected.sendall(b"HTTP/1.1 200 OK\r\n" + length + body)

    _, address = await start_scripted_server(answer)
    wire, pool = SendingWire(), UpstreamPool()
    context = make_context(wire)

    async def acquire(_: Address, *args: object, **options: object) -> Any:
        return await pool.acquire(address, 1.0)

    context.upstream = pool_of(acquire, pool)
    return await count_turns(make_forwarder(STREAM, context, wire, reply).run)


# Guards against events or comments without end that stop a whole host.
@pytest.mark.parametrize("piece", [b":\n\n", b"\n:\r\n\r\n", b"id: 1\n\n"])
def test_tiny_events_leave_others_their_turn(piece: bytes) -> None:
    async def main() -> None:
        reply = StreamReply()
        turns = await forward_stream(b"id: 0\n\n" + piece * PIECES, reply)
        assert turns >= PIECES / MAX_PIECES_PER_TURN
        assert b"".join(reply.chunks) == b"id: 0\n\n" + piece * PIECES
        assert reply.ended == "whole"

    run(main)


def test_events_are_split_without_copying_the_rest_each_time() -> None:
    splitter = EventSplitter()
    started_at = process_time()
    events = splitter.feed(b":\n\n" * (MAX_EVENT_BYTES // 2))
    assert len(events) == MAX_EVENT_BYTES // 2
    assert process_time() - started_at < SPLIT_S


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\n\n\n"])
def test_line_ends_between_and_after_events_are_passed_on(line_end: bytes) -> None:
    body = line_end + (b"id: 0\n\n" + line_end) * 3

    async def main() -> None:
        reply = StreamReply()
        await forward_stream(body, reply)
        assert b"".join(reply.chunks) == body
        assert reply.ended == "whole"

    run(main)


# Guards against line ends without end, which are no events and stop a whole host.
@pytest.mark.parametrize("size", [1, 65_536])
def test_line_ends_without_end_are_given_up(size: int) -> None:
    splitter = EventSplitter()
    started_at = process_time()
    with pytest.raises(EventError):
        for _ in range(MAX_EVENT_BYTES // size + 1):
            assert splitter.feed(b"\n" * size) == []
            assert splitter.is_between_events
    assert process_time() - started_at < SPLIT_S


def test_events_are_returned_in_parts_and_in_order() -> None:
    splitter = EventSplitter()
    body = b"".join(b"id: %d\n\n" % at for at in range(5)) + b"id: 5"
    ids = [x.event_id for x in splitter.feed(body, 2)]
    ids += [x.event_id for x in splitter.feed(b"", 2)]
    ids += [x.event_id for x in splitter.feed(b"\n\n", 3)]
    assert ids == ["0", "1", "2", "3", "4", "5"]
    assert splitter.is_between_events
