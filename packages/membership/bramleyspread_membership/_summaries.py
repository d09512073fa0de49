"""What other zones have of each pool, in short."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import PoolName, ZoneName
from bramleyspread_membership._interest import PoolSizes
from bramleyspread_membership._messages import PoolSummary
from bramleyspread_membership._targets import TargetTable


class ZoneSummary(Struct, frozen=True):
    """What another zone has of one pool."""

    #: The zone.
    zone: str
    #: What it said.
    summary: PoolSummary
    #: When it was heard, in monotonic seconds.
    heard_at: float


class SummaryTable:
    """The newest summary of each pool in each other zone."""

    __slots__ = ("_lease", "_summaries")

    def __init__(self, lease: float) -> None:
        self._lease = lease
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
        oldest = now - self._lease
        return [each for each in self._summaries.values() if each.heard_at > oldest]


def summarise(
    targets: TargetTable, sizes: PoolSizes, zone: ZoneName, hosts: int, now: float
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
            size = max(len(loads), round(sizes.estimate(pool, hosts)))
            mean = round(100 * sum(loads) / len(loads))
            summaries.append(PoolSummary(pool, size, mean))
    return tuple(summaries)
