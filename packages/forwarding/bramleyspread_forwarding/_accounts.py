"""Load, failures and cached prompt parts of one target."""

from __future__ import annotations

from itertools import islice

from bramleyspread_core import find_backoff_s
from bramleyspread_forwarding._placement_messages import (
    SLOWDOWN_TTL_S,
    TargetLoad,
    bound_slowdown,
)
from bramleyspread_forwarding._requests import Prompt

#: How long a load report is used, in seconds.
LOAD_REPORT_TTL_S = 1.0
#: Backoff after the first failure in a row, in seconds.
BACKOFF_S = 1.0
#: Maximum backoff of a target that fails repeatedly, in seconds.
MAX_BACKOFF_S = 8.0
#: How long a prompt part is assumed to stay in an engine's cache, in seconds.
PART_TTL_S = 9.0
#: Maximum number of parts of one engine that are kept.
MAX_TRACKED_PARTS = 2_000


class TargetTracker:
    """Tracks a target's requests in flight, load reports, failures and cached parts."""

    __slots__ = (
        "_added_since_report",
        "_failures",
        "_load",
        "_load_received_at",
        "_parts_sent_at",
        "backoff_until",
        "in_flight",
        "memory_tokens",
        "unread_tokens",
    )

    def __init__(self) -> None:
        self._load: TargetLoad | None = None
        self._load_received_at = 0.0
        self._added_since_report = 0
        self._failures = 0
        self._parts_sent_at: dict[str, float] = {}
        #: Number of requests in flight.
        self.in_flight = 0
        #: Prompt tokens of the requests in flight that the target has yet to read.
        self.unread_tokens = 0.0
        #: Tokens that the requests in flight occupy in the target's memory.
        self.memory_tokens = 0
        #: Until when the target gets work only if no other one can, in seconds.
        self.backoff_until = 0.0

    def add_request(self, unread_tokens: float, memory_tokens: int) -> None:
        """Add a request in flight."""
        self.in_flight += 1
        self._added_since_report += 1
        self.unread_tokens += unread_tokens
        self.memory_tokens += memory_tokens

    def record_prompt_read(self, unread_tokens: float) -> None:
        """Record that the target has read a request's prompt."""
        self.unread_tokens = max(0.0, self.unread_tokens - unread_tokens)

    def remove_request(self, memory_tokens: int) -> None:
        """Remove a request in flight."""
        self.in_flight -= 1
        self.memory_tokens -= memory_tokens

    def record_load(self, load: TargetLoad, now: float) -> None:
        """Store a load report of the target."""
        self._load, self._load_received_at, self._added_since_report = load, now, 0

    def record_failure(self, now: float) -> None:
        """Start a backoff that doubles with each failure in a row."""
        self._failures += 1
        backoff_s = find_backoff_s(BACKOFF_S, self._failures - 1, MAX_BACKOFF_S)
        self.backoff_until = now + backoff_s

    def record_success(self) -> None:
        """End the backoff and reset the count of failures."""
        self._failures = 0
        self.backoff_until = 0.0

    def record_parts(self, parts: tuple[str, ...], now: float) -> None:
        """Record that the target caches these prompt parts; the newest are kept."""
        for part in parts:
            self._parts_sent_at.pop(part, None)
            self._parts_sent_at[part] = now
        if len(self._parts_sent_at) > MAX_TRACKED_PARTS:
            excess = len(self._parts_sent_at) - MAX_TRACKED_PARTS
            for part in tuple(islice(self._parts_sent_at, excess)):
                del self._parts_sent_at[part]

    def count_unread_tokens(self, prompt: Prompt | None, now: float) -> float:
        """Count the tokens of a prompt that the target doesn't have in its cache."""
        if prompt is None:
            return 0.0
        unread = prompt.tokens_in
        for part in prompt.parts[:-1]:
            if now - self._parts_sent_at.get(part.part, -PART_TTL_S) >= PART_TTL_S:
                break
            unread -= part.tokens
        return float(max(0, unread))

    def count_requests(self, now: float) -> int:
        """Count the requests at the target, including those of other senders."""
        if self._load is None or now - self._load_received_at > LOAD_REPORT_TTL_S:
            return self.in_flight
        reported = self._load.running + self._load.waiting + self._added_since_report
        return max(self.in_flight, reported)

    def find_slowdown(self, now: float) -> float:
        """Find how many times as long as usual the target's work takes."""
        if self._load is None or now - self._load_received_at > SLOWDOWN_TTL_S:
            return 1.0
        return bound_slowdown(self._load.slowdown)

    def count_waiting(self, slots: int, now: float) -> int:
        """Count the requests that wait at the target for a slot."""
        waiting = max(0, self.count_requests(now) - slots)
        if self._load is not None and now - self._load_received_at <= LOAD_REPORT_TTL_S:
            waiting = max(waiting, self._load.waiting)
        return waiting
