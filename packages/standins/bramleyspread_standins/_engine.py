"""A model engine with continuous batching, in virtual time."""

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
from bramleyspread_standins._ledger import Ledger
from bramleyspread_standins._run import Run, Stopped
from bramleyspread_standins._scheduling import WaitingRuns
from bramleyspread_standins._work import TrailStep, make_token

#: When a refused attempt is worth trying again, in milliseconds.
RETRY_AFTER_MS = 200


@dataclass(frozen=True, slots=True)
class EngineSize:
    """What an engine can do."""

    #: Sequences that run side by side.
    slots: int = 16
    #: Sequences that may wait.
    waiting: int = 64
    #: Time of one step, in which each running sequence gets a token, in seconds.
    step: float = 0.008
    #: Prompt tokens read in one step.
    prefill_tokens: int = 64


@dataclass(slots=True)
class _Place:
    """A running sequence's place in the batch."""

    #: The attempt.
    run: Run
    #: Steps until its first token.
    prefill: int
    #: Prompt tokens that were in the cache.
    cached: int


class Engine:
    """An engine: a step loop in which every running sequence gets a token."""

    __slots__ = (
        "_batch",
        "_cache",
        "_ledger",
        "_next_step",
        "_size",
        "_waiting",
        "models",
        "name",
    )

    def __init__(
        self, name: str, size: EngineSize, cache: PrefixCache, ledger: Ledger
    ) -> None:
        #: The target's name.
        self.name = name
        #: Models ready to serve.
        self.models: tuple[LoadedModel, ...] = ()
        self._size = size
        self._cache = cache
        self._ledger = ledger
        self._waiting = WaitingRuns()
        self._batch: list[_Place] = []
        self._next_step: float | None = None

    def admit(self, run: Run, now: float) -> None:
        """Take an attempt, or end it as refused.

        :param run: the attempt's run.
        :param now: monotonic seconds.
        """
        call = run.call
        if call.prefix and not owns_prefix(call.brand, call.prefix):
            run.refuse(f"prefix {call.prefix!r} must begin with {call.brand.key!r}")
        elif not self._holds(call.model, call.adapter):
            run.refuse(f"model {call.model!r} {call.adapter!r} is not loaded")
        elif len(self._waiting) >= self._size.waiting:
            run.refuse("too many attempts wait", RETRY_AFTER_MS)
        else:
            run.tokens = list(call.continue_after)
            self._waiting.add(run)
            if self._next_step is None:
                self._next_step = now + self._size.step

    def cancel(self, run: Run) -> None:
        """Stop an attempt; one that had not begun ends as refused.

        :param run: the attempt's run.
        """
        if run.begun is None:
            self._waiting.remove(run)
            run.refuse("cancelled before it began")
        else:
            self._batch = [place for place in self._batch if place.run is not run]
            run.end = Stopped("cancelled")

    def advance(self, now: float) -> Sequence[Run]:
        """Make the steps that are due.

        :param now: monotonic seconds.
        :returns: the runs that got a token or ended.
        """
        changed: list[Run] = []
        while self._next_step is not None and self._next_step <= now:
            self._fill_batch(now, changed)
            self._make_step(now, changed)
            busy = self._batch or len(self._waiting)
            self._next_step = self._next_step + self._size.step if busy else None
        return changed

    def next_due(self) -> float | None:
        """When the next step is due; None while the engine is idle."""
        return self._next_step

    def measure_load(self) -> Load:
        """Measure the load as it is now."""
        return Load(
            running=len(self._batch),
            waiting=len(self._waiting),
            slots=self._size.slots,
            cache_used=self._cache.used,
        )

    def _holds(self, model: str, adapter: str) -> bool:
        return any(
            held.name == model and (not adapter or adapter in held.adapters)
            for held in self.models
        )

    def _fill_batch(self, now: float, changed: list[Run]) -> None:
        while len(self._batch) < self._size.slots:
            run = self._waiting.take(now)
            if run is None:
                return
            if run.end is None:
                self._batch.append(self._begin(run, now))
            else:
                changed.append(run)

    def _begin(self, run: Run, now: float) -> _Place:
        run.begun = now
        self._ledger(run.describe(self.name))
        prompt = run.work.prompt_tokens
        prefix = run.call.prefix
        cached = min(prompt, self._cache.find(prefix)) if prefix else 0
        if prefix:
            self._cache.store(prefix, prompt, now)
        return _Place(run, -(-(prompt - cached) // self._size.prefill_tokens), cached)

    def _make_step(self, now: float, changed: list[Run]) -> None:
        staying = []
        for place in self._batch:
            if place.prefill > 0:
                place.prefill -= 1
                staying.append(place)
                continue
            changed.append(place.run)
            self._generate(place.run)
            if len(place.run.tokens) >= place.run.call.max_tokens:
                self._finish(place, now)
            else:
                staying.append(place)
        self._batch = staying

    def _generate(self, run: Run) -> None:
        call = run.call
        if len(run.tokens) < call.max_tokens:
            index = len(run.tokens)
            token = make_token(run.work.marker, call.stage, call.model, index)
            run.tokens.append(token)

    def _finish(self, place: _Place, now: float) -> None:
        run = place.run
        call = run.call
        spent = round((now - run.arrived) * 1e6)
        worked = round((now - (run.begun or now)) * 1e6)
        step = TrailStep(call.stage, self.name, call.brand.key, spent)
        output = run.work.add_step(step, "".join(run.tokens))
        usage = Usage(
            target_us=worked,
            tokens_in=run.work.prompt_tokens,
            tokens_cached=place.cached,
            tokens_out=len(run.tokens) - len(call.continue_after),
        )
        body = Payload(encode_json(output))
        run.end = TargetAnswer(call.request, call.stage, call.attempt, body, usage)
