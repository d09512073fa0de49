"""Answers that are given up for want of room: what of them stays in memory."""

from __future__ import annotations

import gc
import tracemalloc
from random import Random
from types import SimpleNamespace
from typing import Any

import curio
import msgspec
import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._client import ConnectionClosedError
from bramleyspread_daemon.forward._attempt import MAX_UNSENT_BYTES
from bramleyspread_daemon.forward._held_bytes import HeldBytes, Holding
from bramleyspread_daemon.forward._target_crashes import TargetCrashes
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward.tests.test_endless_responses import (
    CHUNKED,
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    EndlessTarget,
    SendingWire,
    pool_of,
    read_whole,
    send,
)
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    ROUTE,
    FakeConnection,
    FakeWire,
    SilentConnection,
    StreamReply,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.tests.loopback import (
    read_request,
    run,
    start_scripted_server,
)

#: Maximum size of what is kept of all answers in these tests, in bytes.
LIMIT = 4_000_000
#: Size of an answer that is given up for the next one, in bytes.
LARGE = 3_000_000
#: Maximum size of what is left of a closed connection, in bytes.
MAX_KEPT_PER_CONNECTION = 10_000
EVENT = b"id: 1\ndata: x\n\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
ANSWERS = (
    CHUNKED + b"a\r\n" + b"x" * 10 + b"\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 90000\r\n\r\n" + b"x" * 90_000,
    CHUNKED + b"5\r\nabcde\r\n" * 9_000,
    UNFRAMED + b"x" * 900_000,
)


async def start_large(start: bytes, *, closes: bool = False) -> Address:
    """Start a target that sends this and then nothing, or closes the connection."""
    asked = 0

    async def serve(connected: Any) -> None:
        nonlocal asked
        asked += 1
        await read_request(connected)
        if asked == 1:
            await connected.sendall(start)
            if closes:
                await connected.close()
                return
        await curio.sleep(30)

    return (await start_scripted_server(serve))[1]


async def start_flood() -> Address:
    target = EndlessTarget(*ENDLESS_BODIES["chunks"])
    return (await start_scripted_server(target.serve))[1]


async def wait_until_kept(pool: UpstreamPool, size: int) -> None:
    while pool.held.size < size:
        await curio.sleep(0.001)


def make_stream(pool: UpstreamPool, address: Address, reply: StreamReply) -> Any:  # noqa: ANN401
    async def acquire(_: Address, *args: object, **options: object) -> Any:  # noqa: ANN401
        return await pool.acquire(address, 1.0)

    wire = SendingWire()
    context = make_context(wire)
    context.upstream = pool_of(acquire, pool)
    route = msgspec.structs.replace(ROUTE, timeout_ms=60_000)
    return make_forwarder(route, context, wire, reply)


# Guards against answers that no longer count and are kept all the same, until their
# readers run again: under load a host keeps several times its limit.
def test_what_is_given_up_is_let_go_at_once() -> None:
    async def main() -> None:
        pool = UpstreamPool(max_held_bytes=LIMIT)
        large = await start_large(UNFRAMED + b"x" * LARGE)
        first = await send(await pool.acquire(large, 1.0))
        tracemalloc.start()
        reading = await curio.spawn(read_whole, first)
        await wait_until_kept(pool, LARGE)
        second = await send(await pool.acquire(await start_flood(), 1.0))
        await second.read_head()
        kept = bytearray()
        while not pool.held.given_up:
            kept += await second.read_chunk()
            second_parts.size = len(kept)
            second.keep(second_parts)
            second.record_kept()
        # The reader of the first one has not run since.
        assert not reading.terminated
        assert tracemalloc.get_traced_memory()[0] < LARGE
        tracemalloc.stop()
        assert await reading.join() == b""
        await second.close()
        assert pool.held.size == 0

    second_parts = _Parts()
    run(main)


class _Parts:
    size = 0

    def drop(self) -> None:
        """Keep all."""


# Guards against streams that are given up and kept until their slow callers read on.
def test_stream_that_is_given_up_does_not_wait_for_its_caller() -> None:
    async def main() -> None:
        pool, reply = UpstreamPool(max_held_bytes=LIMIT), StreamReply()
        reply.unsent_bytes = LARGE
        assert reply.unsent_bytes > MAX_UNSENT_BYTES
        chunk = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
        address = await start_large(CHUNKED + chunk)
        task = await curio.spawn(make_stream(pool, address, reply).run)
        await wait_until_kept(pool, LARGE)
        flood = await send(await pool.acquire(await start_flood(), 1.0))
        assert await read_whole(flood) == b""
        assert pool.held.given_up
        await curio.timeout_after(20.0, task.join)
        assert reply.ended == "cut"

    run(main)


