"""All decisions of an entry host about its callers' requests."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bramleyspread_core import (
    ANSWERED_ONCE,
    AnswerFailed,
    AnswerRefused,
    AnswerUnknown,
    AnswerWhole,
    AttemptId,
    CallerRequest,
    ClaimDone,
    Claimed,
    ClaimMismatch,
    ClaimRunning,
    ClaimUnknown,
    CommandResult,
    ContractWatch,
    Directory,
    Effect,
    Fault,
    Outcome,
    Pipeline,
    Reason,
    RequestId,
    SendAnswer,
    ServiceDocument,
    StreamToken,
    Undecided,
    Unknown,
)
from bramleyspread_entry._admission import Refusal
from bramleyspread_entry._claims import ClaimDesk, Ended
from bramleyspread_entry._conclusion import Conclusion
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._costs import CostReport
from bramleyspread_entry._dispatch import Dispatcher
from bramleyspread_entry._drain import Drain
from bramleyspread_entry._pipeline import ClaimState, Run
from bramleyspread_entry._policies import Policies
from bramleyspread_entry._stages import StageRunner
from bramleyspread_entry._state import EntryState, TimerKey, TimerKind

#: When a caller refused by a draining host may ask another one.
DRAIN_RETRY_MS = 100
#: When a caller refused for want of a quorum or of room may come back.
BUSY_RETRY_MS = 1_000


class EntryDecisions:
    """Takes events of callers, targets and control hosts; says what to do.

    Implements :class:`bramleyspread_core.RequestDecisions`.
    """

    __slots__ = ("_claims", "_conclusion", "_dispatcher", "_drain", "_runner", "_state")

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._dispatcher = Dispatcher(state)
        self._claims = ClaimDesk(state)
        self._conclusion = Conclusion(state, self._dispatcher, self._claims)
        self._runner = StageRunner(state, self._dispatcher, self._conclusion)
        self._drain = Drain(state.config.drain_grace)

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
        state = self._state
        known = request.request in state.runs
        state.watch.check(ANSWERED_ONCE, not known, request.request, "id used twice")
        document = state.directory.find_document(request.service)
        if document is None or document.retired:
            return self._refuse(request, f"no service {request.service!r} in force")
        pipeline = document.find_pipeline(request.pipeline)
        if pipeline is None:
            return self._refuse(request, f"no pipeline {request.pipeline!r}")
        if not document.knows_brand(request.brand.organisation, request.brand.name):
            return self._refuse(request, f"no brand {request.brand.key!r}")
        self._admit(request, document, pipeline, now)
        return state.take_effects()

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
        if found is not None:
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
            self._take_claim(run, result, now)
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
        self._drain.begin(now)
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

    def _admit(
        self,
        request: CallerRequest,
        document: ServiceDocument,
        pipeline: Pipeline,
        now: float,
    ) -> None:
        state = self._state
        run = Run(request, document, pipeline, now)
        refusal = self._judge(run, now)
        state.policies.occupancy.enter(run.pools)
        state.runs[request.request] = run
        if refusal is not None:
            state.counts[f"refused-{refusal.fault.reason.value}"] += 1
            self._conclusion.give_up(run, refusal.fault, now, refusal.retry_after_ms)
            return
        state.timers.set((TimerKind.DEADLINE, request.request), run.deadline)
        state.report("request-taken", run, request.brand.key)
        if run.needs_claim:
            self._claims.ask(run, now)
        else:
            self._runner.begin(run, now)

    def _judge(self, run: Run, now: float) -> Refusal | None:
        state = self._state
        if not self._drain.takes_requests(now):
            detail = "this host is stopping; ask another one"
            fault = Fault(Reason.DRAINING, "admission", state.config.host, detail)
            return Refusal(fault, DRAIN_RETRY_MS)
        if len(state.runs) >= state.config.max_in_flight:
            detail = f"{len(state.runs)} requests are held already"
            fault = Fault(Reason.OVERLOAD, "admission", state.config.host, detail)
            return Refusal(fault, BUSY_RETRY_MS)
        return state.policies.admission.judge(run, now)

    def _refuse(self, request: CallerRequest, detail: str) -> Sequence[Effect]:
        """Refuse what is asked of something that does not exist."""
        self._state.counts["refused-unknown-name"] += 1
        fault = Fault(Reason.UNKNOWN_NAME, "admission", self._state.config.host, detail)
        self._state.emit(SendAnswer(request.request, AnswerRefused(fault)))
        return self._state.take_effects()

    def _take_claim(self, run: Run, result: CommandResult, now: float) -> None:
        if isinstance(result, Claimed | Undecided):
            run.claim = ClaimState.HELD
        else:
            run.claim = ClaimState.NONE
        if run.answered:
            if run.claim is ClaimState.HELD:
                self._claims.settle(run, Ended.NOT_RUN, now)
            self._state.forget_if_over(run)
        elif isinstance(result, Claimed):
            self._runner.begin(run, now)
        else:
            self._answer_unclaimed(run, result, now)

    def _answer_unclaimed(self, run: Run, result: CommandResult, now: float) -> None:
        answer = self._conclusion.answer
        if isinstance(result, ClaimDone):
            answer(run, AnswerWhole(result.answer, repeated=True), now)
        elif isinstance(result, ClaimRunning):
            detail = f"request {result.request} holds the key; ask again with it"
            fault = Fault(Reason.STILL_RUNNING, "claim", "-", detail)
            answer(run, AnswerFailed(fault, result.retry_after_ms), now)
        elif isinstance(result, ClaimUnknown):
            detail = f"nobody knows how request {result.request} ended"
            answer(run, AnswerUnknown(Fault(Reason.CLOSED, "claim", "-", detail)), now)
        elif isinstance(result, ClaimMismatch):
            detail = "the key was used for other work; use a new key"
            answer(
                run, AnswerRefused(Fault(Reason.KEY_REUSED, "claim", "-", detail)), now
            )
        else:
            why = result.why if isinstance(result, Undecided) else "claim not taken"
            fault = Fault(Reason.NO_QUORUM, "claim", "-", why)
            self._conclusion.give_up(run, fault, now, BUSY_RETRY_MS)
        self._state.forget_if_over(run)

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
            self._take_claim(run, Undecided("no answer to the claim"), now)
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
