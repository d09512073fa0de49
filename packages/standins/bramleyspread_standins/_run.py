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
from bramleyspread_standins._ledger import LedgerLine
from bramleyspread_standins._work import StageWork

#: Attempts that a book remembers at least.
KEPT_ATTEMPTS = 20_000


@dataclass(frozen=True, slots=True)
class Stopped:
    """The end of an attempt that was cancelled after it had begun."""

    #: Why, for people.
    why: str


#: How an attempt ended on its target.
RunEnd = TargetAnswer | TargetRefusal | Stopped


@dataclass(slots=True)
class Run:
    """One attempt as its target sees it; the scheduling changes it."""

    #: The call.
    call: TargetCall
    #: Its input, read.
    work: StageWork
    #: When it arrived, in monotonic seconds.
    arrived: float
    #: When it began to run; None while it waits.
    begun: float | None = None
    #: Tokens made so far, ``continue_after`` included.
    tokens: list[str] = field(default_factory=list)
    #: How it ended; None while it has not.
    end: RunEnd | None = None

    @property
    def expires(self) -> float:
        """When its request's deadline is over, in monotonic seconds."""
        return self.arrived + self.call.remaining_ms / 1_000

    def describe(self, target: str) -> LedgerLine:
        """Write its beginning down.

        :param target: the target that runs it.
        """
        call = self.call
        marker = self.work.marker
        return LedgerLine(marker, call.stage, call.attempt, call.request, target)

    def refuse(self, why: str, retry_after_ms: int = 0) -> None:
        """End the attempt as not run.

        :param why: why, for people.
        :param retry_after_ms: when to try again, in milliseconds.
        """
        self.end = TargetRefusal(self.call.attempt, why, retry_after_ms)


class AttemptBook:
    """Every attempt that a target has seen, as far back as it can matter."""

    __slots__ = ("_cancelled", "_kept", "_runs")

    def __init__(self, kept: int = KEPT_ATTEMPTS) -> None:
        self._kept = kept
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
        while len(self._runs) > self._kept:
            oldest = next(iter(self._runs))
            if self._runs[oldest].end is None:
                break
            del self._runs[oldest]

    def cancel_unseen(self, attempt: AttemptId) -> None:
        """Remember a cancel that overtook its call.

        :param attempt: the attempt.
        """
        self._cancelled[attempt] = None
        if len(self._cancelled) > self._kept:
            self._cancelled.popitem(last=False)

    def was_cancelled(self, attempt: AttemptId) -> bool:
        """Whether a cancel came before the call.

        :param attempt: the attempt.
        """
        return attempt in self._cancelled
