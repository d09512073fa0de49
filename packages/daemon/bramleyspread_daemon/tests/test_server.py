"""Tests that a misbehaving peer loses only its own connection."""

from __future__ import annotations

import socket

import curio
import pytest

from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._connection import MAX_PENDING_BYTES
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._settings import Limits
from bramleyspread_daemon.tests.loopback import (
    connect,
    echo,
    read_all,
    read_until,
    run,
    start_server,
)

VALID_REQUEST = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi"


async def _check_valid_request(address: object) -> None:
    async with await connect(address) as connected:  # type: ignore[arg-type]
        await connected.sendall(VALID_REQUEST)
        assert b"hi" in await read_until(connected, b"hi")


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * Limits().head_bytes, b"431"),
        (
            b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
            % (Limits().body_bytes + 1),
            b"413",
        ),
        (
            b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            + (b"10000\r\n" + b"x" * 65_536 + b"\r\n") * 17,
            b"413",
        ),
        (b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", b"400"),
        (b"GET /nothing HTTP/1.1\r\nhost: a\r\n\r\n", b"404"),
        (b"GET /echo HTTP/1.1\r\nhost: a\r\n\r\n", b"405"),
        (b"HEAD /echo HTTP/1.1\r\nhost: a\r\n\r\n", b"405"),
    ],
)
def test_invalid_input_gets_error_status_and_affects_no_other_peer(
    sent: bytes, status: bytes
) -> None:
    async def main() -> None:
        server, address = await start_server(("POST", "/echo", echo))
        async with await connect(address) as connected:
            await connected.sendall(sent)
            answer = await read_until(connected, b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 " + status)
        await _check_valid_request(address)
        await server.close_connections()

    run(main)


def test_slow_senders_get_408_and_idle_ones_are_closed() -> None:
    async def main() -> None:
        limits = Limits(receive_s=0.0, idle_s=3_600.0)
        server, address = await start_server(("POST", "/echo", echo), limits=limits)
        async with await connect(address) as connected:
            await connected.sendall(VALID_REQUEST[:-1])
            answer = await read_all(connected)
        assert answer.startswith(b"HTTP/1.1 408")
        async with await connect(address) as connected:
            while not server.open_connections:
                await curio.sleep(0)
            server.sweep(read_monotonic() + 3_601)
            assert await read_all(connected) == b""

    run(main)


def test_unlimited_body_is_cut_off() -> None:
    async def main() -> None:
        _, address = await start_server(("POST", "/echo", echo))
        async with await connect(address) as connected:
            await connected.sendall(
                b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            )
            with pytest.raises(ConnectionError):
                while True:
                    await connected.sendall(b"10000\r\n" + b"x" * 65_536 + b"\r\n")

    run(main)


# Guards against hosts that don't take what another one, with other settings, accepted.
def test_bodies_of_hosts_are_not_bounded_by_the_settings() -> None:
    async def main() -> tuple[bytes, bytes]:
        server, address = await start_server(
            ("POST", "/hosts", echo),
            ("POST", "/echo", echo),
            limits=Limits(body_bytes=1_000),
        )
        server.host_paths = frozenset({"/hosts"})
        answers = []
        for path in (b"/hosts", b"/echo"):
            async with await connect(address) as connected:
                head = b"POST %s HTTP/1.1\r\nhost: a\r\ncontent-length: 90000\r\n\r\n"
                await connected.sendall(head % path + b"x" * 90_000)
                answers.append(await read_until(connected, b"\r\n\r\n"))
        return answers[0], answers[1]

    of_host, of_caller = run(main)
    assert of_host.startswith(b"HTTP/1.1 200")
    assert of_caller.startswith(b"HTTP/1.1 413")


def test_connections_over_limit_are_refused() -> None:
    async def main() -> None:
        server, address = await start_server(
            ("POST", "/echo", echo), limits=Limits(connections=1)
        )
        async with await connect(address) as first:
            await first.sendall(VALID_REQUEST)
            await read_until(first, b"hi")
            async with await connect(address) as second:
                refused = await read_until(second, b"\r\n\r\n")
                assert refused.startswith(b"HTTP/1.1 503")
                assert b"retry-after: 1\r\n" in refused
        await server.close_connections()
        await _check_valid_request(address)

    run(main)


def test_pipelined_requests_are_not_answered_twice_or_mixed_up() -> None:
    async def main() -> None:
        _, address = await start_server(("POST", "/echo", echo))
        async with await connect(address) as connected:
            await connected.sendall(VALID_REQUEST + VALID_REQUEST.replace(b"hi", b"ho"))
            answer = await read_all(connected)
        assert answer.count(b"HTTP/1.1 200") == 1
        assert b"hi" in answer
        assert b"ho" not in answer.split(b"\r\n\r\n")[1]

    run(main)


def test_handler_exception_is_500_without_claiming_not_run() -> None:
    async def fail(request: HttpRequest, reply: Reply) -> None:
        raise KeyError(request.path)

    async def main() -> None:
        _, address = await start_server(("GET", "/fail", fail), ("POST", "/echo", echo))
        async with await connect(address) as connected:
            await connected.sendall(b"GET /fail HTTP/1.1\r\nhost: a\r\n\r\n")
            answer = await read_until(connected, b"}")
        assert answer.startswith(b"HTTP/1.1 500")
        assert b'"not_run":false' in answer
        await _check_valid_request(address)

    run(main)


def test_caller_disconnect_is_reported_once() -> None:
    async def main() -> None:
        disconnected = curio.Event()
        calls = []

        async def on_disconnect() -> None:
            calls.append(1)
            await disconnected.set()

        async def wait(_: HttpRequest, reply: Reply) -> None:
            reply.on_disconnect = on_disconnect

        server, address = await start_server(("GET", "/wait", wait))
        async with await connect(address) as connected:
            await connected.sendall(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
            while not server.open_replies:
                await curio.sleep(0)
        await disconnected.wait()
        await server.close_connections()
        assert calls == [1]

    run(main)


def test_stalled_reader_is_disconnected() -> None:
    async def main() -> None:
        replies: list[Reply] = []

        async def stream(_: HttpRequest, reply: Reply) -> None:
            reply.begin_events()
            replies.append(reply)

        server, address = await start_server(("GET", "/s", stream))
        async with await connect(address) as connected:
            await connected.sendall(b"GET /s HTTP/1.1\r\nhost: a\r\n\r\n")
            await read_until(connected, b"\r\n\r\n")
            piece = b"x" * 1_000_000
            for _ in range(40 + MAX_PENDING_BYTES // len(piece)):
                replies[0].send_chunk(piece)
            while server.open_connections:
                await curio.sleep(0)
            assert replies[0].caller_disconnected

    run(main)


def test_draining_answers_and_asks_to_close() -> None:
    async def main() -> None:
        server, address = await start_server(("POST", "/echo", echo))
        async with await connect(address) as connected:
            await connected.sendall(VALID_REQUEST)
            await read_until(connected, b"hi")
            server.draining = True
            await connected.sendall(VALID_REQUEST)
            answer = await read_all(connected)
        assert b"connection: close" in answer.lower()
        assert answer.endswith(b"hi")
        await server.stop_accepting()
        with pytest.raises(ConnectionError):
            await connect(address)

    run(main)


def test_stop_accepting_closes_idle_connections_and_lets_busy_ones_finish() -> None:
    async def main() -> None:
        begun: list[Reply] = []

        async def wait(_: HttpRequest, reply: Reply) -> None:
            begun.append(reply)

        server, address = await start_server(
            ("POST", "/echo", echo), ("GET", "/wait", wait)
        )
        idle, busy = await connect(address), await connect(address)
        await idle.sendall(VALID_REQUEST)
        await read_until(idle, b"hi")
        await busy.sendall(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        while not begun:
            await curio.sleep(0)
        server.draining = True
        await server.stop_accepting()
        assert await read_all(idle) == b""
        begun[0].send(200, b"done")
        assert (await read_all(busy)).endswith(b"done")

    run(main)


# Guards against requests that are taken late in a stop, and cut off at its end.
@pytest.mark.parametrize("is_public", [True, False])
def test_requests_after_the_end_of_accepting_are_refused_at_once(
    is_public: bool,
) -> None:
    async def main() -> None:
        begun: list[Reply] = []

        async def wait(_: HttpRequest, reply: Reply) -> None:
            begun.append(reply)

        server, address = await start_server(
            ("POST", "/echo", echo), ("GET", "/wait", wait)
        )
        server.is_public = is_public
        streaming, sending = await connect(address), await connect(address)
        # The head of this reply was sent before the stop, so it asks for no close.
        await streaming.sendall(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        while not begun:
            await curio.sleep(0)
        begun[0].begin_events()
        head, rest = VALID_REQUEST[:10], VALID_REQUEST[10:]
        await sending.sendall(head)
        await curio.sleep(0.05)
        server.draining = True
        await server.stop_accepting()
        await sending.sendall(rest)
        answer = await read_all(sending)
        assert (b" 503 " in answer) is is_public
        assert b"connection: close" in answer.lower()
        begun[0].end()
        if is_public:
            assert (await read_all(streaming)).endswith(b"0\r\n\r\n")
            return
        await read_until(streaming, b"0\r\n\r\n")
        await streaming.sendall(VALID_REQUEST)
        assert (await read_all(streaming)).endswith(b"hi")

    run(main)


# Guards against requests that wait unread while their process is busy, and get no
# answer as their connection counts as idle when accepting ends.
def test_a_connection_with_an_unread_request_is_not_closed_as_idle() -> None:
    async def main() -> None:
        begun: list[Reply] = []

        async def wait(_: HttpRequest, reply: Reply) -> None:
            begun.append(reply)

        server, address = await start_server(
            ("POST", "/echo", echo), ("GET", "/wait", wait)
        )
        async with await connect(address) as connected:
            await connected.sendall(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
            while not begun:
                await curio.sleep(0)
            await server.stop_accepting()
            begun[0].send(200, b"done")
            await read_until(connected, b"done")
            await connected.sendall(VALID_REQUEST)
            # The second call closes idle connections before the server gets to read.
            await server.stop_accepting()
            assert (await read_until(connected, b"hi")).startswith(b"HTTP/1.1 200")

    run(main)


# Guards against the same at the end of the time for which connections may be idle.
def test_an_unread_request_outlasts_the_idle_time_of_its_connection() -> None:
    async def main() -> None:
        server, address = await start_server(("POST", "/echo", echo))
        async with await connect(address) as connected:
            await connected.sendall(VALID_REQUEST)
            await read_until(connected, b"hi")
            await connected.sendall(VALID_REQUEST)
            server.sweep(read_monotonic() + 2 * server.limits.idle_s)
            assert (await read_until(connected, b"hi")).startswith(b"HTTP/1.1 200")

    run(main)


# Guards against requests that are taken after the end of accepting, and cut off, by a
# process that is too slow to end it in time.
@pytest.mark.parametrize("is_public", [True, False])
def test_requests_are_refused_from_a_time_on(is_public: bool) -> None:
    async def main() -> None:
        server, address = await start_server(("POST", "/echo", echo))
        server.is_public = is_public
        async with await connect(address) as connected:
            await connected.sendall(VALID_REQUEST)
            await read_until(connected, b"hi")
            server.refuses_from = read_monotonic()
            await connected.sendall(VALID_REQUEST)
            answer = await read_until(connected, b"\r\n\r\n")
        assert (b" 503 " in answer) is is_public
        assert (b"connection: close" in answer.lower()) is is_public

    run(main)


def test_total_size_of_request_bodies_is_limited() -> None:
    async def main() -> None:
        limits = Limits(held_bytes=100_000, body_bytes=90_000)
        server, address = await start_server(("POST", "/echo", echo), limits=limits)
        head = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 80000\r\n\r\n"
        async with await connect(address) as slow:
            await slow.sendall(head + b"x" * 70_000)
            while server.held_bytes < 70_000:
                await curio.sleep(0.01)
            async with await connect(address) as second:
                await second.sendall(head + b"x" * 80_000)
                answer = await read_until(second, b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in answer.lower()
            await slow.sendall(b"x" * 10_000)
            assert b"200" in await read_until(slow, b"\r\n\r\n")
        while server.open_connections:
            await curio.sleep(0.01)
        assert server.held_bytes == 0
        await _check_valid_request(address)

    run(main)


# Guards against requests that are reset since their connections wait to be accepted
# when accepting ends.
def test_connections_that_wait_to_be_accepted_get_an_answer() -> None:
    async def main() -> bytes:
        server, address = await start_server(("POST", "/echo", echo))
        server.is_public = True
        # Until then the server hasn't begun to wait for connections.
        await curio.sleep(0.05)
        with socket.create_connection((address.ip, address.port)) as waiting:
            waiting.sendall(VALID_REQUEST)
            await server.stop_accepting()
            waiting.setblocking(False)
            await curio.sleep(0.2)
            return waiting.recv(1_000)

    assert run(main).startswith(b"HTTP/1.1 503")


# Guards against callers that get an internal error for a target's answer with a header
# that isn't ASCII.
def test_headers_may_hold_any_latin_1_text() -> None:
    async def answer(_: HttpRequest, reply: Reply) -> None:
        reply.send(200, b"hi", (("x-own", "caf\u00e9"),))

    async def main() -> bytes:
        _, address = await start_server(("POST", "/echo", answer))
        async with await connect(address) as connected:
            await connected.sendall(VALID_REQUEST)
            return await read_until(connected, b"hi")

    received = run(main)
    assert received.startswith(b"HTTP/1.1 200")
    assert b"x-own: caf\xe9\r\n" in received
