"""The process's clocks: monotonic seconds, and stamps for the time line."""

from __future__ import annotations

import time

from bramleyspread_core import HybridClock, Stamp

#: The header that carries a stamp between processes.
STAMP_HEADER = "x-stamp"
#: A stamp further ahead of this host's wall clock is not taken over.
MAX_AHEAD_MS = 86_400_000


def read_monotonic() -> float:
    """Read seconds that only go forward, also while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ProcessClock:
    """A hybrid clock fed by this host's wall clock.

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
        """Stamp an event of this process."""
        return self._hybrid.tick(_read_wall_ms())

    def tick_text(self) -> str:
        """Stamp a message that leaves, as its header's value."""
        stamp = self.tick()
        return f"{stamp.wall_ms}.{stamp.count}"

    def merge_text(self, text: str) -> None:
        """Take over the stamp of a message that came; nonsense is ignored.

        :param text: the header's value, empty when there was none.
        """
        wall, _, count = text.partition(".")
        if not (wall.isascii() and wall.isdigit() and len(wall) < 16):
            return
        if not (count.isascii() and count.isdigit() and len(count) < 16):
            return
        now = _read_wall_ms()
        if int(wall) <= now + MAX_AHEAD_MS:
            self._hybrid.merge(Stamp(int(wall), int(count)), now)


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000
