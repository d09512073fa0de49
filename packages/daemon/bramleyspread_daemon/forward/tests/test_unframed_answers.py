"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import struct
from typing import Any

import curio
import msgspec
import pytest

from bramleyspread_core import Address, ForwardRoute
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._target_crashes import COLLECTION_S, TargetCrashes
from bramleyspread_daemon.forward._unframed_end import UnframedEnd
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward._wire import TargetHead
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    REQUEST,
    ROUTE,
    STREAM,
    FakePlacement,
    FakeWire,
    StreamReply,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.tests.loopback import (
    read_request,
    run,
    start_scripted_server,
)
from bramleyspread_forwarding import (
    ForwardRequest,
    ForwardTarget,
    Placed,
    PlaceQuery,
)

#: Heads that give neither a length nor chunks.
HEADS = (
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n\r\n",
)
EVENT = b"id: 1\ndata: a\n\n"
PLAIN_ROUTE = ROUTE
STREAM_ROUTE = msgspec.structs.replace(STREAM, resumable=False, attempts=1)
#: ``SO_LINGER`` value with which closing resets a connection.
NO_LINGER = struct.pack("ii", 1, 0)


class UnframedWire(FakeWire):
    """Wire format that says whether responses are streams."""

    def __init__(self, *, is_stream: bool) -> None:
        super().__init__()
        self._is_stream = is_stream

    def write_head(self, request: ForwardRequest, metadata: Any) -> Any:
        self.metadata.append(metadata)
        return ((b"host", b"h"),)

    def read_head(self, status: int, headers: Any) -> TargetHead:
        head = super().read_head(status, headers)
        if b"unnamed" in dict(headers):
            not_run = status == 503
            return msgspec.structs.replace(head, request="", not_run=not_run)
        instance = dict(headers).get(b"instance", b"").decode()
        if instance:
            return msgspec.structs.replace(
                head, request="", instance=instance, is_misdirected=status == 421
            )
        return msgspec.structs.replace(head, is_stream=self._is_stream)


class SentReply(StreamReply):
    """Reply that records complete answers as well."""

    def send(self, status: int, body: bytes, headers: object = ()) -> None:
        super().send(status, body, headers)
        self.chunks.append(body)


class OneTargetPlacement(FakePlacement):
    """Placement that knows one target."""

    def __init__(self, address: Address) -> None:
        super().__init__()
        self._address = address

    async def choose(self, query: PlaceQuery) -> Placed:
        return Placed(target=ForwardTarget("t", self._address, "z", 1), ticket=1)


class _Outcome(msgspec.Struct):
    """What a caller got, and what became of the connection."""

    reply: StreamReply
    idle: int
    successes: list[object]
    crashes: TargetCrashes


def write_life(instance: str, status: str = "200 OK") -> bytes:
    """Encode the answer of a target that is asked whether it lives."""
    head = f"HTTP/1.1 {status}\r\ninstance: {instance}\r\ncontent-length: 0\r\n\r\n"
    return head.encode()


async def refuse_connections(_: Address) -> bool:
    return True


def forward(
    route: ForwardRoute,
    head: bytes,
    body: bytes,
    *,
    resets: bool = False,
    crashes: bool = False,
) -> _Outcome:
    """Forward a request to a target that answers without a length."""

    async def answer(connected: Any) -> None:
        if (await read_request(connected)).startswith(b"GET /life "):
            await connected.sendall(write_life("t"))
            return
        await connected.sendall(head + body)
        if resets:
            await curio.sleep(0.05)
            linger = (13, NO_LINGER)
            connected._socket.setsockopt(1, *linger)
        await connected.close()

    async def main() -> _Outcome:
        _, address = await start_scripted_server(answer)
        wire, reply = UnframedWire(is_stream=route is STREAM_ROUTE), SentReply()
        context = make_context(wire)
        context.placement = OneTargetPlacement(address)
        context.upstream = UpstreamPool()
        successes: list[object] = []
        if crashes:
            context.crashes = TargetCrashes(refuse_connections, lambda *_: None)
        context.crashes.record_success = successes.append
        await make_forwarder(route, context, wire, reply).run()
        idle = sum(map(len, context.upstream._idle.values()))
        await curio.sleep(2 * COLLECTION_S)
        return _Outcome(reply, idle, successes, context.crashes)

    assert REQUEST.body == b""
    return run(main)


@pytest.mark.parametrize("head", HEADS)
def test_answer_that_ends_with_its_connection_is_whole(head: bytes) -> None:
    outcome = forward(PLAIN_ROUTE, head, b"all of it")
    assert (outcome.reply.statuses, outcome.reply.chunks) == ([200], [b"all of it"])
    assert outcome.idle == 0


@pytest.mark.parametrize("head", HEADS)
def test_answer_whose_connection_is_reset_is_not_passed_on(head: bytes) -> None:
    outcome = forward(PLAIN_ROUTE, head, b"some of it", resets=True)
    assert outcome.reply.statuses == [502]
    assert outcome.idle == 0


@pytest.mark.parametrize("head", HEADS)
def test_stream_that_ends_between_events_is_whole(head: bytes) -> None:
    outcome = forward(STREAM_ROUTE, head, EVENT * 3)
    assert (outcome.reply.chunks, outcome.reply.ended) == ([EVENT] * 3, "whole")
    assert outcome.idle == 0


