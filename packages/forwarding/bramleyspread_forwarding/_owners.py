"""Chooses the entry host that does shared work of a service: batching or placement."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from bramleyspread_forwarding._feed import EntryHost

#: Backoff of a host that did not answer, in seconds.
BACKOFF_S = 1.5
#: How long a host continues with the work of a service after another host became the
#: owner, in seconds; hosts notice changes of membership at slightly different times.
HANDOVER_GRACE_S = 0.3


class ServiceOwners:
    """The owner of each service's shared work, as one host sees it."""

    __slots__ = ("_backoff_until", "_last_owned_at", "_own_host")

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._backoff_until: dict[str, float] = {}
        self._last_owned_at: dict[str, float] = {}

    def find_remote_owner(
        self, service: str, hosts: Sequence[EntryHost], now: float
    ) -> EntryHost | None:
        """Find the owner of a service if it is another host.

        :param service: the service.
        :param hosts: the live entry hosts.
        :param now: the current time, in seconds.
        :returns: the owner; None when it is this host, or there is none.
        """
        candidates = [x for x in hosts if self._backoff_until.get(x.host, 0.0) <= now]
        owner = find_owner(service, candidates)
        return None if owner is None or owner.host == self._own_host else owner

    def start_backoff(self, host: EntryHost, now: float) -> None:
        """Start the backoff of a host that did not answer."""
        self._backoff_until[host.host] = now + BACKOFF_S

    def may_continue_work(
        self, service: str, hosts: Sequence[EntryHost], now: float
    ) -> bool:
        """Whether this host may continue work that other hosts requested from it.

        :param service: the service.
        :param hosts: the live entry hosts.
        :param now: the current time, in seconds.
        :returns: True while this host owns the service, and for a grace period after.
        """
        if self.find_remote_owner(service, hosts, now) is None:
            self._last_owned_at[service] = now
        return now - self._last_owned_at.setdefault(service, now) < HANDOVER_GRACE_S


def find_owner(service: str, hosts: Sequence[EntryHost]) -> EntryHost | None:
    """Find the host that owns a service's shared work.

    All hosts with the same list find the same owner, by rendezvous hashing. The hash
    includes the start time of the process, so a host that restarts usually does not
    take the work back from the host that replaced it.

    :param service: the service.
    :param hosts: the live entry hosts.
    :returns: the owner; None when there are no hosts.
    """

    def hash_weight(each: EntryHost) -> int:
        return int(xxhash.xxh3_64_intdigest(f"{service}/{each.host}/{each.started}"))

    return max(hosts, key=hash_weight, default=None)
