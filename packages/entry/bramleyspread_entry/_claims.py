"""Claims of idempotency keys and their settlement."""

from __future__ import annotations

from enum import Enum

import xxhash

from bramleyspread_core import (
    AskClaim,
    AskSettle,
    Claim,
    CommandResult,
    HostName,
    NotLeader,
    Payload,
    Settle,
    Undecided,
)
from bramleyspread_entry._pipeline import ClaimState, Run
from bramleyspread_entry._state import EntryState, TimerKind


class Ended(str, Enum):
    """How a claimed request ended, as settlements say it."""

    #: With its whole answer.
    DONE = "done"
    #: Without an effect; the key is free again.
    NOT_RUN = "not-run"
    #: Its effect may have happened.
    UNKNOWN = "unknown"


class ClaimDesk:
    """Asks for claims and sends settlements until they are durable."""

    __slots__ = ("_state",)

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def ask(self, run: Run, now: float) -> None:
        """Ask for the claim of a request; nothing is dispatched before it.

        :param run: the request.
        :param now: monotonic seconds.
        """
        state = self._state
        remaining = run.deadline - now
        timeout = min(state.config.claim_timeout, remaining)
        run.claim = ClaimState.ASKED
        claim = Claim(
            key=run.claim_key,
            request=run.request.request,
            digest=digest_work(run.pipeline.name, run.request.input),
            owner=HostName(state.config.host),
            remaining_ms=round(1_000 * (remaining + state.config.effect_grace)),
        )
        due = now + timeout + state.config.report_grace
        state.timers.set((TimerKind.CLAIM, run.request.request), due)
        state.report("claim-asked", run)
        state.emit(AskClaim(run.request.request, claim, timeout))

    def settle(
        self,
        run: Run,
        ended: Ended,
        now: float,
        answer: Payload | None = None,
    ) -> None:
        """Settle a claim.

        :param run: the request that holds it.
        :param ended: how the request ended.
        :param now: monotonic seconds.
        :param answer: its whole answer, when done.
        """
        run.claim = ClaimState.SETTLING
        run.settle = Settle(run.claim_key, run.request.request, ended.value, answer)
        run.settle_until = now + self._state.config.settle_window
        self._send(run)

    def settle_answered(self, run: Run, result: CommandResult, now: float) -> None:
        """Take the control hosts' answer to a settlement.

        :param run: the request.
        :param result: the answer; one that decides nothing is asked for again.
        :param now: monotonic seconds.
        """
        if run.claim is not ClaimState.SETTLING:
            self._state.counts["settle-answer-dropped"] += 1
            return
        undecided = isinstance(result, Undecided | NotLeader)
        if undecided and now < run.settle_until:
            due = now + self._state.config.settle_pause
            self._state.timers.set((TimerKind.SETTLE, run.request.request), due)
            return
        self._state.report("settle-given-up" if undecided else "settled", run)
        run.claim = ClaimState.NONE
        self._state.forget_if_over(run)

    def send_again(self, run: Run) -> None:
        """Send a settlement again.

        :param run: the request.
        """
        if run.claim is ClaimState.SETTLING:
            self._send(run)

    def _send(self, run: Run) -> None:
        if run.settle is not None:
            self._state.emit(AskSettle(run.request.request, run.settle))


def digest_work(pipeline: str, work: Payload) -> str:
    """Digest what a key was used for, so that other work under it is seen.

    :param pipeline: the pipeline's name.
    :param work: the request's input.
    :returns: hexadecimal digits.
    """
    return xxhash.xxh3_128_hexdigest(pipeline.encode() + b"\0" + bytes(work))
