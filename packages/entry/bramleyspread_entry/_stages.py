"""Running a request's stages: attempts, their outcomes, retries and hedges."""

from __future__ import annotations

from bramleyspread_core import (
    CostKind,
    Done,
    Fault,
    NotRun,
    Outcome,
    Reason,
    StreamToken,
    TargetView,
    Unknown,
)
from bramleyspread_entry._attempts import Attempt, AttemptKind
from bramleyspread_entry._conclusion import Conclusion
from bramleyspread_entry._delivery import Delivery
from bramleyspread_entry._dispatch import Dispatcher
from bramleyspread_entry._pipeline import Run
from bramleyspread_entry._state import EntryState, TimerKind

#: Part of the typical time that must be left for work to be begun.
LEAST_SHARE = 0.5
#: Reasons for which a target is not to blame.
BLAMELESS = frozenset({Reason.REFUSED, Reason.CANCELLED, Reason.DEADLINE})


class StageRunner:
    """Takes requests through their stages by the outcomes of their attempts."""

    __slots__ = ("_conclusion", "_delivery", "_dispatcher", "_state")

    def __init__(
        self,
        state: EntryState,
        dispatcher: Dispatcher,
        conclusion: Conclusion,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._conclusion = conclusion
        self._delivery = Delivery(state)

    def begin(self, run: Run, now: float) -> None:
        """Begin the stage that a request is at, or wait for a target.

        :param run: the request.
        :param now: monotonic seconds.
        """
        if not run.has_effect and not self._can_finish(run, now):
            detail = "the time left does not cover the stages left"
            self._conclusion.give_up(
                run, self._fault(run, Reason.DEADLINE, detail), now
            )
            return
        view = self._dispatcher.choose(run, now)
        if view is None:
            self._wait(run, now)
            return
        kind = AttemptKind.FIRST if run.tries == 0 else AttemptKind.RETRY
        if kind is AttemptKind.FIRST:
            self._state.policies.budget.earn()
        self._dispatcher.send(run, kind, view, now)
        self._plan_hedge(run, now)

    def take_token(
        self, run: Run, attempt: Attempt, token: StreamToken, now: float
    ) -> None:
        """Take a token of a streaming attempt.

        :param run: the request.
        :param attempt: the attempt; it is live.
        :param token: the token.
        :param now: monotonic seconds.
        """
        if not self._delivery.take_token(run, attempt, token):
            fault = Fault(
                Reason.PROTOCOL, attempt.stage, attempt.target, "a token is missing"
            )
            self._dispatcher.cancel(run, attempt, now)
            self._state.policies.outliers.failed(attempt.target, fault.reason, now)
            self._go_on_without(run, attempt, fault, now)
        elif run.speaker == attempt.id and len(run.live) > 1:
            self._cancel_others(run, attempt, now)

    def take_end(
        self, run: Run, attempt: Attempt, outcome: Outcome, now: float
    ) -> None:
        """Take the end of an attempt.

        :param run: the request.
        :param attempt: the attempt; it is live.
        :param outcome: how it ended.
        :param now: monotonic seconds.
        """
        if isinstance(outcome, Done):
            fault = self._delivery.find_fault(run, attempt, outcome.answer)
            if fault is None:
                self._take_answer(run, attempt, outcome, now)
                return
            outcome = Unknown(fault)
        was_effect = run.effect_live == attempt.id
        self._dispatcher.close(run, attempt, now)
        self._state.report(
            "attempt-ended", run, attempt.target, f"{attempt.id} {outcome.fault}"
        )
        self._judge_target(run, attempt, outcome.fault, now)
        if isinstance(outcome, NotRun):
            run.effect_positions.discard(attempt.position)
            self._go_on_without(
                run, attempt, outcome.fault, now, outcome.retry_after_ms
            )
            return
        run.may_have_run = True
        self._charge_lost(run, attempt, now)
        if was_effect:
            run.effect_unknown = True
            self._conclusion.give_up(run, outcome.fault, now)
        else:
            self._go_on_without(run, attempt, outcome.fault, now)

    def hedge(self, run: Run, attempt: Attempt, now: float) -> None:
        """Send a second attempt beside a late one, if that may help.

        :param run: the request.
        :param attempt: the late attempt; it is live.
        :param now: monotonic seconds.
        """
        alone = len(run.live) == 1 and run.speaker is None
        if run.answered or not alone or run.tries >= self._state.config.max_tries:
            return
        view = self._dispatcher.choose(run, now)
        if view is None or view.announcement.target in run.tried:
            return
        if _has_room(view) and self._state.policies.budget.spend():
            self._dispatcher.send(run, AttemptKind.HEDGE, view, now)
        else:
            due = now + self._state.config.hedge_pause
            self._state.timers.set((TimerKind.HEDGE, attempt.id), due)

    def _take_answer(self, run: Run, attempt: Attempt, done: Done, now: float) -> None:
        state, answer = self._state, done.answer
        was_effect = run.effect_live == attempt.id
        self._dispatcher.close(run, attempt, now)
        self._cancel_others(run, attempt, now)
        run.may_have_run = True
        run.effect_done = run.effect_done or was_effect
        state.costs.enter_answer(
            run.request.service,
            run.request.brand,
            attempt.stage,
            attempt.kind,
            answer.usage,
        )
        policies = state.policies
        policies.times.record_work(run.key, answer.usage.target_us / 1_000_000)
        self._credit_target(run, attempt, now)
        state.report("attempt-ended", run, attempt.target, f"{attempt.id} done")
        if run.is_last:
            self._conclusion.finish(run, answer.output, now)
        elif run.answered:
            fault = self._fault(run, Reason.DEADLINE, "done after the answer")
            self._conclusion.give_up(run, fault, now)
        else:
            state.policies.occupancy.leave((run.pool,))
            run.advance(answer.output)
            self.begin(run, now)

    def _go_on_without(
        self,
        run: Run,
        attempt: Attempt,
        fault: Fault,
        now: float,
        retry_after_ms: int = 0,
    ) -> None:
        """Go on after an attempt that gave no answer: wait, retry or give up."""
        if run.live and not run.answered:
            return
        if run.answered:
            self._conclusion.give_up(run, fault, now)
            return
        config, policies = self._state.config, self._state.policies
        typical = policies.times.typical(run.key, now) or 0.0
        if run.tries >= config.max_tries or now + typical >= run.deadline:
            self._conclusion.give_up(run, fault, now, retry_after_ms)
        elif not policies.budget.spend():
            self._state.counts["retry-denied"] += 1
            detail = f"no retry left in the budget after: {fault}"
            denied = Fault(Reason.RETRY_BUDGET, fault.step, fault.peer, detail)
            self._conclusion.give_up(run, denied, now, retry_after_ms)
        elif self._all_tried(run, now):
            self._wait(run, now)
        else:
            self.begin(run, now)

    def _wait(self, run: Run, now: float) -> None:
        due = now + self._state.config.target_pause
        self._state.timers.set((TimerKind.PAUSE, run.request.request), due)

    def _all_tried(self, run: Run, now: float) -> bool:
        views = self._state.directory.list_usable(run.pool, now)
        return len(run.tried) >= len(views)

    def _can_finish(self, run: Run, now: float) -> bool:
        expected = self._dispatcher.expect(run, run.position, now)
        return now + LEAST_SHARE * expected < run.deadline

    def _plan_hedge(self, run: Run, now: float) -> None:
        if not run.stage.idempotent or run.tries > 1:
            return
        policies = self._state.policies
        remaining = self._dispatcher.find_timeout(run, now)
        delay = policies.hedging.delay(run.key, remaining, now)
        if delay is not None:
            newest = next(reversed(run.live))
            self._state.timers.set((TimerKind.HEDGE, newest), now + delay)

    def _cancel_others(self, run: Run, winner: Attempt, now: float) -> None:
        """Cancel the losers of a race; an earlier one lost by being too late."""
        state = self._state
        for attempt in tuple(run.live.values()):
            if attempt.id == winner.id:
                continue
            self._dispatcher.cancel(run, attempt, now)
            if attempt.sent_at < winner.sent_at:
                state.policies.outliers.failed(attempt.target, Reason.SILENT, now)
                self._dispatcher.doubt_connection(attempt)

    def _credit_target(self, run: Run, attempt: Attempt, now: float) -> None:
        policies = self._state.policies
        took = now - attempt.sent_at
        relative = policies.peer_times.compare(run.key, attempt.target, took, now)
        typical = policies.times.typical(run.key, now)
        if relative is None and typical:
            relative = took / typical
        policies.outliers.succeeded(attempt.target, relative, now)
        policies.times.record(run.key, took, now)
        policies.peer_times.record(run.key, attempt.target, took, now)
        prefix = self._dispatcher.name_prefix(run)
        policies.choice.answered(attempt.target, prefix, now)
        self._state.suspects.clear(attempt)

    def _judge_target(
        self, run: Run, attempt: Attempt, fault: Fault, now: float
    ) -> None:
        """Blame the target, or the connection when it was an old one."""
        state = self._state
        if fault.reason in (Reason.SILENT, Reason.DEADLINE):
            self._dispatcher.doubt_connection(attempt)
        if fault.reason is Reason.SILENT and not attempt.fresh_connection:
            run.tried.discard(attempt.target)
            return
        if attempt.fresh_connection or fault.reason is Reason.DEADLINE:
            state.policies.times.record(run.key, now - attempt.sent_at, now)
        if fault.reason not in BLAMELESS:
            state.policies.outliers.failed(attempt.target, fault.reason, now)

    def _charge_lost(self, run: Run, attempt: Attempt, now: float) -> None:
        self._state.costs.enter_waste(
            run.request.service,
            run.request.brand,
            attempt.stage,
            CostKind.LOST,
            now - attempt.sent_at,
        )

    def _fault(self, run: Run, reason: Reason, detail: str) -> Fault:
        return Fault(reason, run.stage.name, "-", detail)


def _has_room(view: TargetView) -> bool:
    """Whether a target has a slot free for added work, by its own report."""
    load = view.announcement.load
    return load.running + load.waiting < load.slots
