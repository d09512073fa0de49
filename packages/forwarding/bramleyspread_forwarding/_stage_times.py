"""Recent durations of stages, for refusing requests that can't meet their deadline."""

from __future__ import annotations

#: Weight of the latest duration in the smoothed one.
SMOOTHING = 0.25
#: Time after which a smoothed duration has half its weight, in seconds.
HALF_LIFE_S = 1.0


class StageTimes:
    """Smoothed duration of one stage, for each service and priority.

    Priorities are kept apart, so that long waits of requests with low priority don't
    cause urgent requests to be refused.

    A smoothed duration loses weight over time, so that a service without recent
    requests is expected to be as fast as its limits say.

    >>> times = StageTimes()
    >>> times.record("photos", 0, 1_000.0, 0.0)
    >>> round(times.estimate("photos", 0, 200.0, 0.0))
    1000
    >>> round(times.estimate("photos", 0, 200.0, 1.0))
    600
    >>> round(times.estimate("photos", 1, 200.0, 0.0))
    200
    """

    __slots__ = ("_smoothed",)

    def __init__(self) -> None:
        self._smoothed: dict[tuple[str, int], tuple[float, float]] = {}

    def record(
        self, service: str, priority: int, elapsed_ms: float, now: float
    ) -> None:
        """Record the duration of a stage.

        :param service: the service.
        :param priority: the request's priority; 0 is the most urgent.
        :param elapsed_ms: the duration, in milliseconds.
        :param now: the current time, in seconds.
        """
        known = self._smoothed.get((service, priority))
        if known is not None:
            elapsed_ms = known[0] + SMOOTHING * (elapsed_ms - known[0])
        self._smoothed[service, priority] = (elapsed_ms, now)

    def estimate(self, service: str, priority: int, min_ms: float, now: float) -> float:
        """Estimate the duration of a stage.

        :param service: the service.
        :param priority: the request's priority; 0 is the most urgent.
        :param min_ms: the duration without any wait, in milliseconds.
        :param now: the current time, in seconds.
        :returns: the duration, in milliseconds.
        """
        known = self._smoothed.get((service, priority))
        if known is None:
            return min_ms
        smoothed_ms, updated_at = known
        weight = 0.5 ** ((now - updated_at) / HALF_LIFE_S)
        expected_ms: float = min_ms + (smoothed_ms - min_ms) * weight
        return max(min_ms, expected_ms)
