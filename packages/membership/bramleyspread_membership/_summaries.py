"""What other zones have of each pool, in short."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import PoolName, ZoneName
from bramleyspread_membership._messages import PoolSummary
from bramleyspread_membership._sampling import PoolSizeEstimator
from bramleyspread_membership._targets import TargetTable


class ZoneSummary(Struct, frozen=True):
    """What another zone has of one pool."""

    #: The zone.
    zone: str
    #: What it said.
    summary: PoolSummary
    #: When it was heard, in monotonic seconds.
    received_at: float


class SummaryTable:
    """The newest summary of each pool in each other zone."""

    __slots__ = ("_lease_s", "_summaries")

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._summaries: dict[tuple[str, PoolName], ZoneSummary] = {}

    def put(self, summary: ZoneSummary) -> None:
        """Replace what was known.

        :param summary: the newest summary.
        """
        self._summaries[summary.zone, summary.summary.pool] = summary

    def list(self, now: float) -> list[ZoneSummary]:
        """List the summaries that are not too old.

        :param now: monotonic seconds.
        :returns: the summaries.
        """
        oldest = now - self._lease_s
        return [each for each in self._summaries.values() if each.received_at > oldest]


def summarise(
    targets: TargetTable,
    pool_sizes: PoolSizeEstimator,
    zone: ZoneName,
    hosts: int,
    now: float,
) -> tuple[PoolSummary, ...]:
    """Summarise what a zone has of each pool, from what one of its hosts knows.

    :param targets: the targets that the host knows.
    :param sizes: what it estimates of pools.
    :param zone: its zone.
    :param hosts: entry hosts of the zone.
    :param now: monotonic seconds.
    :returns: a summary of each pool with usable targets there.
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
