"""A plain service in virtual time, with a ledger of what it ran."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from bramleyspread_core import Load, Payload, TargetAnswer, Usage, encode_json
from bramleyspread_standins._engine import RETRY_AFTER_MS
from bramleyspread_standins._ledger import Ledger
from bramleyspread_standins._run import Run
from bramleyspread_standins._scheduling import WaitingRuns
from bramleyspread_standins._work import TrailStep


@dataclass(frozen=True, slots=True)
class PlainSize:
    """What a plain service can do."""

    #: Calls that run side by side.
    slots: int = 16
    #: Calls that may wait.
    waiting: int = 64
    #: Mean time of a call, in seconds.
    work: float = 0.01


class PlainService:
    """A service that works on each call for a while."""

    __slots__ = ("_due", "_ledger", "_rng", "_size", "_waiting", "name")

    def __init__(
        self, name: str, size: PlainSize, ledger: Ledger, rng: random.Random
    ) -> None:
        #: The target's name.
        self.name = name
        self._size = size
        self._ledger = ledger
        self._rng = rng
        self._waiting = WaitingRuns()
        self._due: list[tuple[float, Run]] = []

    def admit(self, run: Run, now: float) -> None:
        """Take an attempt, or end it as refused.

        :param run: the attempt's run.
        :param now: monotonic seconds.
        """
        if len(self._waiting) >= self._size.waiting:
            run.refuse("too many calls wait", RETRY_AFTER_MS)
            return
        self._waiting.add(run)
        self._begin_waiting(now, [])

    def cancel(self, run: Run) -> None:
        """Stop an attempt that waits; one that runs takes its course.

        :param run: the attempt's run.
        """
        if run.begun is None:
            self._waiting.remove(run)
            run.refuse("cancelled before it began")

    def advance(self, now: float) -> Sequence[Run]:
        """End the calls that are due and begin others.

        :param now: monotonic seconds.
        :returns: the runs that ended.
        """
        changed = [run for due, run in self._due if due <= now]
        self._due = [each for each in self._due if each[0] > now]
        for run in changed:
            self._finish(run, now)
        self._begin_waiting(now, changed)
        return changed

    def next_due(self) -> float | None:
        """When the next call ends; None while the service is idle."""
        return min((due for due, _ in self._due), default=None)

    def measure_load(self) -> Load:
        """Measure the load as it is now."""
        return Load(len(self._due), len(self._waiting), self._size.slots)

    def _begin_waiting(self, now: float, changed: list[Run]) -> None:
        while len(self._due) < self._size.slots:
            run = self._waiting.take(now)
            if run is None:
                return
            if run.end is not None:
                changed.append(run)
                continue
            run.begun = now
            self._ledger(run.describe(self.name))
            took = self._size.work * self._rng.uniform(0.5, 1.5)
            self._due.append((now + took, run))

    def _finish(self, run: Run, now: float) -> None:
        call = run.call
        spent = round((now - run.arrived) * 1e6)
        worked = round((now - (run.begun or now)) * 1e6)
        step = TrailStep(call.stage, self.name, call.brand.key, spent)
        body = Payload(encode_json(run.work.add_step(step, "")))
        usage = Usage(target_us=worked)
        run.end = TargetAnswer(call.request, call.stage, call.attempt, body, usage)
