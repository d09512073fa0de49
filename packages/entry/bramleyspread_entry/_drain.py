"""The planned stop of an entry host."""

from __future__ import annotations


class Drain:
    """Whether a host still takes requests while it stops.

    New requests are taken until the balancer has had time to notice.

    >>> drain = Drain(grace=2.0)
    >>> drain.begin(10.0)
    >>> drain.takes_requests(11.0), drain.takes_requests(12.0)
    (True, False)
    """

    __slots__ = ("_closes_at", "_grace")

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._closes_at: float | None = None

    def begin(self, now: float) -> None:
        """Begin to stop; beginning again changes nothing.

        :param now: monotonic seconds.
        """
        if self._closes_at is None:
            self._closes_at = now + self._grace

    def takes_requests(self, now: float) -> bool:
        """Whether new requests are taken.

        :param now: monotonic seconds.
        :returns: False once the balancer has had its time.
        """
        return self._closes_at is None or now < self._closes_at
