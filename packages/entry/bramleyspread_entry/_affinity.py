"""Hints about which target holds which prompt prefix."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from bramleyspread_core import PoolName, TargetName, TargetView

#: Hints kept.
KEPT_HINTS = 20_000
#: Age at which a hint is not believed any more, in seconds.
HINT_AGE = 30.0
#: Shortest time between two looks through all targets of a pool, in seconds.
INDEX_PAUSE = 0.25


@dataclass(frozen=True, slots=True)
class _Hint:
    """A target that may hold a prefix."""

    #: The target.
    target: TargetName
    #: When the hint runs out, in monotonic seconds.
    expires: float


@dataclass(frozen=True, slots=True)
class _Index:
    """Positions of targets in a pool's list, as of some time."""

    #: Position by target.
    positions: dict[TargetName, int]
    #: When it was made, in monotonic seconds.
    made_at: float


class PrefixHints:
    """What this host believes about the prefix caches of targets.

    Prefix keys begin with the brand's key, so that brands share nothing. A hint
    is only ever a reason to prefer a target; it expires, and a target's own
    word that the prefix was evicted ends it.
    """

    __slots__ = ("_hints", "_indices")

    def __init__(self) -> None:
        self._hints: OrderedDict[str, _Hint] = OrderedDict()
        self._indices: dict[PoolName, _Index] = {}

    def store(self, prefix: str, target: TargetName, now: float) -> None:
        """Believe that a target holds a prefix.

        :param prefix: the prefix key.
        :param target: the target.
        :param now: monotonic seconds.
        """
        self._hints[prefix] = _Hint(target, now + HINT_AGE)
        self._hints.move_to_end(prefix)
        if len(self._hints) > KEPT_HINTS:
            self._hints.popitem(last=False)

    def find(
        self,
        pool: PoolName,
        prefix: str,
        views: Sequence[TargetView],
        now: float,
    ) -> TargetView | None:
        """Find the usable target that is believed to hold a prefix.

        :param pool: the pool.
        :param prefix: the prefix key.
        :param views: the pool's usable targets.
        :param now: monotonic seconds.
        :returns: the target, or None.
        """
        hint = self._hints.get(prefix)
        if hint is None:
            return None
        view = self._locate(pool, hint.target, views, now)
        if hint.expires <= now or (view is not None and _evicted(view, prefix)):
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
        index = self._indices.get(pool)
        if index is not None:
            position = index.positions.get(target, len(views))
            if position < len(views):
                view = views[position]
                if view.announcement.target == target:
                    return view
            if now < index.made_at + INDEX_PAUSE:
                return None
        positions = {
            view.announcement.target: place for place, view in enumerate(views)
        }
        self._indices[pool] = _Index(positions, now)
        found = positions.get(target)
        return views[found] if found is not None else None


def _evicted(view: TargetView, prefix: str) -> bool:
    events = view.announcement.cache_events
    return any(event.prefix == prefix and not event.stored for event in events)
