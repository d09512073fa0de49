"""What callers get whose requests are unfinished when their host stops as planned."""

from __future__ import annotations

from typing import Any

import curio
import pytest
from loguru import logger

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
        forwarder.is_ended_by_stop = True
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


def test_stream_that_has_begun_is_cut() -> None:
    event = b"id: 1\n\n"
    reply = stop_during(STREAM, b"HTTP/1.1 200 OK\r\n\r\n" + event)
    assert (reply.statuses, reply.chunks, reply.ended) == ([200], [event], "cut")


# Guards against logs in which a stop's cut looks like a caller that left.
@pytest.mark.parametrize(
    ("route", "answer", "outcome"),
    [
        (STREAM, b"HTTP/1.1 200 OK\r\n\r\nid: 1\n\n", "ended by stop: cut off"),
        (ROUTE, b"", "ended by stop: may have run"),
    ],
)
def test_end_by_a_stop_is_logged_as_such(
    route: ForwardRoute, answer: bytes, outcome: str
) -> None:
    ends: list[Any] = []
    handler = logger.add(lambda message: ends.append(message.record))
    try:
        stop_during(route, answer)
    finally:
        logger.remove(handler)
    (end,) = [each for each in ends if each["extra"].get("step") == "end"]
    assert end["message"] == outcome
    assert end["extra"]["events"] == (1 if route is STREAM else 0)
