"""Hedging: when a second attempt is sent while a late one is still in flight."""

from __future__ import annotations

from typing import Protocol

from bramleyspread_entry._latency import StageKey, StageTimes

#: Quantile of a stage's latencies from which the delay of a hedge is computed.
LATE_QUANTILE = 0.95
#: Delay of a hedge, as a multiple of that quantile.
LATE_FACTOR = 1.2
#: Shortest delay of a hedge.
MIN_DELAY_S = 0.02


class Hedging(Protocol):
    """Decides how long after an attempt its hedge is sent."""

    def find_delay(self, key: StageKey, remaining: float, now: float) -> float | None:
        """Return the delay of a hedge in seconds, or None for no hedge."""


class LateHedging:
    """Hedges attempts that are late compared with recent ones at the same stage."""

    __slots__ = ("_times",)

    def __init__(self, times: StageTimes) -> None:
        self._times = times

    def find_delay(self, key: StageKey, remaining: float, now: float) -> float | None:
        """Find the delay after which an attempt is hedged.

        :param key: the stage.
        :param remaining: seconds left for the stage.
        :param now: monotonic seconds.
        :returns: seconds; None when too few latencies are known, or when a hedge
            would typically not finish in the remaining time.
        """
        latency_quantile = self._times.latency_quantile(key, LATE_QUANTILE, now)
        typical = self._times.typical_latency(key, now)
        if latency_quantile is None or typical is None:
            return None
        delay = max(MIN_DELAY_S, latency_quantile * LATE_FACTOR)
        return delay if delay + typical < remaining else None


class NoHedging:
    """Baseline for comparisons: no hedges."""

    __slots__ = ()

    def find_delay(self, key: StageKey, remaining: float, now: float) -> float | None:
        """Request no hedge.

        :param key: the stage.
        :param remaining: seconds left for the stage.
        :param now: monotonic seconds.
        :returns: always None.
        """
        return None
