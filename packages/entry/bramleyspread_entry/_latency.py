"""Observed latency of each stage."""

from __future__ import annotations

from collections import deque

from sortedcontainers import SortedList

#: Samples kept for one stage.
KEPT_SAMPLES = 128
#: Newest samples that the typical latency is taken from.
NEWEST_SAMPLES = 16
#: Age at which a sample does not count as new, in seconds.
NEW_AGE = 5.0
#: Age at which a sample says nothing any more, in seconds.
SAMPLE_AGE = 30.0
#: Fewest samples that an estimate is made from.
FEWEST_SAMPLES = 8
#: Weight of the newest report in the smoothed work of a stage.
NEWEST_WEIGHT = 0.1

#: Service, pipeline, stage, and the pool that the stage calls.
StageKey = tuple[str, str, str, str]


class LatencyWindow:
    """The newest latencies of one stage.

    >>> window = LatencyWindow()
    >>> for number in range(20):
    ...     window.record(0.1 * number, now=1.0)
    >>> window.quantile(0.5, now=1.0), window.typical(now=1.0)
    (1.0, 1.2000000000000002)
    >>> window.quantile(0.5, now=9.0), window.typical(now=9.0)
    (1.0, None)
    """

    __slots__ = ("_median", "_newest", "_ordered", "_samples")

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._newest: deque[tuple[float, float]] = deque(maxlen=NEWEST_SAMPLES)
        self._ordered = SortedList()
        self._median: float | None = None

    def record(self, latency: float, now: float) -> None:
        """Take a latency.

        :param latency: seconds from dispatch to the whole answer.
        :param now: monotonic seconds.
        """
        self._samples.append((now, latency))
        self._newest.append((now, latency))
        self._ordered.add(latency)
        self._median = None
        if len(self._samples) > KEPT_SAMPLES:
            self._drop_oldest()

    def quantile(self, share: float, now: float) -> float | None:
        """Find the latency that a share of the samples stayed under.

        :param share: from 0 to 1.
        :param now: monotonic seconds.
        :returns: seconds, or None while there are too few samples.
        """
        while self._samples and self._samples[0][0] < now - SAMPLE_AGE:
            self._drop_oldest()
        count = len(self._ordered)
        if count < FEWEST_SAMPLES:
            return None
        return float(self._ordered[min(count - 1, int(share * count))])

    def typical(self, now: float) -> float | None:
        """Find the median of the newest samples.

        :param now: monotonic seconds.
        :returns: seconds, or None while there are too few new samples.
        """
        newest = self._newest
        while newest and newest[0][0] < now - NEW_AGE:
            newest.popleft()
            self._median = None
        if len(newest) < FEWEST_SAMPLES:
            return None
        if self._median is None:
            self._median = sorted(latency for _, latency in newest)[len(newest) // 2]
        return self._median

    def _drop_oldest(self) -> None:
        _, latency = self._samples.popleft()
        self._ordered.remove(latency)


class StageTimes:
    """Latency windows of all stages, and the work that targets report.

    A stage of which too little is known is taken to be like the other stages
    that call the same pool.
    """

    __slots__ = ("_spread", "_windows", "_work")

    def __init__(self) -> None:
        self._windows: dict[StageKey, LatencyWindow] = {}
        self._work: dict[StageKey, float] = {}
        self._spread: dict[StageKey, float] = {}

    def record(self, key: StageKey, latency: float, now: float) -> None:
        """Take a latency of a stage.

        :param key: the stage.
        :param latency: seconds; for an attempt given up on, how long it took so far.
        :param now: monotonic seconds.
        """
        for each in (key, _name_pool(key)):
            window = self._windows.get(each)
            if window is None:
                window = self._windows[each] = LatencyWindow()
            window.record(latency, now)

    def quantile(self, key: StageKey, share: float, now: float) -> float | None:
        """Find a quantile of a stage's latency.

        :param key: the stage.
        :param share: from 0 to 1.
        :param now: monotonic seconds.
        :returns: seconds, or None while too little is known.
        """
        for each in (key, _name_pool(key)):
            window = self._windows.get(each)
            found = window.quantile(share, now) if window is not None else None
            if found is not None:
                return found
        return None

    def typical(self, key: StageKey, now: float) -> float | None:
        """Find what a stage typically takes now.

        :param key: the stage.
        :param now: monotonic seconds.
        :returns: seconds, or None while too little is known.
        """
        for each in (key, _name_pool(key)):
            window = self._windows.get(each)
            found = window.typical(now) if window is not None else None
            if found is not None:
                return found
        return None

    def record_work(self, key: StageKey, seconds: float) -> None:
        """Take how long a target worked on a stage, without the wait before it.

        :param key: the stage.
        :param seconds: as the target counted it; 0 when it does not count.
        """
        if seconds <= 0:
            return
        for each in (key, _name_pool(key)):
            held = self._work.get(each, seconds)
            spread = self._spread.get(each, 0.0)
            self._work[each] = held + NEWEST_WEIGHT * (seconds - held)
            off = abs(seconds - held)
            self._spread[each] = spread + NEWEST_WEIGHT * (off - spread)

    def work(self, key: StageKey) -> float | None:
        """Find how long targets work on a stage.

        :param key: the stage.
        :returns: seconds, or None while no target has said so.
        """
        held = self._work.get(key)
        return self._work.get(_name_pool(key)) if held is None else held

    def spread(self, key: StageKey) -> float:
        """Find how far the work on a stage is off its mean.

        :param key: the stage.
        :returns: the mean difference, in seconds; 0 while nothing is known.
        """
        held = self._spread.get(key)
        return self._spread.get(_name_pool(key), 0.0) if held is None else held


def _name_pool(key: StageKey) -> StageKey:
    """Name what all stages that call one pool have in common."""
    return ("", "", "", key[3])
