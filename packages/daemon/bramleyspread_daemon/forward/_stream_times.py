"""Timing of the events of one streamed answer."""

from __future__ import annotations

from bramleyspread_daemon._clock import read_monotonic


class StreamTimes:
    """Time to the first event and longest pause between two events, for the log."""

    __slots__ = ("_started_at", "_last_event_at", "first_ms", "longest_pause_ms")

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._last_event_at = 0.0
        #: Time from the request to its first event, in milliseconds; 0 before the
        #: first.
        self.first_ms = 0.0
        #: Longest pause between two consecutive events, in milliseconds.
        self.longest_pause_ms = 0.0

    def record_event(self) -> None:
        """Record that an event is being sent to the caller now."""
        now = read_monotonic()
        if not self._last_event_at:
            self.first_ms = (now - self._started_at) * 1000
        else:
            self.longest_pause_ms = max(
                self.longest_pause_ms, (now - self._last_event_at) * 1000
            )
        self._last_event_at = now
