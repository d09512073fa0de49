"""Attempts on a target, and the history that prevents running one a second time."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from bramleyspread_core import (
    AttemptId,
    TargetAnswer,
    TargetCall,
    TargetRefusal,
)
from bramleyspread_standins._ledger import LedgerEntry
from bramleyspread_standins._payload import StagePayload

#: Number of attempts that a history keeps before it removes ended ones.
ATTEMPT_HISTORY_SIZE = 20_000


@dataclass(frozen=True, slots=True)
class CancelledRun:
    """The result of an attempt that was cancelled after it had started."""

    #: The reason, for operators.
    reason: str


#: The result of an attempt on its target.
RunResult = TargetAnswer | TargetRefusal | CancelledRun


@dataclass(slots=True)
class Run:
    """One attempt on its target; updated by the scheduler."""

    call: TargetCall
    #: The decoded input.
    payload: StagePayload
    #: When it arrived, in monotonic seconds.
    arrived_at: float
    #: When it started, in monotonic seconds; None while it is queued.
    started_at: float | None = None
    #: Tokens generated so far, including those in ``continue_after``.
    tokens: list[str] = field(default_factory=list)
    #: The result; None until the attempt ends.
    result: RunResult | None = None

    @property
    def expires_at(self) -> float:
        """The deadline of the request, in monotonic seconds."""
        return self.arrived_at + self.call.remaining_ms / 1_000

    def make_ledger_entry(self, target: str) -> LedgerEntry:
        """Make the ledger entry that records the start of the attempt.

        :param target: the target that runs it.
        """
        call = self.call
        marker = self.payload.marker
        return LedgerEntry(marker, call.stage, call.attempt, call.request, target)

    def refuse(self, reason: str, retry_after_ms: int = 0) -> None:
        """End the attempt as refused, without running it.

        :param reason: the reason, for operators.
        :param retry_after_ms: when to retry, in milliseconds.
        """
        self.result = TargetRefusal(self.call.attempt, reason, retry_after_ms)


class AttemptHistory:
    """The latest attempts that a target received, and the latest early cancellations.

    An early cancellation arrives before the call of its attempt.
    """

    __slots__ = ("_capacity", "_early_cancels", "_runs")

    def __init__(self, capacity: int = ATTEMPT_HISTORY_SIZE) -> None:
        self._capacity = capacity
        self._runs: OrderedDict[AttemptId, Run] = OrderedDict()
        self._early_cancels: OrderedDict[AttemptId, None] = OrderedDict()

    def find(self, attempt: AttemptId) -> Run | None:
        """Look up an attempt that was received before.

        :param attempt: the attempt's id.
        :returns: the attempt, ended or not; None if it is unknown.
        """
        return self._runs.get(attempt)

    def add(self, run: Run) -> None:
        """Add an attempt; if the history is full, remove the oldest ended ones.

        :param run: the attempt.
        """
        self._runs[run.call.attempt] = run
        while len(self._runs) > self._capacity:
            oldest = next(iter(self._runs))
            if self._runs[oldest].result is None:
                break
            del self._runs[oldest]

    def record_early_cancel(self, attempt: AttemptId) -> None:
        """Record a cancellation that arrived before the call of its attempt.

        :param attempt: the attempt's id.
        """
        self._early_cancels[attempt] = None
        if len(self._early_cancels) > self._capacity:
            self._early_cancels.popitem(last=False)

    def was_cancelled_early(self, attempt: AttemptId) -> bool:
        """Return whether a cancellation arrived before the call of its attempt.

        :param attempt: the attempt's id.
        """
        return attempt in self._early_cancels
