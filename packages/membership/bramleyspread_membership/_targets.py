"""The table of targets and their leases."""

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
    DISTANT_PAST,
    MAX_FIRST_SEQUENCE,
    MergeResult,
    TargetRecord,
    digest_details,
)

#: How long details are kept after their lease has expired, in seconds.
DETAILS_RETENTION_S = 30.0


class TargetTable:
    """All known targets and their leases; stale updates are ignored.

    A higher incarnation supersedes a lower one, and within an incarnation the
    higher sequence wins. ``leaving`` is final for its incarnation and all lower ones.
    """

    __slots__ = (
        "_epochs",
        "_last_change",
        "_lease_s",
        "_leaving",
        "_leaving_retention_s",
        "_pools",
        "_records",
        "_watch",
    )

    def __init__(
        self, lease_s: float, leaving_retention_s: float, watch: ContractWatch
    ) -> None:
        self._lease_s = lease_s
        self._watch = watch
        self._leaving_retention_s = leaving_retention_s
        # Sorted by change number: a record that changes moves to the end.
        self._records: dict[TargetName, TargetRecord] = {}
        # Names of each pool's targets that have records, in order of arrival.
        self._pools: dict[PoolName, dict[TargetName, None]] = {}
        self._epochs: dict[PoolName, int] = {}
        # Each target's newest leaving incarnation, and when that was last announced.
        self._leaving: dict[TargetName, tuple[int, float]] = {}
        self._last_change = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def last_change(self) -> int:
        """Number of the newest change; 0 before the first."""
        return self._last_change

    def find(self, target: TargetName) -> TargetRecord | None:
        """Find a target's record.

        :param target: the target.
        :returns: its record, or None if the target is unknown.
        """
        return self._records.get(target)

    def is_usable(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target may be given new work.

        :param record: the target's record.
        :param now: monotonic seconds.
        :returns: True until its lease expires; leaving targets have no record.
        """
        return now < record.received_at + self._lease_s

    def merge(
        self,
        announcement: Announcement,
        received_at: float,
        source: HostName,
        now: float,
    ) -> MergeResult:
        """Merge an announcement, received directly or relayed with all details.

        :param announcement: the announcement.
        :param received_at: when the target's announcement arrived at the host that it
            announced to, on this host's monotonic clock in seconds.
        :param source: the host that it came from.
        :param now: monotonic seconds.
        :returns: the effect on the table.
        """
        target = announcement.target
        if announcement.state is TargetState.LEAVING:
            result = self.mark_leaving(target, announcement.incarnation, now)
            self._refresh_leaving(target, announcement.incarnation, now)
            return result
        if self._is_stale(target, announcement.incarnation, announcement.sequence):
            return MergeResult.IGNORED
        if received_at + self._lease_s <= now:
            return MergeResult.IGNORED
        known = self._records.get(target)
        details_digest = digest_details(announcement)
        if known is not None and known.details_digest == details_digest:
            self._store(
                announcement,
                details_digest,
                received_at,
                source,
                known.details_changed_at,
                now,
            )
            return MergeResult.RENEWED
        may_be_new_to_peers = (
            known is not None or announcement.sequence <= MAX_FIRST_SEQUENCE
        )
        self._store(
            announcement,
            details_digest,
            received_at,
            source,
            now if may_be_new_to_peers else DISTANT_PAST,
            now,
        )
        return MergeResult.CHANGED

    def renew(
        self, row: RenewalRow, received_at: float, source: HostName, now: float
    ) -> MergeResult:
        """Apply a relayed renewal.

        :param row: the renewal.
        :param received_at: when the target's announcement arrived at the host that it
            announced to, on this host's monotonic clock in seconds.
        :param source: the host that it came from.
        :param now: monotonic seconds.
        :returns: the effect on the table.
        """
        known = self._records.get(row.target)
        if known is None or known.details_digest != row.details_digest:
            return MergeResult.UNKNOWN_DETAILS
        if row.sequence <= known.announcement.sequence:
            return MergeResult.IGNORED
        if received_at + self._lease_s <= now:
            return MergeResult.IGNORED
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
        self._store(
            announcement,
            known.details_digest,
            received_at,
            source,
            known.details_changed_at,
            now,
        )
        return MergeResult.RENEWED

    def mark_leaving(
        self, target: TargetName, incarnation: int, now: float
    ) -> MergeResult:
        """Mark an incarnation as leaving and remove the target's record.

        :param target: the target.
        :param incarnation: the incarnation.
        :param now: monotonic seconds.
        :returns: ``LEAVING`` if it was not marked before, else ``IGNORED``.
        """
        leaving = self._leaving.get(target)
        if leaving is not None and leaving[0] >= incarnation:
            return MergeResult.IGNORED
        known = self._records.get(target)
        if known is not None and known.announcement.incarnation > incarnation:
            return MergeResult.IGNORED
        self._leaving[target] = (incarnation, now)
        self._drop(target)
        return MergeResult.LEAVING

    def list_leaving(self, since: float) -> Iterator[tuple[TargetName, int]]:
        """List incarnations whose leaving was announced at or after a time.

        :param since: monotonic seconds.
        :returns: targets and their leaving incarnations.
        """
        for target, (incarnation, received_at) in self._leaving.items():
            if received_at >= since:
                yield target, incarnation

    def list_changed_since(self, after: int) -> list[TargetRecord]:
        """List records that changed after a change number, oldest change first.

        :param after: a change number of this table.
        :returns: the records.
        """
        changed = []
        for record in reversed(self._records.values()):
            if record.change_number <= after:
                break
            changed.append(record)
        changed.reverse()
        return changed

    def list_usable(self, pool: PoolName, now: float) -> list[TargetRecord]:
        """List the records of a pool whose leases have not expired.

        :param pool: the pool.
        :param now: monotonic seconds.
        :returns: the records.
        """
        oldest = now - self._lease_s
        records = (self._records[name] for name in self._pools.get(pool, ()))
        return [record for record in records if record.received_at > oldest]

    def find_epoch(self, pool: PoolName) -> int:
        """Find a pool's epoch, a counter that rises when targets or details change.

        :param pool: the pool.
        :returns: the epoch; renewals and newer loads alone do not change it.
        """
        return self._epochs.get(pool, 0)

    def list_pools(self) -> list[PoolName]:
        """List the pools that have records."""
        return [pool for pool, names in self._pools.items() if names]

    def expire(self, now: float) -> None:
        """Remove records and leaving marks that are no longer needed.

        Details are kept for a while after the lease has expired, so that a target
        that announces itself again can be renewed without sending its details.

        :param now: monotonic seconds.
        """
        oldest = now - self._lease_s - DETAILS_RETENTION_S
        for record in list(self._records.values()):
            if record.received_at < oldest:
                self._drop(record.announcement.target)
        oldest = now - self._leaving_retention_s
        for target in [name for name, (_, at) in self._leaving.items() if at < oldest]:
            del self._leaving[target]

    def _is_expired(self, record: TargetRecord, now: float) -> bool:
        return not self.is_usable(record, now)

    def _is_stale(self, target: TargetName, incarnation: int, sequence: int) -> bool:
        leaving = self._leaving.get(target)
        if leaving is not None and incarnation <= leaving[0]:
            return True
        known = self._records.get(target)
        if known is None:
            return False
        newest = known.announcement
        return (incarnation, sequence) <= (newest.incarnation, newest.sequence)

    def _store(
        self,
        announcement: Announcement,
        details_digest: int,
        received_at: float,
        source: HostName,
        details_changed_at: float,
        now: float,
    ) -> None:
        """Add or replace a target's record, with the next change number."""
        leaving = self._leaving.get(announcement.target, (-1, DISTANT_PAST))[0]
        self._watch.check(
            LEAVING_LEFT_ALONE,
            announcement.incarnation > leaving and now < received_at + self._lease_s,
            announcement.target,
            f"incarnation {announcement.incarnation} made usable after it left",
        )
        self._last_change += 1
        view = TargetView(announcement, received_at - announcement.load.age_ms / 1000)
        known = self._records.get(announcement.target)
        is_added = (
            known is None
            or known.details_digest != details_digest
            or self._is_expired(known, now)
        )
        self._update_pool_index(announcement, is_added)
        self._records[announcement.target] = TargetRecord(
            view,
            details_digest,
            received_at,
            source,
            details_changed_at,
            self._last_change,
        )

    def _update_pool_index(self, announcement: Announcement, is_added: bool) -> None:
        """Remove the old record; index an added or changed target in its pool."""
        if not is_added:
            del self._records[announcement.target]
            return
        self._drop(announcement.target)
        self._pools.setdefault(announcement.pool, {})[announcement.target] = None
        self._bump_epoch(announcement.pool)

    def _drop(self, target: TargetName) -> None:
        known = self._records.pop(target, None)
        if known is not None:
            del self._pools[known.announcement.pool][target]
            self._bump_epoch(known.announcement.pool)

    def _bump_epoch(self, pool: PoolName) -> None:
        self._epochs[pool] = self.find_epoch(pool) + 1

    def _refresh_leaving(
        self, target: TargetName, incarnation: int, now: float
    ) -> None:
        """Restart the retention of a leaving mark when its target repeats it."""
        leaving = self._leaving.get(target)
        if leaving is not None and leaving[0] == incarnation:
            self._leaving[target] = (incarnation, now)
