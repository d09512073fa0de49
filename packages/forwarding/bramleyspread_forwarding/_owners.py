"""Chooses the entry hosts that do shared work of a service: batching or placement."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from bramleyspread_forwarding._feed import EntryHost

#: Backoff of a host that did not answer, in seconds.
BACKOFF_S = 1.5
#: Maximum backoff of a host that repeatedly does not answer, in seconds.
MAX_BACKOFF_S = 6.0
#: How long a host continues with the work of a service after another host became the
#: owner, in seconds; hosts notice changes of membership at slightly different times.
HANDOVER_GRACE_S = 0.3


class ServiceOwners:
    """The owner of each service's shared work, as one host sees it."""

    __slots__ = (
        "_backoff_until",
        "_backoffs_s",
        "_known_owners",
        "_last_owned_at",
        "_own_host",
        "_places",
    )

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._backoff_until: dict[str, float] = {}
        self._backoffs_s: dict[str, float] = {}
        self._known_owners: dict[
            str, tuple[tuple[EntryHost, ...], tuple[EntryHost, ...]]
        ] = {}
        self._last_owned_at: dict[tuple[str, int], float] = {}
        self._places: dict[
            tuple[str, int], tuple[tuple[EntryHost, ...], int | None]
        ] = {}

    def find_remote_owner(
        self, service: str, hosts: Sequence[EntryHost], now: float, shard: int = 0
    ) -> EntryHost | None:
        """Find the owner of a service if it is another host.

        :param service: the service.
        :param hosts: the live entry hosts.
        :param now: the current time, in seconds.
        :param shard: number of the shard if the service is divided into shards.
        :returns: the owner; None when it is this host, or there is none.
        """
        candidates = tuple(
            x for x in hosts if self._backoff_until.get(x.host, 0.0) <= now
        )
        owner = self._find_known_owner(service, candidates, shard)
        return None if owner is None or owner.host == self._own_host else owner

    def _find_known_owner(
        self, service: str, hosts: tuple[EntryHost, ...], shard: int
    ) -> EntryHost | None:
        """Find an owner; hosts are hashed only if they changed since the last call."""
        known_hosts, owners = self._known_owners.get(service, ((), ()))
        if known_hosts != hosts or len(owners) <= shard:
            owners = rank_owners(service, hosts, shard + 1)
            self._known_owners[service] = (hosts, owners)
        return owners[shard] if owners else None

    def find_place(
        self, service: str, hosts: Sequence[EntryHost], places: int, shard: int = 0
    ) -> int | None:
        """Find this host's place in the order in which hosts are asked.

        Hosts in backoff keep their place, since others may reach them.

        :param service: the service.
        :param hosts: the live entry hosts.
        :param places: number of places to search.
        :param shard: number of the shard if the service is divided into shards.
        :returns: 0 for the owner; None when this host isn't among the first places.
        """
        listed = tuple(hosts)
        known_hosts, place = self._places.get((service, shard), ((), None))
        if known_hosts != listed:
            place = self._search_place(service, listed, places, shard)
            self._places[service, shard] = (listed, place)
        return place

    def _search_place(
        self, service: str, hosts: tuple[EntryHost, ...], places: int, shard: int
    ) -> int | None:
        remaining = list(hosts)
        for place in range(min(places, len(hosts))):
            owner = rank_owners(service, remaining, shard + 1)[shard]
            if owner.host == self._own_host:
                return place
            remaining.remove(owner)
        return None

    def start_backoff(self, host: EntryHost, now: float) -> None:
        """Start the backoff of a host that did not answer.

        The backoff doubles if the host did not answer after the previous one either.
        """
        name = host.host
        if self._backoff_until.get(name, 0.0) > now:
            return
        backoff_s = min(2 * self._backoffs_s.get(name, BACKOFF_S / 2), MAX_BACKOFF_S)
        self._backoffs_s[name] = backoff_s
        self._backoff_until[name] = now + backoff_s

    def end_backoff(self, host: EntryHost) -> None:
        """Record that a host answered."""
        self._backoff_until.pop(host.host, None)
        self._backoffs_s.pop(host.host, None)

    def list_unreachable(self, now: float) -> tuple[str, ...]:
        """List the names of the hosts in backoff."""
        return tuple(x for x, until in self._backoff_until.items() if until > now)

    def may_continue_work(
        self, service: str, hosts: Sequence[EntryHost], now: float, shard: int = 0
    ) -> bool:
        """Whether this host may continue work that other hosts requested from it.

        :param service: the service.
        :param hosts: the live entry hosts.
        :param now: the current time, in seconds.
        :param shard: number of the shard if the service is divided into shards.
        :returns: True while this host owns the service, and for a grace period after.
        """
        key = (service, shard)
        if self.find_remote_owner(service, hosts, now, shard) is None:
            self._last_owned_at[key] = now
        return now - self._last_owned_at.setdefault(key, now) < HANDOVER_GRACE_S


def find_owner(service: str, hosts: Sequence[EntryHost]) -> EntryHost | None:
    """Find the host that owns a service's shared work.

    :param service: the service.
    :param hosts: the live entry hosts.
    :returns: the owner; None when there are no hosts.
    """
    owners = rank_owners(service, hosts, 1)
    return owners[0] if owners else None


def rank_owners(
    service: str, hosts: Sequence[EntryHost], shards: int
) -> tuple[EntryHost, ...]:
    """Find the hosts that own the shards of a service's shared work.

    All hosts with the same list find the same owners, by rendezvous hashing. The hash
    includes the start time of the process, so a host that restarts usually does not
    take the work back from the host that replaced it. The shards of a service have
    different owners while there are enough hosts.

    :param service: the service.
    :param hosts: the live entry hosts.
    :param shards: number of shards.
    :returns: the owner of each shard; empty when there are no hosts.
    """
    if not hosts:
        return ()
    owners: list[EntryHost] = []
    remaining: list[EntryHost] = []
    for number in range(shards):
        remaining = remaining or list(hosts)
        owner = _find_heaviest(service, number, remaining)
        remaining.remove(owner)
        owners.append(owner)
    return tuple(owners)


def _find_heaviest(service: str, shard: int, hosts: Sequence[EntryHost]) -> EntryHost:
    key = f"{service}#{shard}" if shard else service

    def hash_weight(each: EntryHost) -> int:
        return int(xxhash.xxh3_64_intdigest(f"{key}/{each.host}/{each.started}"))

    return max(hosts, key=hash_weight)
