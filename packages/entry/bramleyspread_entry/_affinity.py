"""Expiring hints about which target has a prompt prefix in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from bramleyspread_core import PoolName, TargetName, TargetView

#: Maximum number of hints kept; the oldest ones are evicted.
MAX_HINTS = 20_000
#: Time after which a hint expires.
HINT_TTL_S = 30.0
#: Shortest time between two rebuilds of a pool's index of target positions, each a pass
#: over all targets.
INDEX_REBUILD_S = 0.25


@dataclass(frozen=True, slots=True)
class _Hint:
    """A target that may have a prefix in its cache."""

    target: TargetName
    #: When the hint expires, in monotonic seconds.
    expires_at: float


@dataclass(frozen=True, slots=True)
class _PositionIndex:
    """Positions of targets in a pool's list when the index was built."""

    positions: dict[TargetName, int]
    #: When the index was built, in monotonic seconds.
    built_at: float


class PrefixHints:
    """Hints about the contents of the targets' prefix caches.

    Prefix keys begin with the brand's key, so that brands share no cached prefix.
    A hint only makes a target preferred. It is dropped when it expires and when
    the target reports that it evicted the prefix.
    """

    __slots__ = ("_hints", "_indices")

    def __init__(self) -> None:
        self._hints: OrderedDict[str, _Hint] = OrderedDict()
        self._indices: dict[PoolName, _PositionIndex] = {}

    def store(self, prefix: str, target: TargetName, now: float) -> None:
        """Record that a target may have a prefix in its cache.

        :param prefix: the prefix key.
        :param target: the target.
        :param now: monotonic seconds.
        """
        self._hints[prefix] = _Hint(target, now + HINT_TTL_S)
        self._hints.move_to_end(prefix)
        if len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def find(
        self,
        pool: PoolName,
        prefix: str,
        views: Sequence[TargetView],
        now: float,
    ) -> TargetView | None:
        """Find the usable target that may have a prefix in its cache.

        :param pool: the pool.
        :param prefix: the prefix key.
        :param views: the pool's usable targets.
        :param now: monotonic seconds.
        :returns: the target, or None when there is no valid hint or its target is
            not usable.
        """
        hint = self._hints.get(prefix)
        if hint is None:
            return None
        view = self._locate(pool, hint.target, views, now)
        if hint.expires_at <= now or (view is not None and _has_evicted(view, prefix)):
            del self._hints[prefix]
            return None
        return view

    def _locate(
        self,
        pool: PoolName,
        target: TargetName,
        views: Sequence[TargetView],
        now: float,
    ) -> TargetView | None:
        """Find a target in the list of views, by an index that may be out of date."""
        index = self._indices.get(pool)
        if index is not None:
            position = index.positions.get(target, len(views))
            if position < len(views):
                view = views[position]
                if view.announcement.target == target:
                    return view
            if now < index.built_at + INDEX_REBUILD_S:
                return None
        positions = {
            view.announcement.target: number for number, view in enumerate(views)
        }
        self._indices[pool] = _PositionIndex(positions, now)
        found = positions.get(target)
        return views[found] if found is not None else None


def _has_evicted(view: TargetView, prefix: str) -> bool:
    events = view.announcement.cache_events
    return any(event.prefix == prefix and not event.stored for event in events)
