"""How many targets may be on their way to another state at a time."""

from __future__ import annotations

from bramleyspread_core import PoolName
from bramleyspread_orders._wanted import WantedTarget


class Pace:
    """Counts targets under way, pool by pool, for one plan.

    At most ``loads_at_once`` of a pool load weights, and at most half of a
    pool, or its only target, is under way in any manner.
    """

    __slots__ = ("_loads", "_moves")

    def __init__(self) -> None:
        self._loads: dict[PoolName, int] = {}
        self._moves: dict[PoolName, int] = {}

    def take(self, want: WantedTarget) -> None:
        """Count a target that is under way.

        :param want: the target.
        """
        name = want.announcement.pool
        self._moves[name] = self._moves.get(name, 0) + 1
        if want.state.needs_load(want.announcement):
            self._loads[name] = self._loads.get(name, 0) + 1

    def allows(self, want: WantedTarget) -> bool:
        """Count a target if it may start now.

        :param want: the target.
        :returns: True when it may.
        """
        name = want.announcement.pool
        if self._moves.get(name, 0) >= max(1, want.serving // 2):
            return False
        loads = self._loads.get(name, 0)
        needs_load = want.state.needs_load(want.announcement)
        if needs_load and loads >= want.pool.loads_at_once:
            return False
        self.take(want)
        return True
