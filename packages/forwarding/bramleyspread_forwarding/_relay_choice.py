"""Which other hosts a host asks to relay its connections to targets."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bramleyspread_core import Address
from bramleyspread_forwarding._feed import EntryHost

#: Time for which a host that could not relay is asked last, in seconds.
BACKOFF_S = 5.0


class RelayChoice:
    """The order in which other hosts are asked to relay.

    Hosts are drawn at random, so that the work of hosts that have lost their paths is
    spread over those that have not. The first one is of the own zone; as a zone may
    have lost its paths as a whole, hosts of other zones take turns with its hosts.

    :param own: this host.
    :param rng: draws the order.

    >>> address = Address("10.0.0.1", 1)
    >>> hosts = [EntryHost(f"e{at}", "ab"[at % 2], address) for at in (0, 2, 1)]
    >>> choice = RelayChoice(EntryHost("own", "a", address), Random(1))
    >>> [each.zone for each in choice.rank(hosts, 0.0)]
    ['a', 'b', 'a']
    >>> for each in hosts[:2]:
    ...     choice.record(each, 0.0, succeeded=False)
    >>> [each.zone for each in choice.rank(hosts, 0.0)]
    ['b', 'a', 'a']
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
        others = [x for x in hosts if x.host != self._own.host]
        self._rng.shuffle(others)
        hopeful = [x for x in others if not self._has_failed(x, now)]
        failed = [x for x in others if self._has_failed(x, now)]
        return [*self._alternate_zones(hopeful), *self._alternate_zones(failed)]

    def _alternate_zones(self, hosts: Sequence[EntryHost]) -> list[EntryHost]:
        """Order hosts so that those of the own zone and others take turns."""
        near = [x for x in hosts if x.zone == self._own.zone]
        far = [x for x in hosts if x.zone != self._own.zone]
        turns = min(len(near), len(far))
        pairs = zip(near[:turns], far[:turns], strict=True)
        return [x for pair in pairs for x in pair] + near[turns:] + far[turns:]

    def _has_failed(self, host: EntryHost, now: float) -> bool:
        failed_at = self._failed_at.get(host.host)
        return failed_at is not None and now - failed_at < BACKOFF_S

    def draw_targets(self, addresses: Sequence[Address], number: int) -> list[Address]:
        """Draw targets that show whether the own paths work.

        :param addresses: the known targets.
        :param number: how many to draw at most.
        """
        return self._rng.sample(addresses, min(number, len(addresses)))

    def record(self, host: EntryHost, now: float, *, succeeded: bool) -> None:
        """Record whether a host could relay."""
        if succeeded:
            self._failed_at.pop(host.host, None)
        else:
            self._failed_at[host.host] = now
