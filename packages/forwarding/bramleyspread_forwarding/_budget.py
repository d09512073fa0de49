"""Limits retries, so that they can't multiply the load on a service."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """One host's share of the retries that all hosts may send to one service.

    Within any window, a host sends at most a fixed ratio of its first attempts as
    retries, plus its share of a fixed number of retries for all hosts.

    >>> budget = RetryBudget(ratio=0.5, fixed_retries=0.0, window_s=10.0)
    >>> budget.try_acquire(0.0, hosts=1)
    False
    >>> budget.record_first_attempt(0.0)
    >>> budget.record_first_attempt(0.1)
    >>> budget.try_acquire(0.2, hosts=1), budget.try_acquire(0.3, hosts=1)
    (True, False)
    """

    __slots__ = ("_first_attempts", "_fixed_retries", "_ratio", "_retries", "_window_s")

    def __init__(self, ratio: float, fixed_retries: float, window_s: float) -> None:
        self._ratio = ratio
        self._fixed_retries = fixed_retries
        self._window_s = window_s
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first_attempts.append(now)

    def try_acquire(self, now: float, hosts: int) -> bool:
        """Count one retry if the budget allows it.

        :param now: the current time, in seconds.
        :param hosts: number of entry hosts that share the fixed number of retries.
        :returns: whether the retry may be sent; it is counted only then.
        """
        self._expire(now)
        allowed = self._ratio * len(self._first_attempts) + self._fixed_retries / max(
            hosts, 1
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        """Remove attempts that are older than the window."""
        for times in (self._first_attempts, self._retries):
            while times and now - times[0] > self._window_s:
                times.popleft()
