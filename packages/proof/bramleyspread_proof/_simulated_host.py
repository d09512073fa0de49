"""A simulated entry host of the experiment, around the real decisions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from bramleyspread_core import (
    Answer,
    AttemptId,
    CallerRequest,
    CancelAttempt,
    Claimed,
    Dispatch,
    Done,
    DropConnections,
    Effect,
    Fault,
    NotRun,
    Outcome,
    Reason,
    RequestId,
    SendAnswer,
    SendClaim,
    SendSettlement,
    Settled,
    TargetAnswer,
    TargetName,
    Unknown,
    Usage,
)
from bramleyspread_entry import EntryDecisions, IdSource
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._fleet import Fleet
from bramleyspread_proof._queueing_target import Job, QueueingTarget

#: Response time of the control hosts to a claim or settlement, in seconds.
CONTROL_DELAY_S = 0.005
#: Timeout of a connection attempt, in seconds.
CONNECT_TIMEOUT_S = 0.3


class SimulatedHost:
    """Applies the effects of the entry decisions to the simulated fleet."""

    def __init__(
        self,
        name: str,
        zone: str,
        decisions: EntryDecisions,
        fleet: Fleet,
        scheduler: Scheduler,
        on_answer: Callable[[RequestId, Answer], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.decisions = decisions
        self.ids = IdSource(name, 1)
        #: Total number of dispatches.
        self.dispatch_count = 0
        self._fleet = fleet
        self._scheduler = scheduler
        self._on_answer = on_answer
        self._in_flight: dict[AttemptId, Dispatch] = {}
        self._pooled_targets: set[TargetName] = set()
        self._silent_targets: set[TargetName] = set()
        self._next_tick_at = float("inf")

    def handle_request(self, request: CallerRequest) -> None:
        """Handle a request from a caller."""
        self._apply(self.decisions.handle_request(request, self._scheduler.now))

    def silence(self, rng: Random, share: float) -> None:
        """Make a random share of the pooled connections silent until dropped."""
        self._silent_targets = {
            name for name in sorted(self._pooled_targets) if rng.random() < share
        }

    def _apply(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Dispatch):
                self._dispatch(effect)
            elif isinstance(effect, SendAnswer):
                self._on_answer(effect.request, effect.answer)
            elif isinstance(effect, CancelAttempt):
                self._cancel_attempt(effect.attempt)
            elif isinstance(effect, DropConnections):
                self._drop_connections(effect)
            elif isinstance(effect, SendClaim):
                self._claim(effect.request)
            elif isinstance(effect, SendSettlement):
                self._settle(effect.request)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        due = self.decisions.next_due()
        if due is not None and due < self._next_tick_at:
            self._next_tick_at = due
            self._scheduler.call_at(due, self._tick)

    def _tick(self) -> None:
        if self._scheduler.now < self._next_tick_at:
            return
        self._next_tick_at = float("inf")
        self._apply(self.decisions.tick(self._scheduler.now))

    def _claim(self, request: RequestId) -> None:
        self._scheduler.call_later(
            CONTROL_DELAY_S,
            lambda: self._apply(
                self.decisions.handle_claim_result(
                    request, Claimed(), self._scheduler.now
                )
            ),
        )

    def _settle(self, request: RequestId) -> None:
        self._scheduler.call_later(
            CONTROL_DELAY_S,
            lambda: self._apply(
                self.decisions.handle_settlement_result(
                    request, Settled(), self._scheduler.now
                )
            ),
        )

    def _dispatch(self, dispatch: Dispatch) -> None:
        self.dispatch_count += 1
        attempt = dispatch.call.attempt
        target = self._fleet.targets[dispatch.target]
        pooled = (
            dispatch.target in self._pooled_targets and not dispatch.fresh_connection
        )
        self._in_flight[attempt] = dispatch
        timeout = min(dispatch.timeout_s, dispatch.progress_timeout_s)
        if self._fleet.is_cut(self.zone, target.zone):
            if not pooled:
                timeout = min(timeout, CONNECT_TIMEOUT_S)
            self._scheduler.call_later(timeout, lambda: self._time_out(attempt, pooled))
            return
        self._scheduler.call_later(timeout, lambda: self._time_out(attempt, True))
        if pooled and dispatch.target in self._silent_targets:
            return
        self._pooled_targets.add(dispatch.target)
        delay = self._fleet.find_delay(self.zone, target.zone)
        self._scheduler.call_later(delay, lambda: self._submit(target, dispatch))

    def _submit(self, target: QueueingTarget, dispatch: Dispatch) -> None:
        attempt = dispatch.call.attempt
        if attempt not in self._in_flight:
            return
        if not target.alive:
            fault = Fault(Reason.CONNECT, dispatch.call.stage, target.name)
            self._end_attempt(attempt, NotRun(fault))
            return

        def on_done(usage: Usage) -> None:
            call = dispatch.call
            answer = TargetAnswer(
                call.request, call.stage, call.attempt, call.input, usage
            )
            self._send_outcome(target, attempt, Done(answer))

        def on_died() -> None:
            fault = Fault(Reason.CLOSED, dispatch.call.stage, target.name)
            self._send_outcome(target, attempt, Unknown(fault))

        target.submit(Job(dispatch.call, on_done, on_died, -1))

    def _send_outcome(
        self, target: QueueingTarget, attempt: AttemptId, outcome: Outcome
    ) -> None:
        if self._fleet.is_cut(self.zone, target.zone):
            return
        delay = self._fleet.find_delay(self.zone, target.zone)
        self._scheduler.call_later(delay, lambda: self._end_attempt(attempt, outcome))

    def _end_attempt(self, attempt: AttemptId, outcome: Outcome) -> None:
        if self._in_flight.pop(attempt, None) is not None:
            now = self._scheduler.now
            self._apply(self.decisions.handle_attempt_end(attempt, outcome, now))

    def _time_out(self, attempt: AttemptId, sent: bool) -> None:
        dispatch = self._in_flight.get(attempt)
        if dispatch is None:
            return
        self._cancel_attempt(attempt)
        silent = dispatch.progress_timeout_s < dispatch.timeout_s
        reason = Reason.SILENT if silent else Reason.DEADLINE
        fault = Fault(reason, dispatch.call.stage, dispatch.target)
        unsent = Fault(Reason.CONNECT, dispatch.call.stage, dispatch.target)
        outcome: Outcome = Unknown(fault) if sent else NotRun(unsent)
        now = self._scheduler.now
        self._apply(self.decisions.handle_attempt_end(attempt, outcome, now))

    def _cancel_attempt(self, attempt: AttemptId) -> None:
        dispatch = self._in_flight.pop(attempt, None)
        if dispatch is None:
            return
        target = self._fleet.targets[dispatch.target]
        if not self._fleet.is_cut(self.zone, target.zone):
            delay = self._fleet.find_delay(self.zone, target.zone)
            self._scheduler.call_later(delay, lambda: target.cancel(attempt))

    def _drop_connections(self, effect: DropConnections) -> None:
        self._silent_targets.discard(self._fleet.names_by_address[effect.address])
