"""When a late attempt gets a second one beside it."""

from __future__ import annotations

from typing import Protocol

from bramleyspread_entry._latency import StageKey, StageTimes

#: An attempt is late when it takes longer than this share of its kind.
LATE_SHARE = 0.95
#: A hedge waits for this many times the late latency.
LATE_FACTOR = 1.2
#: Shortest wait before a hedge, in seconds.
MIN_DELAY = 0.02


class Hedging(Protocol):
    """Says how long to wait before a hedge."""

    def delay(self, key: StageKey, remaining: float, now: float) -> float | None:
        """Seconds to wait before a hedge, or None for no hedge."""


class LateHedging:
    """Hedges what is later than its peers, when a second attempt can still help."""

    __slots__ = ("_times",)

    def __init__(self, times: StageTimes) -> None:
        self._times = times

    def delay(self, key: StageKey, remaining: float, now: float) -> float | None:
        """Find when an attempt counts as late.

        :param key: the stage.
        :param remaining: seconds left for the stage.
        :param now: monotonic seconds.
        :returns: seconds to wait; None when too little is known or time is short.
        """
        late = self._times.quantile(key, LATE_SHARE, now)
        typical = self._times.typical(key, now)
        if late is None or typical is None:
            return None
        delay = max(MIN_DELAY, late * LATE_FACTOR)
        return delay if delay + typical < remaining else None


class NoHedging:
    """The baseline: no hedges."""

    __slots__ = ()

    def delay(self, key: StageKey, remaining: float, now: float) -> float | None:
        """Hedge nothing.

        :param key: the stage.
        :param remaining: seconds left for the stage.
        :param now: monotonic seconds.
        :returns: always None.
        """
        return None
