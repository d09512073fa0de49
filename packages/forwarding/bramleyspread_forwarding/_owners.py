"""Which entry host does the shared work of a service."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from bramleyspread_forwarding._feed import EntryHost

#: How long a host that didn't answer isn't asked, in seconds.
AVOIDED_S = 1.5
#: How long a host goes on with work that others seem to ask another one for, in
#: seconds; hosts learn of each other at slightly different times.
HAND_OVER_S = 0.3


class Owners:
    """Who does the shared work of each service, as one host sees it."""

    __slots__ = ("_avoided", "_kept_since", "_own")

    def __init__(self, own: str) -> None:
        self._own = own
        self._avoided: dict[str, float] = {}
        self._kept_since: dict[str, float] = {}

    def find_other(
        self, service: str, hosts: Sequence[EntryHost], now: float
    ) -> EntryHost | None:
        """Find the host to ask.

        :param service: the service.
        :param hosts: the entry hosts that are there.
        :param now: seconds.
        :returns: the host; None when it is this one, or there is none.
        """
        asked = [x for x in hosts if self._avoided.get(x.host, 0.0) <= now]
        owner = find_owner(service, asked)
        return None if owner is None or owner.host == self._own else owner

    def avoid(self, host: EntryHost, now: float) -> None:
        """Ask a host that didn't answer no more for a while."""
        self._avoided[host.host] = now + AVOIDED_S

    def may_keep(self, service: str, hosts: Sequence[EntryHost], now: float) -> bool:
        """Whether work that others asked of this host may stay here.

        :param service: the service.
        :param hosts: the entry hosts that are there.
        :param now: seconds.
        :returns: True while it owns the service, and a moment longer.
        """
        if self.find_other(service, hosts, now) is None:
            self._kept_since[service] = now
        return now - self._kept_since.setdefault(service, now) < HAND_OVER_S


def find_owner(service: str, hosts: Sequence[EntryHost]) -> EntryHost | None:
    """Find the host that does a service's shared work; the same from every host.

    A process that started again weighs anew, so that a host that comes back does
    not, as a rule, take the work over from the one that stood in for it.

    :param service: the service.
    :param hosts: the entry hosts that are there.
    :returns: the host; None when there is none.
    """

    def weigh(each: EntryHost) -> int:
        return int(xxhash.xxh3_64_intdigest(f"{service}/{each.host}/{each.started}"))

    return max(hosts, key=weigh, default=None)
