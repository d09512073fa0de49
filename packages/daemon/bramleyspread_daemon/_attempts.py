"""Attempts at targets: one call each, and an outcome that is proved."""

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
from bramleyspread_daemon._client import ClientConnection, ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._events import EventReader
from bramleyspread_daemon._outcomes import (
    Attempt,
    CrossedError,
    check_answer,
    check_refusal,
    end_stream,
    ended_whole,
    is_event_stream,
    read_token,
)
from bramleyspread_daemon._pool import CONNECT_S, ConnectionPool

#: Where targets take calls.
CALLS_PATH = "/v1/calls"
#: Where targets take cancels.
CANCELS_PATH = "/v1/cancels"
#: Most time for telling a target to stop an attempt, in seconds.
CANCEL_S = 1.0

#: Two sweeps further apart than this show that this process stood still, in seconds.
STILL_S = 0.1

#: Takes the tokens of streaming attempts.
TokenTaker = Callable[[AttemptId, Sequence[StreamToken]], Awaitable[None]]


class AttemptRunner:
    """Runs attempts over pooled connections.

    *Not run* is said only on proof: no byte left, or the target's own word.
    """

    __slots__ = ("_attempts", "_on_tokens", "_pool", "_swept_at", "crossed")

    def __init__(self, pool: ConnectionPool, on_tokens: TokenTaker) -> None:
        self._pool = pool
        self._on_tokens = on_tokens
        self._attempts: dict[AttemptId, Attempt] = {}
        self._swept_at = 0.0
        #: Answers that named another attempt, so far.
        self.crossed = 0

    @property
    def running(self) -> int:
        """Attempts on their way."""
        return len(self._attempts)

    async def run(
        self,
        dispatch: Dispatch,
        on_end: Callable[[AttemptId, Outcome], Awaitable[None]],
    ) -> None:
        """Run one attempt.

        :param dispatch: what to call, and how long to wait.
        :param on_end: awaited with the outcome, unless it was cancelled.
        """
        name = dispatch.call.attempt
        attempt = Attempt(dispatch, read_monotonic())
        self._attempts[name] = attempt
        try:
            outcome = await self._run_to_end(attempt)
            if not attempt.cancelled:
                await on_end(name, outcome)
        finally:
            del self._attempts[name]

    async def _run_to_end(self, attempt: Attempt) -> Outcome:
        dispatch = attempt.dispatch
        limit = min(CONNECT_S, dispatch.progress_timeout, dispatch.timeout)
        try:
            connection = await self._pool.take(
                dispatch.address, dispatch.fresh_connection, limit
            )
        except UnsentError as error:
            return NotRun(attempt.blame(Reason.CONNECT, str(error)))
        attempt.connection = connection
        whole = False
        try:
            if attempt.cancelled:
                return NotRun(attempt.blame(Reason.CANCELLED, "before it was sent"))
            outcome = await self._talk(attempt, connection)
            whole = attempt.why is None and ended_whole(outcome)
        finally:
            if whole:
                await self._pool.give_back(connection)
            else:
                await connection.close()
        return outcome

    async def _talk(self, attempt: Attempt, connection: ClientConnection) -> Outcome:
        attempt.progress = read_monotonic()
        try:
            body = encode_json(attempt.dispatch.call)
            await connection.send("POST", CALLS_PATH, body)
            return await self._read_outcome(attempt, connection)
        except UnsentError as error:
            return NotRun(attempt.blame(Reason.CONNECT, str(error)))
        except ClosedError as error:
            closed = attempt.blame(Reason.CLOSED, str(error))
            return Unknown(attempt.why or closed)
        except (h11.RemoteProtocolError, MessageError) as error:
            broken = attempt.blame(Reason.PROTOCOL, str(error))
            return Unknown(attempt.why or broken)
        except CrossedError as error:
            self.crossed += 1
            return Unknown(attempt.blame(Reason.CROSSED, str(error)))

    async def _read_outcome(
        self, attempt: Attempt, connection: ClientConnection
    ) -> Outcome:
        head = await connection.read_head()
        attempt.progress = read_monotonic()
        status = head.status_code
        if status == 200 and is_event_stream(head):
            return await self._read_stream(attempt, connection)
        body = await connection.read_body()
        if status == 200:
            return check_answer(attempt, decode_json(body, TargetAnswer))
        if status == 503:
            return check_refusal(attempt, decode_json(body, TargetRefusal))
        detail = f"status {status}: {body[:200].decode('utf-8', 'replace')}"
        return Unknown(attempt.blame(Reason.TARGET, detail))

    async def _read_stream(
        self, attempt: Attempt, connection: ClientConnection
    ) -> Outcome:
        reader = EventReader()
        name = attempt.dispatch.call.attempt
        outcome: Outcome | None = None
        while piece := await connection.read_piece():
            attempt.progress = read_monotonic()
            tokens: list[StreamToken] = []
            for event in reader.feed(piece):
                if outcome is not None:
                    raise MessageError("events behind the end of the stream")
                if event.kind == "":
                    tokens.append(read_token(name, event.data))
                else:
                    outcome = end_stream(attempt, event)
            if tokens:
                await self._on_tokens(name, tokens)
        if outcome is None:
            raise ClosedError("the stream ended without its end event")
        return outcome

    def cancel(self, effect: CancelAttempt) -> None:
        """Cut an attempt's connection; its outcome is not reported.

        :param effect: which attempt.
        """
        attempt = self._attempts.get(effect.attempt)
        if attempt is None:
            return
        attempt.cancelled = True
        if attempt.connection is not None:
            attempt.connection.abort()

    async def tell_cancel(self, effect: CancelAttempt) -> None:
        """Tell a target that it may stop an attempt; its answer is not needed.

        :param effect: which attempt and where.
        """
        body = encode_json(CancelCall(effect.attempt))
        try:
            await self._pool.ask(effect.address, CANCELS_PATH, body, CANCEL_S)
        except (UnsentError, ClosedError):
            return

    async def drop_connections(self, address: Address, name: AttemptId) -> int:
        """Drop idle connections as old as the one that carried an attempt.

        :param address: the far end.
        :param name: the attempt whose connection went silent.
        :returns: how many were dropped.
        """
        attempt = self._attempts.get(name)
        if attempt is None or attempt.connection is None:
            return 0
        return await self._pool.drop_old(address, attempt.connection.opened_at)

    def sweep(self, now: float) -> None:
        """Give up attempts that are past their time or make no progress.

        Time in which this process itself stood still is nobody's silence.

        :param now: monotonic seconds.
        """
        stood = max(0.0, now - self._swept_at - STILL_S) if self._swept_at else 0.0
        self._swept_at = now
        for attempt in self._attempts.values():
            if attempt.connection is None or attempt.why is not None:
                continue
            attempt.progress += min(stood, now - attempt.progress)
            silent = now - attempt.progress
            if silent > attempt.dispatch.progress_timeout:
                detail = f"no byte for {silent:.3f} s"
                attempt.why = attempt.blame(Reason.SILENT, detail)
            elif now > attempt.expires:
                detail = f"not done within {attempt.dispatch.timeout:.3f} s"
                attempt.why = attempt.blame(Reason.DEADLINE, detail)
            if attempt.why is not None:
                attempt.connection.abort()
