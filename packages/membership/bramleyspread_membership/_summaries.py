"""Summaries of the pools in other zones."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import PoolName, ZoneName
from bramleyspread_membership._messages import PoolSummary
from bramleyspread_membership._sampling import PoolSizeEstimator
from bramleyspread_membership._targets import TargetTable


class ZoneSummary(Struct, frozen=True):
    """A summary of one pool in another zone."""

    #: The zone's name.
    zone: str
    #: The summary sent by a host of the zone.
    summary: PoolSummary
    #: When the summary was received, in monotonic seconds.
    received_at: float


class SummaryTable:
    """The newest summary of each pool in each other zone."""

    __slots__ = ("_lease_s", "_summaries")

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._summaries: dict[tuple[str, PoolName], ZoneSummary] = {}

    def put(self, summary: ZoneSummary) -> None:
        """Store a summary in place of the previous one.

        :param summary: the newest summary of its pool and zone.
        """
        self._summaries[summary.zone, summary.summary.pool] = summary

    def list(self, now: float) -> list[ZoneSummary]:
        """List the summaries that have not expired.

        :param now: monotonic seconds.
        :returns: the summaries.
        """
        oldest = now - self._lease_s
        return [each for each in self._summaries.values() if each.received_at > oldest]


def summarise_zone(
    targets: TargetTable,
    pool_sizes: PoolSizeEstimator,
    zone: ZoneName,
    hosts: int,
    now: float,
) -> tuple[PoolSummary, ...]:
    """Summarise the pools of a zone from the targets known to one of its hosts.

    :param targets: the targets known to the host.
    :param pool_sizes: the host's estimates of pool sizes.
    :param zone: the host's zone.
    :param hosts: the number of entry hosts in the zone.
    :param now: monotonic seconds.
    :returns: a summary of each pool with usable targets in the zone.
    """
    summaries = []
    for pool in targets.list_pools():
        loads = [
            record.announcement.load.running + record.announcement.load.waiting
            for record in targets.list_usable(pool, now)
            if record.announcement.zone == zone
        ]
        if loads:
            size = max(len(loads), round(pool_sizes.estimate(pool, hosts)))
            mean_load_percent = round(100 * sum(loads) / len(loads))
            summaries.append(PoolSummary(pool, size, mean_load_percent))
    return tuple(summaries)
