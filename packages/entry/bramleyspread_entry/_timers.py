"""Timers without a clock, for objects that get the time as an argument."""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class Timers(Generic[K]):
    """Set of timers, each with a key and the time at which it is due.

    >>> timers: Timers[str] = Timers()
    >>> timers.set("a", 2.0)
    >>> timers.set("b", 1.0)
    >>> timers.cancel("b")
    >>> timers.next_due()
    2.0
    >>> list(timers.pop_due(3.0))
    ['a']
    """

    __slots__ = ("_due", "_heap", "_sequence")

    def __init__(self) -> None:
        #: Due time and sequence number of each timer that is set.
        self._due: dict[K, tuple[float, int]] = {}
        #: Due time, sequence number and key of timers; an entry is obsolete when its
        #: timer was set again or cancelled since.
        self._heap: list[tuple[float, int, K]] = []
        self._sequence = 0

    def set(self, key: K, due: float) -> None:
        """Set a timer, in place of any other timer with the same key.

        :param key: key of the timer.
        :param due: when the timer is due, in monotonic seconds.
        """
        self._sequence += 1
        self._due[key] = (due, self._sequence)
        heapq.heappush(self._heap, (due, self._sequence, key))

    def cancel(self, key: K) -> None:
        """Remove a timer, if it is set.

        :param key: key of the timer.
        """
        self._due.pop(key, None)

    def next_due(self) -> float | None:
        """Find the earliest time at which a timer is due.

        :returns: monotonic seconds, or None while no timer is set.
        """
        while self._heap:
            due, sequence, key = self._heap[0]
            if self._due.get(key) == (due, sequence):
                return due
            heapq.heappop(self._heap)
        return None

    def pop_due(self, now: float) -> Iterator[K]:
        """Remove and yield the keys of the timers that are due, earliest first.

        :param now: monotonic seconds.
        """
        while (due := self.next_due()) is not None and due <= now:
            _, _, key = heapq.heappop(self._heap)
            del self._due[key]
            yield key
