"""What the reconciler knows of targets, from the reports of entry hosts."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import (
    Announcement,
    PoolName,
    TargetName,
    TargetsReport,
    TargetState,
)


class KnownTarget(Struct, frozen=True):
    """The newest announcement of a target that a report carried."""

    #: The announcement.
    announcement: Announcement
    #: When it was reported, in monotonic seconds.
    heard_at: float


class TargetKnowledge:
    """The newest announcements; old ones never undo newer ones."""

    __slots__ = ("_lease", "_targets")

    def __init__(self, lease: float) -> None:
        self._lease = lease
        self._targets: dict[TargetName, KnownTarget] = {}

    def hear(self, report: TargetsReport, now: float) -> None:
        """Take an entry host's report.

        :param report: the report.
        :param now: monotonic seconds.
        """
        for announcement in report.targets:
            known = self._targets.get(announcement.target)
            if known is not None and _is_older(announcement, known.announcement):
                continue
            self._targets[announcement.target] = KnownTarget(announcement, now)

    def find(self, target: TargetName) -> Announcement | None:
        """Find a target that is there.

        :param target: the target.
        :returns: its newest announcement, or None.
        """
        known = self._targets.get(target)
        return known.announcement if known else None

    def list_pools(self) -> dict[PoolName, list[Announcement]]:
        """List the serving targets of each pool, by name."""
        pools: dict[PoolName, list[Announcement]] = {}
        for _, known in sorted(self._targets.items()):
            announcement = known.announcement
            if announcement.state is TargetState.SERVING:
                pools.setdefault(announcement.pool, []).append(announcement)
        return pools

    def expire(self, now: float) -> None:
        """Forget targets that no report has named for long.

        :param now: monotonic seconds.
        """
        oldest = now - self._lease
        for target, known in list(self._targets.items()):
            if known.heard_at < oldest:
                del self._targets[target]


def _is_older(news: Announcement, known: Announcement) -> bool:
    if news.incarnation != known.incarnation:
        return news.incarnation < known.incarnation
    if known.state is TargetState.LEAVING:
        return True
    if news.state is TargetState.LEAVING:
        return False
    return news.sequence <= known.sequence
