"""Decides when a newly started host may serve callers."""

from __future__ import annotations

from bramleyspread_core import Address


class StartupGate:
    """Delays serving until documents are at least as new as before a restart.

    An entry host keeps nothing on disk, and the first control host to respond may
    lag behind. Every accepted change is known to at least one member of any
    majority of the control hosts, so the gate opens once a majority has responded.
    If a majority cannot be reached, the gate opens after a timeout, with the newest
    documents found.

    >>> gate = StartupGate(control_hosts=3, now=0.0)
    >>> gate.record_response(Address("127.0.0.1", 1))
    >>> gate.is_open(0.5)
    False
    >>> gate.record_response(Address("127.0.0.1", 2))
    >>> gate.is_open(0.5)
    True
    """

    __slots__ = ("_majority", "_opens_at", "_responding_hosts")

    #: Longest time that serving is delayed, in seconds.
    MAX_WAIT_S = 2.0

    def __init__(self, control_hosts: int, now: float) -> None:
        self._responding_hosts: set[Address] = set()
        self._majority = control_hosts // 2 + 1 if control_hosts else 0
        self._opens_at = now + self.MAX_WAIT_S

    def record_response(self, control_host: Address) -> None:
        """Record a control host whose newest documents are in force here.

        :param control_host: a control host that has documents; one with an empty
            data folder knows of no changes and must not be counted.
        """
        self._responding_hosts.add(control_host)

    def is_open(self, now: float) -> bool:
        """Return whether callers may be served.

        :param now: monotonic seconds.
        :returns: True once a majority has responded or the timeout has passed.
        """
        return len(self._responding_hosts) >= self._majority or now >= self._opens_at
