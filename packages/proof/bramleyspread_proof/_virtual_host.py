"""An entry host in virtual time: the decisions, and a fake of the process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from bramleyspread_core import (
    Answer,
    AskClaim,
    AskSettle,
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
    Settled,
    TargetAnswer,
    TargetName,
    Unknown,
    Usage,
)
from bramleyspread_entry import EntryDecisions, IdSource
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._fleet import Fleet
from bramleyspread_proof._queueing_target import Job, QueueingTarget

#: Time that the control hosts take over a claim or a settlement, in seconds.
CONTROL_TIME = 0.005
#: Time after which a new connection that nobody answers is given up, in seconds.
CONNECT_TIME = 0.3


class VirtualHost:
    """Carries out the decisions' effects against the fleet."""

    def __init__(
        self,
        name: str,
        zone: str,
        decisions: EntryDecisions,
        fleet: Fleet,
        agenda: Agenda,
        answered: Callable[[RequestId, Answer], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.decisions = decisions
        self.ids = IdSource(name, 1)
        #: Dispatches in all.
        self.dispatched = 0
        self._fleet = fleet
        self._agenda = agenda
        self._answered = answered
        self._open: dict[AttemptId, Dispatch] = {}
        self._pooled: set[TargetName] = set()
        self._silent: set[TargetName] = set()
        self._tick_at = float("inf")

    def arrive(self, request: CallerRequest) -> None:
        """Take a caller's request."""
        self._do(self.decisions.arrive(request, self._agenda.now))

    def silence(self, rng: Random, share: float) -> None:
        """Make a share of the pooled connections silent for good."""
        self._silent = {name for name in sorted(self._pooled) if rng.random() < share}

    def _do(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Dispatch):
                self._dispatch(effect)
            elif isinstance(effect, SendAnswer):
                self._answered(effect.request, effect.answer)
            elif isinstance(effect, CancelAttempt):
                self._close(effect.attempt)
            elif isinstance(effect, DropConnections):
                self._drop(effect)
            elif isinstance(effect, AskClaim):
                self._claim(effect.request)
            elif isinstance(effect, AskSettle):
                self._settle(effect.request)
        self._plan_tick()

    def _plan_tick(self) -> None:
        due = self.decisions.next_due()
        if due is not None and due < self._tick_at:
            self._tick_at = due
            self._agenda.at(due, self._tick)

    def _tick(self) -> None:
        if self._agenda.now < self._tick_at:
            return
        self._tick_at = float("inf")
        self._do(self.decisions.tick(self._agenda.now))

    def _claim(self, request: RequestId) -> None:
        self._agenda.after(
            CONTROL_TIME,
            lambda: self._do(
                self.decisions.claim_answered(request, Claimed(), self._agenda.now)
            ),
        )

    def _settle(self, request: RequestId) -> None:
        self._agenda.after(
            CONTROL_TIME,
            lambda: self._do(
                self.decisions.settle_answered(request, Settled(), self._agenda.now)
            ),
        )

    def _dispatch(self, dispatch: Dispatch) -> None:
        self.dispatched += 1
        attempt = dispatch.call.attempt
        target = self._fleet.targets[dispatch.target]
        pooled = dispatch.target in self._pooled and not dispatch.fresh_connection
        self._open[attempt] = dispatch
        patience = min(dispatch.timeout, dispatch.progress_timeout)
        if self._fleet.is_cut(self.zone, target.zone):
            if not pooled:
                patience = min(patience, CONNECT_TIME)
            self._agenda.after(patience, lambda: self._give_up(attempt, pooled))
            return
        self._agenda.after(patience, lambda: self._give_up(attempt, True))
        if pooled and dispatch.target in self._silent:
            return
        self._pooled.add(dispatch.target)
        delay = self._fleet.delay(self.zone, target.zone)
        self._agenda.after(delay, lambda: self._submit(target, dispatch))

    def _submit(self, target: QueueingTarget, dispatch: Dispatch) -> None:
        attempt = dispatch.call.attempt
        if attempt not in self._open:
            return
        if not target.alive:
            fault = Fault(Reason.CONNECT, dispatch.call.stage, target.name)
            self._end(attempt, NotRun(fault))
            return

        def done(usage: Usage) -> None:
            call = dispatch.call
            answer = TargetAnswer(
                call.request, call.stage, call.attempt, call.input, usage
            )
            self._return(target, attempt, Done(answer))

        def died() -> None:
            fault = Fault(Reason.CLOSED, dispatch.call.stage, target.name)
            self._return(target, attempt, Unknown(fault))

        target.submit(Job(dispatch.call, done, died, -1))

    def _return(
        self, target: QueueingTarget, attempt: AttemptId, outcome: Outcome
    ) -> None:
        if self._fleet.is_cut(self.zone, target.zone):
            return
        delay = self._fleet.delay(self.zone, target.zone)
        self._agenda.after(delay, lambda: self._end(attempt, outcome))

    def _end(self, attempt: AttemptId, outcome: Outcome) -> None:
        if self._open.pop(attempt, None) is not None:
            now = self._agenda.now
            self._do(self.decisions.attempt_ended(attempt, outcome, now))

    def _give_up(self, attempt: AttemptId, sent: bool) -> None:
        dispatch = self._open.get(attempt)
        if dispatch is None:
            return
        self._close(attempt)
        silent = dispatch.progress_timeout < dispatch.timeout
        reason = Reason.SILENT if silent else Reason.DEADLINE
        fault = Fault(reason, dispatch.call.stage, dispatch.target)
        unsent = Fault(Reason.CONNECT, dispatch.call.stage, dispatch.target)
        outcome: Outcome = Unknown(fault) if sent else NotRun(unsent)
        now = self._agenda.now
        self._do(self.decisions.attempt_ended(attempt, outcome, now))

    def _close(self, attempt: AttemptId) -> None:
        dispatch = self._open.pop(attempt, None)
        if dispatch is None:
            return
        target = self._fleet.targets[dispatch.target]
        if not self._fleet.is_cut(self.zone, target.zone):
            delay = self._fleet.delay(self.zone, target.zone)
            self._agenda.after(delay, lambda: target.cancel(attempt))

    def _drop(self, effect: DropConnections) -> None:
        self._silent.discard(self._fleet.names[effect.address])
