"""What callers get whose requests are unfinished when their host stops as planned."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from bramleyspread_core import Address, ForwardRoute
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward.tests.test_endless_responses import (
    SendingWire,
    pool_of,
)
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    ROUTE,
    STREAM,
    StreamReply,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.tests.loopback import (
    read_all,
    read_request,
    run,
    start_scripted_server,
)


def stop_during(route: ForwardRoute, answer: bytes, *, hangs: bool = False) -> Any:
    """Stop a host while a target is at work on a request; return the reply.

    :param route: the request's route.
    :param answer: what the target has sent by then.
    :param hangs: whether no connection to the target has been opened by then.
    """
    reply = StreamReply()

    async def serve(connected: Any) -> None:
        await read_request(connected)
        await connected.sendall(answer)
        await read_all(connected)

    async def main() -> None:
        _, address = await start_scripted_server(serve)
        wire, pool = SendingWire(), UpstreamPool()
        context = make_context(wire)

        async def acquire(_: Address, *args: object, **options: object) -> Any:
            if hangs:
                await curio.sleep(10)
            return await pool.acquire(address, 1.0)

        context.upstream = pool_of(acquire, pool)
        forwarder = make_forwarder(route, context, wire, reply)
        task = await curio.spawn(forwarder.run)
        await curio.sleep(0.1)
        await task.cancel()
        forwarder.end_by_stop()
        assert context.in_flight == 0

    run(main)
    return reply


# Guards against requests that are cut off without an answer at the end of a stop.
def test_unfinished_request_gets_a_final_answer() -> None:
    assert stop_during(ROUTE, b"").statuses == [504]


# Guards against a promise that a request has not run while its target is at work.
@pytest.mark.parametrize(("hangs", "status"), [(True, 503), (False, 504)])
def test_only_requests_that_no_target_has_got_are_promised_not_to_run(
    hangs: bool, status: int
) -> None:
    assert stop_during(ROUTE, b"", hangs=hangs).statuses == [status]


# Guards against a caller that gets neither head nor body.
@pytest.mark.parametrize("body", [b"", b"id: 1\nda"])
def test_stream_without_an_event_gets_a_final_answer(body: bytes) -> None:
    reply = stop_during(STREAM, b"HTTP/1.1 200 OK\r\n\r\n" + body)
    assert (reply.statuses, reply.chunks, reply.ended) == ([504], [], "")


def test_stream_that_has_begun_is_cut() -> None:
    event = b"id: 1\n\n"
    reply = stop_during(STREAM, b"HTTP/1.1 200 OK\r\n\r\n" + event)
    assert (reply.statuses, reply.chunks, reply.ended) == ([200], [event], "cut")