# Guards against bodies that don't count while it is found out whether they are whole.
def test_body_counts_until_it_is_passed_on() -> None:
    async def main() -> None:
        pool = UpstreamPool(max_held_bytes=LIMIT)
        address = await start_large(UNFRAMED + b"x" * LARGE, closes=True)
        connection = await send(await pool.acquire(address, 1.0))
        await connection.read_head()
        body = await connection.read_body()
        assert pool.held.size >= len(body)
        flood = await send(await pool.acquire(await start_flood(), 1.0))
        assert await read_whole(flood) == b""
        with pytest.raises(ConnectionClosedError):
            connection.check_room()
        await connection.close()
        assert pool.held.size == 0

    run(main)


class PassedOnReply(StreamReply):
    """Reply that counts the events that are passed on, and keeps none."""

    def send_chunk(self, chunk: bytes) -> None:
        self.chunks.append(b"")


# Guards against bytes that readers keep, uncounted, while they wait for more, although
# all is passed on: hundreds of such streams fill the memory.
def test_nothing_is_kept_of_what_is_passed_on() -> None:
    streams, event = 20, b"id: 1\ndata: " + b"x" * 60_000 + b"\n\n"

    async def main() -> None:
        pool, replies = UpstreamPool(), [PassedOnReply() for _ in range(streams)]
        start = CHUNKED + b"%x\r\n%b\r\n" % (len(event), event)
        addresses = [await start_large(start) for _ in replies]
        tracemalloc.start()
        tasks = [
            await curio.spawn(make_stream(pool, address, reply).run)
            for address, reply in zip(addresses, replies, strict=True)
        ]
        while not all(each.chunks for each in replies):
            await curio.sleep(0.001)
        for _ in range(10):
            await curio.sleep(0)
        kept = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert kept < streams * len(event)
        for task in tasks:
            await task.cancel()

    run(main)


# Guards against closed connections that refer to themselves: what their parsers hold
# stays until the next collection of garbage, which is rare.
@pytest.mark.parametrize("name", [*ENDLESS_HEADS, *ENDLESS_BODIES])
def test_closed_connection_is_let_go_without_a_collection(name: str) -> None:
    answers = 20

    async def main() -> None:
        pool = UpstreamPool(max_held_bytes=300_000)
        target = EndlessTarget(*(ENDLESS_HEADS | ENDLESS_BODIES)[name])
        _, address = await start_scripted_server(target.serve)
        gc.collect()
        gc.disable()
        tracemalloc.start()
        for _ in range(answers):
            await read_whole(await send(await pool.acquire(address, 1.0)))
        while target.closed < answers:
            await curio.sleep(0.001)
        kept = tracemalloc.get_traced_memory()[0]
        assert kept < answers * MAX_KEPT_PER_CONNECTION

    try:
        run(main)
    finally:
        tracemalloc.stop()
        gc.enable()


class FailedConnection(FakeConnection):
    """Connection to a target that answers with a large failure."""

    async def read_head(self) -> SimpleNamespace:
        return SimpleNamespace(status_code=500, headers=())

    async def read_body(self) -> bytes:
        return b"x" * LARGE


# Guards against failures that fill the memory, uncounted, while requests are tried
# elsewhere; one that is given up must not be passed on without its body.
def test_failure_counts_while_its_request_is_tried_elsewhere() -> None:
    async def main() -> None:
        wire, reply = FakeWire(), StreamReply()
        context = make_context(wire, FailedConnection(), SilentConnection())
        pool = UpstreamPool(max_held_bytes=LIMIT)
        context.upstream.held = pool.held
        route = msgspec.structs.replace(ROUTE, timeout_ms=60_000, attempts=2)
        forwarder = make_forwarder(route, context, wire, reply)
        task = await curio.spawn(forwarder.run)
        await curio.timeout_after(20.0, wait_until_kept, pool, LARGE)
        flood = await send(await pool.acquire(await start_flood(), 1.0))
        assert await read_whole(flood) == b""
        assert pool.held.given_up
        assert forwarder._kept_failure.failure is None
        await task.cancel()
        assert pool.held.size == 0

    run(main)


