"""State shared by the components that handle an entry host's requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import Enum

from bramleyspread_core import (
    AttemptId,
    ContractWatch,
    Directory,
    Effect,
    RecordEvent,
    RequestId,
    UnstampedEvent,
)
from bramleyspread_entry._attempts import AttemptTable
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._costs import CostLedger
from bramleyspread_entry._crash_watch import CrashWatch
from bramleyspread_entry._pipeline import ClaimState, PipelineRun
from bramleyspread_entry._policies import Policies
from bramleyspread_entry._stale_connections import StaleConnections
from bramleyspread_entry._timers import Timers


class TimerKind(Enum):
    """Purpose of a timer."""

    #: Ends a request at its deadline.
    DEADLINE = "deadline"
    #: Tries again to find a target for a request that waits for one.
    TARGET_RETRY = "target-retry"
    #: Treats a claim as undecided when the process has not reported its result.
    CLAIM_TIMEOUT = "claim"
    #: Sends an undecided settlement again.
    SETTLE_RETRY = "settle"
    #: Hedges a late attempt.
    HEDGE = "hedge"
    #: Treats an attempt as silent when the process has not reported its outcome.
    ATTEMPT_TIMEOUT = "attempt"


#: Purpose of a timer, and the request or attempt to which it belongs.
TimerKey = tuple[TimerKind, RequestId | AttemptId]


class EntryState:
    """Requests, attempts, timers and pending effects of one entry host."""

    __slots__ = (
        "_effects",
        "attempts",
        "config",
        "crashes",
        "costs",
        "directory",
        "event_counts",
        "policies",
        "runs",
        "stale_connections",
        "timers",
        "watch",
    )

    def __init__(
        self,
        config: EntryConfig,
        directory: Directory,
        watch: ContractWatch,
        policies: Policies,
    ) -> None:
        self.config = config
        #: Known targets, entry hosts and documents.
        self.directory = directory
        #: Checks the contracts and reports their breaches.
        self.watch = watch
        self.policies = policies
        #: Requests that are not answered, whose claim is not settled, or that have an
        #: attempt with a side effect in flight.
        self.runs: dict[RequestId, PipelineRun] = {}
        #: Attempts in flight.
        self.attempts = AttemptTable()
        self.timers: Timers[TimerKey] = Timers()
        #: Under which requests targets crash.
        self.crashes = CrashWatch()
        #: Costs of attempts.
        self.costs = CostLedger()
        #: Targets whose pooled connections went silent.
        self.stale_connections = StaleConnections()
        #: Number of events by kind, for metrics.
        self.event_counts: Counter[str] = Counter()
        self._effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """Add an effect for the process to carry out.

        :param effect: the effect.
        """
        self._effects.append(effect)

    def report(
        self, kind: str, run: PipelineRun, peer: str = "", detail: str = ""
    ) -> None:
        """Emit an event of a request for the timeline, and count it.

        :param kind: kind of event.
        :param run: the request.
        :param peer: the target or other peer concerned.
        :param detail: further information for operators.
        """
        self.event_counts[kind] += 1
        step = run.stage.name
        event = UnstampedEvent(kind, run.request.request, step, peer, detail)
        self._effects.append(RecordEvent(event))

    def pop_effects(self) -> Sequence[Effect]:
        """Remove and return the effects added since the last call.

        :returns: effects in the order in which they must be carried out.
        """
        effects = self._effects
        self._effects = []
        return effects

    def remove_if_finished(self, run: PipelineRun) -> None:
        """Remove a request that is answered and has nothing left to settle.

        :param run: the request.
        """
        awaits_control = run.claim_state in (ClaimState.REQUESTED, ClaimState.SETTLING)
        if run.answered and not awaits_control and run.side_effect_attempt is None:
            self.runs.pop(run.request.request, None)
