"""Sending attempts, and closing their accounts."""

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
from bramleyspread_entry._choice import Need
from bramleyspread_entry._ids import name_attempt
from bramleyspread_entry._pipeline import Run
from bramleyspread_entry._state import EntryState, TimerKind

#: Work of a stage from which each attempt opens a new connection, in seconds:
#: opening costs little beside it, and a pooled connection may have gone silent.
FRESH_FROM = 0.25
#: Part of the later stages' typical latencies that an attempt must leave.
RESERVED_SHARE = 0.5


class Dispatcher:
    """Sends attempts and keeps the accounts of what is in flight."""

    __slots__ = ("_state",)

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def choose(self, run: Run, now: float) -> TargetView | None:
        """Choose a target for the stage that a request is at.

        Only the first attempt follows its prefix; a later one goes where it is
        likeliest to be answered.

        :param run: the request.
        :param now: monotonic seconds.
        :returns: the target, or None when none is usable.
        """
        views = self._state.directory.list_usable(run.pool, now)
        prefix = "" if run.tried else self.name_prefix(run)
        need = Need(run.pool, run.stage, prefix, run.tried)
        return self._state.policies.choice.choose(need, views, now)

    def send(self, run: Run, kind: AttemptKind, view: TargetView, now: float) -> None:
        """Send an attempt.

        :param run: the request.
        :param kind: why the attempt is made.
        :param view: the target.
        :param now: monotonic seconds.
        """
        state, stage = self._state, run.stage
        self._check_contracts(run, view)
        run.issued += 1
        run.tries += 1
        announcement = view.announcement
        target = announcement.target
        fresh = (
            kind is not AttemptKind.FIRST
            or not stage.idempotent
            or state.suspects.needs_fresh(target)
            or (state.policies.times.work(run.key) or 0.0) >= FRESH_FROM
        )
        attempt = Attempt(
            id=name_attempt(run.request.request, run.issued),
            request=run.request.request,
            position=run.position,
            stage=stage.name,
            kind=kind,
            target=target,
            address=announcement.address,
            sent_at=now,
            fresh_connection=fresh,
        )
        timeout = self.find_timeout(run, now)
        run.live[attempt.id] = attempt
        run.tried.add(target)
        if not stage.idempotent:
            run.effect_live = attempt.id
            run.effect_positions.add(run.position)
            timeout = run.deadline - now + state.config.effect_grace
        state.attempts.add(attempt)
        state.policies.choice.sent(target, now)
        state.policies.outliers.sent(target, now)
        due = now + timeout + state.config.report_grace
        state.timers.set((TimerKind.ATTEMPT, attempt.id), due)
        state.counts[f"attempt-{kind.value}"] += 1
        state.report("attempt-sent", run, target, f"{attempt.id} {kind.value}")
        state.emit(
            Dispatch(
                target=target,
                incarnation=announcement.incarnation,
                address=announcement.address,
                call=self._make_call(run, attempt.id, now),
                timeout=timeout,
                progress_timeout=self._allow_silence(run, timeout),
                fresh_connection=fresh,
            )
        )

    def find_timeout(self, run: Run, now: float) -> float:
        """Find how long an attempt may take, so that later stages keep their time.

        :param run: the request.
        :param now: monotonic seconds.
        :returns: seconds.
        """
        remaining = run.deadline - now
        reserved = RESERVED_SHARE * self.expect(run, run.position + 1, now)
        budget = remaining - reserved if reserved < remaining else remaining
        if run.stage.attempt_ms is not None:
            budget = min(budget, run.stage.attempt_ms / 1_000)
        return max(0.001, budget)

    def expect(self, run: Run, position: int, now: float) -> float:
        """Expect the time that a request's stages take from a position on.

        :param run: the request.
        :param position: the first stage counted.
        :param now: monotonic seconds.
        :returns: seconds; what is not known counts nothing.
        """
        times = self._state.policies.times
        return sum(times.typical(key, now) or 0.0 for key in run.keys[position:])

    def close(self, run: Run, attempt: Attempt, now: float) -> None:
        """Close an attempt's accounts; whatever still comes for it is dropped.

        :param run: the request.
        :param attempt: the attempt; it must be live.
        :param now: monotonic seconds.
        """
        state = self._state
        run.live.pop(attempt.id, None)
        if run.speaker == attempt.id:
            run.speaker = None
        if run.effect_live == attempt.id:
            run.effect_live = None
        state.attempts.end(attempt.id)
        state.timers.cancel((TimerKind.HEDGE, attempt.id))
        state.timers.cancel((TimerKind.ATTEMPT, attempt.id))
        state.policies.choice.ended(attempt.target, now)

    def cancel(self, run: Run, attempt: Attempt, now: float) -> None:
        """Stop an attempt whose answer is not wanted any more, and charge it.

        :param run: the request.
        :param attempt: the attempt; it must be live.
        :param now: monotonic seconds.
        """
        self.close(run, attempt, now)
        run.may_have_run = True
        self._state.costs.enter_waste(
            run.request.service,
            run.request.brand,
            attempt.stage,
            CostKind.CANCELLED,
            now - attempt.sent_at,
        )
        self._state.counts["attempt-cancelled"] += 1
        self._state.emit(CancelAttempt(attempt.id, attempt.target, attempt.address))

    def doubt_connection(self, attempt: Attempt) -> None:
        """Replace the connections that an attempt without an answer used.

        :param attempt: the attempt; nothing happens if its connection was new.
        """
        if not attempt.fresh_connection:
            self._state.suspects.suspect(attempt.target)
            self._state.emit(DropConnections(attempt.address, attempt.id))

    def _check_contracts(self, run: Run, view: TargetView) -> None:
        watch, subject = self._state.watch, run.request.request
        serving = view.announcement.state is TargetState.SERVING
        target = view.announcement.target
        watch.check(LEAVING_LEFT_ALONE, serving, target, f"chosen for {subject}")
        if not run.stage.idempotent:
            clear = run.position not in run.effect_positions
            watch.check(RUN_AT_MOST_ONCE, clear, subject, f"again at {target}")

    def _make_call(self, run: Run, attempt: AttemptId, now: float) -> TargetCall:
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
            prefix=self.name_prefix(run),
            stream=run.streams,
            continue_after=tuple(run.tokens) if run.streams else (),
            max_tokens=stage.max_tokens if stage.model else 0,
        )

    def name_prefix(self, run: Run) -> str:
        """Name the prefix of a generation call; it begins with the brand's key.

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

    def _allow_silence(self, run: Run, timeout: float) -> float:
        """Find how long a connection may be without a byte, in seconds.

        An answer that is not streamed comes as a whole, and waiting for it looks
        like silence; giving it up would lose its place in the target's queue. A
        hedge over a new connection finds the silent ones among such attempts.
        """
        return (
            min(timeout, self._state.config.stream_silence) if run.streams else timeout
        )
