"""Which target an attempt goes to."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random
from typing import Protocol

import xxhash

from bramleyspread_core import PoolName, Stage, TargetName, TargetView
from bramleyspread_entry._affinity import PrefixHints
from bramleyspread_entry._outliers import Outliers
from bramleyspread_entry._slices import Slice, Slices
from bramleyspread_entry._traffic import OwnTraffic

#: Targets looked at before the whole list is searched.
LOOKS = 8
#: Targets compared.
COMPARED = 2
#: Added to the load of a target in another availability zone, in shares of slots.
FAR_PENALTY = 0.25
#: Fewer near targets than this can't be compared with each other alone.
FEW_NEAR = 3
#: Share of attempts that then go to targets of all zones, to know their latency.
PROBE_SHARE = 0.05
#: Load from which targets farther away are looked at, in shares of slots.
FULL = 0.9
#: Load up to which a cached prefix draws a request, above the best other target.
AFFINITY_MARGIN = 0.5
#: Load up to which it does so at all, in shares of slots.
AFFINITY_BOUND = 0.8
#: Most targets of a pool in which all zones share the homes of prefixes.
SMALL_POOL = 16


@dataclass(frozen=True, slots=True)
class Need:
    """What an attempt needs of its target."""

    #: The pool.
    pool: PoolName
    #: The stage; its model and adapter must be loaded.
    stage: Stage
    #: The prefix key; empty for none.
    prefix: str
    #: Targets not to be used while there are others.
    avoid: AbstractSet[TargetName]


class Choice(Protocol):
    """Chooses targets and is told what became of the attempts."""

    def choose(
        self, need: Need, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose one of the usable targets; None when none fits."""

    def sent(self, target: TargetName, now: float) -> None:
        """An attempt went to a target."""

    def ended(self, target: TargetName, now: float) -> None:
        """An attempt at a target is over."""

    def answered(self, target: TargetName, prefix: str, now: float) -> None:
        """A target answered; it may hold the prefix from now on."""


def fits(view: TargetView, stage: Stage) -> bool:
    """Whether a target holds the model and adapter that a stage asks for.

    :param view: what is known of the target.
    :param stage: the stage.
    :returns: True also for a stage that asks for none.
    """
    if stage.model is None:
        return True
    for model in view.announcement.models:
        if model.name == stage.model:
            return stage.adapter is None or stage.adapter in model.adapters
    return False


def find_zone_end(views: Sequence[TargetView], zone: str) -> int:
    """Find where the targets of a zone end in a list that has them first.

    :param views: usable targets, this zone's first.
    :param zone: this host's zone.
    :returns: how many are in this zone.
    """
    low, high = 0, len(views)
    while low < high:
        middle = (low + high) // 2
        if views[middle].announcement.zone == zone:
            low = middle + 1
        else:
            high = middle
    return low


