"""All decisions of an entry host about its callers' requests."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bramleyspread_core import (
    AttemptId,
    CallerRequest,
    CommandResult,
    ContractWatch,
    CostReport,
    Directory,
    Effect,
    Fault,
    Outcome,
    Reason,
    RequestId,
    StreamToken,
    Undecided,
    Unknown,
)
from bramleyspread_entry._claim_answers import ClaimAnswers
from bramleyspread_entry._claims import ClaimDesk
from bramleyspread_entry._conclusion import Conclusion
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._dispatch import Dispatcher
from bramleyspread_entry._intake import Intake
from bramleyspread_entry._pipeline import ClaimState
from bramleyspread_entry._policies import Policies
from bramleyspread_entry._stages import StageRunner
from bramleyspread_entry._state import EntryState, TimerKey, TimerKind


class EntryDecisions:
    """Takes events of callers, targets and control hosts; says what to do.

    Implements :class:`bramleyspread_core.RequestDecisions`.
    """

    __slots__ = (
        "_claim_answers",
        "_claims",
        "_conclusion",
        "_intake",
        "_runner",
        "_state",
    )

    def __init__(self, state: EntryState) -> None:
        self._state = state
        dispatcher = Dispatcher(state)
        self._claims = ClaimDesk(state)
        self._conclusion = Conclusion(state, dispatcher, self._claims)
        self._runner = StageRunner(state, dispatcher, self._conclusion)
        self._intake = Intake(state, self._conclusion)
        self._claim_answers = ClaimAnswers(
            state, self._claims, self._conclusion, self._runner
        )

    @classmethod
    def from_config(
        cls,
        config: EntryConfig,
        directory: Directory,
        watch: ContractWatch,
        rng: Random,
    ) -> EntryDecisions:
        """Make the decisions that the product runs with.

        :param config: limits and timings.
        :param directory: what the host knows of targets and documents.
        :param watch: where breaches of contracts are reported.
        :param rng: where chance comes from.
        :returns: decisions without any request.
        """
        policies = Policies.from_config(config, directory, rng)
        return cls.from_policies(config, directory, watch, policies)

    @classmethod
    def from_policies(
        cls,
        config: EntryConfig,
        directory: Directory,
        watch: ContractWatch,
        policies: Policies,
    ) -> EntryDecisions:
        """Make decisions with chosen policies, to compare these.

        :param config: limits and timings.
        :param directory: what the host knows of targets and documents.
        :param watch: where breaches of contracts are reported.
        :param policies: the policies, for this host alone.
        :returns: decisions without any request.
        """
        return cls(EntryState(config, directory, watch, policies))

    def arrive(self, request: CallerRequest, now: float) -> Sequence[Effect]:
        """Take a caller's request; exactly one ``SendAnswer`` follows for it.

        :param request: the request, with an id never used before.
        :param now: monotonic seconds.
        :returns: what to do.
        """
        run = self._intake.take(request, now)
        if run is not None and run.needs_claim:
            self._claims.ask(run, now)
        elif run is not None:
            self._runner.begin(run, now)
        return self._state.take_effects()

    def caller_left(self, request: RequestId, now: float) -> Sequence[Effect]:
        """The caller closed its connection before it had its answer.

        A request whose effect may have happened goes on, so that its key can be
        settled with what came of it; any other one is given up.

        :param request: the request.
        :param now: monotonic seconds.
        :returns: what to do.
        """
        run = self._state.runs.get(request)
        if run is not None and not run.answered:
            run.caller_gone = True
            if not run.has_effect:
                fault = Fault(Reason.CALLER_GONE, run.stage.name, "caller")
                self._conclusion.give_up(run, fault, now)
        return self._state.take_effects()

    def token_arrived(
        self, attempt: AttemptId, token: StreamToken, now: float
    ) -> Sequence[Effect]:
        """A streaming attempt produced a token.

        :param attempt: the attempt whose connection it came on.
        :param token: the token.
        :param now: monotonic seconds.
        :returns: what to do.
        """
        found = self._state.attempts.find(attempt)
        if found is None:
            self._state.counts["late-dropped"] += 1
        else:
            run = self._state.runs[found.request]
            self._runner.take_token(run, found, token, now)
        return self._state.take_effects()

    def attempt_ended(
        self, attempt: AttemptId, outcome: Outcome, now: float
    ) -> Sequence[Effect]:
        """An attempt ended; late and repeated ends are dropped and counted.

        :param attempt: the attempt whose connection it ended on.
        :param outcome: how.
        :param now: monotonic seconds.
        :returns: what to do.
        """
        found = self._state.attempts.find(attempt)
        if found is None:
            self._state.counts["late-dropped"] += 1
        else:
            run = self._state.runs[found.request]
            self._runner.take_end(run, found, outcome, now)
        return self._state.take_effects()

    def claim_answered(
        self, request: RequestId, result: CommandResult, now: float
    ) -> Sequence[Effect]:
        """The control hosts answered a claim.

        :param request: the request that asked.
        :param result: the answer; ``Undecided`` when none came.
        :param now: monotonic seconds.
        :returns: what to do.
        """
        run = self._state.runs.get(request)
        if run is None or run.claim is not ClaimState.ASKED:
            self._state.counts["claim-answer-dropped"] += 1
        else:
            self._state.timers.cancel((TimerKind.CLAIM, request))
            self._claim_answers.take(run, result, now)
        return self._state.take_effects()

    def settle_answered(
        self, request: RequestId, result: CommandResult, now: float
    ) -> Sequence[Effect]:
        """The control hosts answered a settlement.

        :param request: the request that settled.
        :param result: the answer.
        :param now: monotonic seconds.
        :returns: what to do.
        """
        run = self._state.runs.get(request)
        if run is not None:
            self._claims.settle_answered(run, result, now)
        return self._state.take_effects()

    def tick(self, now: float) -> Sequence[Effect]:
        """Let time pass: deadlines, hedges, waiting requests.

        :param now: monotonic seconds.
        :returns: what to do.
        """
        for key in self._state.timers.pop_due(now):
            self._fire(key, now)
        return self._state.take_effects()

    def next_due(self) -> float | None:
        """When ``tick`` must be called next.

        :returns: monotonic seconds; None for never.
        """
        return self._state.timers.next_due()

    def begin_drain(self, now: float) -> Sequence[Effect]:
        """Take no new requests once the balancer has caught up; finish the rest.

        :param now: monotonic seconds.
        :returns: what to do.
        """
        self._intake.begin_drain(now)
        self._state.counts["drain-begun"] += 1
        return self._state.take_effects()

    @property
    def in_flight(self) -> int:
        """Requests not yet answered, and settlements not yet durable."""
        return len(self._state.runs)

    def cost_report(self) -> CostReport:
        """Report what attempts cost, for whom, since the host started.

        :returns: rows that sum to the total.
        """
        return self._state.costs.report()

    def count_events(self) -> dict[str, int]:
        """Count what happened since the host started, for metrics.

        :returns: how often, by kind of event.
        """
        return dict(self._state.counts)

    def _fire(self, key: TimerKey, now: float) -> None:
        kind, name = key
        if kind in (TimerKind.HEDGE, TimerKind.ATTEMPT):
            self._fire_attempt(kind, AttemptId(name), now)
            return
        run = self._state.runs.get(RequestId(name))
        if run is None:
            return
        if kind is TimerKind.DEADLINE:
            fault = Fault(Reason.DEADLINE, run.stage.name, "-", "out of time")
            self._conclusion.give_up(run, fault, now)
        elif kind is TimerKind.PAUSE:
            self._runner.begin(run, now)
        elif kind is TimerKind.CLAIM:
            self._claim_answers.take(run, Undecided("no answer to the claim"), now)
        elif kind is TimerKind.SETTLE:
            self._claims.send_again(run)

    def _fire_attempt(self, kind: TimerKind, name: AttemptId, now: float) -> None:
        attempt = self._state.attempts.find(name)
        if attempt is None:
            return
        run = self._state.runs[attempt.request]
        if kind is TimerKind.HEDGE:
            self._runner.hedge(run, attempt, now)
        else:
            fault = Fault(Reason.SILENT, attempt.stage, attempt.target, "no end came")
            self._runner.take_end(run, attempt, Unknown(fault), now)
