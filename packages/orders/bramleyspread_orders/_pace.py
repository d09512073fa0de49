"""Limit on how many targets of a pool change state at the same time."""

from __future__ import annotations

from bramleyspread_core import PoolName
from bramleyspread_orders._assignments import TargetAssignment


class ChangeLimit:
    """Limits how many targets of each pool change state at once, within one plan.

    At most ``loads_at_once`` targets of a pool load weights at the same time. At
    most half of a pool's serving targets, but always at least one, change state
    at the same time, with or without loading.
    """

    __slots__ = ("_changing", "_loading")

    def __init__(self) -> None:
        self._loading: dict[PoolName, int] = {}
        self._changing: dict[PoolName, int] = {}

    def add(self, assignment: TargetAssignment) -> None:
        """Count a target that is already changing state.

        :param assignment: the target and its desired state.
        """
        name = assignment.announcement.pool
        self._changing[name] = self._changing.get(name, 0) + 1
        if assignment.state.needs_load(assignment.announcement):
            self._loading[name] = self._loading.get(name, 0) + 1

    def try_add(self, assignment: TargetAssignment) -> bool:
        """Count a target only if the limits allow it to start changing now.

        :param assignment: the target and its desired state.
        :returns: True if the target may start and has been counted.
        """
        name = assignment.announcement.pool
        if self._changing.get(name, 0) >= max(1, assignment.serving_count // 2):
            return False
        loads = self._loading.get(name, 0)
        needs_load = assignment.state.needs_load(assignment.announcement)
        if needs_load and loads >= assignment.pool.loads_at_once:
            return False
        self.add(assignment)
        return True
