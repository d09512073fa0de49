"""What follows from the answer to a claim."""

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
from bramleyspread_entry._claims import ClaimDesk, Ended
from bramleyspread_entry._conclusion import Conclusion
from bramleyspread_entry._pipeline import ClaimState, Run
from bramleyspread_entry._stages import StageRunner
from bramleyspread_entry._state import EntryState

#: When a caller refused for want of a quorum may come back.
BUSY_RETRY_MS = 1_000


class ClaimAnswers:
    """Runs a request that holds its claim; answers one that does not.

    A request whose claim may or may not have been taken is refused as not run,
    and the claim is given back.
    """

    __slots__ = ("_claims", "_conclusion", "_runner", "_state")

    def __init__(
        self,
        state: EntryState,
        claims: ClaimDesk,
        conclusion: Conclusion,
        runner: StageRunner,
    ) -> None:
        self._state = state
        self._claims = claims
        self._conclusion = conclusion
        self._runner = runner

    def take(self, run: Run, result: CommandResult, now: float) -> None:
        """Take the control hosts' answer to a claim.

        :param run: the request; its claim is asked for.
        :param result: the answer.
        :param now: monotonic seconds.
        """
        if isinstance(result, Claimed | Undecided):
            run.claim = ClaimState.HELD
        else:
            run.claim = ClaimState.NONE
        if run.answered:
            if run.claim is ClaimState.HELD:
                self._claims.settle(run, Ended.NOT_RUN, now)
            self._state.forget_if_over(run)
        elif isinstance(result, Claimed):
            self._runner.begin(run, now)
        else:
            self._answer_unclaimed(run, result, now)

    def _answer_unclaimed(self, run: Run, result: CommandResult, now: float) -> None:
        answer = self._conclusion.answer
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
            self._conclusion.give_up(run, fault, now, BUSY_RETRY_MS)
        self._state.forget_if_over(run)
