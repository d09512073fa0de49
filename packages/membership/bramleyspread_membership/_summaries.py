"""What other zones have of each pool, in short."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import PoolName
from bramleyspread_membership._messages import PoolSummary


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
