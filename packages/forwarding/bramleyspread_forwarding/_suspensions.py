"""Whether a host has current information again after it was suspended."""

from __future__ import annotations

import math

#: Time without a tick after which a host counts as suspended, in seconds. Ticks come
#: four times a second, and zone drains must be obeyed within 5 s.
MAX_TICK_GAP_S = 1.0
#: Maximum time for which a host that was suspended waits for a page, in seconds. A
#: control host that knows newer drains answers at once; others after 0.4 s.
NEWS_WAIT_S = 0.3


class SuspensionWatch:
    """Holds back what a host sends after a suspension until it has a current page.

    A host that resumes may have requests whose targets were chosen before, and requests
    that arrived in the meantime, before it can learn that a zone was drained. It waits
    for the first page that it requests after the suspension, but not for long: a host
    without contact to control hosts continues with what it knows.

    >>> watch = SuspensionWatch()
    >>> watch.tick(100.0)
    >>> watch.find_wait_s(100.9)
    0.0
    >>> round(watch.find_wait_s(108.0), 1), round(watch.find_wait_s(108.2), 1)
    (0.3, 0.1)
    >>> watch.record_page(requested_at=100.0, now=108.2)
    >>> round(watch.find_wait_s(108.2), 1)
    0.1
    >>> watch.record_page(requested_at=108.2, now=108.21)
    >>> watch.find_wait_s(108.21)
    0.0
    """

    __slots__ = ("_ticked_at", "_woke_at")

    def __init__(self) -> None:
        self._ticked_at = math.inf
        self._woke_at = -math.inf

    def tick(self, now: float) -> None:
        """Record that this host runs; called periodically."""
        self._detect(now)
        self._ticked_at = now

    def _detect(self, now: float) -> None:
        """Detect a suspension, also before the first tick after it."""
        if now - self._ticked_at > MAX_TICK_GAP_S:
            self._woke_at = self._ticked_at = now

    def record_page(self, requested_at: float, now: float) -> None:
        """Record a control host's page.

        :param requested_at: when it was asked for, in seconds; an answer to an earlier
            question may have waited here during the suspension.
        :param now: the current time, in seconds.
        """
        self._detect(now)
        if requested_at >= self._woke_at:
            self._woke_at = -math.inf

    def find_wait_s(self, now: float) -> float:
        """Find for how long nothing is to be sent, in seconds."""
        self._detect(now)
        return max(self._woke_at + NEWS_WAIT_S - now, 0.0)
