"""Fault injection for the stand-in targets."""

from __future__ import annotations

import random
from dataclasses import dataclass

import curio


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """The faults to inject and their frequency."""

    #: Delay added before each response to a call, in seconds.
    latency_s: float = 0.0
    #: Share of the calls that are refused, from 0 to 1.
    refuse_share: float = 0.0
    #: Time after the start, in seconds, from which no call is answered; None for never.
    silent_after_s: float | None = None


class FaultInjector:
    """Injects faults that are drawn from a seeded random generator."""

    __slots__ = ("_rng", "_settings", "_started_at")

    def __init__(
        self, settings: FaultSettings, rng: random.Random, started_at: float
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._started_at = started_at

    def should_refuse(self) -> bool:
        """Decide whether to refuse the next call."""
        return self._rng.random() < self._settings.refuse_share

    async def delay(self, now: float) -> None:
        """Delay a response by the latency, or indefinitely once the target is silent.

        :param now: monotonic seconds.
        """
        silent_after = self._settings.silent_after_s
        if silent_after is not None and now - self._started_at >= silent_after:
            await curio.sleep(float(10**6))
        if self._settings.latency_s > 0:
            await curio.sleep(self._settings.latency_s)
