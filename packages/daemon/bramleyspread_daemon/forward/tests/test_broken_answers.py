"""Targets whose answers break off anywhere, and what follows in their streams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

import curio
import msgspec
import pytest

from bramleyspread_core import Address, ForwardRoute
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward._wire import TargetHead
from bramleyspread_daemon.forward.tests.test_endless_responses import pool_of
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    REQUEST,
    ROUTE,
    STREAM,
    FakeWire,
    StreamReply,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.tests.loopback import read_request, run

OWN = b"request: 1\r\nseal: s\r\n"
IS_STREAM = b"content-type: text/event-stream\r\n"
LENGTH = b"content-length: %d\r\n\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
EVENTS = [b"id: %d\ndata: %d\n\n" % (at, at) for at in range(1, 5)]
#: ``SO_LINGER`` value with which closing resets a connection.
NO_LINGER = b"\x01\x00\x00\x00\x00\x00\x00\x00"


def write_chunks(parts: Sequence[bytes]) -> bytes:
    chunks = [b"%x\r\n%s\r\n" % (len(each), each) for each in parts]
    return b"".join(chunks) + b"0\r\n\r\n"


def write_head(status: int, headers: bytes = OWN + IS_STREAM) -> bytes:
    return b"HTTP/1.1 %d Reason\r\n" % status + headers


STREAMED = write_head(200) + CHUNKED + write_chunks(EVENTS)
#: Whole answers, and whether they are streams.
ANSWERS = {
    "body with a length": (write_head(200, OWN) + LENGTH % 9 + b"x" * 9, False),
    "body in chunks": (write_head(200, OWN) + CHUNKED + write_chunks([b"abc"]), False),
    "stream with a length": (write_head(200) + LENGTH % 16 + EVENTS[0] + b"\n", True),
    "stream in chunks": (STREAMED, True),
}


class _Wire(FakeWire):
    """Wire format with the names above."""

    def write_head(self, request: Any, metadata: Any) -> Any:
        super().write_head(request, metadata)
        return ((b"host", b"h"),)

    def read_head(self, status: int, headers: Any) -> TargetHead:
        named = {bytes(name): bytes(value) for name, value in headers}
        return msgspec.structs.replace(
            super().read_head(status, headers),
            request=named.get(b"request", b"").decode(),
            sealed=b"seal" in named,
            not_run=b"not-run" in named,
            is_stream=named.get(b"content-type") == b"text/event-stream",
        )


class _Reply(StreamReply):
    """Reply that records the bodies of complete answers as well."""

    def __init__(self) -> None:
        super().__init__()
        self.bodies: list[bytes] = []

    def send(self, status: int, body: bytes, headers: object = ()) -> None:
        super().send(status, body, headers)
        self.bodies.append(body)


class ScriptedTargets:
    """Targets that send given bytes on one connection after the other, and close.

    :param resets: whether they close by a reset.
    """

    def __init__(self, *, resets: bool) -> None:
        self._resets = resets
        self._scripts: list[bytes] = []
        #: The wire format of the next request.
        self.wire = _Wire()
        #: How requests ended.
        self.end_counts: Counter[str] = Counter()
        self._listening = curio.socket.socket()
        self._listening.bind(("127.0.0.1", 0))
        self._listening.listen(16)
        self.address = Address(*self._listening.getsockname())

    async def forward(self, route: ForwardRoute, *scripts: bytes) -> _Reply:
        """Forward a request whose attempts get these bytes."""
        self._scripts = list(scripts)
        serving = await curio.spawn(self._serve, daemon=True)
        wire, pool, reply = self.wire, UpstreamPool(), _Reply()
        context = make_context(wire)
        context.end_counts = self.end_counts

        async def acquire(_: Address, *args: object, **options: object) -> Any:
            return await pool.acquire(self.address, 1.0, max_idle_s=0.0)

        context.upstream = pool_of(acquire, pool)
        await make_forwarder(route, context, wire, reply).run()
        await serving.cancel()
        return reply

    async def _serve(self) -> None:
        while self._scripts:
            connected, _ = await self._listening.accept()
            await read_request(connected)
            await connected.sendall(self._scripts.pop(0))
            if self._resets:
                await curio.sleep(0.002)
                connected.setsockopt(curio.socket.SOL_SOCKET, 13, NO_LINGER)
            await connected.close()


# Guards against a head or a body that broke off and is passed on as if it were whole.
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("name", ANSWERS)
def test_answer_that_breaks_off_anywhere_is_never_whole(
    name: str, resets: bool
) -> None:
    answer, is_stream = ANSWERS[name]
    route = msgspec.structs.replace(STREAM if is_stream else ROUTE, attempts=1)
    # Up to the end of the first event nothing has gone out.
    begun_at = answer.index(EVENTS[0]) + len(EVENTS[0]) if is_stream else len(answer)

    async def main() -> None:
        targets = ScriptedTargets(resets=resets)
        for end in range(len(answer)):
            reply = await targets.forward(route, answer[:end])
            if is_stream and end >= begun_at:
                assert (reply.ended, reply.bodies) == ("cut", []), end
                assert (reply.statuses, reply.chunks[0]) == ([200], EVENTS[0]), end
            else:
                assert (reply.statuses, reply.ended) == ([502], ""), end
                assert not reply.chunks
        reply = await targets.forward(route, answer)
        assert reply.statuses == [200]
        assert reply.ended == ("whole" if is_stream else "")

    run(main)


BEGUN = write_head(200) + CHUNKED + write_chunks(EVENTS[:2])[: -len(b"0\r\n\r\n")]
ERROR = b"no more engines\n\n"
#: What a second target may answer when a stream that has begun is to go on there.
WRONG = {
    "error": write_head(500, OWN) + LENGTH % len(ERROR) + ERROR,
    "error as a stream": write_head(500) + LENGTH % len(ERROR) + ERROR,
    "error without a length": write_head(502) + b"\r\n" + ERROR,
    "rejection": write_head(503, OWN + b"not-run: 1\r\n") + LENGTH % 17 + ERROR,
    "rejection as a stream": write_head(503, OWN + IS_STREAM + b"not-run: 1\r\n")
    + LENGTH % len(ERROR)
    + ERROR,
    "body": write_head(200, OWN) + LENGTH % len(ERROR) + ERROR,
    "unsealed": write_head(200, b"request: 1\r\n" + IS_STREAM) + LENGTH % 17 + ERROR,
    "of another": write_head(200, b"request: 2\r\nseal: s\r\n") + LENGTH % 17 + ERROR,
    "no answer": ERROR * 3,
    "half a head": write_head(500)[:-4],
    "nothing": b"",
    "from the start": STREAMED,
    "the last event again": write_head(200) + CHUNKED + write_chunks(EVENTS[1:]),
}


# Guards against errors, or events that the caller has, in the middle of a stream.
@pytest.mark.parametrize("name", WRONG)
def test_stream_goes_on_with_nothing_but_its_next_events(name: str) -> None:
    async def main() -> None:
        targets = ScriptedTargets(resets=False)
        route = msgspec.structs.replace(STREAM, attempts=2)
        reply = await targets.forward(route, BEGUN, WRONG[name])
        assert (reply.statuses, reply.chunks) == ([200], EVENTS[:2])
        assert (reply.ended, reply.bodies) == ("cut", [])

    run(main)


# Guards against an internal error when the id that a stream goes on from can't be sent.
def test_stream_whose_ids_fit_no_header_is_cut() -> None:
    event = b"id: \x00\x01\ndata: 1\n\n"
    begun = write_head(200) + CHUNKED + write_chunks([event])[: -len(b"0\r\n\r\n")]

    class SendingWire(_Wire):
        def write_head(self, request: Any, metadata: Any) -> Any:
            head = super().write_head(request, metadata)
            return (*head, (b"last-event-id", metadata.last_event_id.encode()))

    async def main() -> None:
        targets = ScriptedTargets(resets=False)
        targets.wire = SendingWire()
        route = msgspec.structs.replace(STREAM, attempts=2)
        reply = await targets.forward(route, begun, STREAMED)
        assert (reply.statuses, reply.chunks) == ([200], [event])
        assert (reply.ended, reply.bodies) == ("cut", [])
        assert not targets.end_counts["fault"]

    run(main)


@pytest.mark.parametrize("resets", [False, True])
def test_stream_that_goes_on_may_break_off_anywhere_again(resets: bool) -> None:
    rest = write_head(200) + CHUNKED + write_chunks(EVENTS[2:])

    async def main() -> None:
        targets = ScriptedTargets(resets=resets)
        route = msgspec.structs.replace(STREAM, attempts=2)
        for end in range(len(rest) + 1):
            reply = await targets.forward(route, BEGUN, rest[:end])
            assert reply.chunks == EVENTS[: len(reply.chunks)]
            assert reply.ended == ("whole" if end == len(rest) else "cut"), end

    run(main)


assert REQUEST.request_id == "1"
