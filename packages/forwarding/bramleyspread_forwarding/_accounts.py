"""What is known of one target's work."""

from __future__ import annotations

from bramleyspread_forwarding._placing import TargetLoad
from bramleyspread_forwarding._requests import Prompt

#: How long a load report counts, in seconds.
REPORT_S = 1.0
#: How long a target that failed is avoided, in seconds.
AVOIDED_S = 1.0
#: Most of that, however often it failed in a row, in seconds.
AVOIDED_MOST_S = 8.0
#: How long an engine is thought to keep a part that was sent there, in seconds.
KEPT_S = 9.0
#: Parts of one engine that are remembered before old ones are looked for.
MAX_PARTS = 2_000


class TargetAccount:
    """Work in flight at one target, its reports and failures, and parts it keeps."""

    __slots__ = (
        "_failures",
        "_load",
        "_load_at",
        "_parts",
        "_since_report",
        "avoided_until",
        "in_flight",
        "reading",
        "tokens",
    )

    def __init__(self) -> None:
        self._load: TargetLoad | None = None
        self._load_at = 0.0
        self._since_report = 0
        self._failures = 0
        self._parts: dict[str, float] = {}
        #: Requests in flight.
        self.in_flight = 0
        #: Prompt tokens that it still has to read for them.
        self.reading = 0.0
        #: Tokens of its memory that they take.
        self.tokens = 0
        #: Until when it gets no work if others can have it, in seconds.
        self.avoided_until = 0.0

    def charge(self, reading: float, tokens: int) -> None:
        """Take a request on."""
        self.in_flight += 1
        self._since_report += 1
        self.reading += reading
        self.tokens += tokens

    def note_read(self, reading: float) -> None:
        """Take note that a request's prompt was read."""
        self.reading = max(0.0, self.reading - reading)

    def settle(self, tokens: int) -> None:
        """Take a request off."""
        self.in_flight -= 1
        self.tokens -= tokens

    def note_load(self, load: TargetLoad, now: float) -> None:
        """Take the target's own word on its load."""
        self._load, self._load_at, self._since_report = load, now, 0

    def note_failure(self, now: float) -> None:
        """Avoid the target for a while, longer each time in a row."""
        self._failures += 1
        pause = min(AVOIDED_MOST_S, AVOIDED_S * 2 ** (self._failures - 1))
        self.avoided_until = now + pause

    def note_success(self) -> None:
        """Forget the failures."""
        self._failures = 0
        self.avoided_until = 0.0

    def note_parts(self, parts: tuple[str, ...], now: float) -> None:
        """Take note that the target has read these parts."""
        for part in parts:
            self._parts[part] = now
        if len(self._parts) > MAX_PARTS:
            for part in [x for x, at in self._parts.items() if now - at > KEPT_S]:
                del self._parts[part]

    def count_unread(self, prompt: Prompt | None, now: float) -> float:
        """Count the tokens of a prompt that the target has to read."""
        if prompt is None:
            return 0.0
        left = prompt.tokens_in
        for part in prompt.parts[:-1]:
            if now - self._parts.get(part.part, -KEPT_S) >= KEPT_S:
                break
            left -= part.tokens
        return float(max(0, left))

    def count_present(self, now: float) -> int:
        """Count the requests that are there, by whoever sent them."""
        if self._load is None or now - self._load_at > REPORT_S:
            return self.in_flight
        reported = self._load.running + self._load.waiting + self._since_report
        return max(self.in_flight, reported)

    def count_waiting(self, slots: int, now: float) -> int:
        """Count the requests that wait there."""
        waiting = max(0, self.count_present(now) - slots)
        if self._load is not None and now - self._load_at <= REPORT_S:
            waiting = max(waiting, self._load.waiting)
        return waiting
