"""When the events of one answer reached the caller."""

from __future__ import annotations

from bramleyspread_daemon._clock import read_monotonic


class StreamTimes:
    """Time to the first event, and the longest pause between two, for logs."""

    __slots__ = ("_begun", "_last", "first_ms", "longest_ms")

    def __init__(self, begun: float) -> None:
        self._begun = begun
        self._last = 0.0
        #: Time from the request to its first event, in milliseconds; 0 for none.
        self.first_ms = 0.0
        #: The longest pause between two events, in milliseconds.
        self.longest_ms = 0.0

    def note(self) -> None:
        """Take note of an event that goes out now."""
        now = read_monotonic()
        if not self._last:
            self.first_ms = (now - self._begun) * 1000
        else:
            self.longest_ms = max(self.longest_ms, (now - self._last) * 1000)
        self._last = now
