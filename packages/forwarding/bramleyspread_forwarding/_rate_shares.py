"""Which share of a target's rate limit one host may use."""

from __future__ import annotations

from collections.abc import Sequence

from bramleyspread_forwarding._feed import EntryHost
from bramleyspread_forwarding._owners import ServiceOwners

#: Share of the host that owns the service's shared work. Targets allow more for a
#: short time, which covers requests that are on their way when owners change.
OWNER_SHARE = 0.9
#: Share of a host that has become the owner lately, while others may still use the
#: former one.
NEW_OWNER_SHARE = 0.5
#: Time for which an owner counts as new, in seconds; hosts agree on it sooner.
NEW_OWNER_S = 4.0
#: Share of a host that was asked because the owner doesn't answer.
STAND_IN_SHARE = 0.25
#: Number of hosts, next in order after the owner, that may stand in for it.
STAND_INS = 2
#: Time without a check after which this host may have been suspended, in seconds.
MAX_CHECK_GAP_S = 0.5


class RateShares:
    """The share of a rate limit that this host may use or hand out.

    One host counts all requests to the targets of a service, or of a shard of it: the
    owner of the shared work. Others ask it. While hosts disagree on who that is, or
    can't reach it, smaller shares keep the sum within what targets bear.

    :param owners: the owners of shared work as this host sees them.
    """

    def __init__(self, owners: ServiceOwners) -> None:
        self._owners = owners
        self._owned_since: dict[tuple[str, int], float] = {}
        self._checked_at = 0.0

    def find_share(
        self, service: str, hosts: Sequence[EntryHost], now: float, shard: int = 0
    ) -> float:
        """Find this host's share of the rate limits of a service's targets.

        :param service: the service.
        :param hosts: the live entry hosts.
        :param now: the current time, in seconds.
        :param shard: number of the shard if the service is divided into shards.
        """
        place = self._owners.find_place(service, hosts, STAND_INS + 1, shard)
        if place != 0:
            self._owned_since.pop((service, shard), None)
            return STAND_IN_SHARE if place is not None else 0.0
        since = self._owned_since.setdefault((service, shard), now)
        return NEW_OWNER_SHARE if now - since < NEW_OWNER_S else OWNER_SHARE

    def check(self, now: float) -> bool:
        """Check whether this host may have been suspended; call it periodically.

        :param now: the current time, in seconds.
        :returns: whether it may have been; it then counts as a new owner.
        """
        was_suspended = now - self._checked_at > MAX_CHECK_GAP_S
        self._checked_at = now
        if was_suspended:
            self._owned_since.clear()
        return was_suspended
