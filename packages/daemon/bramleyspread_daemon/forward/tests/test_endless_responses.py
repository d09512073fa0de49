"""Targets whose responses never end: in a head, in a body, or in an event."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from time import process_time
from typing import Any

import curio
import msgspec
import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._client import ConnectionClosedError
from bramleyspread_daemon.forward import _upstream
from bramleyspread_daemon.forward._upstream import (
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    MAX_PROVISIONAL_RESPONSES,
    UpstreamConnection,
)
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward._wire import CallMetadata, TargetHead
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    ROUTE,
    FakeWire,
    RecordingReply,
    StreamReply,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.tests.loopback import (
    read_request,
    run,
    start_scripted_server,
)
from bramleyspread_forwarding import ForwardRequest, PlaceStep
from bramleyspread_forwarding._events import MAX_EVENT_BYTES, EventError, EventSplitter

#: Bytes that a target sends at a time.
BLOCK = b"x" * 65_536
#: A body that arrives slowly.
SLOW_BODY = b"s" * 60_000
#: Number of bytes after which other tasks must have got their turn.
MAX_BYTES_PER_TURN = 2_097_152
#: Processor time in which an event without end is given up, in seconds. If all its
#: bytes were searched again each time, it would take over a minute.
EVENT_GIVEN_UP_S = 10.0
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
#: The beginning of a response, and what is sent after it for ever.
ENDLESS_HEADS = {
    "header": (b"HTTP/1.1 200 OK\r\nname: ", BLOCK),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"name: value\r\n" * 1_000),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "no answer": (b"", BLOCK),
    "provisional": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
}
ENDLESS_BODIES = {
    "until close": (b"HTTP/1.1 200 OK\r\n\r\n", BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "chunk size": (CHUNKED, b"0" * 65_536),
    "chunk extension": (CHUNKED + b"1;", BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"name: value\r\n" * 1_000),
    "length": (b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", BLOCK),
}


class EndlessTarget:
    """A target that sends one part after another until it is closed.

    :param start: the beginning of its response.
    :param part: what it sends after that.
    """

    def __init__(self, start: bytes, part: bytes) -> None:
        self._start, self._part = start, part
        #: Number of connections that the other side has closed.
        self.closed = 0
        self.sent_bytes = 0

    async def serve(self, connected: Any) -> None:  # noqa: ANN401
        try:
            await read_request(connected)
            await connected.sendall(self._start)
            while True:
                await connected.sendall(self._part)
                self.sent_bytes += len(self._part)
        except (AssertionError, OSError):
            self.closed += 1


async def count_turns(action: Callable[[], Awaitable[None]]) -> int:
    """Run an action, and return how often another task got its turn meanwhile."""
    task = await curio.spawn(action)
    turns = 0
    while not task.terminated:
        await curio.sleep(0)
        turns += 1
    await task.join()
    return turns


async def open_endless(
    start: bytes, part: bytes, pool: UpstreamPool
) -> UpstreamConnection:
    _, address = await start_scripted_server(EndlessTarget(start, part).serve)
    connection = await pool.acquire(address, 1.0)
    await connection.send("GET", "/", [(b"host", b"h")], b"")
    return connection


# Guards against a head without end, which fills the memory or holds the request.
@pytest.mark.parametrize("name", ENDLESS_HEADS)
def test_endless_head_is_given_up_soon(name: str) -> None:
    async def main() -> None:
        connection = await open_endless(*ENDLESS_HEADS[name], UpstreamPool())
        with pytest.raises(ConnectionClosedError):
            await curio.timeout_after(1.0, connection.read_head)
        _, received = connection.take_byte_counts()
        assert received <= max(2 * MAX_HEAD_BYTES, 100 * MAX_PROVISIONAL_RESPONSES)
        await connection.close()

    run(main)


# Guards against heads within their size limit whose thousands of lines take the host's
# time and, parsed, a multiple of their size.
@pytest.mark.parametrize("start", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
def test_head_of_too_many_lines_is_given_up(start: bytes, line_end: bytes) -> None:
    head = b"HTTP/1.1 200 OK" + line_end + (b"a:" + line_end) * 15_000 + line_end

    async def main() -> None:
        pool = UpstreamPool()
        connection = await open_endless(start + head, BLOCK, pool)
        with pytest.raises(ConnectionClosedError, match="lines"):
            await connection.read_head()
        await connection.close()

    run(main)


# Guards against a sound response that is given up for the lines of its body, which
# arrive together with its head.
def test_lines_of_the_body_do_not_count_as_those_of_the_head() -> None:
    body = b"\n" * (2 * MAX_HEAD_LINES)
    lines = b"a: 1\r\n" * (MAX_HEAD_LINES - 2)
    length = b"content-length: %d\r\n\r\n" % len(body)
    answer = b"HTTP/1.1 200 OK\r\n" + lines + length + body

    async def main() -> bytes:
        connection = await open_endless(answer, BLOCK, UpstreamPool())
        head = await connection.read_head()
        assert len(head.headers) == MAX_HEAD_LINES - 1
        read = await connection.read_body()
        await connection.close()
        return read

    assert run(main) == body


# Guards against a body without end, which fills the memory or blocks other requests.
@pytest.mark.parametrize("name", ENDLESS_BODIES)
def test_endless_body_is_given_up_within_its_limit(name: str) -> None:
    async def main() -> None:
        connection = await open_endless(*ENDLESS_BODIES[name], UpstreamPool())

        async def read() -> None:
            await connection.read_head()
            with pytest.raises(ConnectionClosedError):
                await connection.read_body()

        turns = await count_turns(read)
        _, received = connection.take_byte_counts()
        assert turns >= received // MAX_BYTES_PER_TURN
        assert received <= _upstream.MAX_RESPONSE_BODY_BYTES + 2 * len(BLOCK)
        await connection.close()

    run(main)


# Guards against many endless answers that together fill the memory, and against sound
# ones that are given up in their place.
@pytest.mark.parametrize("name", [*ENDLESS_HEADS, *ENDLESS_BODIES])
def test_endless_answers_share_one_limit(name: str) -> None:
    limit, connections = 400_000, 24
    endless = (ENDLESS_HEADS | ENDLESS_BODIES)[name]

    async def main() -> bytes:
        pool = UpstreamPool(max_held_bytes=limit)
        _, address = await start_scripted_server(EndlessTarget(*endless).serve)
        _, sound_address = await start_scripted_server(answer_slowly)
        sound = await send(await pool.acquire(sound_address, 1.0))
        opened = [await pool.acquire(address, 1.0) for _ in range(connections)]
        reading_sound = await curio.spawn(read_whole, sound)
        reading = [await curio.spawn(read_whole, await send(each)) for each in opened]
        most = 0
        while not all(each.terminated for each in reading):
            most = max(most, pool.held.size)
            await curio.sleep(0)
        answers = [await each.join() for each in reading]
        body: bytes = await reading_sound.join()
        assert answers == [b""] * connections
        assert most <= limit
        assert pool.held.size == 0
        return body

    body: bytes = run(main)
    assert body == SLOW_BODY


async def send(connection: UpstreamConnection) -> UpstreamConnection:
    await connection.send("GET", "/", [(b"host", b"h")], b"")
    return connection


async def read_whole(connection: UpstreamConnection) -> bytes:
    """Read an answer; empty if it is given up."""
    try:
        await connection.read_head()
        return await connection.read_body()
    except ConnectionClosedError:
        return b""
    finally:
        await connection.close()


async def answer_slowly(connected: Any) -> None:  # noqa: ANN401
    """Answer with a body that takes as long as others need to reach the limit."""
    await read_request(connected)
    await connected.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 60000\r\n\r\n")
    for _ in range(30):
        await connected.sendall(SLOW_BODY[:2_000])
        await curio.sleep(0.02)


# Guards against streams whose events have no end, each within its own limit, that fill
# the memory together.
def test_endless_events_of_many_streams_share_one_limit() -> None:
    limit, callers = 3_000_000, 12
    target = EndlessTarget(*ENDLESS_BODIES["chunks"])
    replies = [StreamReply() for _ in range(callers)]
    most = 0

    async def main() -> None:
        nonlocal most
        _, address = await start_scripted_server(target.serve)
        pool = UpstreamPool(max_held_bytes=limit)

        async def acquire(_: Address, *args: object, **options: object) -> Any:  # noqa: ANN401
            return await pool.acquire(address, 1.0)

        tasks = []
        for reply in replies:
            wire = SendingWire()
            context = make_context(wire)
            context.upstream = pool_of(acquire, pool)
            forwarder = make_forwarder(ROUTE, context, wire, reply)
            tasks.append(await curio.spawn(forwarder.run))
        while not all(each.terminated for each in tasks):
            most = max(most, pool.held.size)
            await curio.sleep(0)
        for each in tasks:
            await each.join()

    run(main)
    assert most <= limit
    assert {status for reply in replies for status in reply.statuses} == {502}


# Guards against an event without end, and against searching it again for each byte.
def test_endless_event_is_given_up_without_searching_it_again() -> None:
    splitter = EventSplitter()
    started_at = process_time()
    with pytest.raises(EventError):
        for _ in range(MAX_EVENT_BYTES // 16 + 1):
            splitter.feed(b"x" * 16)
    assert process_time() - started_at < EVENT_GIVEN_UP_S


def test_event_whose_separator_arrives_in_parts_is_found() -> None:
    for separator in (b"\n\n", b"\r\n\r\n"):
        splitter = EventSplitter()
        data = b"id: 1" + separator + b"id: 2" + separator
        events = [each for at in data for each in splitter.feed(bytes([at]))]
        assert [each.event_id for each in events] == ["1", "2"]
        assert splitter.is_between_events


class SendingWire(FakeWire):
    """Wire format whose requests can really be sent.

    :param not_run: whether each response says that the request has not run.
    """

    def __init__(self, *, not_run: bool = False) -> None:
        super().__init__()
        self._not_run = not_run

    def write_head(self, request: ForwardRequest, metadata: CallMetadata) -> Any:  # noqa: ANN401
        super().write_head(request, metadata)
        return ((b"host", b"h"),)

    def read_head(self, status: int, headers: object) -> TargetHead:
        head = super().read_head(status, headers)
        return msgspec.structs.replace(head, not_run=self._not_run)


def forward(target: EndlessTarget, wire: FakeWire, reply: RecordingReply) -> Any:  # noqa: ANN401
    """Forward a request to a target, and return the steps that were reported."""
    steps: list[PlaceStep] = []

    async def main() -> None:
        _, address = await start_scripted_server(target.serve)
        context = make_context(wire)
        pool = UpstreamPool()

        async def acquire(_: Address, *args: object, **options: object) -> Any:  # noqa: ANN401
            return await pool.acquire(address, 1.0)

        context.upstream = pool_of(acquire, pool)
        context.placement.report = steps.append
        await make_forwarder(ROUTE, context, wire, reply).run()
        await curio.sleep(0.05)

    run(main)
    return steps


def pool_of(acquire: object, pool: UpstreamPool) -> Any:  # noqa: ANN401
    class Pool:
        held = pool.held
        release_connection = staticmethod(pool.release_connection)
        record_traffic = staticmethod(pool.record_traffic)

    Pool.acquire = staticmethod(acquire)  # type: ignore[attr-defined, arg-type]
    return Pool


def test_endless_rejection_is_still_a_rejection() -> None:
    reply, target = RecordingReply(), EndlessTarget(*ENDLESS_BODIES["until close"])
    steps = forward(target, SendingWire(not_run=True), reply)
    assert reply.statuses == [503]
    assert target.closed == 1
    assert steps[-1].good is False


def test_endless_first_event_is_answered_and_counts_as_a_failure() -> None:
    reply, target = StreamReply(), EndlessTarget(*ENDLESS_BODIES["until close"])
    steps = forward(target, SendingWire(), reply)
    assert (reply.statuses, reply.chunks, reply.ended) == ([502], [], "")
    assert target.closed == 1
    assert steps[-1].good is False
