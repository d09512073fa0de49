"""Time line events, and the hybrid logical clock that stamps them."""

from __future__ import annotations

import msgspec


class Stamp(msgspec.Struct, frozen=True, order=True):
    """A point in hybrid logical time.

    Stamps order the events of all processes: if an event could have caused
    another, its stamp is smaller, however far the wall clocks differ.
    """

    #: Milliseconds since 1970 by the wall clock; never decreases.
    wall_ms: int
    #: Logical counter that orders events with the same ``wall_ms``.
    count: int


class HybridClock:
    """Hybrid logical clock of one process.

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
        """Create a stamp for an event of this process.

        :param wall_ms: the wall clock's time, in milliseconds.
        :returns: a stamp larger than all that were created or received before.
        """
        return self.merge(self._last, wall_ms)

    def merge(self, received: Stamp, wall_ms: int) -> Stamp:
        """Create a stamp for the receipt of a message.

        :param received: the stamp in the message.
        :param wall_ms: the wall clock's time, in milliseconds.
        :returns: a stamp larger than ``received`` and all that were created or received
            before.
        """
        newest = max(self._last, received)
        if wall_ms > newest.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(newest.wall_ms, newest.count + 1)
        return self._last


class TimelineEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """A stamped event, written as one JSON line of a process's time line."""

    #: Hybrid logical time of the event.
    stamp: Stamp
    #: The host that recorded the event.
    host: str
    #: Kind of the event, such as ``attempt-ended``.
    kind: str
    #: The request that the event belongs to; empty if there is none.
    request: str = ""
    #: The step of the request or operation at which the event occurred, such as a
    #: stage's name; empty if there is none.
    step: str = ""
    #: The remote host, target or process; empty if there is none.
    peer: str = ""
    #: Human-readable details.
    detail: str = ""


class UnstampedEvent(msgspec.Struct, frozen=True):
    """An event that a sans-I/O object emits, before its process stamps it."""

    #: Kind of the event, such as ``attempt-ended``.
    kind: str
    #: The request that the event belongs to; empty if there is none.
    request: str = ""
    #: The step of the request or operation at which the event occurred, such as a
    #: stage's name; empty if there is none.
    step: str = ""
    #: The remote host, target or process; empty if there is none.
    peer: str = ""
    #: Human-readable details.
    detail: str = ""
