"""How often a request may be sent again: a bound on added load."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """A host's part of what all hosts may send again to one service.

    Within any window no more goes out a second time than a share of the
    requests that went out first, and this host's part of a fixed number.

    >>> budget = RetryBudget(ratio=0.5, slack=0.0, window_s=10.0)
    >>> budget.take(0.0, hosts=1)
    False
    >>> budget.note_first(0.0)
    >>> budget.note_first(0.1)
    >>> budget.take(0.2, hosts=1), budget.take(0.3, hosts=1)
    (True, False)
    """

    __slots__ = ("_again", "_firsts", "_ratio", "_slack", "_window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts: deque[float] = deque()
        self._again: deque[float] = deque()

    def note_first(self, now: float) -> None:
        """Count a request that goes out for the first time."""
        self._firsts.append(now)

    def take(self, now: float, hosts: int) -> bool:
        """Take leave to send one request again.

        :param now: seconds.
        :param hosts: entry hosts that share the fixed number.
        :returns: whether it may go out; if so, it is counted.
        """
        self._forget(now)
        allowed = self._ratio * len(self._firsts) + self._slack / max(hosts, 1)
        if len(self._again) + 1 > allowed:
            return False
        self._again.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._firsts, self._again):
            while times and now - times[0] > self._window_s:
                times.popleft()
