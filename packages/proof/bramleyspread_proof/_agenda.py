"""A discrete-event scheduler: virtual time with a deterministic order of events."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Scheduler:
    """Runs actions at their virtual times; actions due together run in call order.

    >>> scheduler = Scheduler()
    >>> done: list[float] = []
    >>> scheduler.call_at(2.0, lambda: done.append(scheduler.now))
    >>> scheduler.run_until(5.0)
    >>> done, scheduler.now
    ([2.0], 5.0)
    """

    __slots__ = ("_heap", "_last_number", "now")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0
        #: Current virtual time, in seconds.
        self.now = 0.0

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at an absolute time.

        :param time: virtual time, in seconds; a past time means now.
        :param action: the function to call.
        """
        self._last_number += 1
        heapq.heappush(self._heap, (max(time, self.now), self._last_number, action))

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay.

        :param delay: seconds from now.
        :param action: the function to call.
        """
        self.call_at(self.now + delay, action)

    def run_until(self, until: float) -> None:
        """Run all actions that are due by some time, and set the clock to that time.

        :param until: virtual time, in seconds.
        """
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until