# Guards against a stream that broke off and is passed on as if it were whole.
@pytest.mark.parametrize("head", HEADS)
def test_stream_that_ends_inside_an_event_is_cut_off(head: bytes) -> None:
    outcome = forward(STREAM_ROUTE, head, EVENT + b"id: 2\nda")
    assert (outcome.reply.statuses, outcome.reply.chunks) == ([200], [EVENT])
    assert (outcome.reply.ended, outcome.idle, outcome.successes) == ("cut", 0, [])


# Guards against a stream that broke off and is passed on as if it were whole, or whose
# caller gets neither head nor body.
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("body", [b"id: 1", b""])
def test_stream_that_ends_before_its_first_event_is_a_failure(
    head: bytes, body: bytes
) -> None:
    outcome = forward(STREAM_ROUTE, head, body)
    assert (outcome.reply.statuses, outcome.reply.ended) == ([502], "")
    assert (outcome.idle, outcome.successes) == (0, [])


# Guards against a crash that looks like a whole answer, and so clears its request.
@pytest.mark.parametrize("route", [PLAIN_ROUTE, STREAM_ROUTE])
@pytest.mark.parametrize("crashes", [False, True])
def test_answer_that_a_crash_may_have_ended_is_no_success(
    route: ForwardRoute, crashes: bool
) -> None:
    outcome = forward(route, HEADS[0], EVENT, crashes=crashes)
    assert outcome.reply.statuses == [200]
    assert len(outcome.successes) == (0 if crashes else 1)
    assert outcome.crashes.table.is_empty is not crashes


def test_stream_with_an_end_of_its_own_may_have_no_event() -> None:
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    assert forward(STREAM_ROUTE, head, b"").reply.ended == "whole"


class CrashingTarget:
    """A target that ends with its answer, as a process that is killed does.

    :param answer: what it sends before.
    """

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self._listening = curio.socket.socket()
        self._listening.bind(("127.0.0.1", 0))
        self._listening.listen(16)
        self.address = Address(*self._listening.getsockname())

    async def serve(self) -> None:
        connected, _ = await self._listening.accept()
        await read_request(connected)
        await connected.sendall(self._answer)
        await curio.sleep(0.05)
        await connected.close()
        await self._listening.close()


def forward_to_crashing(
    route: ForwardRoute, body: bytes, *, has_departed: bool = False
) -> SentReply:
    """Forward a request to a target that ends with its answer."""
    reply = SentReply()

    async def main() -> None:
        target = CrashingTarget(HEADS[0] + body)
        await curio.spawn(target.serve, daemon=True)
        wire = UnframedWire(is_stream=route is STREAM_ROUTE)
        context = make_context(wire)
        context.placement = OneTargetPlacement(target.address)
        context.upstream = UpstreamPool()
        if has_departed:
            context.targets.record_departure("t", 0, 0.0)
        await make_forwarder(route, context, wire, reply).run()

    run(main)
    return reply


# Guards against half an answer without a length that looks whole since a killed
# process's connections are closed in the ordinary way.
def test_answer_that_ends_with_its_target_is_not_whole() -> None:
    reply = forward_to_crashing(STREAM_ROUTE, EVENT * 3)
    assert (reply.statuses, reply.ended) == ([200], "cut")
    assert b"".join(reply.chunks) == EVENT * 3
    assert forward_to_crashing(PLAIN_ROUTE, b"half of it").statuses == [502]


# Guards against half an answer that looks whole since its target had said that it
# leaves: it may exit, or be killed, in the middle.
def test_answer_that_ends_with_a_leaving_target_is_not_whole() -> None:
    reply = forward_to_crashing(STREAM_ROUTE, EVENT * 3, has_departed=True)
    assert (reply.statuses, reply.ended) == ([200], "cut")
    leaving = forward_to_crashing(PLAIN_ROUTE, b"half of it", has_departed=True)
    assert leaving.statuses == [502]


# Guards against requests that are refused as fatal since targets that were leaving
# exited as their answers ended.
@pytest.mark.parametrize("route", [PLAIN_ROUTE, STREAM_ROUTE])
def test_exit_of_a_target_that_was_leaving_is_no_crash(route: ForwardRoute) -> None:
    async def main() -> TargetCrashes:
        target = CrashingTarget(HEADS[0] + EVENT)
        await curio.spawn(target.serve, daemon=True)
        wire, pool = UnframedWire(is_stream=route is STREAM_ROUTE), UpstreamPool()
        context = make_context(wire)
        context.placement, context.upstream = OneTargetPlacement(target.address), pool
        context.crashes = TargetCrashes(pool.is_refused, lambda *_: None)
        context.targets.record_departure("t", 0, 0.0)
        await make_forwarder(route, context, wire, SentReply()).run()
        await curio.sleep(2 * COLLECTION_S)
        crashes: TargetCrashes = context.crashes
        return crashes

    assert run(main).table.is_empty


# Guards against a stream that its target gave up at the deadline it was given.
def test_answer_that_ends_as_its_time_is_over_is_not_whole() -> None:
    async def main() -> str:
        target = CrashingTarget(b"")
        named = ForwardTarget("t", target.address, "z", 1)
        now = read_monotonic()
        context = make_context(UnframedWire(is_stream=True))
        end = UnframedEnd(named, "s", now, now + 0.005)
        why: str = await context.unframed_ends.find_break(end)
        return why

    assert "time" in run(main)
