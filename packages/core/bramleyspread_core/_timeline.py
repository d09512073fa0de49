"""The time line: typed events with a hybrid logical clock."""

from __future__ import annotations

import msgspec


class Stamp(msgspec.Struct, frozen=True, order=True):
    """A point in hybrid logical time.

    Stamps order events over all processes: an event that could have caused
    another always has the smaller stamp, however far the wall clocks differ.
    """

    #: Wall-clock milliseconds since 1970, never running backwards.
    wall_ms: int
    #: Counts events within one millisecond.
    count: int


class HybridClock:
    """A process's source of stamps.

    >>> clock = HybridClock()
    >>> clock.tick(1_000)
    Stamp(wall_ms=1000, count=0)
    >>> clock.merge(Stamp(5_000, 7), 1_001)
    Stamp(wall_ms=5000, count=8)
    >>> clock.tick(1_002)
    Stamp(wall_ms=5000, count=9)
    """

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = Stamp(0, 0)

    def tick(self, wall_ms: int) -> Stamp:
        """Stamp an event of this process.

        :param wall_ms: what the wall clock shows, in milliseconds.
        :returns: a stamp larger than every one seen before.
        """
        return self.merge(self._last, wall_ms)

    def merge(self, seen: Stamp, wall_ms: int) -> Stamp:
        """Stamp the receipt of a message.

        :param seen: the stamp that the message carries.
        :param wall_ms: what the wall clock shows, in milliseconds.
        :returns: a stamp larger than ``seen`` and every one seen before.
        """
        newest = max(self._last, seen)
        if wall_ms > newest.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(newest.wall_ms, newest.count + 1)
        return self._last


class TimelineEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that happened, as one JSON line of a process's time line."""

    #: When, in hybrid logical time.
    stamp: Stamp
    #: The host it happened on.
    host: str
    #: What happened, such as ``attempt-ended``.
    kind: str
    #: The request it belongs to; empty for none.
    request: str = ""
    #: The step, such as a stage's name.
    step: str = ""
    #: The other side.
    peer: str = ""
    #: What a person should know besides.
    detail: str = ""


class Happening(msgspec.Struct, frozen=True):
    """An event that a decision object reports, not yet stamped."""

    #: What happened, such as ``attempt-ended``.
    kind: str
    #: The request it belongs to; empty for none.
    request: str = ""
    #: The step, such as a stage's name.
    step: str = ""
    #: The other side.
    peer: str = ""
    #: What a person should know besides.
    detail: str = ""
