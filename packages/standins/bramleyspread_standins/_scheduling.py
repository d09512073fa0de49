"""How a target runs its attempts; engines and plain services differ in it."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import Protocol

from bramleyspread_core import Load
from bramleyspread_standins._run import Run


class Scheduler(Protocol):
    """Decides which attempts run when; it reads no clock and waits for nothing."""

    def admit(self, run: Run, now: float) -> None:
        """Take an attempt, or end it as refused."""

    def cancel(self, run: Run) -> None:
        """Stop an attempt that has not ended."""

    def advance(self, now: float) -> Sequence[Run]:
        """Let time pass; returns the runs that changed."""

    def next_due(self) -> float | None:
        """When ``advance`` must be called next, in monotonic seconds."""

    def measure_load(self) -> Load:
        """Measure the load as it is now."""


class RunQueue:
    """Attempts that wait for a slot, the most urgent and then the oldest first."""

    __slots__ = ("_heap", "_next_number")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Run]] = []
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, run: Run) -> None:
        """Add an attempt.

        :param run: the attempt's run.
        """
        self._next_number += 1
        heapq.heappush(self._heap, (run.call.priority, self._next_number, run))

    def remove(self, run: Run) -> None:
        """Remove an attempt; harmless when it does not wait.

        :param run: the attempt's run.
        """
        self._heap = [each for each in self._heap if each[2] is not run]
        heapq.heapify(self._heap)

    def pop(self, now: float) -> Run | None:
        """Take the next attempt to run.

        :param now: monotonic seconds.
        :returns: the attempt; one that has expired is ended as refused.
        """
        if not self._heap:
            return None
        run = heapq.heappop(self._heap)[2]
        if run.expires_at <= now:
            run.refuse("its deadline ran out while it waited")
        return run
