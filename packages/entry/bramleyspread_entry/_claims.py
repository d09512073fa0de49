"""Claims of idempotency keys, and their settlement with the control hosts."""

from __future__ import annotations

from enum import Enum

import xxhash

from bramleyspread_core import (
    Claim,
    CommandResult,
    HostName,
    NotLeader,
    Payload,
    SendClaim,
    SendSettlement,
    Settle,
    Undecided,
)
from bramleyspread_entry._pipeline import ClaimState, PipelineRun
from bramleyspread_entry._state import EntryState, TimerKind


class ClaimOutcome(str, Enum):
    """How a claimed request ended, as stated in its settlement."""

    #: All stages are done; the settlement carries the whole answer.
    DONE = "done"
    #: No stage with a side effect ran; the idempotency key can be claimed again.
    NOT_RUN = "not-run"
    #: A stage with a side effect may have run.
    UNKNOWN = "unknown"


class ClaimClient:
    """Requests claims, and sends settlements until they are durable."""

    __slots__ = ("_state",)

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def request_claim(self, run: PipelineRun, now: float) -> None:
        """Request the claim of an idempotency key, before anything is dispatched.

        :param run: the request with the key.
        :param now: monotonic seconds.
        """
        state = self._state
        remaining = run.deadline - now
        timeout = min(state.config.claim_timeout_s, remaining)
        run.claim_state = ClaimState.REQUESTED
        claim = Claim(
            key=run.claim_key,
            request=run.request.request,
            digest=digest_request(run.pipeline.name, run.request.input),
            owner=HostName(state.config.host),
            remaining_ms=round(1_000 * (remaining + state.config.side_effect_grace_s)),
        )
        due = now + timeout + state.config.report_grace_s
        state.timers.set((TimerKind.CLAIM_TIMEOUT, run.request.request), due)
        state.report("claim-asked", run)
        state.emit(SendClaim(run.request.request, claim, timeout))

    def settle(
        self,
        run: PipelineRun,
        outcome: ClaimOutcome,
        now: float,
        answer: Payload | None = None,
    ) -> None:
        """Send the settlement of a claim, which states how its request ended.

        :param run: the request that holds the claim.
        :param outcome: how the request ended.
        :param now: monotonic seconds.
        :param answer: the whole answer, when the request is done.
        """
        run.claim_state = ClaimState.SETTLING
        run.settlement = Settle(
            run.claim_key, run.request.request, outcome.value, answer
        )
        run.settle_deadline = now + self._state.config.settle_window_s
        self._send_settlement(run)

    def handle_settle_result(
        self, run: PipelineRun, result: CommandResult, now: float
    ) -> None:
        """Handle the result of a settlement.

        :param run: the request.
        :param result: the result; the settlement is sent again if it is undecided
            or came from a control host that is not the leader.
        :param now: monotonic seconds.
        """
        if run.claim_state is not ClaimState.SETTLING:
            self._state.event_counts["settle-answer-dropped"] += 1
            return
        undecided = isinstance(result, Undecided | NotLeader)
        if undecided and now < run.settle_deadline:
            due = now + self._state.config.settle_retry_s
            self._state.timers.set((TimerKind.SETTLE_RETRY, run.request.request), due)
            return
        self._state.report("settle-given-up" if undecided else "settled", run)
        run.claim_state = ClaimState.NONE
        self._state.remove_if_finished(run)

    def resend_settlement(self, run: PipelineRun) -> None:
        """Send a settlement again if it is still pending.

        :param run: the request.
        """
        if run.claim_state is ClaimState.SETTLING:
            self._send_settlement(run)

    def _send_settlement(self, run: PipelineRun) -> None:
        if run.settlement is not None:
            self._state.emit(SendSettlement(run.request.request, run.settlement))


def digest_request(pipeline: str, request_input: Payload) -> str:
    """Digest a request, to detect reuse of its idempotency key for a different request.

    :param pipeline: the pipeline's name.
    :param request_input: the request's input.
    :returns: hexadecimal digits.
    """
    return xxhash.xxh3_128_hexdigest(pipeline.encode() + b"\0" + bytes(request_input))
