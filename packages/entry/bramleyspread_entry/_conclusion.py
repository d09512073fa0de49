"""The one final answer of each request, and what is settled with it."""

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
from bramleyspread_entry._claims import ClaimDesk, Ended
from bramleyspread_entry._dispatch import Dispatcher
from bramleyspread_entry._pipeline import ClaimState, Run
from bramleyspread_entry._state import EntryState, TimerKind

#: Soonest time at which a caller that got no answer is told to come back, in
#: milliseconds.
LEAST_RETRY_MS = 200


class Conclusion:
    """Answers requests, each exactly once and as its attempts ended."""

    __slots__ = ("_claims", "_dispatcher", "_state")

    def __init__(
        self,
        state: EntryState,
        dispatcher: Dispatcher,
        claims: ClaimDesk,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._claims = claims

    def finish(self, run: Run, output: Payload, now: float) -> None:
        """Answer with the last stage's output, or settle with it after the answer.

        :param run: the request; its last stage is done.
        :param output: that stage's output.
        :param now: monotonic seconds.
        """
        late = run.answered
        if not late:
            subject = run.request.request
            whole = run.is_last and not run.live
            self._state.watch.check(ANSWERED_WHOLE, whole, subject, "cut short")
            self.answer(run, AnswerWhole(output), now)
        if run.claim is ClaimState.HELD:
            self._claims.settle(run, Ended.DONE, now, output)
        self._state.forget_if_over(run)

    def give_up(
        self, run: Run, fault: Fault, now: float, retry_after_ms: int = 0
    ) -> None:
        """Answer a request that won't be finished, at once and truly.

        It is refused as not run only when nothing ran or may have run; failed
        when asking again is harmless; unknown when an effect may have happened,
        also when the stage with the effect is done and a later one is not. An
        attempt with an effect is left alone, and the key settled when it ends.

        :param run: the request.
        :param fault: why.
        :param now: monotonic seconds.
        :param retry_after_ms: when to come back, in milliseconds.
        """
        cut_off = fault.reason is Reason.DRAINING and run.issued > 0
        subject = run.request.request
        self._state.watch.check(STOP_CUTS_NOTHING, not cut_off, subject, str(fault))
        for attempt in tuple(run.live.values()):
            if attempt.id != run.effect_live:
                self._dispatcher.cancel(run, attempt, now)
                if fault.reason is Reason.DEADLINE:
                    self._dispatcher.doubt_connection(attempt)
        if not run.answered:
            self.answer(run, choose_answer(run, fault, retry_after_ms), now)
        if run.claim is ClaimState.HELD and run.effect_live is None:
            ended = Ended.UNKNOWN if run.has_effect else Ended.NOT_RUN
            self._claims.settle(run, ended, now)
        self._state.forget_if_over(run)

    def answer(self, run: Run, answer: Answer, now: float) -> None:
        """Send a request's one answer.

        :param run: the request.
        :param answer: the answer.
        :param now: monotonic seconds.
        """
        state, subject = self._state, run.request.request
        state.watch.check(ANSWERED_ONCE, not run.answered, subject, "second answer")
        if isinstance(answer, AnswerRefused):
            clear = not run.may_have_run and not run.live and not run.has_effect
            state.watch.check(REFUSED_NOT_RUN, clear, subject, str(answer.fault))
        run.answered = True
        state.timers.cancel((TimerKind.DEADLINE, subject))
        state.timers.cancel((TimerKind.PAUSE, subject))
        state.policies.occupancy.leave(run.pools[run.position :])
        detail = "" if isinstance(answer, AnswerWhole) else str(answer.fault)
        kind = type(answer).__name__.removeprefix("Answer").lower()
        state.report(f"answered-{kind}", run, detail=detail)
        state.emit(SendAnswer(subject, answer))


def choose_answer(run: Run, fault: Fault, retry_after_ms: int) -> Answer:
    """Choose the true answer to a request that won't be finished.

    :param run: the request.
    :param fault: why.
    :param retry_after_ms: when to come back, in milliseconds.
    :returns: unknown, failed, or refused as not run.
    """
    if run.effect_done:
        detail = f"a stage with an effect was done before; {fault.detail}"
        return AnswerUnknown(Fault(fault.reason, fault.step, fault.peer, detail))
    if run.has_effect:
        return AnswerUnknown(fault)
    come_back_ms = max(retry_after_ms, LEAST_RETRY_MS)
    if run.may_have_run or run.live:
        return AnswerFailed(fault, come_back_ms)
    return AnswerRefused(fault, come_back_ms)
