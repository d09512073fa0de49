"""Recent durations of stages, for refusing requests that can't meet their deadline."""

from __future__ import annotations

#: Weight of the latest duration in the smoothed one.
SMOOTHING = 0.25
#: Time after which a smoothed duration has half its weight, in seconds.
HALF_LIFE_S = 1.0
#: Share of the later stages' part of a request's slack that earlier stages leave to
#: them. With none, the first of several full stages leaves the second one no time to
#: spare; with all of it, the first one refuses more requests than necessary.
KEPT_SLACK_SHARE = 0.5


def find_stage_goal_ms(goal_ms: float, own_ms: float, stages_left: int) -> float:
    """Find the time within which a stage should end, so that later ones may wait too.

    :param goal_ms: time left for the stage if those after it don't wait, in ms.
    :param own_ms: time that it is expected to take, in ms.
    :param stages_left: number of stages in a row from this one on, itself included.
    :returns: the time, in ms; at most ``goal_ms``.

    >>> find_stage_goal_ms(900.0, 300.0, 1)
    900.0
    >>> find_stage_goal_ms(900.0, 300.0, 3)
    700.0
    >>> find_stage_goal_ms(100.0, 300.0, 3)
    100.0
    """
    slack_ms = max(goal_ms - own_ms, 0.0)
    return goal_ms - slack_ms * KEPT_SLACK_SHARE * (1 - 1 / stages_left)


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
