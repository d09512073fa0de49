"""Which other hosts a host asks to relay its connections to targets."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bramleyspread_forwarding._feed import EntryHost

#: Time for which a host that could not relay is asked last, in seconds.
BACKOFF_S = 1.0


class RelayChoice:
    """The order in which other hosts are asked to relay.

    Hosts of the own zone go first, in a random order, so that the work of hosts that
    have lost their paths is spread over those that have not.

    :param own: this host.
    :param rng: draws the order.
    """

    __slots__ = ("_failed_at", "_own", "_rng")

    def __init__(self, own: EntryHost, rng: Random) -> None:
        self._own = own
        self._rng = rng
        self._failed_at: dict[str, float] = {}

    def rank(self, hosts: Sequence[EntryHost], now: float) -> list[EntryHost]:
        """Rank the hosts that may relay.

        :param hosts: the live entry hosts.
        :param now: the current time, in seconds.
        """

        def rate(host: EntryHost) -> tuple[bool, bool, float]:
            failed_at = self._failed_at.get(host.host)
            has_failed = failed_at is not None and now - failed_at < BACKOFF_S
            return has_failed, host.zone != self._own.zone, self._rng.random()

        return sorted((x for x in hosts if x.host != self._own.host), key=rate)

    def record(self, host: EntryHost, now: float, *, succeeded: bool) -> None:
        """Record whether a host could relay."""
        if succeeded:
            self._failed_at.pop(host.host, None)
        else:
            self._failed_at[host.host] = now
