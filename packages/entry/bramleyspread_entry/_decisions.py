"""Entry point of the package: handles the events of an entry host's requests."""

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
from bramleyspread_entry._claim_results import ClaimResultHandler
from bramleyspread_entry._claims import ClaimClient
from bramleyspread_entry._completion import RequestCompletion
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._dispatch import Dispatcher
from bramleyspread_entry._intake import Intake
from bramleyspread_entry._pipeline import ClaimState
from bramleyspread_entry._policies import Policies
from bramleyspread_entry._stages import StageRunner
from bramleyspread_entry._state import EntryState, TimerKey, TimerKind


class EntryDecisions:
    """Handles events from callers, targets and control hosts, and returns effects.

    The calling process carries out the effects in their order. Implements
    :class:`bramleyspread_core.RequestDecisions`.
    """

    __slots__ = (
        "_claim_results",
        "_claims",
        "_completion",
        "_intake",
        "_runner",
        "_state",
    )

    def __init__(self, state: EntryState) -> None:
        self._state = state
        dispatcher = Dispatcher(state)
        self._claims = ClaimClient(state)
        self._completion = RequestCompletion(state, dispatcher, self._claims)
        self._runner = StageRunner(state, dispatcher, self._completion)
        self._intake = Intake(state, self._completion)
        self._claim_results = ClaimResultHandler(
            state, self._claims, self._completion, self._runner
        )

    @classmethod
    def from_config(
        cls,
        config: EntryConfig,
        directory: Directory,
        watch: ContractWatch,
        rng: Random,
    ) -> EntryDecisions:
        """Create an instance with the policies used in production.

        :param config: limits and timings.
        :param directory: targets and documents known to the host.
        :param watch: checks the contracts and reports their breaches.
        :param rng: the random source.
        :returns: an instance without any requests.
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
        """Create an instance with given policies, for comparisons.

        :param config: limits and timings.
        :param directory: targets and documents known to the host.
        :param watch: checks the contracts and reports their breaches.
        :param policies: the policies; not shared with another host.
        :returns: an instance without any requests.
        """
        return cls(EntryState(config, directory, watch, policies))

    def handle_request(self, request: CallerRequest, now: float) -> Sequence[Effect]:
        """Handle a caller's request; exactly one ``SendAnswer`` follows for it.

        :param request: the request, with an id never used before.
        :param now: monotonic seconds.
        :returns: effects to carry out.
        """
        run = self._intake.receive(request, now)
        if run is not None and run.needs_claim:
            self._claims.request_claim(run, now)
        elif run is not None:
            self._runner.start_stage(run, now)
        return self._state.pop_effects()

    def handle_caller_disconnect(
        self, request: RequestId, now: float
    ) -> Sequence[Effect]:
        """Handle the close of a caller's connection before its request was answered.

        A request whose side effect may have happened continues, so that its claim can
        be settled with the outcome; any other request ends, and its attempts are
        cancelled.

        :param request: the request.
        :param now: monotonic seconds.
        :returns: effects to carry out.
        """
        run = self._state.runs.get(request)
        if run is not None and not run.answered:
            run.caller_gone = True
            if not run.may_have_side_effect:
                fault = Fault(Reason.CALLER_GONE, run.stage.name, "caller")
                self._completion.give_up(run, fault, now)
        return self._state.pop_effects()

    def handle_token(
        self, attempt: AttemptId, token: StreamToken, now: float
    ) -> Sequence[Effect]:
        """Handle a token of a streaming attempt; late tokens are dropped and counted.

        :param attempt: the attempt on whose connection the token was received.
        :param token: the token.
        :param now: monotonic seconds.
        :returns: effects to carry out.
        """
        found = self._state.attempts.find(attempt)
        if found is None:
            self._state.event_counts["late-dropped"] += 1
        else:
            run = self._state.runs[found.request]
            self._runner.handle_token(run, found, token, now)
        return self._state.pop_effects()

    def handle_attempt_end(
        self, attempt: AttemptId, outcome: Outcome, now: float
    ) -> Sequence[Effect]:
        """Handle the end of an attempt; late and repeated ends are dropped and counted.

        :param attempt: the attempt on whose connection the outcome was received.
        :param outcome: how the attempt ended.
        :param now: monotonic seconds.
        :returns: effects to carry out.
        """
        found = self._state.attempts.find(attempt)
        if found is None:
            self._state.event_counts["late-dropped"] += 1
        else:
            run = self._state.runs[found.request]
            self._runner.handle_attempt_end(run, found, outcome, now)
        return self._state.pop_effects()

    def handle_claim_result(
        self, request: RequestId, result: CommandResult, now: float
    ) -> Sequence[Effect]:
        """Handle the control hosts' result of a claim.

        :param request: the request for which the claim was made.
        :param result: the result; ``Undecided`` when no control host answered.
        :param now: monotonic seconds.
        :returns: effects to carry out.
        """
        run = self._state.runs.get(request)
        if run is None or run.claim_state is not ClaimState.REQUESTED:
            self._state.event_counts["claim-answer-dropped"] += 1
        else:
            self._state.timers.cancel((TimerKind.CLAIM_TIMEOUT, request))
            self._claim_results.handle(run, result, now)
        return self._state.pop_effects()

    def handle_settlement_result(
        self, request: RequestId, result: CommandResult, now: float
    ) -> Sequence[Effect]:
        """Handle the control hosts' result of a settlement.

        :param request: the request whose claim is being settled.
        :param result: the result.
        :param now: monotonic seconds.
        :returns: effects to carry out.
        """
        run = self._state.runs.get(request)
        if run is not None:
            self._claims.handle_settle_result(run, result, now)
        return self._state.pop_effects()

    def tick(self, now: float) -> Sequence[Effect]:
        """Handle the timers that are due: deadlines, timeouts, hedges and retries.

        :param now: monotonic seconds.
        :returns: effects to carry out.
        """
        for key in self._state.timers.pop_due(now):
            self._handle_timer(key, now)
        return self._state.pop_effects()

    def next_due(self) -> float | None:
        """Return when ``tick`` must be called next.

        :returns: monotonic seconds, or None while no timer is set.
        """
        return self._state.timers.next_due()

    def begin_drain(self, now: float) -> Sequence[Effect]:
        """Begin to drain: refuse new requests after a grace period, complete others.

        :param now: monotonic seconds.
        :returns: effects to carry out.
        """
        self._intake.begin_drain(now)
        self._state.event_counts["drain-begun"] += 1
        return self._state.pop_effects()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight.

        A request is in flight until it is answered, its settlement is durable, and
        none of its attempts with a side effect is in flight.
        """
        return len(self._state.runs)

    def cost_report(self) -> CostReport:
        """Report the costs of attempts since the host started.

        :returns: rows that add up to the total.
        """
        return self._state.costs.report()

    def count_events(self) -> dict[str, int]:
        """Return the number of events since the host started, for metrics.

        :returns: number by kind of event.
        """
        return dict(self._state.event_counts)

    def _handle_timer(self, key: TimerKey, now: float) -> None:
        kind, owner_id = key
        if kind in (TimerKind.HEDGE, TimerKind.ATTEMPT_TIMEOUT):
            self._handle_attempt_timer(kind, AttemptId(owner_id), now)
            return
        run = self._state.runs.get(RequestId(owner_id))
        if run is None:
            return
        if kind is TimerKind.DEADLINE:
            fault = Fault(Reason.DEADLINE, run.stage.name, "-", "out of time")
            self._completion.give_up(run, fault, now)
        elif kind is TimerKind.TARGET_RETRY:
            self._runner.start_stage(run, now)
        elif kind is TimerKind.CLAIM_TIMEOUT:
            self._claim_results.handle(run, Undecided("no answer to the claim"), now)
        elif kind is TimerKind.SETTLE_RETRY:
            self._claims.resend_settlement(run)

    def _handle_attempt_timer(
        self, kind: TimerKind, attempt_id: AttemptId, now: float
    ) -> None:
        attempt = self._state.attempts.find(attempt_id)
        if attempt is None:
            return
        run = self._state.runs[attempt.request]
        if kind is TimerKind.HEDGE:
            self._runner.hedge(run, attempt, now)
        else:
            fault = Fault(Reason.SILENT, attempt.stage, attempt.target, "no end came")
            self._runner.handle_attempt_end(run, attempt, Unknown(fault), now)
