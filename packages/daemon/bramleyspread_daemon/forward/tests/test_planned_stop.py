"""What callers get whose requests are unfinished when their host stops as planned."""

from __future__ import annotations

import math
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, cast

import curio
import pytest
from loguru import logger

from bramleyspread_core import Address, ForwardRoute
from bramleyspread_daemon import _stop_signal
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._process import ANSWER_LEAD_S, Process, wait_for_stop
from bramleyspread_daemon._settings import Limits
from bramleyspread_daemon._stop_signal import StopSignal
from bramleyspread_daemon.forward._running_requests import RunningRequests
from bramleyspread_daemon.forward._settings import ForwardEntrySettings
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
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time

LIMITS = Limits(grace_s=2.0, drain_s=5.0)


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


# Guards against a caller that gets neither head nor body.
@pytest.mark.parametrize("body", [b"", b"id: 1\nda"])
def test_stream_without_an_event_gets_a_final_answer(body: bytes) -> None:
    reply = stop_during(STREAM, b"HTTP/1.1 200 OK\r\n\r\n" + body)
    assert (reply.statuses, reply.chunks, reply.ended) == ([504], [], "")


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


class StoppingServer:
    """Server that is slow to stop, with a reply that doesn't end."""

    open_replies = 1
    has_unread_bytes = False
    draining = False
    refuses_from = math.inf

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s

    async def stop_accepting(self) -> None:
        await curio.sleep(self._delay_s)

    async def close_connections(self) -> None:
        pass


def make_process(folder: Path, limits: Limits) -> Process:
    settings = ForwardEntrySettings(
        host="e",
        zone="z",
        seeds=("127.0.0.1:4",),
        fail_closed=False,
        listen_at="127.0.0.1:1",
        callers_at="127.0.0.1:2",
        ready_at="127.0.0.1:3",
        timeline=str(folder / "timeline"),
        limits=limits,
    )
    return Process(settings)


async def do_nothing() -> None:
    return None


# Guards against requests without an answer: a stop on a slow processor took longer than
# the time before the kill, as it ended later than planned, and answered at the end.
@pytest.mark.parametrize("delay_s", [0.0, 3.0])
def test_waiting_requests_are_answered_before_the_end_of_a_stop(
    delay_s: float, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def main() -> None:
        times: dict[str, float] = {}
        started_at = read_monotonic()

        async def finish() -> None:
            times["end"] = read_monotonic() - started_at

        async def answer_waiting() -> int:
            times["answers"] = read_monotonic() - started_at
            return 0

        server = StoppingServer(delay_s)
        drain = make_process(tmp_path, LIMITS).drain
        await drain(
            [cast("Any", server)], do_nothing, lambda: False, finish, answer_waiting
        )
        # Nor may requests be taken longer.
        assert server.refuses_from - started_at == LIMITS.grace_s
        expected = {"answers": 7.0 - ANSWER_LEAD_S, "end": 7.0}
        assert times == pytest.approx(expected, abs=0.05)

    run_in_virtual_time(monkeypatch, main)


@contextmanager
def keep_signal_handlers(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Restore the handlers of signals, and forget the signals, afterwards."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    handlers = [signal.getsignal(each) for each in numbers]
    monkeypatch.setattr(_stop_signal, "_received", [])
    try:
        yield
    finally:
        for number, handler in zip(numbers, handlers, strict=True):
            signal.signal(number, handler)


# Guards against a stop that ends after the kill: a busy process noticed SIGTERM late.
def test_a_stop_is_counted_from_its_signal(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def main() -> None:
        process = make_process(tmp_path, Limits(grace_s=0.1, drain_s=0.1))
        waiting = await curio.spawn(wait_for_stop)
        await curio.sleep(0)
        signal.raise_signal(signal.SIGTERM)
        signalled_at = read_monotonic()
        # The process is busy, and a second signal changes nothing.
        time.sleep(0.2)
        signal.raise_signal(signal.SIGTERM)
        assert await waiting.join() == "SIGTERM"
        server = cast("Any", StoppingServer(0.0))
        await process.drain([server], do_nothing, lambda: False)
        assert server.refuses_from <= signalled_at + 0.1

    with keep_signal_handlers(monkeypatch):
        run(main)


# Guards against a process that ends before it has handed over what it leads, since it
# noticed SIGTERM late.
def test_a_stop_that_is_noticed_late_leaves_time_to_hand_over(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    handed_over: list[bool] = []

    async def begin() -> None:
        async def hand_over() -> None:
            await curio.sleep(0.1)
            handed_over.append(True)

        await curio.spawn(hand_over, daemon=True)

    async def main() -> None:
        late = StopSignal("SIGTERM", read_monotonic() - 1.0)
        monkeypatch.setattr(_stop_signal, "_received", [late])
        process = make_process(tmp_path, Limits(grace_s=0.3, drain_s=3.0))
        server = cast("Any", StoppingServer(0.0))
        server.open_replies = 0
        await process.drain([server], begin, lambda: True)

    run_in_virtual_time(monkeypatch, main)
    assert handed_over


# Guards against requests that arrive in time and are reset unread, since nothing else
# is left to do when accepting ends.
def test_a_stop_does_not_end_before_what_has_arrived_is_read(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def main() -> float:
        started_at = read_monotonic()
        process = make_process(tmp_path, Limits(grace_s=0.3, drain_s=3.0))
        server = cast("Any", StoppingServer(0.0))
        server.open_replies, server.has_unread_bytes = 0, True

        async def read() -> None:
            await curio.sleep(1.0)
            server.has_unread_bytes = False

        await curio.spawn(read, daemon=True)
        assert await process.drain([server], do_nothing, lambda: True)
        return read_monotonic() - started_at

    elapsed_s = run_in_virtual_time(monkeypatch, main)
    assert elapsed_s == pytest.approx(1.0, abs=0.1)


# Guards against streams that are cut together with the requests that are answered.
def test_streams_that_have_begun_outlast_waiting_requests() -> None:
    event = b"id: 1\n\n"
    answers = [b"", b"HTTP/1.1 200 OK\r\n\r\n" + event]
    waiting, streaming = StreamReply(), StreamReply()

    async def serve(connected: Any) -> None:
        await read_request(connected)
        await connected.sendall(answers.pop(0))
        await read_all(connected)

    async def main() -> None:
        _, address = await start_scripted_server(serve)
        running = RunningRequests()
        wire, pool = SendingWire(), UpstreamPool()
        for route, reply in ((ROUTE, waiting), (STREAM, streaming)):
            context = make_context(wire)

            async def acquire(_: Address, *args: object, **options: object) -> Any:
                return await pool.acquire(address, 1.0)

            context.upstream = pool_of(acquire, pool)
            forwarder = make_forwarder(route, context, wire, reply)
            await curio.spawn(running.run, forwarder, daemon=True)
            await curio.sleep(0.1)
        assert await running.answer_waiting() == 1
        assert (waiting.statuses, streaming.ended) == ([504], "")
        assert await running.end_all() == 1
        assert (streaming.chunks, streaming.ended) == ([event], "cut")

    run(main)
