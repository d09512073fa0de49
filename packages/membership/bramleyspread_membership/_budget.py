"""A bound on bytes sent: a token bucket."""

from __future__ import annotations


class ByteBudget:
    """Bytes that may be sent now: a mean rate with room for a burst.

    >>> budget = ByteBudget(rate=100, burst=1_000, now=0.0)
    >>> budget.spend(1_500, now=0.0)
    >>> budget.left(now=2.0), budget.left(now=6.0)
    (0.0, 100.0)
    """

    __slots__ = ("_at", "_burst", "_left", "_rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = now

    def left(self, now: float) -> float:
        """How much may be sent now.

        :param now: monotonic seconds.
        :returns: bytes, never below 0.
        """
        earned = (now - self._at) * self._rate
        self._left = min(self._burst, self._left + earned)
        self._at = now
        return max(0.0, self._left)

    def spend(self, size: float, now: float) -> None:
        """Note bytes as sent; the budget may fall below 0 by one message.

        :param size: bytes.
        :param now: monotonic seconds.
        """
        self.left(now)
        self._left -= size
