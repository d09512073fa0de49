"""Targets that entry hosts have reported to this control host."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import (
    Announcement,
    PoolName,
    TargetName,
    TargetsReport,
    TargetState,
)


class ReportedTarget(Struct, frozen=True):
    """The newest reported announcement of one target."""

    announcement: Announcement
    #: Time of the last report that was not outdated, in monotonic seconds.
    reported_at: float


class ReportedTargets:
    """Newest announcement of each target; outdated announcements are ignored."""

    __slots__ = ("_lease_s", "_targets")

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._targets: dict[TargetName, ReportedTarget] = {}

    def record(self, report: TargetsReport, now: float) -> None:
        """Record the announcements in a report from an entry host.

        :param report: the report.
        :param now: monotonic seconds.
        """
        for announcement in report.targets:
            known = self._targets.get(announcement.target)
            if known is not None and _is_outdated(announcement, known.announcement):
                continue
            self._targets[announcement.target] = ReportedTarget(announcement, now)

    def find(self, target: TargetName) -> Announcement | None:
        """Return the newest announcement of a target.

        :param target: the target.
        :returns: the announcement, or None if the target is unknown or expired.
        """
        known = self._targets.get(target)
        return known.announcement if known else None

    def group_serving_by_pool(self) -> dict[PoolName, list[Announcement]]:
        """Return the announcements of serving targets by pool.

        :returns: for each pool with a serving target, the newest announcements of
            its serving targets, sorted by target name.
        """
        pools: dict[PoolName, list[Announcement]] = {}
        for _, known in sorted(self._targets.items()):
            announcement = known.announcement
            if announcement.state is TargetState.SERVING:
                pools.setdefault(announcement.pool, []).append(announcement)
        return pools

    def expire(self, now: float) -> None:
        """Remove targets that have not been reported within the lease.

        :param now: monotonic seconds.
        """
        oldest = now - self._lease_s
        for target, known in list(self._targets.items()):
            if known.reported_at < oldest:
                del self._targets[target]


def _is_outdated(received: Announcement, known: Announcement) -> bool:
    if received.incarnation != known.incarnation:
        return received.incarnation < known.incarnation
    if known.state is TargetState.LEAVING:
        return True
    if received.state is TargetState.LEAVING:
        return False
    return received.sequence <= known.sequence
