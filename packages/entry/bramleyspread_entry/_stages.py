"""Runs the stages of requests: attempts and their outcomes, retries and hedges."""

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
from bramleyspread_entry._completion import RequestCompletion
from bramleyspread_entry._delivery import Delivery
from bramleyspread_entry._dispatch import Dispatcher
from bramleyspread_entry._pipeline import PipelineRun
from bramleyspread_entry._state import EntryState, TimerKind

#: Fraction of the remaining stages' typical latency that must be left before the
#: deadline for a stage to be started.
MIN_TIME_FRACTION = 0.5
#: Reasons of failures that outlier detection does not count against the target.
REASONS_WITHOUT_PENALTY = frozenset({Reason.REFUSED, Reason.CANCELLED, Reason.DEADLINE})


class StageRunner:
    """Runs requests through their stages, driven by the outcomes of their attempts."""

    __slots__ = ("_completion", "_delivery", "_dispatcher", "_state")

    def __init__(
        self,
        state: EntryState,
        dispatcher: Dispatcher,
        completion: RequestCompletion,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._completion = completion
        self._delivery = Delivery(state)

    def start_stage(self, run: PipelineRun, now: float) -> None:
        """Dispatch an attempt at a request's current stage, or wait for a target.

        :param run: the request.
        :param now: monotonic seconds.
        """
        if not run.may_have_side_effect and not self._can_finish(run, now):
            detail = "the time left does not cover the stages left"
            self._completion.give_up(
                run, self._make_fault(run, Reason.DEADLINE, detail), now
            )
            return
        if self._is_quarantined(run, now):
            detail = "targets crash under requests like this one"
            self._completion.give_up(
                run, self._make_fault(run, Reason.QUARANTINED, detail), now
            )
            return
        view = self._dispatcher.choose_target(run, now)
        if view is None:
            self._schedule_target_retry(run, now)
            return
        kind = AttemptKind.FIRST if run.stage_attempts == 0 else AttemptKind.RETRY
        if kind is AttemptKind.FIRST:
            self._state.policies.retry_budget.record_first_attempt()
        self._dispatcher.send(run, kind, view, now)
        self._schedule_hedge(run, now)

    def handle_token(
        self, run: PipelineRun, attempt: Attempt, token: StreamToken, now: float
    ) -> None:
        """Handle a token of a streaming attempt.

        :param run: the request.
        :param attempt: the attempt; it must be in flight.
        :param token: the token.
        :param now: monotonic seconds.
        """
        if not self._delivery.deliver_token(run, attempt, token):
            fault = Fault(
                Reason.PROTOCOL, attempt.stage, attempt.target, "a token is missing"
            )
            self._dispatcher.cancel(run, attempt, now)
            self._state.policies.outlier_detection.record_failure(
                attempt.target, fault.reason, now
            )
            self._continue_after_failure(run, attempt, fault, now)
        elif run.streaming_attempt == attempt.id and len(run.live_attempts) > 1:
            self._cancel_other_attempts(run, attempt, now)

    def handle_attempt_end(
        self, run: PipelineRun, attempt: Attempt, outcome: Outcome, now: float
    ) -> None:
        """Handle the end of an attempt.

        :param run: the request.
        :param attempt: the attempt; it must be in flight.
        :param outcome: how the attempt ended.
        :param now: monotonic seconds.
        """
        if isinstance(outcome, Done):
            fault = self._delivery.find_fault(run, attempt, outcome.answer)
            if fault is None:
                self._complete_stage(run, attempt, outcome, now)
                return
            outcome = Unknown(fault)
        is_side_effect_attempt = run.side_effect_attempt == attempt.id
        self._dispatcher.close(run, attempt, now)
        self._state.report(
            "attempt-ended", run, attempt.target, f"{attempt.id} {outcome.fault}"
        )
        self._record_failure(run, attempt, outcome.fault, now)
        if isinstance(outcome, NotRun):
            run.side_effect_positions.discard(attempt.position)
            self._continue_after_failure(
                run, attempt, outcome.fault, now, outcome.retry_after_ms
            )
            return
        run.may_have_run = True
        self._record_lost_cost(run, attempt, now)
        if is_side_effect_attempt:
            run.side_effect_unknown = True
            self._completion.give_up(run, outcome.fault, now)
        else:
            self._continue_after_failure(run, attempt, outcome.fault, now)

    def hedge(self, run: PipelineRun, attempt: Attempt, now: float) -> None:
        """Send a hedge of a late attempt to an untried target.

        It is tried again later when the chosen target has no free slot or the retry
        budget is used up.

        :param run: the request.
        :param attempt: the late attempt; it must be in flight.
        :param now: monotonic seconds.
        """
        is_only_attempt = len(run.live_attempts) == 1 and run.streaming_attempt is None
        if (
            run.answered
            or not is_only_attempt
            or run.stage_attempts >= self._state.config.max_stage_attempts
            or self._is_quarantined(run, now)
        ):
            return
        view = self._dispatcher.choose_target(run, now)
        if view is None or view.announcement.target in run.tried_targets:
            return
        if _has_free_slot(view) and self._state.policies.retry_budget.try_acquire():
            self._dispatcher.send(run, AttemptKind.HEDGE, view, now)
        else:
            due = now + self._state.config.hedge_retry_s
            self._state.timers.set((TimerKind.HEDGE, attempt.id), due)

    def _complete_stage(
        self, run: PipelineRun, attempt: Attempt, done: Done, now: float
    ) -> None:
        state, answer = self._state, done.answer
        is_side_effect_attempt = run.side_effect_attempt == attempt.id
        self._dispatcher.close(run, attempt, now)
        self._cancel_other_attempts(run, attempt, now)
        run.may_have_run = True
        run.side_effect_done = run.side_effect_done or is_side_effect_attempt
        state.costs.record_answer(
            run.request.service,
            run.request.brand,
            attempt.stage,
            attempt.kind,
            answer.usage,
        )
        policies = state.policies
        policies.stage_times.record_processing_time(
            run.latency_key, answer.usage.target_us / 1_000_000
        )
        self._record_success(run, attempt, now)
        state.report("attempt-ended", run, attempt.target, f"{attempt.id} done")
        if run.is_last:
            self._completion.complete(run, answer.output, now)
        elif run.answered:
            fault = self._make_fault(run, Reason.DEADLINE, "done after the answer")
            self._completion.give_up(run, fault, now)
        else:
            state.policies.occupancy.remove_request((run.pool,))
            run.advance(answer.output)
            self.start_stage(run, now)

    def _continue_after_failure(
        self,
        run: PipelineRun,
        attempt: Attempt,
        fault: Fault,
        now: float,
        retry_after_ms: int = 0,
    ) -> None:
        """Retry, wait for a target or give up after an attempt without an answer.

        Nothing is done while another attempt is in flight. When the request was
        answered before its attempt with a side effect ended, only its claim is left
        to settle.
        """
        if run.live_attempts and not run.answered:
            return
        if run.answered:
            self._completion.give_up(run, fault, now)
            return
        config, policies = self._state.config, self._state.policies
        typical = policies.stage_times.typical_latency(run.latency_key, now) or 0.0
        if (
            run.stage_attempts >= config.max_stage_attempts
            or now + typical >= run.deadline
        ):
            self._completion.give_up(run, fault, now, retry_after_ms)
        elif not policies.retry_budget.try_acquire():
            self._state.event_counts["retry-denied"] += 1
            detail = f"no retry left in the budget after: {fault}"
            denied = Fault(Reason.RETRY_BUDGET, fault.step, fault.peer, detail)
            self._completion.give_up(run, denied, now, retry_after_ms)
        elif self._all_targets_tried(run, now):
            self._schedule_target_retry(run, now)
        else:
            self.start_stage(run, now)

    def _schedule_target_retry(self, run: PipelineRun, now: float) -> None:
        due = now + self._state.config.target_retry_s
        self._state.timers.set((TimerKind.TARGET_RETRY, run.request.request), due)

    def _all_targets_tried(self, run: PipelineRun, now: float) -> bool:
        views = self._state.directory.list_usable(run.pool, now)
        return len(run.tried_targets) >= len(views)

    def _is_quarantined(self, run: PipelineRun, now: float) -> bool:
        """Whether targets crash under requests like this one."""
        views = self._state.directory.list_usable(run.pool, now)
        prefix = self._dispatcher.make_prefix_key(run)
        found = self._state.crashes.find_quarantine(run, prefix, views, now)
        return found is not None

    def _can_finish(self, run: PipelineRun, now: float) -> bool:
        expected = self._dispatcher.estimate_time(run, run.position, now)
        return now + MIN_TIME_FRACTION * expected < run.deadline

    def _schedule_hedge(self, run: PipelineRun, now: float) -> None:
        if not run.stage.idempotent or run.stage_attempts > 1:
            return
        policies = self._state.policies
        remaining = self._dispatcher.find_timeout(run, now)
        delay = policies.hedging.find_delay(run.latency_key, remaining, now)
        if delay is not None:
            newest = next(reversed(run.live_attempts))
            self._state.timers.set((TimerKind.HEDGE, newest), now + delay)

    def _cancel_other_attempts(
        self, run: PipelineRun, winner: Attempt, now: float
    ) -> None:
        """Cancel all attempts but one; record the targets of older ones as silent."""
        state = self._state
        for attempt in tuple(run.live_attempts.values()):
            if attempt.id == winner.id:
                continue
            self._dispatcher.cancel(run, attempt, now)
            if attempt.sent_at < winner.sent_at:
                state.policies.outlier_detection.record_failure(
                    attempt.target, Reason.SILENT, now
                )
                self._dispatcher.replace_connections(attempt)

    def _record_success(self, run: PipelineRun, attempt: Attempt, now: float) -> None:
        policies = self._state.policies
        latency = now - attempt.sent_at
        relative_latency = policies.peer_times.compare(
            run.latency_key, attempt.target, latency, now
        )
        typical = policies.stage_times.typical_latency(run.latency_key, now)
        if relative_latency is None and typical:
            relative_latency = latency / typical
        policies.outlier_detection.record_success(attempt.target, relative_latency, now)
        policies.stage_times.record(run.latency_key, latency, now)
        policies.peer_times.record(run.latency_key, attempt.target, latency, now)
        prefix = self._dispatcher.make_prefix_key(run)
        policies.target_selector.record_answer(attempt.target, prefix, now)
        self._state.crashes.record_success(run, prefix, now)
        self._state.stale_connections.clear(attempt)

    def _record_failure(
        self, run: PipelineRun, attempt: Attempt, fault: Fault, now: float
    ) -> None:
        """Record a failed attempt.

        Silence on a pooled connection doesn't count as a failure of the target, which
        may be tried again over a new connection.
        """
        state = self._state
        if fault.reason is Reason.CLOSED:
            prefix = self._dispatcher.make_prefix_key(run)
            state.crashes.record_lost(
                run, attempt.target, attempt.incarnation, prefix, now
            )
        if fault.reason in (Reason.SILENT, Reason.DEADLINE):
            self._dispatcher.replace_connections(attempt)
        if fault.reason is Reason.SILENT and not attempt.fresh_connection:
            run.tried_targets.discard(attempt.target)
            return
        if attempt.fresh_connection or fault.reason is Reason.DEADLINE:
            state.policies.stage_times.record(
                run.latency_key, now - attempt.sent_at, now
            )
        if fault.reason not in REASONS_WITHOUT_PENALTY:
            state.policies.outlier_detection.record_failure(
                attempt.target, fault.reason, now
            )

    def _record_lost_cost(self, run: PipelineRun, attempt: Attempt, now: float) -> None:
        self._state.costs.record_unanswered(
            run.request.service,
            run.request.brand,
            attempt.stage,
            CostKind.LOST,
            now - attempt.sent_at,
        )

    def _make_fault(self, run: PipelineRun, reason: Reason, detail: str) -> Fault:
        return Fault(reason, run.stage.name, "-", detail)


def _has_free_slot(view: TargetView) -> bool:
    """Whether a target's load report shows a free slot."""
    load = view.announcement.load
    return load.running + load.waiting < load.slots
