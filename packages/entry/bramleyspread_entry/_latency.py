"""Observed latency of each stage."""

from __future__ import annotations

from collections import deque

from sortedcontainers import SortedList

#: Samples kept for one stage.
KEPT_SAMPLES = 128
#: Age at which a sample says nothing any more, in seconds.
SAMPLE_AGE = 5.0
#: Fewest samples that an estimate is made from.
FEWEST_SAMPLES = 8
#: Weight of the newest report in the smoothed work of a stage.
NEWEST_WEIGHT = 0.1

#: Service, pipeline and stage.
StageKey = tuple[str, str, str]


class LatencyWindow:
    """The newest latencies of one stage.

    >>> window = LatencyWindow()
    >>> for number in range(10):
    ...     window.record(0.1 * number, now=1.0)
    >>> window.quantile(0.5, now=1.0)
    0.5
    >>> window.quantile(0.5, now=9.0) is None
    True
    """

    __slots__ = ("_ordered", "_samples")

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._ordered = SortedList()

    def record(self, latency: float, now: float) -> None:
        """Take a latency.

        :param latency: seconds from dispatch to the whole answer.
        :param now: monotonic seconds.
        """
        self._samples.append((now, latency))
        self._ordered.add(latency)
        if len(self._samples) > KEPT_SAMPLES:
            self._drop_oldest()

    def quantile(self, share: float, now: float) -> float | None:
        """Find the latency that a share of the samples stayed under.

        :param share: from 0 to 1.
        :param now: monotonic seconds.
        :returns: seconds, or None while there are too few fresh samples.
        """
        while self._samples and self._samples[0][0] < now - SAMPLE_AGE:
            self._drop_oldest()
        count = len(self._ordered)
        if count < FEWEST_SAMPLES:
            return None
        return float(self._ordered[min(count - 1, int(share * count))])

    def _drop_oldest(self) -> None:
        _, latency = self._samples.popleft()
        self._ordered.remove(latency)


class StageTimes:
    """Latency windows of all stages, and the work that targets report."""

    __slots__ = ("_windows", "_work")

    def __init__(self) -> None:
        self._windows: dict[StageKey, LatencyWindow] = {}
        self._work: dict[StageKey, float] = {}

    def record(self, key: StageKey, latency: float, now: float) -> None:
        """Take a latency of a stage.

        :param key: the stage.
        :param latency: seconds; for an attempt given up on, how long it took so far.
        :param now: monotonic seconds.
        """
        window = self._windows.get(key)
        if window is None:
            window = self._windows[key] = LatencyWindow()
        window.record(latency, now)

    def quantile(self, key: StageKey, share: float, now: float) -> float | None:
        """Find a quantile of a stage's latency.

        :param key: the stage.
        :param share: from 0 to 1.
        :param now: monotonic seconds.
        :returns: seconds, or None while too little is known.
        """
        window = self._windows.get(key)
        return window.quantile(share, now) if window is not None else None

    def record_work(self, key: StageKey, seconds: float) -> None:
        """Take how long a target worked on a stage, without the wait before it.

        :param key: the stage.
        :param seconds: as the target counted it; 0 when it does not count.
        """
        if seconds > 0:
            held = self._work.get(key, seconds)
            self._work[key] = held + NEWEST_WEIGHT * (seconds - held)

    def work(self, key: StageKey) -> float | None:
        """Find how long targets work on a stage.

        :param key: the stage.
        :returns: seconds, or None while no target has said so.
        """
        return self._work.get(key)
