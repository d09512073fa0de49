"""How long stages have taken lately, so that hopeless requests can be refused."""

from __future__ import annotations

#: The weight of a new time beside what was known.
SMOOTHING = 0.25
#: What was learned counts half after this long without a new time, in seconds.
HALF_LIFE_S = 1.0


class StageTimes:
    """The time that one stage takes at each service for each rank, smoothed.

    Ranks are kept apart: what waits long because it is not urgent must not make
    urgent requests look hopeless.

    What was learned fades, so that a service that nobody asked for a while is
    thought to be as quick as its limits say.

    >>> times = StageTimes()
    >>> times.note("photos", 0, 1_000.0, 0.0)
    >>> round(times.estimate("photos", 0, 200.0, 0.0))
    1000
    >>> round(times.estimate("photos", 0, 200.0, 1.0))
    600
    >>> round(times.estimate("photos", 1, 200.0, 0.0))
    200
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[tuple[str, int], tuple[float, float]] = {}

    def note(self, service: str, priority: int, elapsed_ms: float, now: float) -> None:
        """Take note of the time that one stage took.

        :param service: the service.
        :param priority: the rank; 0 goes first.
        :param spent_ms: the time, in milliseconds.
        :param now: seconds.
        """
        known = self._known.get((service, priority))
        if known is not None:
            elapsed_ms = known[0] + SMOOTHING * (elapsed_ms - known[0])
        self._known[service, priority] = (elapsed_ms, now)

    def estimate(self, service: str, priority: int, min_ms: float, now: float) -> float:
        """Estimate the time that a stage will take.

        :param service: the service.
        :param priority: the rank; 0 goes first.
        :param least_ms: the time without any wait, in milliseconds.
        :param now: seconds.
        :returns: milliseconds.
        """
        known = self._known.get((service, priority))
        if known is None:
            return min_ms
        smoothed_ms, updated_at = known
        weight = 0.5 ** ((now - updated_at) / HALF_LIFE_S)
        expected: float = min_ms + (smoothed_ms - min_ms) * weight
        return max(min_ms, expected)
