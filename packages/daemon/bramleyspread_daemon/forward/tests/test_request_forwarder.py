"""Requests from end to end over stand-ins: faults, resumed streams, slow callers."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

import curio
import msgspec

from bramleyspread_core import Address, ForwardRoute, RequestKind, ServiceShare
from bramleyspread_daemon._client import ClosedError
from bramleyspread_daemon.forward._attempt import MOST_UNSENT_BYTES
from bramleyspread_daemon.forward._request_forwarder import RequestForwarder
from bramleyspread_daemon.forward._wire import (
    CallTerms,
    Refusal,
    TargetHead,
    WireReply,
)
from bramleyspread_daemon.tests.loopback import run
from bramleyspread_forwarding import (
    EntryHost,
    ForwardRequest,
    ForwardTarget,
    NoTarget,
    Placed,
    PlaceQuery,
    RetryBudget,
)

ROUTE = ForwardRoute(
    name="r",
    host="h",
    prefix="/",
    kind=RequestKind.IDEMPOTENT,
    timeout_ms=1_000,
    aim_ms=100.0,
    shares=(ServiceShare("s", 1.0),),
)
REQUEST = ForwardRequest(
    request="1", method="GET", target="/", path="/", host="h", headers=(), body=b""
)


class Sent:
    """A reply that keeps what was sent."""

    def __init__(self) -> None:
        self.begun = False
        self.statuses: list[int] = []

    def send(self, status: int, body: bytes, headers: object = ()) -> None:
        self.begun = True
        self.statuses.append(status)


class Wire:
    """Writes refusals as they are, and takes any answer as a sealed stream."""

    def __init__(self) -> None:
        self.terms: list[CallTerms] = []

    def write_refusal(self, refusal: Refusal) -> WireReply:
        return WireReply(refusal.status)

    def write_head(self, request: ForwardRequest, terms: CallTerms) -> tuple[()]:
        self.terms.append(terms)
        return ()

    def read_head(self, status: int, headers: object) -> TargetHead:
        return TargetHead(
            status=status,
            request=REQUEST.request,
            sealed=True,
            not_run=False,
            is_stream=True,
            load=None,
            keep_s=None,
            headers=(("first", "yes"),),
        )


class StreamReply(Sent):
    """A reply that keeps the pieces of a stream, and may take them slowly."""

    def __init__(self) -> None:
        super().__init__()
        self.pieces: list[bytes] = []
        self.ended = ""
        self.unsent_bytes = 0

    def begin(self, status: int, headers: object) -> None:
        assert not self.begun
        self.begun = True
        self.statuses.append(status)

    def send_piece(self, piece: bytes) -> None:
        self.pieces.append(piece)

    def end(self) -> None:
        self.ended = "whole"

    def cut(self) -> None:
        self.ended = "cut"


class Target:
    """A connection to a target that sends pieces, then ends or breaks off."""

    def __init__(self, *pieces: bytes, breaks: bool = False) -> None:
        self.pieces = list(pieces)
        self.breaks = breaks
        self.reads = 0

    async def send(self, *_: object) -> None:
        pass

    async def read_head(self) -> SimpleNamespace:
        return SimpleNamespace(status_code=200, headers=())

    async def read_piece(self) -> bytes:
        self.reads += 1
        if self.pieces:
            return self.pieces.pop(0)
        if self.breaks:
            raise ClosedError("reset")
        return b""

    async def close(self) -> None:
        pass


class Upstream:
    """Gives one connection after the other."""

    def __init__(self, *targets: Target) -> None:
        self.targets = list(targets)

    async def take(self, *_: object, **__: object) -> Target:
        return self.targets.pop(0)

    async def give_back(self, *_: object) -> None:
        pass


class Placing:
    """Chooses a new target each time."""

    def __init__(self) -> None:
        self.queries: list[PlaceQuery] = []

    async def choose(self, query: PlaceQuery) -> Placed | NoTarget:
        self.queries.append(query)
        name = f"t{len(self.queries)}"
        target = ForwardTarget(name, Address("127.0.0.1", 1), "z", 1)
        return Placed(target=target, ticket=len(self.queries))

    def report(self, step: object) -> None:
        pass


def make_context(wire: Wire, *targets: Target) -> SimpleNamespace:
    budget = RetryBudget(1.0, 10.0, 10.0)
    return SimpleNamespace(
        in_flight=0,
        ends=Counter(),
        version=1,
        own=EntryHost("e", "z", Address("127.0.0.1", 2)),
        choose_service=lambda *_: "s",
        find_budget=lambda _: budget,
        list_hosts=tuple,
        placement=Placing(),
        upstream=Upstream(*targets),
        wire=wire,
    )


def forward(
    route: ForwardRoute, context: SimpleNamespace, wire: Wire, reply: Sent
) -> RequestForwarder:
    return RequestForwarder(
        cast("Any", context),
        cast("Any", wire),
        REQUEST,
        route,
        None,
        cast("Any", reply),
    )


def test_a_fault_inside_is_answered_and_logged() -> None:
    def fail(*_: object) -> str:
        raise KeyError("a fault inside")

    context = SimpleNamespace(
        in_flight=0, ends=Counter(), version=1, choose_service=fail
    )
    reply = Sent()
    forwarder = forward(ROUTE, context, Wire(), reply)
    run(forwarder.run)
    assert reply.statuses == [500]
    assert context.in_flight == 0
    assert context.ends == {"fault": 1}


STREAM = msgspec.structs.replace(
    ROUTE, kind=RequestKind.STREAM, resumable=True, attempts=2
)


def test_a_resumable_stream_goes_on_at_another_target_in_the_same_answer() -> None:
    wire, reply = Wire(), StreamReply()
    context = make_context(
        wire,
        Target(b"id: 1\ndata: a\n\n", b"id: 2\nda", breaks=True),
        Target(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
    )
    run(forward(STREAM, context, wire, reply).run)
    assert b"".join(reply.pieces) == (
        b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
    )
    assert (reply.statuses, reply.ended) == ([200], "whole")
    assert [each.last_event for each in wire.terms] == ["", "1"]
    assert context.placement.queries[1].tried == ("t1",)


def test_a_stream_that_may_not_resume_is_cut_where_its_target_broke_off() -> None:
    wire, reply = Wire(), StreamReply()
    route = msgspec.structs.replace(STREAM, resumable=False)
    target = Target(b"id: 1\ndata: a\n\n", breaks=True)
    run(forward(route, make_context(wire, target), wire, reply).run)
    assert (reply.statuses, reply.ended, len(wire.terms)) == ([200], "cut", 1)


def test_a_slow_caller_is_waited_for_and_holds_no_more_than_a_bound() -> None:
    async def main() -> None:
        event = b"id: 1\ndata: " + b"x" * 1_000 + b"\n\n"
        wire, reply = Wire(), StreamReply()
        target = Target(*[event] * 5)
        reply.unsent_bytes = MOST_UNSENT_BYTES + 1
        forwarder = forward(STREAM, make_context(wire, target), wire, reply)
        task = await curio.spawn(forwarder.run)
        await curio.sleep(0.05)
        assert target.reads == 1
        reply.unsent_bytes = 0
        await task.join()
        assert (len(reply.pieces), reply.ended) == (5, "whole")

    run(main)


def test_a_target_s_own_failure_is_answered_when_no_other_target_is_left() -> None:
    wire, reply = Wire(), Sent()
    context = make_context(wire, Failing())
    context.placement = OneTarget()
    run(forward(ROUTE_TWICE, context, wire, reply).run)
    assert reply.statuses == [500]
    assert len(wire.terms) == 1


ROUTE_TWICE = msgspec.structs.replace(ROUTE, attempts=2)


class Failing(Target):
    """A target that answers with a failure of its own."""

    async def read_head(self) -> SimpleNamespace:
        return SimpleNamespace(status_code=500, headers=())

    async def read_body(self) -> bytes:
        return b"failed"


class OneTarget(Placing):
    """Knows one target only."""

    async def choose(self, query: PlaceQuery) -> Placed | NoTarget:
        if query.tried:
            return NoTarget("every target was tried")
        return await super().choose(query)
