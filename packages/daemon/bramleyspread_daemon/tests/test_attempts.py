"""Tests of the outcome that each response, or its absence, gives an attempt."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import curio
import pytest

from bramleyspread_core import (
    Address,
    AttemptId,
    Brand,
    CancelAttempt,
    Dispatch,
    Done,
    NotRun,
    Outcome,
    Payload,
    Reason,
    RequestId,
    StreamToken,
    TargetAnswer,
    TargetCall,
    TargetName,
    TargetRefusal,
    Unknown,
    encode_json,
)
from bramleyspread_daemon._attempts import AttemptRunner
from bramleyspread_daemon._clock import ProcessClock, read_monotonic
from bramleyspread_daemon._events import encode_event
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.tests.loopback import (
    read_request,
    run,
    start_scripted_server,
    write_answer,
)

Script = Callable[[Any], Awaitable[None]]

ATTEMPT_ID = AttemptId("r-1-1")
ANSWER = TargetAnswer(RequestId("r-1"), "generate", ATTEMPT_ID, Payload(b'{"a":1}'))
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n"
STREAM_HEAD = (
    RESPONSE_HEAD
    + b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)


def _make_dispatch(
    address: Address, attempt: AttemptId = ATTEMPT_ID, **more: Any
) -> Dispatch:  # noqa: ANN401
    call = TargetCall(
        request=RequestId("r-1"),
        stage="generate",
        attempt=attempt,
        brand=Brand("o", "b"),
        priority=5,
        remaining_ms=1_000,
        input=Payload(b"{}"),
        stream=True,
    )
    return Dispatch(TargetName("t-1"), 1, address, call, 60.0, 60.0, **more)


class _Harness:
    """An attempt runner that records tokens and outcomes."""

    def __init__(self) -> None:
        self.pool = ConnectionPool(ProcessClock())
        self.runner = AttemptRunner(self.pool, self._record_tokens)
        self.tokens: list[StreamToken] = []
        self.outcomes: list[Outcome] = []

    async def _record_tokens(self, _: AttemptId, tokens: Sequence[StreamToken]) -> None:
        self.tokens += tokens

    async def record_outcome(self, _: AttemptId, outcome: Outcome) -> None:
        self.outcomes.append(outcome)

    def sweep_for(self, seconds: float) -> None:
        """Simulate time in steps too short to count as a pause of the process."""
        now = read_monotonic()
        for step in range(int(seconds / 0.05)):
            self.runner.sweep(now + step * 0.05)

    async def run(self, dispatch: Dispatch) -> Outcome:
        await self.runner.run(dispatch, self.record_outcome)
        return self.outcomes[-1]


def _make_script(*pieces: bytes) -> Script:
    async def script(connected: Any) -> None:  # noqa: ANN401
        async with connected:
            await read_request(connected)
            await connected.sendall(b"".join(pieces))

    return script


def _encode_chunk(event: bytes) -> bytes:
    return b"%x\r\n" % len(event) + event + b"\r\n"


def _encode_token(index: int, attempt: AttemptId = ATTEMPT_ID) -> bytes:
    return _encode_chunk(encode_event(encode_json(StreamToken(attempt, index, "t"))))


END_CHUNK = _encode_chunk(encode_event(encode_json(ANSWER), "end"))
OTHER_ANSWER = TargetAnswer(
    RequestId("r-1"), "generate", AttemptId("r-1-2"), Payload(b"1")
)
REFUSAL = encode_json(TargetRefusal(ATTEMPT_ID, "full", 70))
OTHER_REFUSAL = encode_json(TargetRefusal(AttemptId("r-9-1"), "full", 70))


@pytest.mark.parametrize(
    ("sent", "kind", "reason"),
    [
        ([write_answer(encode_json(ANSWER))], Done, None),
        ([write_answer(REFUSAL, "503 No")], NotRun, Reason.REFUSED),
        ([write_answer(OTHER_REFUSAL, "503 No")], Unknown, Reason.CROSSED),
        ([write_answer(b"busy", "503 No")], Unknown, Reason.PROTOCOL),
        ([write_answer(b"{}", "500 No")], Unknown, Reason.TARGET),
        ([write_answer(encode_json(OTHER_ANSWER))], Unknown, Reason.CROSSED),
        ([write_answer(b"{}")], Unknown, Reason.PROTOCOL),
        ([write_answer(encode_json(ANSWER))[:-1]], Unknown, Reason.CLOSED),
        ([], Unknown, Reason.CLOSED),
        ([RESPONSE_HEAD], Unknown, Reason.CLOSED),
        ([b"what?\r\n\r\n"], Unknown, Reason.PROTOCOL),
        (
            [STREAM_HEAD, _encode_token(0), _encode_token(1), END_CHUNK, b"0\r\n\r\n"],
            Done,
            None,
        ),
        ([STREAM_HEAD, _encode_token(0), _encode_token(1)], Unknown, Reason.CLOSED),
        ([STREAM_HEAD, _encode_token(0), b"0\r\n\r\n"], Unknown, Reason.CLOSED),
        ([STREAM_HEAD, _encode_token(0), END_CHUNK], Unknown, Reason.CLOSED),
        ([STREAM_HEAD, _encode_token(0, AttemptId("x"))], Unknown, Reason.CROSSED),
        ([STREAM_HEAD, _encode_chunk(b"data: {\n\n")], Unknown, Reason.PROTOCOL),
        (
            [STREAM_HEAD, END_CHUNK, _encode_token(0), b"0\r\n\r\n"],
            Unknown,
            Reason.PROTOCOL,
        ),
        (
            [STREAM_HEAD, _encode_chunk(b"event: error\ndata: {}\n\n"), b"0\r\n\r\n"],
            Unknown,
            Reason.TARGET,
        ),
    ],
)
def test_outcome_of_each_response(
    sent: list[bytes], kind: type, reason: Reason | None
) -> None:
    async def main() -> None:
        harness = _Harness()
        _, address = await start_scripted_server(_make_script(*sent))
        outcome = await harness.run(_make_dispatch(address))
        assert isinstance(outcome, kind)
        if not isinstance(outcome, Done):
            assert outcome.fault.reason is reason
            assert outcome.fault.step == "generate"
            assert outcome.fault.peer == "t-1"
        assert harness.runner.mismatched_answers == (reason is Reason.CROSSED)
        assert harness.runner.running == 0

    run(main)


def test_refused_connection_is_not_run() -> None:
    async def main() -> None:
        outcome = await _Harness().run(_make_dispatch(Address("127.0.0.1", 1)))
        assert isinstance(outcome, NotRun)
        assert outcome.fault.reason is Reason.CONNECT

    run(main)


def test_stream_forwards_tokens_and_reuses_connection() -> None:
    async def script(connected: Any) -> None:  # noqa: ANN401
        async with connected:
            for _ in range(2):
                await read_request(connected)
                sent = [
                    STREAM_HEAD,
                    _encode_token(0),
                    _encode_token(1),
                    END_CHUNK,
                    b"0\r\n\r\n",
                ]
                await connected.sendall(b"".join(sent))

    async def main() -> None:
        harness = _Harness()
        _, address = await start_scripted_server(script)
        for _ in range(2):
            assert isinstance(await harness.run(_make_dispatch(address)), Done)
        assert [token.index for token in harness.tokens] == [0, 1, 0, 1]
        assert (harness.pool.counts.opened, harness.pool.counts.reused) == (1, 1)

    run(main)


def test_pooled_connection_closed_after_request_is_unknown() -> None:
    """A target may have run the request that it read before the connection closed."""

    async def script(connected: Any) -> None:  # noqa: ANN401
        async with connected:
            await read_request(connected)
            await connected.sendall(write_answer(encode_json(ANSWER)))
            await read_request(connected)

    async def main() -> None:
        harness = _Harness()
        _, address = await start_scripted_server(script)
        assert isinstance(await harness.run(_make_dispatch(address)), Done)
        outcome = await harness.run(_make_dispatch(address))
        assert harness.pool.counts.reused == 1
        assert isinstance(outcome, Unknown)
        assert outcome.fault.reason is Reason.CLOSED

    run(main)


@pytest.mark.parametrize(
    ("elapsed_s", "reason"), [(61.0, Reason.SILENT), (21.0, Reason.DEADLINE)]
)
def test_attempts_without_progress_or_past_timeout_are_unknown(
    elapsed_s: float, reason: Reason
) -> None:
    async def main() -> None:
        received = curio.Event()

        async def script(connected: Any) -> None:  # noqa: ANN401
            await read_request(connected)
            await received.set()
            await connected.recv(1)

        harness = _Harness()
        _, address = await start_scripted_server(script)
        dispatch = _make_dispatch(address)
        if reason is Reason.DEADLINE:
            dispatch = Dispatch(
                dispatch.target, 1, address, dispatch.call, 20.0, dispatch.timeout_s
            )
        task = await curio.spawn(harness.run, dispatch)
        await received.wait()
        harness.sweep_for(elapsed_s / 2)
        assert not harness.outcomes
        harness.sweep_for(elapsed_s)
        outcome = await task.join()
        assert isinstance(outcome, Unknown)
        assert outcome.fault.reason is reason

    run(main)


def test_pause_of_this_process_does_not_count_as_silence() -> None:
    async def main() -> None:
        received = curio.Event()

        async def script(connected: Any) -> None:  # noqa: ANN401
            await read_request(connected)
            await received.set()
            await connected.recv(1)

        harness = _Harness()
        _, address = await start_scripted_server(script)
        dispatch = _make_dispatch(address)
        long_dispatch = Dispatch(dispatch.target, 1, address, dispatch.call, 900.0, 1.0)
        task = await curio.spawn(harness.run, long_dispatch)
        await received.wait()
        now = read_monotonic()
        for elapsed_s in (0.0, 500.0, 500.05, 500.9):
            harness.runner.sweep(now + elapsed_s)
        assert not harness.outcomes
        harness.sweep_for(502.0)
        assert isinstance(await task.join(), Unknown)

    run(main)


def test_cancelled_attempt_closes_connection_and_reports_no_outcome() -> None:
    async def main() -> None:
        received, closed = curio.Event(), curio.Event()

        async def script(connected: Any) -> None:  # noqa: ANN401
            await read_request(connected)
            await received.set()
            assert await connected.recv(1) == b""
            await closed.set()

        harness = _Harness()
        _, address = await start_scripted_server(script)
        task = await curio.spawn(
            harness.runner.run, _make_dispatch(address), harness.record_outcome
        )
        await received.wait()
        harness.runner.cancel(CancelAttempt(ATTEMPT_ID, TargetName("t-1"), address))
        await closed.wait()
        await task.join()
        assert harness.outcomes == []

    run(main)


def test_unresponsive_connection_closes_older_connections() -> None:
    async def main() -> None:
        received = curio.Event()

        async def script(connected: Any) -> None:  # noqa: ANN401
            async with connected:
                while b"r-1-2" not in await read_request(connected):
                    await connected.sendall(write_answer(encode_json(ANSWER)))
                await received.set()
                await connected.recv(1)

        harness = _Harness()
        _, address = await start_scripted_server(script)
        older_connection = await harness.pool.acquire(address)
        assert isinstance(await harness.run(_make_dispatch(address)), Done)
        await harness.pool.release_connection(older_connection)
        dropped = []

        async def handle_end(attempt_id: AttemptId, _: Outcome) -> None:
            dropped.append(await harness.runner.drop_connections(address, attempt_id))

        new_dispatch = _make_dispatch(
            address, AttemptId("r-1-2"), fresh_connection=True
        )
        task = await curio.spawn(harness.runner.run, new_dispatch, handle_end)
        await received.wait()
        harness.sweep_for(61)
        await task.join()
        assert dropped == [2]
        await harness.pool.acquire(address)
        assert harness.pool.counts.reused == 0

    run(main)
