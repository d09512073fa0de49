"""Cached lists of usable targets, shared between requests."""

from __future__ import annotations

from bramleyspread_core import PoolName, TargetView, ZoneName
from bramleyspread_membership._targets import TargetTable

#: Shortest interval between two rebuilds of a list because of newer loads alone.
LOAD_REFRESH_S = 0.05


class _CachedList:
    """A cached list of a pool's usable targets."""

    __slots__ = ("built_at", "change_number", "epoch", "expires_at", "views")

    def __init__(
        self,
        views: tuple[TargetView, ...],
        expires_at: float,
        built_at: float,
        epoch: int,
        change_number: int,
    ) -> None:
        #: The targets, those of this zone first.
        self.views = views
        #: When the first lease among the targets expires, in monotonic seconds.
        self.expires_at = expires_at
        #: When the list was built, in monotonic seconds.
        self.built_at = built_at
        #: The pool's epoch when the list was built.
        self.epoch = epoch
        #: Number of the table's newest change when the list was built.
        self.change_number = change_number


class UsableTargetCache:
    """Caches the list of usable targets of each pool until it changes.

    Added and removed targets are visible in the list immediately, newer loads within
    :data:`LOAD_REFRESH_S`.
    """

    __slots__ = ("_cached_lists", "_lease_s", "_table", "_zone")

    def __init__(self, table: TargetTable, zone: ZoneName, lease_s: float) -> None:
        self._table = table
        self._zone = zone
        self._lease_s = lease_s
        self._cached_lists: dict[PoolName, _CachedList] = {}

    def list(self, pool: PoolName, now: float) -> tuple[TargetView, ...]:
        """List the usable targets of a pool, those of this zone first.

        :param pool: the pool.
        :param now: monotonic seconds.
        :returns: the targets; the same object while nothing has changed.
        """
        cached = self._cached_lists.get(pool)
        if cached is not None and self._is_current(cached, pool, now):
            return cached.views
        return self._build(pool, now, cached)

    def _build(
        self, pool: PoolName, now: float, old: _CachedList | None
    ) -> tuple[TargetView, ...]:
        same_zone: list[TargetView] = []
        other_zones: list[TargetView] = []
        expires_at = float("inf")
        for record in self._table.list_usable(pool, now):
            expires_at = min(expires_at, record.received_at + self._lease_s)
            is_same_zone = record.announcement.zone == self._zone
            (same_zone if is_same_zone else other_zones).append(record.view)
        views = (*same_zone, *other_zones)
        if old is not None and _is_identical(views, old.views):
            views = old.views
        epoch = self._table.find_epoch(pool)
        change_number = self._table.last_change
        self._cached_lists[pool] = _CachedList(
            views, expires_at, now, epoch, change_number
        )
        return views

    def _is_current(self, cached: _CachedList, pool: PoolName, now: float) -> bool:
        if now >= cached.expires_at or cached.epoch != self._table.find_epoch(pool):
            return False
        is_recent = now < cached.built_at + LOAD_REFRESH_S
        return is_recent or cached.change_number == self._table.last_change


def _is_identical(new: tuple[TargetView, ...], old: tuple[TargetView, ...]) -> bool:
    if len(new) != len(old):
        return False
    return all(one is other for one, other in zip(new, old, strict=True))
