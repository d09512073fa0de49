"""The scheduler interface of a target, and the queue that schedulers share."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import Protocol

from bramleyspread_core import Load
from bramleyspread_standins._run import Run


class Scheduler(Protocol):
    """Decides when attempts run; it neither reads a clock nor blocks."""

    def admit(self, run: Run, now: float) -> None:
        """Queue an attempt, or refuse it."""

    def cancel(self, run: Run) -> None:
        """Cancel an attempt that has not ended."""

    def advance(self, now: float) -> Sequence[Run]:
        """Process what is due until now; returns the attempts that changed."""

    def next_due(self) -> float | None:
        """Return when to call ``advance`` next, in monotonic seconds; None if idle."""

    def measure_load(self) -> Load:
        """Return the current load."""


class RunQueue:
    """Attempts waiting for a slot, ordered by priority and then by arrival."""

    __slots__ = ("_heap", "_next_number")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Run]] = []
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, run: Run) -> None:
        """Add an attempt.

        :param run: the attempt.
        """
        self._next_number += 1
        heapq.heappush(self._heap, (run.call.priority, self._next_number, run))

    def remove(self, run: Run) -> None:
        """Remove an attempt; does nothing if it isn't queued.

        :param run: the attempt.
        """
        self._heap = [each for each in self._heap if each[2] is not run]
        heapq.heapify(self._heap)

    def pop(self, now: float) -> Run | None:
        """Remove and return the next attempt to run.

        :param now: monotonic seconds.
        :returns: the attempt, refused if its deadline has expired; None if empty.
        """
        if not self._heap:
            return None
        run = heapq.heappop(self._heap)[2]
        if run.expires_at <= now:
            run.refuse("its deadline ran out while it waited")
        return run
