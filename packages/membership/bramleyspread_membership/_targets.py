"""Leases of targets: the newest news of each, and when it runs out."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec.structs import replace

from bramleyspread_core import (
    LEAVING_LEFT_ALONE,
    Announcement,
    ContractWatch,
    HostName,
    PoolName,
    TargetName,
    TargetState,
    TargetView,
)
from bramleyspread_membership._messages import RenewalRow
from bramleyspread_membership._record import (
    FIRST_SEQUENCES,
    NEVER,
    Merge,
    TargetRecord,
    digest_detail,
)

#: Details are kept for this long after their lease, in seconds.
REMEMBER_DETAILS = 30.0


class TargetTable:
    """Every target known, by lease; old news never undoes newer news.

    A higher incarnation beats a lower one, and within one the higher sequence
    wins. ``leaving`` is final for its incarnation and all below.
    """

    __slots__ = (
        "_epochs",
        "_left",
        "_lease",
        "_newest",
        "_pools",
        "_records",
        "_remember_left",
        "_watch",
    )

    def __init__(
        self, lease: float, remember_left: float, watch: ContractWatch
    ) -> None:
        self._lease = lease
        self._watch = watch
        self._remember_left = remember_left
        # Ordered by number: a record that changes moves to the end.
        self._records: dict[TargetName, TargetRecord] = {}
        self._pools: dict[PoolName, dict[TargetName, None]] = {}
        self._epochs: dict[PoolName, int] = {}
        self._left: dict[TargetName, tuple[int, float]] = {}
        self._newest = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def newest(self) -> int:
        """Number of the newest change."""
        return self._newest

    def find(self, target: TargetName) -> TargetRecord | None:
        """Find a target's record.

        :param target: the target.
        :returns: its record, or None.
        """
        return self._records.get(target)

    def is_usable(self, record: TargetRecord, now: float) -> bool:
        """Whether a target may be given new work.

        :param record: its record.
        :param now: monotonic seconds.
        :returns: True while its lease runs and it is not leaving.
        """
        return now < record.heard_at + self._lease

    def merge(
        self, announcement: Announcement, heard_at: float, source: HostName, now: float
    ) -> Merge:
        """Take an announcement, heard here or passed on in full.

        :param announcement: the announcement.
        :param heard_at: when a host heard it, in this host's monotonic seconds.
        :param source: the host that it came from.
        :param now: monotonic seconds.
        :returns: what it did.
        """
        target = announcement.target
        if announcement.state is TargetState.LEAVING:
            result = self.leave(target, announcement.incarnation, now)
            self._remember(target, announcement.incarnation, now)
            return result
        if self._is_old(target, announcement.incarnation, announcement.sequence):
            return Merge.NOTHING
        if heard_at + self._lease <= now:
            return Merge.NOTHING
        known = self._records.get(target)
        detail = digest_detail(announcement)
        if known is not None and known.detail == detail:
            self._put(announcement, detail, heard_at, source, known.changed_at, now)
            return Merge.RENEWED
        is_new = known is not None or announcement.sequence <= FIRST_SEQUENCES
        self._put(announcement, detail, heard_at, source, now if is_new else NEVER, now)
        return Merge.CHANGED

    def renew(
        self, row: RenewalRow, heard_at: float, source: HostName, now: float
    ) -> Merge:
        """Take a renewal that was passed on.

        :param row: the renewal.
        :param heard_at: when a host heard it, in this host's monotonic seconds.
        :param source: the host that it came from.
        :param now: monotonic seconds.
        :returns: what it did.
        """
        known = self._records.get(row.target)
        if known is None or known.detail != row.detail:
            return Merge.UNKNOWN
        if row.sequence <= known.announcement.sequence:
            return Merge.NOTHING
        if heard_at + self._lease <= now:
            return Merge.NOTHING
        load = replace(
            known.announcement.load,
            running=row.running,
            waiting=row.waiting,
            cache_used=row.cache_percent / 100,
            age_ms=row.load_age_ms,
        )
        announcement = replace(
            known.announcement,
            sequence=row.sequence,
            load=load,
            cache_events=row.cache_events,
        )
        self._put(announcement, known.detail, heard_at, source, known.changed_at, now)
        return Merge.RENEWED

    def leave(self, target: TargetName, incarnation: int, now: float) -> Merge:
        """Take the news that an incarnation is leaving.

        :param target: the target.
        :param incarnation: the incarnation.
        :param now: monotonic seconds.
        :returns: ``LEFT`` when it is news.
        """
        left = self._left.get(target)
        if left is not None and left[0] >= incarnation:
            return Merge.NOTHING
        known = self._records.get(target)
        if known is not None and known.announcement.incarnation > incarnation:
            return Merge.NOTHING
        self._left[target] = (incarnation, now)
        self._drop(target)
        return Merge.LEFT

    def list_left(self, since: float) -> Iterator[tuple[TargetName, int]]:
        """List incarnations that said at or after a time that they are leaving.

        :param since: monotonic seconds.
        :returns: targets and incarnations.
        """
        for target, (incarnation, heard_at) in self._left.items():
            if heard_at >= since:
                yield target, incarnation

    def list_changed(self, after: int) -> list[TargetRecord]:
        """List records that changed after a number, the oldest change first.

        :param after: a number that this table gave.
        :returns: the records.
        """
        changed = []
        for record in reversed(self._records.values()):
            if record.number <= after:
                break
            changed.append(record)
        changed.reverse()
        return changed

    def list_usable(self, pool: PoolName, now: float) -> list[TargetRecord]:
        """List the records of one pool whose leases run.

        :param pool: the pool.
        :param now: monotonic seconds.
        :returns: the records.
        """
        oldest = now - self._lease
        records = (self._records[name] for name in self._pools.get(pool, ()))
        return [record for record in records if record.heard_at > oldest]

    def find_epoch(self, pool: PoolName) -> int:
        """Find a number that rises when a pool's targets come, go or change.

        :param pool: the pool.
        :returns: the number; newer loads alone leave it as it is.
        """
        return self._epochs.get(pool, 0)

    def list_pools(self) -> list[PoolName]:
        """List the pools that have records."""
        return [pool for pool, names in self._pools.items() if names]

    def expire(self, now: float) -> None:
        """Forget what is too old to matter.

        Details outlive their lease for a while, so that a target heard again
        needs no answer in full.

        :param now: monotonic seconds.
        """
        oldest = now - self._lease - REMEMBER_DETAILS
        for record in list(self._records.values()):
            if record.heard_at < oldest:
                self._drop(record.announcement.target)
        oldest = now - self._remember_left
        for target in [name for name, (_, at) in self._left.items() if at < oldest]:
            del self._left[target]

    def _is_over(self, record: TargetRecord, now: float) -> bool:
        return not self.is_usable(record, now)

    def _is_old(self, target: TargetName, incarnation: int, sequence: int) -> bool:
        left = self._left.get(target)
        if left is not None and incarnation <= left[0]:
            return True
        known = self._records.get(target)
        if known is None:
            return False
        newest = known.announcement
        return (incarnation, sequence) <= (newest.incarnation, newest.sequence)

    def _put(
        self,
        announcement: Announcement,
        detail: int,
        heard_at: float,
        source: HostName,
        changed_at: float,
        now: float,
    ) -> None:
        left = self._left.get(announcement.target, (-1, NEVER))[0]
        self._watch.check(
            LEAVING_LEFT_ALONE,
            announcement.incarnation > left and now < heard_at + self._lease,
            announcement.target,
            f"incarnation {announcement.incarnation} made usable after it left",
        )
        self._newest += 1
        view = TargetView(announcement, heard_at - announcement.load.age_ms / 1000)
        known = self._records.get(announcement.target)
        comes = known is None or known.detail != detail or self._is_over(known, now)
        self._move(announcement, comes)
        self._records[announcement.target] = TargetRecord(
            view, detail, heard_at, source, changed_at, self._newest
        )

    def _move(self, announcement: Announcement, comes: bool) -> None:
        if not comes:
            del self._records[announcement.target]
            return
        self._drop(announcement.target)
        self._pools.setdefault(announcement.pool, {})[announcement.target] = None
        self._turn_epoch(announcement.pool)

    def _drop(self, target: TargetName) -> None:
        known = self._records.pop(target, None)
        if known is not None:
            del self._pools[known.announcement.pool][target]
            self._turn_epoch(known.announcement.pool)

    def _turn_epoch(self, pool: PoolName) -> None:
        self._epochs[pool] = self.find_epoch(pool) + 1

    def _remember(self, target: TargetName, incarnation: int, now: float) -> None:
        left = self._left.get(target)
        if left is not None and left[0] == incarnation:
            self._left[target] = (incarnation, now)
