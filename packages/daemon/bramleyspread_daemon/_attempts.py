"""Runs attempts, each one call to a target, and determines their outcomes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import h11

from bramleyspread_core import (
    Address,
    AttemptId,
    CancelAttempt,
    CancelCall,
    Dispatch,
    MessageError,
    NotRun,
    Outcome,
    Reason,
    StreamToken,
    TargetAnswer,
    TargetRefusal,
    Unknown,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import (
    ClientConnection,
    ConnectionClosedError,
    RequestNotSentError,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._events import EventParser
from bramleyspread_daemon._outcomes import (
    Attempt,
    MismatchedAnswerError,
    check_answer,
    check_refusal,
    decode_token,
    is_connection_reusable,
    is_event_stream,
    parse_final_event,
)
from bramleyspread_daemon._pool import CONNECT_TIMEOUT_S, ConnectionPool

#: The path at which targets receive calls.
CALLS_PATH = "/v1/calls"
#: The path at which targets receive cancellations.
CANCELS_PATH = "/v1/cancels"
#: Timeout for sending a cancellation.
CANCEL_TIMEOUT_S = 1.0

#: A longer interval between two sweeps means that this process was paused.
PAUSE_THRESHOLD_S = 0.1

#: Called with the tokens that a streaming attempt has received.
TokenHandler = Callable[[AttemptId, Sequence[StreamToken]], Awaitable[None]]


class AttemptRunner:
    """Runs attempts over pooled connections.

    The outcome is *not run* only with proof: either no byte was sent, or the target
    itself reported that it did not run the attempt.
    """

    __slots__ = ("_attempts", "_on_tokens", "_pool", "_swept_at", "mismatched_answers")

    def __init__(self, pool: ConnectionPool, on_tokens: TokenHandler) -> None:
        self._pool = pool
        self._on_tokens = on_tokens
        self._attempts: dict[AttemptId, Attempt] = {}
        self._swept_at = 0.0
        #: Number of answers that named another attempt.
        self.mismatched_answers = 0

    @property
    def running(self) -> int:
        """Number of attempts in flight."""
        return len(self._attempts)

    async def run(
        self,
        dispatch: Dispatch,
        on_end: Callable[[AttemptId, Outcome], Awaitable[None]],
    ) -> None:
        """Run one attempt.

        :param dispatch: the call and its timeouts.
        :param on_end: awaited with the outcome, unless the attempt was cancelled.
        """
        attempt_id = dispatch.call.attempt
        attempt = Attempt(dispatch, read_monotonic())
        self._attempts[attempt_id] = attempt
        try:
            outcome = await self._run_call(attempt)
            if not attempt.cancelled:
                await on_end(attempt_id, outcome)
        finally:
            del self._attempts[attempt_id]

    async def _run_call(self, attempt: Attempt) -> Outcome:
        dispatch = attempt.dispatch
        connect_timeout_s = min(
            CONNECT_TIMEOUT_S, dispatch.progress_timeout_s, dispatch.timeout_s
        )
        try:
            connection = await self._pool.acquire(
                dispatch.address, dispatch.fresh_connection, connect_timeout_s
            )
        except RequestNotSentError as error:
            return NotRun(attempt.make_fault(Reason.CONNECT, str(error)))
        attempt.connection = connection
        is_reusable = False
        try:
            if attempt.cancelled:
                return NotRun(
                    attempt.make_fault(Reason.CANCELLED, "before it was sent")
                )
            outcome = await self._call_target(attempt, connection)
            is_reusable = attempt.abort_fault is None and is_connection_reusable(
                outcome
            )
        finally:
            if is_reusable:
                await self._pool.release_connection(connection)
            else:
                await connection.close()
        return outcome

    async def _call_target(
        self, attempt: Attempt, connection: ClientConnection
    ) -> Outcome:
        attempt.last_progress_at = read_monotonic()
        try:
            body = encode_json(attempt.dispatch.call)
            await connection.send("POST", CALLS_PATH, body)
            return await self._read_outcome(attempt, connection)
        except RequestNotSentError as error:
            return NotRun(attempt.make_fault(Reason.CONNECT, str(error)))
        except ConnectionClosedError as error:
            closed = attempt.make_fault(Reason.CLOSED, str(error))
            return Unknown(attempt.abort_fault or closed)
        except (h11.RemoteProtocolError, MessageError) as error:
            broken = attempt.make_fault(Reason.PROTOCOL, str(error))
            return Unknown(attempt.abort_fault or broken)
        except MismatchedAnswerError as error:
            self.mismatched_answers += 1
            return Unknown(attempt.make_fault(Reason.CROSSED, str(error)))

    async def _read_outcome(
        self, attempt: Attempt, connection: ClientConnection
    ) -> Outcome:
        head = await connection.read_head()
        attempt.last_progress_at = read_monotonic()
        status = head.status_code
        if status == 200 and is_event_stream(head):
            return await self._read_stream(attempt, connection)
        body = await connection.read_body()
        if status == 200:
            return check_answer(attempt, decode_json(body, TargetAnswer))
        if status == 503:
            return check_refusal(attempt, decode_json(body, TargetRefusal))
        detail = f"status {status}: {body[:200].decode('utf-8', 'replace')}"
        return Unknown(attempt.make_fault(Reason.TARGET, detail))

    async def _read_stream(
        self, attempt: Attempt, connection: ClientConnection
    ) -> Outcome:
        parser = EventParser()
        attempt_id = attempt.dispatch.call.attempt
        outcome: Outcome | None = None
        while piece := await connection.read_chunk():
            attempt.last_progress_at = read_monotonic()
            tokens: list[StreamToken] = []
            for event in parser.feed(piece):
                if outcome is not None:
                    raise MessageError("events behind the end of the stream")
                if event.kind == "":
                    tokens.append(decode_token(attempt_id, event.data))
                else:
                    outcome = parse_final_event(attempt, event)
            if tokens:
                await self._on_tokens(attempt_id, tokens)
        if outcome is None:
            raise ConnectionClosedError("the stream ended without its end event")
        return outcome

    def cancel(self, effect: CancelAttempt) -> None:
        """Abort an attempt's connection; its outcome is not reported.

        :param effect: the attempt to cancel.
        """
        attempt = self._attempts.get(effect.attempt)
        if attempt is None:
            return
        attempt.cancelled = True
        if attempt.connection is not None:
            attempt.connection.abort()

    async def send_cancel(self, effect: CancelAttempt) -> None:
        """Tell a target to stop an attempt; failures are ignored.

        :param effect: the attempt and the target's address.
        """
        body = encode_json(CancelCall(effect.attempt))
        try:
            await self._pool.request(
                effect.address, CANCELS_PATH, body, CANCEL_TIMEOUT_S
            )
        except (RequestNotSentError, ConnectionClosedError):
            return

    async def drop_connections(self, address: Address, attempt_id: AttemptId) -> int:
        """Close idle connections that are at least as old as an attempt's connection.

        :param address: the address of the target.
        :param attempt_id: the attempt whose connection became unresponsive.
        :returns: the number of closed connections.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.connection is None:
            return 0
        return await self._pool.close_older(address, attempt.connection.opened_at)

    def sweep(self, now: float) -> None:
        """Abort attempts that exceed their timeout or make no progress.

        Time during which this process was paused does not count as lack of progress.

        :param now: the monotonic time, in seconds.
        """
        paused_s = (
            max(0.0, now - self._swept_at - PAUSE_THRESHOLD_S)
            if self._swept_at
            else 0.0
        )
        self._swept_at = now
        for attempt in self._attempts.values():
            if attempt.connection is None or attempt.abort_fault is not None:
                continue
            attempt.last_progress_at += min(paused_s, now - attempt.last_progress_at)
            silent_s = now - attempt.last_progress_at
            if silent_s > attempt.dispatch.progress_timeout_s:
                detail = f"no byte for {silent_s:.3f} s"
                attempt.abort_fault = attempt.make_fault(Reason.SILENT, detail)
            elif now > attempt.expires_at:
                detail = f"not done within {attempt.dispatch.timeout_s:.3f} s"
                attempt.abort_fault = attempt.make_fault(Reason.DEADLINE, detail)
            if attempt.abort_fault is not None:
                attempt.connection.abort()
