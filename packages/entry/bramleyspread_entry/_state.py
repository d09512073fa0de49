"""What the parts of an entry host's decisions share."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import Enum

from bramleyspread_core import (
    AttemptId,
    ContractWatch,
    Directory,
    Effect,
    Happening,
    Report,
    RequestId,
)
from bramleyspread_entry._attempts import AttemptTable
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._costs import CostLedger
from bramleyspread_entry._pipeline import ClaimState, Run
from bramleyspread_entry._policies import Policies
from bramleyspread_entry._silence import Suspects
from bramleyspread_entry._timers import Timers


class TimerKind(Enum):
    """What a timer is for."""

    #: A request's deadline.
    DEADLINE = "deadline"
    #: A request waits before it looks for a target again.
    PAUSE = "pause"
    #: A claim that nobody answered.
    CLAIM = "claim"
    #: A settlement to send again.
    SETTLE = "settle"
    #: An attempt that is late.
    HEDGE = "hedge"
    #: An attempt whose end was never reported.
    ATTEMPT = "attempt"


#: What a timer is for, and the request or attempt that it belongs to.
TimerKey = tuple[TimerKind, RequestId | AttemptId]


class EntryState:
    """Requests, attempts, timers and effects of one entry host."""

    __slots__ = (
        "_effects",
        "attempts",
        "config",
        "costs",
        "counts",
        "directory",
        "policies",
        "runs",
        "suspects",
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
        #: Limits and timings.
        self.config = config
        #: Targets and documents.
        self.directory = directory
        #: Where breaches are reported.
        self.watch = watch
        #: The policies decided by.
        self.policies = policies
        #: Requests not answered, or with something left to settle.
        self.runs: dict[RequestId, Run] = {}
        #: Attempts that have not ended.
        self.attempts = AttemptTable()
        #: What is due when.
        self.timers: Timers[TimerKey] = Timers()
        #: What attempts cost.
        self.costs = CostLedger()
        #: Targets whose connections went silent.
        self.suspects = Suspects()
        #: Events by kind, for metrics.
        self.counts: Counter[str] = Counter()
        self._effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """Ask the process for something.

        :param effect: what to do.
        """
        self._effects.append(effect)

    def report(self, kind: str, run: Run, peer: str = "", detail: str = "") -> None:
        """Write an event of a request to the time line, and count it.

        :param kind: what happened.
        :param run: the request.
        :param peer: the other side.
        :param detail: what a person should know besides.
        """
        self.counts[kind] += 1
        step = run.stage.name
        happening = Happening(kind, run.request.request, step, peer, detail)
        self._effects.append(Report(happening))

    def take_effects(self) -> Sequence[Effect]:
        """Hand over what was asked for since the last time.

        :returns: effects in the order in which they must happen.
        """
        effects = self._effects
        self._effects = []
        return effects

    def forget_if_over(self, run: Run) -> None:
        """Forget a request that is answered and has nothing left to settle.

        :param run: the request.
        """
        waits = run.claim in (ClaimState.ASKED, ClaimState.SETTLING)
        if run.answered and not waits and run.effect_live is None:
            self.runs.pop(run.request.request, None)