# Guards against requests that are refused for a crash that came after this host had
# given up their answers, and so ended others.
def test_answer_that_is_given_up_is_no_sign_of_a_crash() -> None:
    crashed: list[str] = []

    async def refuse(_: Address) -> bool:
        return True

    async def main() -> None:
        pool, reply = UpstreamPool(max_held_bytes=LIMIT), StreamReply()
        reply.unsent_bytes = LARGE
        chunk = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
        address = await start_large(CHUNKED + chunk)
        forwarder = make_stream(pool, address, reply)
        crashes = TargetCrashes(refuse, lambda target, *_: crashed.append(target))
        forwarder._context.crashes = crashes
        task = await curio.spawn(forwarder.run)
        await wait_until_kept(pool, LARGE)
        flood = await send(await pool.acquire(await start_flood(), 1.0))
        assert await read_whole(flood) == b""
        await curio.timeout_after(20.0, task.join)
        while crashes._ended_answers:
            await curio.sleep(0.001)
        assert reply.ended == "cut"
        assert crashes.table.is_empty

    run(main)
    assert crashed == []


class UnreadReply(StreamReply):
    """Reply whose caller doesn't read what it is sent."""

    def __init__(self) -> None:
        super().__init__()
        self.dropped = False

    def end(self) -> None:
        super().end()
        self.unsent_bytes = LARGE

    def drop_unsent(self) -> None:
        self.dropped, self.unsent_bytes = True, 0


# Guards against whole answers that many slow callers leave unread, and that don't count
# once the target has sent them.
def test_answer_counts_until_its_caller_has_read_it() -> None:
    async def main() -> None:
        pool, reply = UpstreamPool(max_held_bytes=LIMIT), UnreadReply()
        chunk = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
        address = await start_large(CHUNKED + chunk + b"0\r\n\r\n")
        task = await curio.spawn(make_stream(pool, address, reply).run)
        await curio.timeout_after(20.0, wait_until_kept, pool, LARGE)
        flood = await send(await pool.acquire(await start_flood(), 1.0))
        assert await read_whole(flood) == b""
        assert reply.dropped
        await task.join()
        assert pool.held.size == 0

    run(main)


# Guards against sound streams that are given up for what their callers have read since.
def test_what_callers_have_read_is_no_reason_to_give_up() -> None:
    held = HeldBytes(limit=100)
    kept = 80
    sound = Holding(Address("10.0.0.1", 1), lambda: kept, lambda: None)
    endless = Holding(Address("10.0.0.2", 1), lambda: 50, lambda: None)
    held.resize(sound, kept)
    kept = 10
    held.resize(endless, 50)
    assert not (sound.is_given_up or endless.is_given_up)
    assert held.size == 60


class RandomReaders:
    """Readers of answers that pass on what they read, or keep it, or are cancelled.

    :param rng: random numbers.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._connections: list[UpstreamConnection] = []
        self.pool = UpstreamPool(max_held_bytes=400_000)

    def check(self) -> None:
        """Check that the count is the sum of all that is kept."""
        open_ = [each for each in self._connections if not each.is_given_up]
        assert self.pool.held.size == sum(each._holding.size for each in open_)
        assert self.pool.held.size <= self.pool.held.limit

    async def read(self, address: Address) -> None:
        connection = await send(await self.pool.acquire(address, 1.0))
        self._connections.append(connection)
        try:
            await connection.read_head()
            if self._rng.random() < 0.5:
                await connection.read_body()
            else:
                await self._read_chunks(connection)
            await self.pool.release_connection(connection, None)
        except ConnectionClosedError:
            await connection.close()
        except curio.CancelledError:
            await connection.close()
            raise

    async def _read_chunks(self, connection: UpstreamConnection) -> None:
        parts = _Parts()
        connection.keep(parts)
        while chunk := await connection.read_chunk():
            parts.size = self._rng.choice((0, parts.size + len(chunk)))
            connection.record_kept()
            self.check()


# Guards against bytes that count for ever, or no longer count and are kept.
@pytest.mark.parametrize("seed", range(20))
def test_count_is_the_sum_of_what_is_kept_and_ends_at_zero(seed: int) -> None:
    async def main() -> None:
        rng = Random(seed)
        readers = RandomReaders(rng)
        addresses = [await start_large(each) for each in ANSWERS]
        addresses.append(await start_flood())
        chosen = [rng.choice(addresses) for _ in range(24)]
        tasks = [await curio.spawn(readers.read, each) for each in chosen]
        for _ in range(60):
            readers.check()
            await curio.sleep(0)
            if rng.random() < 0.1:
                await rng.choice(tasks).cancel()
        for task in tasks:
            await task.cancel()
        readers.check()
        held = readers.pool.held
        assert (held.size, held._sizes, held._holdings) == (0, {}, {})

    run(main)
