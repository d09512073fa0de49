"""Carries out what an entry host's decisions ask for."""

from __future__ import annotations

from collections.abc import Sequence

import curio

from bramleyspread_core import (
    AnswerWhole,
    AskClaim,
    AskSettle,
    AttemptId,
    CallerRequest,
    CancelAttempt,
    Directory,
    Dispatch,
    DropConnections,
    Effect,
    Outcome,
    Report,
    RequestDecisions,
    RequestId,
    SendAnswer,
    SendToken,
    StreamToken,
)
from bramleyspread_daemon._attempts import AttemptRunner
from bramleyspread_daemon._callers import CallerExchange
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._control_link import ControlLink
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._timeline import TimelineFile

#: How often attempts are looked through for silent ones, in seconds.
SWEEP_S = 0.02
#: Most time for one round of tries of a settlement, in seconds.
SETTLE_S = 5.0


class EntryCounts:
    """What an entry process has done so far."""

    __slots__ = ("answers", "outcomes", "tokens")

    def __init__(self) -> None:
        #: Answers by HTTP status.
        self.answers: dict[int, int] = {}
        #: Attempts by outcome and reason.
        self.outcomes: dict[tuple[str, str], int] = {}
        #: Tokens passed on.
        self.tokens = 0


class EffectRunner:
    """Feeds the decisions with what happens, and carries out their effects.

    The way of a token from its target to its caller never waits.
    """

    def __init__(
        self,
        decisions: RequestDecisions,
        directory: Directory,
        pool: ConnectionPool,
        link: ControlLink,
        timeline: TimelineFile,
    ) -> None:
        self._decisions = decisions
        self._directory = directory
        self._link = link
        self._timeline = timeline
        self._sweep_at = 0.0
        self._unflushed: list[CallerExchange] = []
        self._exchanges: dict[RequestId, CallerExchange] = {}
        #: Attempts on their way.
        self.attempts = AttemptRunner(pool, self._take_tokens)
        #: What was done so far.
        self.counts = EntryCounts()

    @property
    def waiting(self) -> int:
        """Callers that wait for their answer."""
        return len(self._exchanges)

    async def arrive(self, request: CallerRequest, reply: Reply) -> None:
        """Take a caller's request.

        :param request: the request.
        :param reply: where its answer goes.
        """
        self._exchanges[request.request] = CallerExchange(request, reply)

        async def leave() -> None:
            if self._exchanges.pop(request.request, None) is not None:
                now = read_monotonic()
                await self.apply(self._decisions.caller_left(request.request, now))

        reply.on_left = leave
        await self.apply(self._decisions.arrive(request, read_monotonic()))

    async def tick(self) -> None:
        """Let time pass, when it is due."""
        now = read_monotonic()
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_S
            self.attempts.sweep(now)
        due = self._decisions.next_due()
        if due is not None and due <= now:
            await self.apply(self._decisions.tick(now))

    async def _take_tokens(
        self, attempt: AttemptId, tokens: Sequence[StreamToken]
    ) -> None:
        now = read_monotonic()
        for token in tokens:
            await self._carry_out(self._decisions.token_arrived(attempt, token, now))
        self._flush_tokens()

    async def _take_outcome(self, attempt: AttemptId, outcome: Outcome) -> None:
        kind = type(outcome).__name__
        fault = getattr(outcome, "fault", None)
        key = (kind, fault.reason.value if fault else "")
        self.counts.outcomes[key] = self.counts.outcomes.get(key, 0) + 1
        now = read_monotonic()
        await self.apply(self._decisions.attempt_ended(attempt, outcome, now))

    async def apply(self, effects: Sequence[Effect]) -> None:
        """Carry out effects in their order.

        :param effects: the effects.
        """
        await self._carry_out(effects)
        self._flush_tokens()

    async def _carry_out(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToken):
                self._send_token(effect)
            elif isinstance(effect, Report):
                self._timeline.write(effect.happening)
            elif isinstance(effect, SendAnswer):
                self._send_answer(effect)
            elif isinstance(effect, DropConnections):
                await self.attempts.drop_connections(effect.address, effect.attempt)
            else:
                await self._start(effect)

    async def _start(
        self, effect: Dispatch | CancelAttempt | AskClaim | AskSettle
    ) -> None:
        if isinstance(effect, Dispatch):
            run = self.attempts.run
            await curio.spawn(run, effect, self._take_outcome, daemon=True)
        elif isinstance(effect, CancelAttempt):
            self.attempts.cancel(effect)
            await curio.spawn(self.attempts.tell_cancel, effect, daemon=True)
        elif isinstance(effect, AskClaim):
            await curio.spawn(self._ask_claim, effect, daemon=True)
        else:
            await curio.spawn(self._ask_settle, effect, daemon=True)

    def _send_token(self, effect: SendToken) -> None:
        self.counts.tokens += 1
        exchange = self._exchanges.get(effect.request)
        if exchange is not None:
            exchange.add_token(effect.token)
            if exchange not in self._unflushed:
                self._unflushed.append(exchange)

    def _flush_tokens(self) -> None:
        for exchange in self._unflushed:
            exchange.flush_tokens()
        self._unflushed.clear()

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

    async def _ask_claim(self, effect: AskClaim) -> None:
        result = await self._link.ask(effect.claim, effect.timeout)
        now = read_monotonic()
        await self.apply(self._decisions.claim_answered(effect.request, result, now))

    async def _ask_settle(self, effect: AskSettle) -> None:
        result = await self._link.ask(effect.settle, SETTLE_S)
        now = read_monotonic()
        await self.apply(self._decisions.settle_answered(effect.request, result, now))
