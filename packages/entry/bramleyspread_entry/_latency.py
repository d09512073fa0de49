"""Observed latency and processing time of each stage."""

from __future__ import annotations

from collections import deque

from sortedcontainers import SortedList

#: Maximum number of samples kept for one stage.
MAX_SAMPLES = 128
#: Maximum number of samples, the newest ones, whose median is the typical latency.
RECENT_SAMPLES = 16
#: Age from which a sample is not used for the typical latency.
RECENT_AGE_S = 5.0
#: Age from which a sample is dropped.
SAMPLE_MAX_AGE_S = 30.0
#: Minimum number of samples from which an estimate is made.
MIN_SAMPLES = 8
#: Weight of the newest report in the moving average of a stage's processing time.
SMOOTHING_WEIGHT = 0.1

#: Names of the service, pipeline, stage, and pool that the stage calls.
StageKey = tuple[str, str, str, str]


class LatencyWindow:
    """Sliding window of the latencies of one stage.

    >>> window = LatencyWindow()
    >>> for number in range(20):
    ...     window.record(0.1 * number, now=1.0)
    >>> window.quantile(0.5, now=1.0), window.recent_median(now=1.0)
    (1.0, 1.2000000000000002)
    >>> window.quantile(0.5, now=9.0), window.recent_median(now=9.0)
    (1.0, None)
    """

    __slots__ = ("_median", "_recent_samples", "_samples", "_sorted_latencies")

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._recent_samples: deque[tuple[float, float]] = deque(maxlen=RECENT_SAMPLES)
        self._sorted_latencies = SortedList()
        self._median: float | None = None

    def record(self, latency: float, now: float) -> None:
        """Add the latency of one attempt to the window.

        :param latency: seconds from dispatch to the whole answer; for a failed attempt,
            to its end.
        :param now: monotonic seconds.
        """
        self._samples.append((now, latency))
        self._recent_samples.append((now, latency))
        self._sorted_latencies.add(latency)
        self._median = None
        if len(self._samples) > MAX_SAMPLES:
            self._drop_oldest()

    def quantile(self, fraction: float, now: float) -> float | None:
        """Find a quantile of the latencies.

        :param fraction: the quantile, from 0 to 1.
        :param now: monotonic seconds.
        :returns: seconds, or None while there are too few samples.
        """
        while self._samples and self._samples[0][0] < now - SAMPLE_MAX_AGE_S:
            self._drop_oldest()
        count = len(self._sorted_latencies)
        if count < MIN_SAMPLES:
            return None
        return float(self._sorted_latencies[min(count - 1, int(fraction * count))])

    def recent_median(self, now: float) -> float | None:
        """Find the median of the recent samples.

        :param now: monotonic seconds.
        :returns: seconds, or None while there are too few recent samples.
        """
        samples = self._recent_samples
        while samples and samples[0][0] < now - RECENT_AGE_S:
            samples.popleft()
            self._median = None
        if len(samples) < MIN_SAMPLES:
            return None
        if self._median is None:
            self._median = sorted(latency for _, latency in samples)[len(samples) // 2]
        return self._median

    def _drop_oldest(self) -> None:
        _, latency = self._samples.popleft()
        self._sorted_latencies.remove(latency)


class StageTimes:
    """Latency windows of all stages, and processing times reported by targets.

    While a stage has too few samples, the samples of all stages that call the same
    pool are used.
    """

    __slots__ = ("_deviations", "_processing_times", "_windows")

    def __init__(self) -> None:
        self._windows: dict[StageKey, LatencyWindow] = {}
        self._processing_times: dict[StageKey, float] = {}
        self._deviations: dict[StageKey, float] = {}

    def record(self, key: StageKey, latency: float, now: float) -> None:
        """Record the latency of one attempt at a stage.

        :param key: the stage.
        :param latency: seconds from dispatch to the whole answer; for a failed attempt,
            to its end.
        :param now: monotonic seconds.
        """
        for each in (key, _make_pool_key(key)):
            window = self._windows.get(each)
            if window is None:
                window = self._windows[each] = LatencyWindow()
            window.record(latency, now)

    def latency_quantile(
        self, key: StageKey, fraction: float, now: float
    ) -> float | None:
        """Find a quantile of a stage's latency.

        :param key: the stage.
        :param fraction: the quantile, from 0 to 1.
        :param now: monotonic seconds.
        :returns: seconds, or None while there are too few samples.
        """
        for each in (key, _make_pool_key(key)):
            window = self._windows.get(each)
            found = window.quantile(fraction, now) if window is not None else None
            if found is not None:
                return found
        return None

    def typical_latency(self, key: StageKey, now: float) -> float | None:
        """Find the median of a stage's recent latencies.

        :param key: the stage.
        :param now: monotonic seconds.
        :returns: seconds, or None while there are too few recent samples.
        """
        for each in (key, _make_pool_key(key)):
            window = self._windows.get(each)
            found = window.recent_median(now) if window is not None else None
            if found is not None:
                return found
        return None

    def record_processing_time(self, key: StageKey, seconds: float) -> None:
        """Record how long a target processed a stage, without the time in its queue.

        :param key: the stage.
        :param seconds: as reported by the target; 0 when it reports none.
        """
        if seconds <= 0:
            return
        for each in (key, _make_pool_key(key)):
            mean = self._processing_times.get(each, seconds)
            deviation = self._deviations.get(each, 0.0)
            self._processing_times[each] = mean + SMOOTHING_WEIGHT * (seconds - mean)
            difference = abs(seconds - mean)
            self._deviations[each] = deviation + SMOOTHING_WEIGHT * (
                difference - deviation
            )

    def processing_time(self, key: StageKey) -> float | None:
        """Find the mean processing time of a stage.

        :param key: the stage.
        :returns: seconds, or None while no target has reported a processing time.
        """
        mean = self._processing_times.get(key)
        return self._processing_times.get(_make_pool_key(key)) if mean is None else mean

    def processing_deviation(self, key: StageKey) -> float:
        """Find the mean absolute deviation of a stage's processing time.

        :param key: the stage.
        :returns: seconds; 0 while no target has reported a processing time.
        """
        deviation = self._deviations.get(key)
        return (
            self._deviations.get(_make_pool_key(key), 0.0)
            if deviation is None
            else deviation
        )


def _make_pool_key(key: StageKey) -> StageKey:
    """Make the key under which all stages that call a stage's pool are recorded."""
    return ("", "", "", key[3])
