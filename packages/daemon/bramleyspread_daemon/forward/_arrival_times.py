"""When what a process reads may have arrived, although the process was suspended."""

from __future__ import annotations

import math

#: Minimum time without a sign of life that counts as a suspension, in seconds.
MIN_GAP_S = 0.1
#: Maximum time after a suspension in which the process reads what arrived before its
#: end, in seconds.
MAX_BACKLOG_S = 1.0


class ArrivalTimes:
    """Finds the earliest time at which a message that is read now may have arrived.

    What arrives while a process is suspended waits in the operating system's buffers,
    and looks like a new message afterwards.

    >>> times = ArrivalTimes(0.0)
    >>> times.find_earliest(0.05), times.find_earliest(3.0), times.find_earliest(3.5)
    (0.05, 0.05, 0.05)
    >>> for number in range(71, 100):
    ...     times.observe(number / 20)
    >>> times.find_earliest(5.0)
    5.0
    """

    __slots__ = ("_backlog_until", "_observed_at", "_suspended_at")

    def __init__(self, now: float) -> None:
        self._observed_at = now
        # Start of the last suspension, and until when its backlog is read.
        self._suspended_at = -math.inf
        self._backlog_until = -math.inf

    def observe(self, now: float) -> None:
        """Record that the process runs; call this often.

        :param now: monotonic seconds, of a clock that counts time suspended.
        """
        gap = now - self._observed_at
        backlog_until = now + min(gap, MAX_BACKLOG_S)
        if gap > MIN_GAP_S and backlog_until > self._backlog_until:
            self._suspended_at = self._observed_at
            self._backlog_until = backlog_until
        self._observed_at = now

    def find_earliest(self, now: float) -> float:
        """Find the earliest time at which a message that is read now may have arrived.

        :param now: monotonic seconds.
        """
        self.observe(now)
        return self._suspended_at if now <= self._backlog_until else now
