"""Targets that write an earlier rejection once more, on a connection in use again."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest

from bramleyspread_core import Address, RequestKind
from bramleyspread_daemon.forward._piece_calls import PieceCalls
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward._wire import PiecesRejected, TargetHead, WireCall
from bramleyspread_daemon.forward.tests.test_crossed_answers import make_call
from bramleyspread_daemon.forward.tests.test_piece_service import CountingWire
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    REQUEST,
    ROUTE,
    FakeWire,
    RecordingReply,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.forward.tests.test_unframed_answers import OneTargetPlacement
from bramleyspread_daemon.tests.loopback import (
    read_request,
    run,
    start_scripted_server,
)
from bramleyspread_forwarding import (
    BatchedCall,
    ForwardRequest,
    ForwardTarget,
    PieceResult,
    ResponseSignals,
    TargetLoad,
)

#: A route whose requests may run only once.
ONCE = msgspec.structs.replace(ROUTE, kind=RequestKind.NON_IDEMPOTENT, attempts=2)
#: Time until the target's own answer follows a copy, in seconds.
LATE_S = 0.03


class _Wire(FakeWire):
    """Wire format whose head names the request, unless it is empty."""

    def write_head(self, request: ForwardRequest, metadata: Any) -> Any:
        return ((b"host", b"h"), (b"id", request.request_id.encode()))

    def read_head(self, status: int, headers: Any) -> TargetHead:
        by_name = dict(headers)
        return TargetHead(
            status=status,
            request=by_name.get(b"id", b"").decode(),
            sealed=True,
            not_run=status == 503,
            is_stream=False,
            load=TargetLoad(1, 1, 1),
            signals=ResponseSignals(is_leaving=status == 503),
            keep_alive_s=None,
            headers=(),
        )


class _Target:
    """A target that rejects the first request, and copies that before the next answer.

    :param names_request: whether rejections name their request.
    :param answers: whether the own answer follows a copy.
    :param copies: number of copies.
    """

    def __init__(
        self, *, names_request: bool = True, answers: bool = True, copies: int = 1
    ) -> None:
        self._name = b"id: 1\r\n" if names_request else b""
        self._answers, self._copies = answers, copies
        #: Ids of the requests that it ran.
        self.ran: list[bytes] = []

    async def serve(self, connected: Any) -> None:  # noqa: ANN401
        rejection = b"HTTP/1.1 503 Full\r\n%scontent-length: 4\r\n\r\nfull" % self._name
        try:
            await read_request(connected)
            await connected.sendall(rejection)
            while True:
                request = await read_request(connected)
                number = request.partition(b"id: ")[2].partition(b"\r\n")[0]
                self.ran.append(number)
                await connected.sendall(rejection * self._copies)
                await curio.sleep(LATE_S)
                if self._answers:
                    await connected.sendall(
                        b"HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: 4\r\n\r\ndone"
                        % number
                    )
                else:
                    await connected.close()
                    return
        except (AssertionError, ConnectionError):
            return


class _Outcome(msgspec.Struct):
    """What the second caller got, and what is thought of the target."""

    statuses: list[int]
    signals: list[ResponseSignals]


def forward_twice(target: _Target) -> _Outcome:
    """Forward two requests to a target, one after the other."""
    signals: list[ResponseSignals] = []

    async def main() -> list[int]:
        _, address = await start_scripted_server(target.serve)
        context = make_context(_Wire())
        context.placement = OneTargetPlacement(address)
        context.upstream = UpstreamPool()
        context.signals.record = lambda _, told, __: signals.append(told)
        context.find_route = lambda *_: ONCE
        first = msgspec.structs.replace(ONCE, attempts=0)
        for route, number in ((first, "1"), (ONCE, "2")):
            signals.clear()
            reply = RecordingReply()
            forwarder = make_forwarder(route, context, _Wire(), reply)
            request = msgspec.structs.replace(REQUEST, request_id=number)
            forwarder._request = request
            await forwarder.run()
        return reply.statuses

    return _Outcome(run(main), signals)


# Guards against a caller who is told that a request has not run which a target runs,
# since the target wrote an earlier rejection once more.
@pytest.mark.parametrize("copies", [1, 3])
def test_copied_rejection_is_skipped(copies: int) -> None:
    target = _Target(copies=copies)
    outcome = forward_twice(target)
    assert outcome.statuses == [200]
    assert target.ran == [b"2"]
    assert outcome.signals == [ResponseSignals()]


# Guards against the same where no answer follows, or nothing says whose it is.
@pytest.mark.parametrize(
    "target",
    [
        _Target(answers=False),
        _Target(names_request=False),
        _Target(names_request=False, answers=False),
        _Target(copies=50),
    ],
)
def test_copied_rejection_promises_nothing(target: _Target) -> None:
    outcome = forward_twice(target)
    assert outcome.statuses == [502]
    assert target.ran == [b"2"]
    assert outcome.signals == []


class _PieceWire(CountingWire):
    """Wire format in which an answer is the handle of the call's only piece."""

    def write_pieces(self, call: BatchedCall) -> WireCall:
        return WireCall("/make", call.items[0].item.request.encode())

    def read_pieces(
        self, call: BatchedCall, status: int, body: bytes
    ) -> tuple[PieceResult, ...] | PiecesRejected:
        if status != 200:
            return PiecesRejected("full")
        return (PieceResult(body.decode(), None, "z"),)


# Guards against results of the call before, which come after a copied rejection.
def test_answer_after_a_copied_rejection_is_not_taken_for_the_next_call() -> None:
    rejection = b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n"
    calls_seen = 0

    async def serve(connected: Any) -> None:  # noqa: ANN401
        nonlocal calls_seen
        was_rejected = False
        while True:
            try:
                data = await read_request(connected)
            except (AssertionError, ConnectionError):
                return
            calls_seen += 1
            request = data.partition(b"\r\n\r\n")[2]
            if calls_seen == 1 or was_rejected:
                was_rejected = True
                await connected.sendall(rejection)
                await curio.sleep(LATE_S)
            if calls_seen > 1:
                head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(request)
                await connected.sendall(head + request)

    async def main() -> None:
        _, address = await start_scripted_server(serve)
        target = ForwardTarget("t", Address(address.ip, address.port), "z", 1)
        calls = PieceCalls(
            _PieceWire(),  # type: ignore[arg-type]
            UpstreamPool(),
            make_context(FakeWire()).signals,
            lambda _: None,
        )
        for request in ("r0", "r1", "r2", "r3"):
            outcome = await calls.send(make_call(target, request))
            if isinstance(outcome, tuple):
                assert outcome[0].handle == request

    run(main)
