"""Completion of requests: sends the final answer and settles the claim of each."""

from __future__ import annotations

from bramleyspread_core import (
    ANSWERED_ONCE,
    ANSWERED_WHOLE,
    REFUSED_NOT_RUN,
    STOP_CUTS_NOTHING,
    Answer,
    AnswerFailed,
    AnswerRefused,
    AnswerUnknown,
    AnswerWhole,
    Fault,
    Payload,
    Reason,
    SendAnswer,
)
from bramleyspread_entry._claims import ClaimClient, ClaimOutcome
from bramleyspread_entry._dispatch import Dispatcher
from bramleyspread_entry._pipeline import ClaimState, PipelineRun
from bramleyspread_entry._state import EntryState, TimerKind

#: Shortest delay after which a caller without a whole answer is told to retry.
MIN_RETRY_MS = 200


class RequestCompletion:
    """Sends each request exactly one answer, consistent with its attempts' outcomes."""

    __slots__ = ("_claims", "_dispatcher", "_state")

    def __init__(
        self,
        state: EntryState,
        dispatcher: Dispatcher,
        claims: ClaimClient,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._claims = claims

    def complete(self, run: PipelineRun, output: Payload, now: float) -> None:
        """Complete a request whose last stage is done.

        The output is the answer, and is stored with the claim if there is one. When
        the request was already answered without it, the output is only stored.

        :param run: the request; its last stage is done.
        :param output: the output of that stage.
        :param now: monotonic seconds.
        """
        already_answered = run.answered
        if not already_answered:
            subject = run.request.request
            all_ended = run.is_last and not run.live_attempts
            self._state.watch.check(
                ANSWERED_WHOLE,
                all_ended,
                subject,
                "whole answer sent before all stages and attempts ended",
            )
            self.answer(run, AnswerWhole(output), now)
        if run.claim_state is ClaimState.HELD:
            self._claims.settle(run, ClaimOutcome.DONE, now, output)
        self._state.remove_if_finished(run)

    def give_up(
        self, run: PipelineRun, fault: Fault, now: float, retry_after_ms: int = 0
    ) -> None:
        """End a request that can't be completed, and answer it at once.

        The answer is *refused as not run* only when no attempt ran or may have
        run, *failed* when the request can safely be repeated, and *unknown* when a
        side effect may have happened, also when the stage with the side effect is
        done and a later one is not. An attempt with a side effect is not cancelled;
        the claim is settled when it ends.

        :param run: the request.
        :param fault: why the request can't be completed.
        :param now: monotonic seconds.
        :param retry_after_ms: delay before the caller may retry, in milliseconds.
        """
        cut_off_by_drain = fault.reason is Reason.DRAINING and run.total_attempts > 0
        subject = run.request.request
        self._state.watch.check(
            STOP_CUTS_NOTHING, not cut_off_by_drain, subject, str(fault)
        )
        for attempt in tuple(run.live_attempts.values()):
            if attempt.id != run.side_effect_attempt:
                self._dispatcher.cancel(run, attempt, now)
                if fault.reason is Reason.DEADLINE:
                    self._dispatcher.replace_connections(attempt)
        if not run.answered:
            self.answer(run, choose_answer(run, fault, retry_after_ms), now)
        if run.claim_state is ClaimState.HELD and run.side_effect_attempt is None:
            outcome = (
                ClaimOutcome.UNKNOWN
                if run.may_have_side_effect
                else ClaimOutcome.NOT_RUN
            )
            self._claims.settle(run, outcome, now)
        self._state.remove_if_finished(run)

    def answer(self, run: PipelineRun, answer: Answer, now: float) -> None:
        """Send a request's only answer.

        :param run: the request.
        :param answer: the answer.
        :param now: monotonic seconds.
        """
        state, subject = self._state, run.request.request
        state.watch.check(
            ANSWERED_ONCE,
            not run.answered,
            subject,
            "request was answered a second time",
        )
        if isinstance(answer, AnswerRefused):
            not_run = (
                not run.may_have_run
                and not run.live_attempts
                and not run.may_have_side_effect
            )
            state.watch.check(REFUSED_NOT_RUN, not_run, subject, str(answer.fault))
        run.answered = True
        state.timers.cancel((TimerKind.DEADLINE, subject))
        state.timers.cancel((TimerKind.TARGET_RETRY, subject))
        state.policies.occupancy.remove_request(run.pools[run.position :])
        detail = "" if isinstance(answer, AnswerWhole) else str(answer.fault)
        kind = type(answer).__name__.removeprefix("Answer").lower()
        state.report(f"answered-{kind}", run, detail=detail)
        state.emit(SendAnswer(subject, answer))


def choose_answer(run: PipelineRun, fault: Fault, retry_after_ms: int) -> Answer:
    """Choose the answer to a request that can't be completed.

    :param run: the request.
    :param fault: why the request can't be completed.
    :param retry_after_ms: delay before the caller may retry, in milliseconds.
    :returns: unknown, failed, or refused as not run.
    """
    if run.side_effect_done:
        detail = f"a stage with an effect was done before; {fault.detail}"
        return AnswerUnknown(Fault(fault.reason, fault.step, fault.peer, detail))
    if run.may_have_side_effect:
        return AnswerUnknown(fault)
    delay_ms = max(retry_after_ms, MIN_RETRY_MS)
    if run.may_have_run or run.live_attempts:
        return AnswerFailed(fault, delay_ms)
    return AnswerRefused(fault, delay_ms)
