"""When a host that has just started may serve callers."""

from __future__ import annotations

from bramleyspread_core import Address


class StartGate:
    """Holds a host back until its documents can't be older than before its start.

    An entry host keeps nothing on disk, and the first control host to answer may
    lag. Every accepted change is known to one of any majority of the control
    hosts; so the gate opens when a majority has answered. Where a majority
    can't be reached it opens after a while, with the newest that anybody knew.

    >>> gate = StartGate(control_hosts=3, now=0.0)
    >>> gate.take_answer(Address("127.0.0.1", 1))
    >>> gate.is_open(0.5)
    False
    >>> gate.take_answer(Address("127.0.0.1", 2))
    >>> gate.is_open(0.5)
    True
    """

    __slots__ = ("_answered", "_majority", "_opens_at")

    #: Longest time that callers are held back, in seconds.
    MAX_WAIT_S = 2.0

    def __init__(self, control_hosts: int, now: float) -> None:
        self._answered: set[Address] = set()
        self._majority = control_hosts // 2 + 1 if control_hosts else 0
        self._opens_at = now + self.MAX_WAIT_S

    def take_answer(self, control_host: Address) -> None:
        """Count a control host whose newest documents are in force here.

        :param control_host: one that holds documents; one whose folder is
            empty knows of none and must not be counted.
        """
        self._answered.add(control_host)

    def is_open(self, now: float) -> bool:
        """Whether callers may be served.

        :param now: monotonic seconds.
        :returns: True from the first moment on at which it is safe, or too late.
        """
        return len(self._answered) >= self._majority or now >= self._opens_at
