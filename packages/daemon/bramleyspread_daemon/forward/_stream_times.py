"""Timing of one request's connections and of the events of its answer."""

from __future__ import annotations

from bramleyspread_daemon._clock import read_monotonic


class StreamTimes:
    """Times of one request and of its answer's events, for the log."""

    __slots__ = (
        "_last_event_at",
        "_started_at",
        "connecting_ms",
        "events",
        "first_ms",
        "longest_pause_ms",
    )

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._last_event_at = 0.0
        #: Time spent waiting for connections to targets, in milliseconds.
        self.connecting_ms = 0.0
        #: Time from the request to its first event, in milliseconds; 0 before the
        #: first.
        self.first_ms = 0.0
        #: Number of events sent to the caller.
        self.events = 0
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
        self.events += 1

    @property
    def silent_ms(self) -> float:
        """Time since the last event, in milliseconds; 0 before the first."""
        if not self._last_event_at:
            return 0.0
        return (read_monotonic() - self._last_event_at) * 1000
