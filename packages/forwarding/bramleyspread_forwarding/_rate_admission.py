"""Which requests a service still admits whose targets all limit their rate."""

from __future__ import annotations

import math

#: Part of their share of all requests that is kept for those that are not the most
#: urgent.
RESERVED_PART = 0.6
#: Smallest share of the rate that is kept for them.
MIN_RESERVED_SHARE = 0.01
#: Time over which shares of requests are averaged, in seconds.
AVERAGED_S = 5.0
#: How far the most urgent requests may be admitted ahead of the rate, in seconds.
URGENT_AHEAD_S = 1.0
#: How far other requests may be admitted ahead of the rate, in seconds.
OTHER_AHEAD_S = 0.5
#: Unused time of the reserved share after which the most urgent requests may use it,
#: in seconds.
RESERVED_IDLE_S = 1.5
#: Maximum unused time that is made up for, in seconds.
MAX_UNUSED_S = 2.0


class _Allotment:
    """A rate of which some has been used."""

    __slots__ = ("used_until",)

    def __init__(self, now: float) -> None:
        #: Time for which the rate is used up, in seconds.
        self.used_until = now

    def find_excess_s(self, ahead_s: float, now: float) -> float:
        """Return how much too early a request would be, in seconds; 0 if it isn't."""
        return max(self.used_until - now - ahead_s, 0.0)

    def use(self, rate: float, now: float) -> None:
        self.used_until = max(self.used_until, now - MAX_UNUSED_S) + 1 / rate


class RateAdmission:
    """Admits as many requests as the targets of one service accept by their limits.

    The most urgent requests go first. The others keep a share of the rate, and may use
    what the most urgent ones leave.

    >>> admission = RateAdmission()
    >>> [admission.admit(0, 2.0, 0.0) == 0.0 for _ in range(3)]
    [True, True, False]
    >>> admission.admit(1, 2.0, 0.0) == 0.0
    True
    """

    def __init__(self) -> None:
        self._common: _Allotment | None = None
        self._reserved = _Allotment(0.0)
        # Decaying numbers of requests, and when they were last updated, in seconds.
        self._urgent_requests = self._other_requests = 1.0
        self._counted_at = 0.0

    def admit(self, priority: int, rate: float, now: float) -> float:
        """Admit a request if the rate allows it.

        :param priority: the request's priority; 0 is the most urgent.
        :param rate: requests a second that all targets accept together, above 0.
        :param now: the current time, in seconds.
        :returns: 0 if it is admitted, else how long until one is, in seconds.
        """
        if self._common is None:
            self._common, self._reserved = _Allotment(now), _Allotment(now)
        is_urgent = priority == 0
        reserved_rate = rate * self._find_reserved_share(is_urgent, now)
        common_rate = rate - reserved_rate
        reserved_ahead_s = -RESERVED_IDLE_S if is_urgent else OTHER_AHEAD_S
        common_ahead_s = URGENT_AHEAD_S if is_urgent else OTHER_AHEAD_S
        excess_s = self._common.find_excess_s(common_ahead_s, now)
        if not excess_s:
            self._common.use(common_rate, now)
            return 0.0
        reserved_excess_s = self._reserved.find_excess_s(reserved_ahead_s, now)
        if not reserved_excess_s:
            self._reserved.use(reserved_rate, now)
            return 0.0
        return min(excess_s, reserved_excess_s)

    def _find_reserved_share(self, is_urgent: bool, now: float) -> float:
        """Count a request, and return the share of the rate kept for the others."""
        decay = math.exp((self._counted_at - now) / AVERAGED_S)
        self._counted_at = now
        self._urgent_requests = self._urgent_requests * decay + is_urgent
        self._other_requests = self._other_requests * decay + (not is_urgent)
        total = self._urgent_requests + self._other_requests
        return max(RESERVED_PART * self._other_requests / total, MIN_RESERVED_SHARE)