class TwoChoices:
    """The less loaded of two targets drawn at random, near ones first.

    The time it takes does not depend on the number of targets: a few are drawn
    and the whole list is only searched when none of them fits. Drawing also
    keeps hosts with the same stale load reports from choosing the same target.
    The first draw is among this host's own slice of its zone, the next among
    the zone, the last among all other zones.
    """

    __slots__ = ("_hints", "_outliers", "_rng", "_slices", "_zone", "traffic")

    def __init__(
        self, zone: str, outliers: Outliers, slices: Slices, rng: Random
    ) -> None:
        self._zone = zone
        self._outliers = outliers
        self._slices = slices
        self._rng = rng
        self._hints = PrefixHints()
        #: This host's own attempts.
        self.traffic = OwnTraffic()

    def choose(
        self, need: Need, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose a target.

        :param need: what the attempt needs.
        :param views: usable targets, this zone's first.
        :param now: monotonic seconds.
        :returns: the target, or None when none fits.
        """
        if not views:
            return None
        near = find_zone_end(views, self._zone)
        own = self._slices.find(near, now)
        if near < FEW_NEAR and self._rng.random() < PROBE_SHARE:
            return self._probe(need, views, now)
        best, load = self._draw(need, views, own, now)
        if load >= FULL and own.size < near:
            zone = Slice(0, near, max(1, near))
            best, load = self._draw_better(need, views, zone, best, load, 0.0, now)
        if load >= FULL:
            far = Slice(near, len(views) - near, len(views))
            best, load = self._draw_better(
                need, views, far, best, load, FAR_PENALTY, now
            )
        if best is None:
            return self._search(views, lambda view: fits(view, need.stage))
        if need.prefix:
            return self._follow_prefix(need, views, own, best, load, now)
        return best

    def _probe(
        self, need: Need, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Draw from all zones, so that the few near targets have peers."""
        everywhere = Slice(0, len(views), len(views))
        best, _ = self._draw(need, views, everywhere, now)
        if best is None:
            return self._search(views, lambda view: fits(view, need.stage))
        return best

    def sent(self, target: TargetName, now: float) -> None:
        """Note that an attempt went to a target."""
        self.traffic.note(target, 1, now)

    def ended(self, target: TargetName, now: float) -> None:
        """Note that an attempt at a target is over."""
        self.traffic.note(target, -1, now)

    def answered(self, target: TargetName, prefix: str, now: float) -> None:
        """Note that a target may hold a prefix from now on."""
        if prefix:
            self._hints.store(prefix, target, now)

    def _draw_better(
        self,
        need: Need,
        views: Sequence[TargetView],
        part: Slice,
        best: TargetView | None,
        load: float,
        penalty: float,
        now: float,
    ) -> tuple[TargetView | None, float]:
        """Draw from a part of the list; keep the best so far unless it is worse."""
        other, other_load = self._draw(need, views, part, now)
        if other_load + penalty < load:
            return other, other_load
        return best, load

    def _draw(
        self, need: Need, views: Sequence[TargetView], part: Slice, now: float
    ) -> tuple[TargetView | None, float]:
        """Draw a target and its load; None and an infinite one when none fits."""
        best: TargetView | None = None
        load = math.inf
        found = 0
        for _ in range(LOOKS if part.size else 0):
            view = views[part.place(int(self._rng.random() * part.size))]
            if view is best or not self._is_good(view, need, now):
                continue
            found += 1
            view_load = self.traffic.estimate(view)
            if view_load < load:
                best, load = view, view_load
            if found == COMPARED:
                break
        if best is None and part.size:
            members = [views[part.place(number)] for number in range(part.size)]
            best = self._search(members, lambda view: self._is_good(view, need, now))
            load = self.traffic.estimate(best) if best is not None else math.inf
        return best, load

    def _is_good(self, view: TargetView, need: Need, now: float) -> bool:
        target = view.announcement.target
        return (
            target not in need.avoid
            and fits(view, need.stage)
            and self._outliers.allows(target, now)
        )

    def _search(
        self, views: Sequence[TargetView], is_good: Callable[[TargetView], bool]
    ) -> TargetView | None:
        """Search a list from anywhere on."""
        size = len(views)
        offset = int(self._rng.random() * size)
        for step in range(size):
            view = views[(offset + step) % size]
            if is_good(view):
                return view
        return None

    def _follow_prefix(
        self,
        need: Need,
        views: Sequence[TargetView],
        own: Slice,
        best: TargetView,
        load: float,
        now: float,
    ) -> TargetView:
        """Prefer a target that may hold the prefix, while its load allows it.

        All hosts that share a slice draw a prefix to the same targets of it, so
        that they fill few caches with it.
        """
        first, second = _draw_homes(need.prefix, views, own)
        held = self._hints.find(need.pool, need.prefix, views, now)
        for view in (first, held, second):
            if view is None or not self._is_good(view, need, now):
                continue
            held_load = self.traffic.estimate(view)
            bound = max(load, min(AFFINITY_BOUND, load + AFFINITY_MARGIN))
            if held_load <= bound:
                return view
        return best


def _draw_homes(
    prefix: str, views: Sequence[TargetView], own: Slice
) -> tuple[TargetView, TargetView]:
    """Draw the two targets that a prefix belongs to first.

    In a small pool all hosts of all zones draw the same ones; in a large one
    those that share a slice do.
    """
    if len(views) <= SMALL_POOL:
        order = sorted(
            views,
            key=lambda view: xxhash.xxh3_64_intdigest(
                f"{prefix} {view.announcement.target}"
            ),
        )
        return order[0], order[min(1, len(order) - 1)]
    part = own if own.size else Slice(0, len(views), len(views))
    drawn = xxhash.xxh3_64_intdigest(prefix)
    first, second = drawn % part.size, (drawn >> 32) % part.size
    return views[part.place(first)], views[part.place(second)]
