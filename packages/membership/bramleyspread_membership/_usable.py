"""Lists of usable targets, kept between requests."""

from __future__ import annotations

from bramleyspread_core import PoolName, TargetView, ZoneName
from bramleyspread_membership._targets import TargetTable

#: A list is rebuilt for newer loads this often at most, in seconds.
REFRESH = 0.05


class _Listing:
    """A pool's usable targets as they were at one moment."""

    __slots__ = ("built_at", "ends_at", "epoch", "number", "views")

    def __init__(
        self,
        views: tuple[TargetView, ...],
        ends_at: float,
        built_at: float,
        epoch: int,
        number: int,
    ) -> None:
        #: The targets, this zone's first.
        self.views = views
        #: When the first lease among them runs out.
        self.ends_at = ends_at
        #: When this was listed.
        self.built_at = built_at
        #: The pool's epoch then.
        self.epoch = epoch
        #: The table's newest change then.
        self.number = number


class UsableLists:
    """Usable targets by pool; the same tuple as long as nothing changed.

    Targets that come or go show at once, newer loads within :data:`REFRESH`.
    """

    __slots__ = ("_lease", "_listings", "_table", "_zone")

    def __init__(self, table: TargetTable, zone: ZoneName, lease: float) -> None:
        self._table = table
        self._zone = zone
        self._lease = lease
        self._listings: dict[PoolName, _Listing] = {}

    def list(self, pool: PoolName, now: float) -> tuple[TargetView, ...]:
        """List a pool's usable targets, this zone's first.

        :param pool: the pool.
        :param now: monotonic seconds.
        :returns: the targets; the same object as long as nothing changed.
        """
        listing = self._listings.get(pool)
        if listing is not None and self._is_current(listing, pool, now):
            return listing.views
        return self._build(pool, now, listing)

    def _build(
        self, pool: PoolName, now: float, old: _Listing | None
    ) -> tuple[TargetView, ...]:
        near: list[TargetView] = []
        far: list[TargetView] = []
        ends_at = float("inf")
        for record in self._table.list_usable(pool, now):
            ends_at = min(ends_at, record.heard_at + self._lease)
            is_near = record.announcement.zone == self._zone
            (near if is_near else far).append(record.view)
        views = (*near, *far)
        if old is not None and _is_same(views, old.views):
            views = old.views
        epoch = self._table.find_epoch(pool)
        number = self._table.newest
        self._listings[pool] = _Listing(views, ends_at, now, epoch, number)
        return views

    def _is_current(self, listing: _Listing, pool: PoolName, now: float) -> bool:
        if now >= listing.ends_at or listing.epoch != self._table.find_epoch(pool):
            return False
        is_recent = now < listing.built_at + REFRESH
        return is_recent or listing.number == self._table.newest


def _is_same(new: tuple[TargetView, ...], old: tuple[TargetView, ...]) -> bool:
    if len(new) != len(old):
        return False
    return all(one is other for one, other in zip(new, old, strict=True))
