"""Virtual time: what happens when, in one order for one seed."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Agenda:
    """A list of things to do at virtual times.

    >>> agenda = Agenda()
    >>> done: list[float] = []
    >>> agenda.at(2.0, lambda: done.append(agenda.now))
    >>> agenda.run(5.0)
    >>> done, agenda.now
    ([2.0], 5.0)
    """

    __slots__ = ("_heap", "_number", "now")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        #: Virtual seconds.
        self.now = 0.0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Plan an action.

        :param time: virtual seconds; not before now.
        :param action: what to do.
        """
        self._number += 1
        heapq.heappush(self._heap, (max(time, self.now), self._number, action))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Plan an action from now.

        :param delay: seconds.
        :param action: what to do.
        """
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        """Do all that is due.

        :param until: virtual seconds; time stands there afterwards.
        """
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until
