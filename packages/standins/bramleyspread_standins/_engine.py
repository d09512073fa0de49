"""A simulated model engine with continuous batching; it reads no clock itself."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bramleyspread_core import (
    Load,
    LoadedModel,
    Payload,
    TargetAnswer,
    Usage,
    encode_json,
)
from bramleyspread_standins._cache import PrefixCache, owns_prefix
from bramleyspread_standins._ledger import LedgerWriter
from bramleyspread_standins._payload import StageRecord, make_token
from bramleyspread_standins._run import CancelledRun, Run
from bramleyspread_standins._scheduler import RunQueue

#: Retry time in a refusal because of a full queue, in milliseconds.
QUEUE_FULL_RETRY_AFTER_MS = 200


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """The capacity and speed of an engine."""

    #: Maximum number of sequences in the batch.
    slots: int = 16
    #: Maximum number of sequences in the queue.
    max_waiting: int = 64
    #: Duration of one step of the batch, in seconds.
    step_s: float = 0.008
    #: Number of prompt tokens that one step processes for a sequence in prefill.
    prefill_tokens_per_step: int = 64


@dataclass(slots=True)
class _ActiveSequence:
    """A sequence in the batch."""

    #: The attempt.
    run: Run
    #: Number of prefill steps before the first token.
    prefill_steps_left: int
    #: Number of prompt tokens that were in the cache.
    cached_tokens: int


class Engine:
    """Runs a batch of sequences in steps.

    A step processes part of the prompt of each sequence in prefill, and generates
    one token for each of the others.
    """

    __slots__ = (
        "_batch",
        "_cache",
        "_capacity",
        "_ledger",
        "_next_step_at",
        "_queue",
        "models",
        "name",
    )

    def __init__(
        self,
        name: str,
        capacity: EngineCapacity,
        cache: PrefixCache,
        ledger: LedgerWriter,
    ) -> None:
        #: The target's name.
        self.name = name
        #: Models ready to serve.
        self.models: tuple[LoadedModel, ...] = ()
        self._capacity = capacity
        self._cache = cache
        self._ledger = ledger
        self._queue = RunQueue()
        self._batch: list[_ActiveSequence] = []
        self._next_step_at: float | None = None

    def admit(self, run: Run, now: float) -> None:
        """Queue an attempt, or refuse it.

        :param run: the attempt.
        :param now: monotonic seconds.
        """
        call = run.call
        if call.prefix and not owns_prefix(call.brand, call.prefix):
            run.refuse(f"prefix {call.prefix!r} must begin with {call.brand.key!r}")
        elif not self._has_model(call.model, call.adapter):
            run.refuse(f"model {call.model!r} {call.adapter!r} is not loaded")
        elif len(self._queue) >= self._capacity.max_waiting:
            run.refuse("too many attempts wait", QUEUE_FULL_RETRY_AFTER_MS)
        else:
            run.tokens = list(call.continue_after)
            self._queue.add(run)
            if self._next_step_at is None:
                self._next_step_at = now + self._capacity.step_s

    def cancel(self, run: Run) -> None:
        """Cancel an attempt; one that has not started ends as refused.

        :param run: the attempt.
        """
        if run.started_at is None:
            self._queue.remove(run)
            run.refuse("cancelled before it began")
        else:
            self._batch = [
                sequence for sequence in self._batch if sequence.run is not run
            ]
            run.result = CancelledRun("cancelled")

    def advance(self, now: float) -> Sequence[Run]:
        """Run the steps that are due.

        :param now: monotonic seconds.
        :returns: the attempts that got a token or ended.
        """
        changed: list[Run] = []
        while self._next_step_at is not None and self._next_step_at <= now:
            self._fill_batch(now, changed)
            self._run_step(now, changed)
            busy = self._batch or len(self._queue)
            self._next_step_at = (
                self._next_step_at + self._capacity.step_s if busy else None
            )
        return changed

    def next_due(self) -> float | None:
        """Return when the next step is due; None while the engine is idle."""
        return self._next_step_at

    def measure_load(self) -> Load:
        """Return the current load."""
        return Load(
            running=len(self._batch),
            waiting=len(self._queue),
            slots=self._capacity.slots,
            cache_used=self._cache.used,
        )

    def _has_model(self, model: str, adapter: str) -> bool:
        return any(
            loaded.name == model and (not adapter or adapter in loaded.adapters)
            for loaded in self.models
        )

    def _fill_batch(self, now: float, changed: list[Run]) -> None:
        while len(self._batch) < self._capacity.slots:
            run = self._queue.pop(now)
            if run is None:
                return
            if run.result is None:
                self._batch.append(self._start(run, now))
            else:
                changed.append(run)

    def _start(self, run: Run, now: float) -> _ActiveSequence:
        run.started_at = now
        self._ledger(run.make_ledger_entry(self.name))
        prompt = run.payload.prompt_tokens
        prefix = run.call.prefix
        cached = min(prompt, self._cache.find(prefix)) if prefix else 0
        if prefix:
            self._cache.store(prefix, prompt, now)
        return _ActiveSequence(
            run, -(-(prompt - cached) // self._capacity.prefill_tokens_per_step), cached
        )

    def _run_step(self, now: float, changed: list[Run]) -> None:
        still_running = []
        for sequence in self._batch:
            if sequence.prefill_steps_left > 0:
                sequence.prefill_steps_left -= 1
                still_running.append(sequence)
                continue
            changed.append(sequence.run)
            self._generate_token(sequence.run)
            if len(sequence.run.tokens) >= sequence.run.call.max_tokens:
                self._finish(sequence, now)
            else:
                still_running.append(sequence)
        self._batch = still_running

    def _generate_token(self, run: Run) -> None:
        call = run.call
        if len(run.tokens) < call.max_tokens:
            index = len(run.tokens)
            token = make_token(run.payload.marker, call.stage, call.model, index)
            run.tokens.append(token)

    def _finish(self, sequence: _ActiveSequence, now: float) -> None:
        run = sequence.run
        call = run.call
        total_us = round((now - run.arrived_at) * 1e6)
        running_us = round((now - (run.started_at or now)) * 1e6)
        record = StageRecord(call.stage, self.name, call.brand.key, total_us)
        output = run.payload.add_stage(record, "".join(run.tokens))
        usage = Usage(
            target_us=running_us,
            tokens_in=run.payload.prompt_tokens,
            tokens_cached=sequence.cached_tokens,
            tokens_out=len(run.tokens) - len(call.continue_after),
        )
        body = Payload(encode_json(output))
        run.result = TargetAnswer(call.request, call.stage, call.attempt, body, usage)
