"""One attempt on a target, and the book that keeps a repeat from running again."""

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
from bramleyspread_standins._work import StagePayload

#: Attempts that a book remembers at least.
MAX_REMEMBERED_ATTEMPTS = 20_000


@dataclass(frozen=True, slots=True)
class CancelledRun:
    """The end of an attempt that was cancelled after it had begun."""

    #: Why, for people.
    reason: str


#: How an attempt ended on its target.
RunResult = TargetAnswer | TargetRefusal | CancelledRun


@dataclass(slots=True)
class Run:
    """One attempt as its target sees it; the scheduling changes it."""

    #: The call.
    call: TargetCall
    #: Its input, read.
    payload: StagePayload
    #: When it arrived, in monotonic seconds.
    arrived_at: float
    #: When it began to run; None while it waits.
    started_at: float | None = None
    #: Tokens made so far, ``continue_after`` included.
    tokens: list[str] = field(default_factory=list)
    #: How it ended; None while it has not.
    result: RunResult | None = None

    @property
    def expires_at(self) -> float:
        """When its request's deadline is over, in monotonic seconds."""
        return self.arrived_at + self.call.remaining_ms / 1_000

    def make_ledger_entry(self, target: str) -> LedgerEntry:
        """Write its beginning down.

        :param target: the target that runs it.
        """
        call = self.call
        marker = self.payload.marker
        return LedgerEntry(marker, call.stage, call.attempt, call.request, target)

    def refuse(self, reason: str, retry_after_ms: int = 0) -> None:
        """End the attempt as not run.

        :param why: why, for people.
        :param retry_after_ms: when to try again, in milliseconds.
        """
        self.result = TargetRefusal(self.call.attempt, reason, retry_after_ms)


class AttemptHistory:
    """Every attempt that a target has seen, as far back as it can matter."""

    __slots__ = ("_cancelled", "_capacity", "_runs")

    def __init__(self, capacity: int = MAX_REMEMBERED_ATTEMPTS) -> None:
        self._capacity = capacity
        self._runs: OrderedDict[AttemptId, Run] = OrderedDict()
        self._cancelled: OrderedDict[AttemptId, None] = OrderedDict()

    def find(self, attempt: AttemptId) -> Run | None:
        """Find an attempt seen before.

        :param attempt: the attempt.
        :returns: its run, whether it ended or not.
        """
        return self._runs.get(attempt)

    def add(self, run: Run) -> None:
        """Remember an attempt, forgetting the oldest that ended.

        :param run: the attempt's run.
        """
        self._runs[run.call.attempt] = run
        while len(self._runs) > self._capacity:
            oldest = next(iter(self._runs))
            if self._runs[oldest].result is None:
                break
            del self._runs[oldest]

    def record_early_cancel(self, attempt: AttemptId) -> None:
        """Remember a cancel that overtook its call.

        :param attempt: the attempt.
        """
        self._cancelled[attempt] = None
        if len(self._cancelled) > self._capacity:
            self._cancelled.popitem(last=False)

    def was_cancelled(self, attempt: AttemptId) -> bool:
        """Whether a cancel came before the call.

        :param attempt: the attempt.
        """
        return attempt in self._cancelled
