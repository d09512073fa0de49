"""Faults that a stand-in brings about on demand."""

from __future__ import annotations

import random
from dataclasses import dataclass

import curio


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """What goes wrong, and how often."""

    #: Added before each answer to a call, in seconds.
    latency_s: float = 0.0
    #: Share of the calls that are refused, from 0 to 1.
    refuse_share: float = 0.0
    #: When, after the start, every connection goes silent for good; None for never.
    silent_after_s: float | None = None


class FaultInjector:
    """Faults drawn from one seed."""

    __slots__ = ("_rng", "_settings", "_started_at")

    def __init__(
        self, settings: FaultSettings, rng: random.Random, began: float
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._started_at = began

    def should_refuse(self) -> bool:
        """Whether the next call is refused."""
        return self._rng.random() < self._settings.refuse_share

    async def delay(self, now: float) -> None:
        """Hold an answer back, for good once the target has gone silent.

        :param now: monotonic seconds.
        """
        silent_after = self._settings.silent_after_s
        if silent_after is not None and now - self._started_at >= silent_after:
            await curio.sleep(float(10**6))
        if self._settings.latency_s > 0:
            await curio.sleep(self._settings.latency_s)
