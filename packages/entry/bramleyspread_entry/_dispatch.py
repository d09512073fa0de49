"""Dispatches attempts to targets, and ends or cancels them."""

from __future__ import annotations

import xxhash

from bramleyspread_core import (
    LEAVING_LEFT_ALONE,
    RUN_AT_MOST_ONCE,
    AttemptId,
    CancelAttempt,
    CostKind,
    Dispatch,
    DropConnections,
    TargetCall,
    TargetState,
    TargetView,
)
from bramleyspread_entry._attempts import Attempt, AttemptKind
from bramleyspread_entry._choice import TargetRequirements, find_model_version
from bramleyspread_entry._ids import make_attempt_id
from bramleyspread_entry._pipeline import PipelineRun
from bramleyspread_entry._state import EntryState, TimerKind

#: Processing time of a stage from which each attempt at it opens a new connection:
#: opening one takes little time in comparison, and a pooled connection may be stale.
FRESH_CONNECTION_PROCESSING_S = 0.25
#: Fraction of the later stages' typical latencies that an attempt's timeout reserves.
RESERVED_FRACTION = 0.5


class Dispatcher:
    """Dispatches attempts and tracks which are in flight."""

    __slots__ = ("_state",)

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def choose_target(self, run: PipelineRun, now: float) -> TargetView | None:
        """Choose a target for a request's current stage.

        Only the first attempt at a stage prefers targets that may have its prefix
        cached; later ones are sent where they are most likely to be answered.

        :param run: the request.
        :param now: monotonic seconds.
        :returns: the target, or None when none is usable.
        """
        views = self._state.directory.list_usable(run.pool, now)
        prefix = "" if run.tried_targets else self.make_prefix_key(run)
        requirements = TargetRequirements(
            run.pool, run.stage, prefix, run.tried_targets, run.stream_version
        )
        return self._state.policies.target_selector.select(requirements, views, now)

    def send(
        self, run: PipelineRun, kind: AttemptKind, view: TargetView, now: float
    ) -> None:
        """Dispatch an attempt at a request's current stage.

        :param run: the request.
        :param kind: why the attempt is made.
        :param view: the target.
        :param now: monotonic seconds.
        """
        state, stage = self._state, run.stage
        self._check_contracts(run, view)
        run.total_attempts += 1
        run.stage_attempts += 1
        announcement = view.announcement
        target = announcement.target
        fresh_connection = (
            kind is not AttemptKind.FIRST
            or not stage.idempotent
            or state.stale_connections.needs_fresh_connection(target)
            or (state.policies.stage_times.processing_time(run.latency_key) or 0.0)
            >= FRESH_CONNECTION_PROCESSING_S
        )
        attempt = Attempt(
            id=make_attempt_id(run.request.request, run.total_attempts),
            request=run.request.request,
            position=run.position,
            stage=stage.name,
            kind=kind,
            target=target,
            incarnation=announcement.incarnation,
            address=announcement.address,
            sent_at=now,
            fresh_connection=fresh_connection,
            model_version=find_model_version(view, stage),
        )
        timeout = self.find_timeout(run, now)
        run.live_attempts[attempt.id] = attempt
        run.tried_targets.add(target)
        if not stage.idempotent:
            run.side_effect_attempt = attempt.id
            run.side_effect_positions.add(run.position)
            timeout = run.deadline - now + state.config.side_effect_grace_s
        state.attempts.add(attempt)
        state.policies.target_selector.record_sent(target, now)
        state.policies.outlier_detection.record_sent(target, now)
        due = now + timeout + state.config.report_grace_s
        state.timers.set((TimerKind.ATTEMPT_TIMEOUT, attempt.id), due)
        state.event_counts[f"attempt-{kind.value}"] += 1
        state.report("attempt-sent", run, target, f"{attempt.id} {kind.value}")
        state.emit(
            Dispatch(
                target=target,
                incarnation=announcement.incarnation,
                address=announcement.address,
                call=self._make_call(run, attempt.id, now),
                timeout_s=timeout,
                progress_timeout_s=self._find_progress_timeout(run, timeout),
                fresh_connection=fresh_connection,
            )
        )

    def find_timeout(self, run: PipelineRun, now: float) -> float:
        """Find the timeout of an attempt, which reserves time for the later stages.

        :param run: the request.
        :param now: monotonic seconds.
        :returns: seconds; at least 0.001.
        """
        remaining = run.deadline - now
        reserved = RESERVED_FRACTION * self.estimate_time(run, run.position + 1, now)
        budget = remaining - reserved if reserved < remaining else remaining
        if run.stage.attempt_ms is not None:
            budget = min(budget, run.stage.attempt_ms / 1_000)
        return max(0.001, budget)

    def estimate_time(self, run: PipelineRun, position: int, now: float) -> float:
        """Estimate the time that a request's stages take from a position on.

        :param run: the request.
        :param position: position of the first stage that counts.
        :param now: monotonic seconds.
        :returns: seconds; stages of unknown latency count as 0.
        """
        times = self._state.policies.stage_times
        return sum(
            times.typical_latency(key, now) or 0.0
            for key in run.latency_keys[position:]
        )

    def close(self, run: PipelineRun, attempt: Attempt, now: float) -> None:
        """Stop tracking an attempt; later tokens and outcomes of it are dropped.

        :param run: the request.
        :param attempt: the attempt; it must be in flight.
        :param now: monotonic seconds.
        """
        state = self._state
        run.live_attempts.pop(attempt.id, None)
        if run.streaming_attempt == attempt.id:
            run.streaming_attempt = None
        if run.side_effect_attempt == attempt.id:
            run.side_effect_attempt = None
        state.attempts.end(attempt.id)
        state.timers.cancel((TimerKind.HEDGE, attempt.id))
        state.timers.cancel((TimerKind.ATTEMPT_TIMEOUT, attempt.id))
        state.policies.target_selector.record_end(attempt.target, now)

    def cancel(self, run: PipelineRun, attempt: Attempt, now: float) -> None:
        """Cancel an attempt whose answer is no longer needed, and record its cost.

        :param run: the request.
        :param attempt: the attempt; it must be in flight.
        :param now: monotonic seconds.
        """
        self.close(run, attempt, now)
        run.may_have_run = True
        self._state.costs.record_unanswered(
            run.request.service,
            run.request.brand,
            attempt.stage,
            CostKind.CANCELLED,
            now - attempt.sent_at,
        )
        self._state.event_counts["attempt-cancelled"] += 1
        self._state.emit(CancelAttempt(attempt.id, attempt.target, attempt.address))

    def replace_connections(self, attempt: Attempt) -> None:
        """Drop the pooled connections to the target of an attempt without an answer.

        The next attempts at the target open new connections.

        :param attempt: the attempt; nothing is done if its connection was new.
        """
        if not attempt.fresh_connection:
            self._state.stale_connections.mark(attempt.target)
            self._state.emit(DropConnections(attempt.address, attempt.id))

    def _check_contracts(self, run: PipelineRun, view: TargetView) -> None:
        watch, subject = self._state.watch, run.request.request
        serving = view.announcement.state is TargetState.SERVING
        target = view.announcement.target
        watch.check(
            LEAVING_LEFT_ALONE,
            serving,
            target,
            f"target is not serving but was chosen for request {subject}",
        )
        if not run.stage.idempotent:
            first_run = run.position not in run.side_effect_positions
            watch.check(
                RUN_AT_MOST_ONCE,
                first_run,
                subject,
                f"non-idempotent stage dispatched again, to target {target}",
            )

    def _make_call(
        self, run: PipelineRun, attempt: AttemptId, now: float
    ) -> TargetCall:
        request, stage = run.request, run.stage
        return TargetCall(
            request=request.request,
            stage=stage.name,
            attempt=attempt,
            brand=request.brand,
            priority=request.priority,
            remaining_ms=max(1, round(1_000 * (run.deadline - now))),
            input=run.input,
            model=stage.model or "",
            adapter=stage.adapter or "",
            prefix=self.make_prefix_key(run),
            stream=run.is_streaming,
            continue_after=tuple(run.tokens) if run.is_streaming else (),
            max_tokens=stage.max_tokens if stage.model else 0,
        )

    def make_prefix_key(self, run: PipelineRun) -> str:
        """Make the prefix key of a generation call; it begins with the brand's key.

        :param run: the request.
        :returns: the prefix key; empty for stages without a model.
        """
        stage = run.stage
        if stage.model is None:
            return ""
        start = bytes(memoryview(run.input)[: self._state.config.prefix_bytes])
        digest = xxhash.xxh3_64_hexdigest(start)
        owner = f"{run.request.brand.key}/{run.request.service}"
        return f"{owner}/{stage.model}/{stage.adapter or ''}/{digest}"

    def _find_progress_timeout(self, run: PipelineRun, timeout: float) -> float:
        """Find how long a connection may be without a byte, in seconds.

        No byte is received while a target works on an answer that isn't streamed, so
        such an attempt looks the same as one on a silent connection. Ending it early
        would lose its place in the target's queue; a hedge over a new connection
        answers the request when the connection is silent.
        """
        return (
            min(timeout, self._state.config.stream_idle_timeout_s)
            if run.is_streaming
            else timeout
        )
