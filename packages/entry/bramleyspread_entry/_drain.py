"""Draining: the planned stop of an entry host."""

from __future__ import annotations


class Drain:
    """Tracks whether a host accepts new requests while it drains.

    New requests are accepted for a grace period, in which the load balancer can
    notice the drain.

    >>> drain = Drain(grace_s=2.0)
    >>> drain.begin(10.0)
    >>> drain.accepts_requests(11.0), drain.accepts_requests(12.0)
    (True, False)
    """

    __slots__ = ("_grace_s", "_refuses_from")

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._refuses_from: float | None = None

    def begin(self, now: float) -> None:
        """Begin to drain; later calls have no effect.

        :param now: monotonic seconds.
        """
        if self._refuses_from is None:
            self._refuses_from = now + self._grace_s

    def accepts_requests(self, now: float) -> bool:
        """Whether new requests are accepted.

        :param now: monotonic seconds.
        :returns: False once the grace period of a drain has ended.
        """
        return self._refuses_from is None or now < self._refuses_from
