"""A simulated plain service; it reads no clock itself and records runs in a ledger."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from bramleyspread_core import Load, Payload, TargetAnswer, Usage, encode_json
from bramleyspread_standins._engine import QUEUE_FULL_RETRY_AFTER_MS
from bramleyspread_standins._ledger import LedgerWriter
from bramleyspread_standins._payload import StageRecord
from bramleyspread_standins._run import Run
from bramleyspread_standins._scheduler import RunQueue


@dataclass(frozen=True, slots=True)
class PlainCapacity:
    """The capacity and speed of a plain service."""

    #: Maximum number of calls that run concurrently.
    slots: int = 16
    #: Maximum number of calls in the queue.
    max_waiting: int = 64
    #: Mean duration of a call, in seconds.
    mean_call_s: float = 0.01


class PlainService:
    """Runs each call for a random time around the mean."""

    __slots__ = ("_capacity", "_ledger", "_queue", "_rng", "_running", "name")

    def __init__(
        self,
        name: str,
        capacity: PlainCapacity,
        ledger: LedgerWriter,
        rng: random.Random,
    ) -> None:
        #: The target's name.
        self.name = name
        self._capacity = capacity
        self._ledger = ledger
        self._rng = rng
        self._queue = RunQueue()
        self._running: list[tuple[float, Run]] = []

    def admit(self, run: Run, now: float) -> None:
        """Queue an attempt, or refuse it.

        :param run: the attempt.
        :param now: monotonic seconds.
        """
        if len(self._queue) >= self._capacity.max_waiting:
            run.refuse("too many calls wait", QUEUE_FULL_RETRY_AFTER_MS)
            return
        self._queue.add(run)
        self._start_queued(now, [])

    def cancel(self, run: Run) -> None:
        """Cancel a queued attempt; one that has started runs to its end.

        :param run: the attempt.
        """
        if run.started_at is None:
            self._queue.remove(run)
            run.refuse("cancelled before it began")

    def advance(self, now: float) -> Sequence[Run]:
        """Finish the calls that are due and start queued ones.

        :param now: monotonic seconds.
        :returns: the attempts that ended.
        """
        changed = [run for due, run in self._running if due <= now]
        self._running = [each for each in self._running if each[0] > now]
        for run in changed:
            self._finish(run, now)
        self._start_queued(now, changed)
        return changed

    def next_due(self) -> float | None:
        """Return when the next call ends; None while the service is idle."""
        return min((due for due, _ in self._running), default=None)

    def measure_load(self) -> Load:
        """Return the current load."""
        return Load(len(self._running), len(self._queue), self._capacity.slots)

    def _start_queued(self, now: float, changed: list[Run]) -> None:
        while len(self._running) < self._capacity.slots:
            run = self._queue.pop(now)
            if run is None:
                return
            if run.result is not None:
                changed.append(run)
                continue
            run.started_at = now
            self._ledger(run.make_ledger_entry(self.name))
            duration_s = self._capacity.mean_call_s * self._rng.uniform(0.5, 1.5)
            self._running.append((now + duration_s, run))

    def _finish(self, run: Run, now: float) -> None:
        call = run.call
        total_us = round((now - run.arrived_at) * 1e6)
        running_us = round((now - (run.started_at or now)) * 1e6)
        record = StageRecord(call.stage, self.name, call.brand.key, total_us)
        body = Payload(encode_json(run.payload.add_stage(record, "")))
        usage = Usage(target_us=running_us)
        run.result = TargetAnswer(call.request, call.stage, call.attempt, body, usage)
