"""Tracks targets whose pooled connections went silent and may be stale."""

from __future__ import annotations

from bramleyspread_core import TargetName
from bramleyspread_entry._attempts import Attempt


class StaleConnections:
    """Targets to which the next attempts must open new connections.

    A connection is silent when no byte is received on it for too long. A pooled
    connection can go silent although its target is healthy, so silence counts as a
    failure of the target only on a new connection.

    >>> from bramleyspread_core import TargetName
    >>> stale_connections = StaleConnections()
    >>> stale_connections.mark(TargetName("engine-1"))
    >>> stale_connections.needs_fresh_connection(TargetName("engine-1"))
    True
    """

    __slots__ = ("_targets",)

    def __init__(self) -> None:
        self._targets: set[TargetName] = set()

    def mark(self, target: TargetName) -> None:
        """Record that a pooled connection to a target went silent.

        :param target: the target.
        """
        self._targets.add(target)

    def clear(self, attempt: Attempt) -> None:
        """Record that an attempt was answered.

        :param attempt: the attempt.
        """
        self._targets.discard(attempt.target)

    def needs_fresh_connection(self, target: TargetName) -> bool:
        """Whether attempts at a target must open a new connection.

        :param target: the target.
        :returns: True from a silent connection until the target's next answer.
        """
        return target in self._targets
