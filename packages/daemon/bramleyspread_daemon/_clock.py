"""The clocks of a process: monotonic time, and stamps for timeline events."""

from __future__ import annotations

import time

from bramleyspread_core import HybridClock, Stamp

#: The HTTP header with the sender's clock stamp.
STAMP_HEADER = "x-stamp"
#: Maximum lead of a received stamp over this host's wall clock; others are ignored.
MAX_AHEAD_MS = 86_400_000


def read_monotonic() -> float:
    """Return monotonic seconds; the clock also advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ProcessClock:
    """A hybrid logical clock based on this host's wall clock.

    >>> clock = ProcessClock()
    >>> first = clock.tick()
    >>> clock.merge_text("no stamp")
    >>> clock.tick() > first
    True
    """

    __slots__ = ("_hybrid",)

    def __init__(self) -> None:
        self._hybrid = HybridClock()

    def tick(self) -> Stamp:
        """Return the stamp for an event of this process."""
        return self._hybrid.tick(read_wall_ms())

    def tick_text(self) -> str:
        """Return the stamp for an outgoing message, as the value of its header."""
        stamp = self.tick()
        return f"{stamp.wall_ms}.{stamp.count}"

    def merge_text(self, text: str) -> None:
        """Merge the stamp of a received message; an invalid stamp is ignored.

        :param text: the header's value; empty when there was none.
        """
        wall, _, count = text.partition(".")
        if not (wall.isascii() and wall.isdigit() and len(wall) < 16):
            return
        if not (count.isascii() and count.isdigit() and len(count) < 16):
            return
        now = read_wall_ms()
        if int(wall) <= now + MAX_AHEAD_MS:
            self._hybrid.merge(Stamp(int(wall), int(count)), now)


def read_wall_ms() -> int:
    """Return the time of day, in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
