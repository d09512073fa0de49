"""Handles the control hosts' results of claims for idempotency keys."""

from __future__ import annotations

from bramleyspread_core import (
    AnswerFailed,
    AnswerRefused,
    AnswerUnknown,
    AnswerWhole,
    ClaimDone,
    Claimed,
    ClaimMismatch,
    ClaimRunning,
    ClaimUnknown,
    CommandResult,
    Fault,
    Reason,
    Undecided,
)
from bramleyspread_entry._claims import ClaimClient, ClaimOutcome
from bramleyspread_entry._completion import RequestCompletion
from bramleyspread_entry._pipeline import ClaimState, PipelineRun
from bramleyspread_entry._stages import StageRunner
from bramleyspread_entry._state import EntryState

#: Delay before a caller may retry after no quorum of control hosts answered the claim.
NO_QUORUM_RETRY_MS = 1_000


class ClaimResultHandler:
    """Starts requests whose claim was granted, and answers the others.

    A request whose claim has an unknown outcome is refused as not run, and its
    claim is settled as not run, in case it was granted.
    """

    __slots__ = ("_claims", "_completion", "_runner", "_state")

    def __init__(
        self,
        state: EntryState,
        claims: ClaimClient,
        completion: RequestCompletion,
        runner: StageRunner,
    ) -> None:
        self._state = state
        self._claims = claims
        self._completion = completion
        self._runner = runner

    def handle(self, run: PipelineRun, result: CommandResult, now: float) -> None:
        """Handle the result of a claim.

        :param run: the request; its claim was requested.
        :param result: the result.
        :param now: monotonic seconds.
        """
        if isinstance(result, Claimed | Undecided):
            run.claim_state = ClaimState.HELD
        else:
            run.claim_state = ClaimState.NONE
        if run.answered:
            if run.claim_state is ClaimState.HELD:
                self._claims.settle(run, ClaimOutcome.NOT_RUN, now)
            self._state.remove_if_finished(run)
        elif isinstance(result, Claimed):
            self._runner.start_stage(run, now)
        else:
            self._answer_without_claim(run, result, now)

    def _answer_without_claim(
        self, run: PipelineRun, result: CommandResult, now: float
    ) -> None:
        answer = self._completion.answer
        if isinstance(result, ClaimDone):
            answer(run, AnswerWhole(result.answer, repeated=True), now)
        elif isinstance(result, ClaimRunning):
            detail = f"request {result.request} holds the key; ask again with it"
            fault = Fault(Reason.STILL_RUNNING, "claim", "-", detail)
            answer(run, AnswerFailed(fault, result.retry_after_ms), now)
        elif isinstance(result, ClaimUnknown):
            detail = f"nobody knows how request {result.request} ended"
            answer(run, AnswerUnknown(Fault(Reason.CLOSED, "claim", "-", detail)), now)
        elif isinstance(result, ClaimMismatch):
            detail = "the key was used for other work; use a new key"
            answer(
                run, AnswerRefused(Fault(Reason.KEY_REUSED, "claim", "-", detail)), now
            )
        else:
            why = result.why if isinstance(result, Undecided) else "claim not taken"
            fault = Fault(Reason.NO_QUORUM, "claim", "-", why)
            self._completion.give_up(run, fault, now, NO_QUORUM_RETRY_MS)
        self._state.remove_if_finished(run)
