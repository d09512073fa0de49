"""Executes the effects that the decision logic of an entry host returns."""

from __future__ import annotations

from collections.abc import Sequence

import curio

from bramleyspread_core import (
    AnswerWhole,
    AttemptId,
    CallerRequest,
    CancelAttempt,
    Directory,
    Dispatch,
    DropConnections,
    Effect,
    Outcome,
    RecordEvent,
    RequestDecisions,
    RequestId,
    SendAnswer,
    SendClaim,
    SendSettlement,
    SendToken,
    StreamToken,
)
from bramleyspread_daemon._attempts import AttemptRunner
from bramleyspread_daemon._callers import CallerExchange
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._control_client import ControlClient
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._timeline import TimelineFile

#: How often attempts are checked for timeouts.
SWEEP_INTERVAL_S = 0.02
#: Timeout for submitting a settlement, with its resends.
SETTLE_TIMEOUT_S = 5.0


class EntryCounts:
    """Counters of an entry process."""

    __slots__ = ("answers", "outcomes", "tokens")

    def __init__(self) -> None:
        #: Number of final answers by HTTP status.
        self.answers: dict[int, int] = {}
        #: Number of attempts by outcome and reason.
        self.outcomes: dict[tuple[str, str], int] = {}
        #: Number of tokens sent to callers.
        self.tokens = 0


class EffectRunner:
    """Passes events to the decision logic and executes the effects that it returns.

    Forwarding a token from a target to its caller never blocks.
    """

    def __init__(
        self,
        decisions: RequestDecisions,
        directory: Directory,
        pool: ConnectionPool,
        control_client: ControlClient,
        timeline: TimelineFile,
    ) -> None:
        self._decisions = decisions
        self._directory = directory
        self._control_client = control_client
        self._timeline = timeline
        self._next_sweep_at = 0.0
        self._exchanges_to_flush: list[CallerExchange] = []
        self._exchanges: dict[RequestId, CallerExchange] = {}
        #: The attempts in flight.
        self.attempts = AttemptRunner(pool, self._handle_tokens)
        #: Counters of its activity.
        self.counts = EntryCounts()

    @property
    def pending_callers(self) -> int:
        """Number of callers whose answer is pending."""
        return len(self._exchanges)

    async def handle_request(self, request: CallerRequest, reply: Reply) -> None:
        """Handle a caller's request.

        :param request: the request.
        :param reply: the reply to send the answer with.
        """
        self._exchanges[request.request] = CallerExchange(request, reply)

        async def handle_disconnect() -> None:
            if self._exchanges.pop(request.request, None) is not None:
                now = read_monotonic()
                await self.apply(
                    self._decisions.handle_caller_disconnect(request.request, now)
                )

        reply.on_disconnect = handle_disconnect
        await self.apply(self._decisions.handle_request(request, read_monotonic()))

    async def tick(self) -> None:
        """Sweep the attempts and tick the decision logic when they are due."""
        now = read_monotonic()
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
            self.attempts.sweep(now)
        due = self._decisions.next_due()
        if due is not None and due <= now:
            await self.apply(self._decisions.tick(now))

    async def _handle_tokens(
        self, attempt: AttemptId, tokens: Sequence[StreamToken]
    ) -> None:
        now = read_monotonic()
        for token in tokens:
            await self._apply_effects(self._decisions.handle_token(attempt, token, now))
        self._flush_tokens()

    async def _handle_outcome(self, attempt: AttemptId, outcome: Outcome) -> None:
        kind = type(outcome).__name__
        fault = getattr(outcome, "fault", None)
        key = (kind, fault.reason.value if fault else "")
        self.counts.outcomes[key] = self.counts.outcomes.get(key, 0) + 1
        now = read_monotonic()
        await self.apply(self._decisions.handle_attempt_end(attempt, outcome, now))

    async def apply(self, effects: Sequence[Effect]) -> None:
        """Execute effects in order.

        :param effects: the effects.
        """
        await self._apply_effects(effects)
        self._flush_tokens()

    async def _apply_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToken):
                self._send_token(effect)
            elif isinstance(effect, RecordEvent):
                self._timeline.write(effect.event)
            elif isinstance(effect, SendAnswer):
                self._send_answer(effect)
            elif isinstance(effect, DropConnections):
                await self.attempts.drop_connections(effect.address, effect.attempt)
            else:
                await self._start_task(effect)

    async def _start_task(
        self, effect: Dispatch | CancelAttempt | SendClaim | SendSettlement
    ) -> None:
        if isinstance(effect, Dispatch):
            run = self.attempts.run
            await curio.spawn(run, effect, self._handle_outcome, daemon=True)
        elif isinstance(effect, CancelAttempt):
            self.attempts.cancel(effect)
            await curio.spawn(self.attempts.send_cancel, effect, daemon=True)
        elif isinstance(effect, SendClaim):
            await curio.spawn(self._submit_claim, effect, daemon=True)
        else:
            await curio.spawn(self._submit_settlement, effect, daemon=True)

    def _send_token(self, effect: SendToken) -> None:
        self.counts.tokens += 1
        exchange = self._exchanges.get(effect.request)
        if exchange is not None:
            exchange.add_token(effect.token)
            if exchange not in self._exchanges_to_flush:
                self._exchanges_to_flush.append(exchange)

    def _flush_tokens(self) -> None:
        for exchange in self._exchanges_to_flush:
            exchange.flush_tokens()
        self._exchanges_to_flush.clear()

    def _send_answer(self, effect: SendAnswer) -> None:
        exchange = self._exchanges.pop(effect.request, None)
        if exchange is None:
            return
        exchange.flush_tokens()
        document = None
        if not isinstance(effect.answer, AnswerWhole):
            document = self._directory.find_document(exchange.request.service)
        status = exchange.send_answer(effect.answer, document)
        self.counts.answers[status] = self.counts.answers.get(status, 0) + 1

    async def _submit_claim(self, effect: SendClaim) -> None:
        result = await self._control_client.submit(effect.claim, effect.timeout_s)
        now = read_monotonic()
        await self.apply(
            self._decisions.handle_claim_result(effect.request, result, now)
        )

    async def _submit_settlement(self, effect: SendSettlement) -> None:
        result = await self._control_client.submit(effect.settlement, SETTLE_TIMEOUT_S)
        now = read_monotonic()
        await self.apply(
            self._decisions.handle_settlement_result(effect.request, result, now)
        )
