"""Targets whose connections went silent, before they are blamed for it."""

from __future__ import annotations

from bramleyspread_core import TargetName
from bramleyspread_entry._attempts import Attempt


class Suspects:
    """Targets to which the next attempts open new connections.

    A pooled connection can go silent although its target is well, so the
    target is blamed only when a new connection goes silent too.

    >>> from bramleyspread_core import TargetName
    >>> suspects = Suspects()
    >>> suspects.suspect(TargetName("engine-1"))
    >>> suspects.needs_fresh(TargetName("engine-1"))
    True
    """

    __slots__ = ("_targets",)

    def __init__(self) -> None:
        self._targets: set[TargetName] = set()

    def suspect(self, target: TargetName) -> None:
        """Take that a pooled connection to a target went silent.

        :param target: the target.
        """
        self._targets.add(target)

    def clear(self, attempt: Attempt) -> None:
        """Take that an attempt had its answer.

        :param attempt: the attempt.
        """
        self._targets.discard(attempt.target)

    def needs_fresh(self, target: TargetName) -> bool:
        """Whether attempts at a target must open a new connection.

        :param target: the target.
        :returns: True from a silence until the next answer.
        """
        return target in self._targets
