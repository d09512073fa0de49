"""Target selection: chooses the target of each attempt."""

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
from bramleyspread_entry._outliers import OutlierDetection
from bramleyspread_entry._slices import Slice, Slices
from bramleyspread_entry._traffic import OwnTraffic

#: Maximum number of random draws from a section of the target list before it is
#: searched in order.
MAX_DRAWS = 8
#: Number of eligible targets drawn from a section, of which the least loaded is chosen.
CANDIDATES_COMPARED = 2
#: Added to the load of a target in another availability zone, as a share of slots.
OTHER_ZONE_PENALTY = 0.25
#: With fewer targets than this in this host's zone, a slow one can't be identified
#: by comparing them with each other.
MIN_ZONE_TARGETS = 3
#: Share of attempts that go to targets of all zones when this host's zone has fewer
#: than ``MIN_ZONE_TARGETS``, to measure the latency of targets in other zones.
PROBE_SHARE = 0.05
#: Load of the best target so far from which the next section is considered, as a share
#: of slots. The sections are this host's slice, its zone, and the other zones.
FULL_LOAD = 0.9
#: Maximum by which the load of a target with a cached prefix may exceed the load of
#: the best other target, as a share of slots.
AFFINITY_MARGIN = 0.5
#: Load up to which a target with a cached prefix is preferred to a less loaded one, as
#: a share of slots.
AFFINITY_MAX_LOAD = 0.8
#: Maximum number of targets in a pool in which the hosts of all zones assign a prefix
#: to the same targets.
SMALL_POOL_TARGETS = 16


@dataclass(frozen=True, slots=True)
class TargetRequirements:
    """Requirements of an attempt on its target."""

    pool: PoolName
    #: The stage, whose model and adapter must be loaded.
    stage: Stage
    #: The prefix key; empty when the attempt has no prefix to reuse.
    prefix: str
    #: Targets to use only when no other target is eligible.
    avoid: AbstractSet[TargetName]
    #: Version that the model must have, since it began the stream; empty for any.
    model_version: str = ""


class TargetSelector(Protocol):
    """Chooses targets, and records the attempts sent to them."""

    def select(
        self, requirements: TargetRequirements, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose one of the usable targets; None when none has the model."""

    def record_sent(self, target: TargetName, now: float) -> None:
        """Record that an attempt was sent to a target."""

    def record_end(self, target: TargetName, now: float) -> None:
        """Record that an attempt at a target ended."""

    def record_answer(self, target: TargetName, prefix: str, now: float) -> None:
        """Record that a target answered and may now have the prefix in its cache."""


def has_model(view: TargetView, requirements: TargetRequirements) -> bool:
    """Whether a target has loaded the model and adapter that an attempt requires.

    :param view: the target.
    :param requirements: the attempt's requirements.
    :returns: True also for a stage that requires no model.
    """
    stage = requirements.stage
    if stage.model is None:
        return True
    version = requirements.model_version
    for model in view.announcement.models:
        if model.name == stage.model and version in ("", model.version):
            return stage.adapter is None or stage.adapter in model.adapters
    return False


def find_model_version(view: TargetView, stage: Stage) -> str:
    """Find the version of the model that a target runs a stage with.

    :param view: the target.
    :param stage: the stage.
    :returns: the version; empty if the stage requires no model.
    """
    models = (x for x in view.announcement.models if x.name == stage.model)
    return next((each.version for each in models), "")


def count_zone_targets(views: Sequence[TargetView], zone: str) -> int:
    """Count a zone's targets in a list that begins with them, by binary search.

    :param views: usable targets, this zone's first.
    :param zone: this host's zone.
    :returns: how many targets are in this zone.
    """
    low, high = 0, len(views)
    while low < high:
        middle = (low + high) // 2
        if views[middle].announcement.zone == zone:
            low = middle + 1
        else:
            high = middle
    return low


class PowerOfTwoChoices:
    """Chooses the less loaded of two random targets, preferring this host's zone.

    The time of a choice does not depend on the number of targets: a few are drawn
    at random, and a list is searched in order only when none of them is eligible.
    Random draws also keep hosts with the same stale load reports from choosing the
    same target. Targets are drawn from this host's own slice of its zone first,
    then from the whole zone, then from all other zones, as long as the best target
    so far is full.
    """

    __slots__ = ("_hints", "_outliers", "_rng", "_slices", "_zone", "traffic")

    def __init__(
        self, zone: str, outliers: OutlierDetection, slices: Slices, rng: Random
    ) -> None:
        self._zone = zone
        self._outliers = outliers
        self._slices = slices
        self._rng = rng
        self._hints = PrefixHints()
        #: This host's attempts at each target.
        self.traffic = OwnTraffic()

    def select(
        self, requirements: TargetRequirements, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose a target.

        :param requirements: the attempt's requirements.
        :param views: usable targets, this zone's first.
        :param now: monotonic seconds.
        :returns: the target, or None when none has the model and adapter.
        """
        if not views:
            return None
        zone_count = count_zone_targets(views, self._zone)
        own_slice = self._slices.find(zone_count, now)
        if zone_count < MIN_ZONE_TARGETS and self._rng.random() < PROBE_SHARE:
            return self._probe_all_zones(requirements, views, now)
        best, load = self._draw(requirements, views, own_slice, now)
        if load >= FULL_LOAD and own_slice.size < zone_count:
            zone = Slice(0, zone_count, max(1, zone_count))
            best, load = self._draw_better(
                requirements, views, zone, best, load, 0.0, now
            )
        if load >= FULL_LOAD:
            other_zones = Slice(zone_count, len(views) - zone_count, len(views))
            best, load = self._draw_better(
                requirements, views, other_zones, best, load, OTHER_ZONE_PENALTY, now
            )
        if best is None:
            return self._search(views, lambda view: has_model(view, requirements))
        if requirements.prefix:
            return self._prefer_prefix_target(
                requirements, views, own_slice, best, load, now
            )
        return best

    def _probe_all_zones(
        self, requirements: TargetRequirements, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Draw from all zones, so that a small zone's targets can be compared."""
        all_zones = Slice(0, len(views), len(views))
        best, _ = self._draw(requirements, views, all_zones, now)
        if best is None:
            return self._search(views, lambda view: has_model(view, requirements))
        return best

    def record_sent(self, target: TargetName, now: float) -> None:
        """Record that an attempt was sent to a target."""
        self.traffic.record(target, 1, now)

    def record_end(self, target: TargetName, now: float) -> None:
        """Record that an attempt at a target ended."""
        self.traffic.record(target, -1, now)

    def record_answer(self, target: TargetName, prefix: str, now: float) -> None:
        """Record that a target answered and may now have the prefix in its cache."""
        if prefix:
            self._hints.store(prefix, target, now)

    def _draw_better(
        self,
        requirements: TargetRequirements,
        views: Sequence[TargetView],
        section: Slice,
        best: TargetView | None,
        load: float,
        penalty: float,
        now: float,
    ) -> tuple[TargetView | None, float]:
        """Draw from a section; return the best so far unless the draw is less loaded.

        The penalty is added to the load of the drawn target for the comparison only.
        """
        other, other_load = self._draw(requirements, views, section, now)
        if other_load + penalty < load:
            return other, other_load
        return best, load

    def _draw(
        self,
        requirements: TargetRequirements,
        views: Sequence[TargetView],
        section: Slice,
        now: float,
    ) -> tuple[TargetView | None, float]:
        """Return the less loaded of two eligible targets drawn from a section.

        When no draw gives an eligible target, the section is searched for one. Returns
        the target and its load, or None and infinity when none is eligible.
        """
        best: TargetView | None = None
        load = math.inf
        found = 0
        for _ in range(MAX_DRAWS if section.size else 0):
            view = views[section.position(int(self._rng.random() * section.size))]
            if view is best or not self._is_eligible(view, requirements, now):
                continue
            found += 1
            view_load = self.traffic.estimate(view)
            if view_load < load:
                best, load = view, view_load
            if found == CANDIDATES_COMPARED:
                break
        if best is None and section.size:
            candidates = [
                views[section.position(number)] for number in range(section.size)
            ]
            best = self._search(
                candidates, lambda view: self._is_eligible(view, requirements, now)
            )
            load = self.traffic.estimate(best) if best is not None else math.inf
        return best, load

    def _is_eligible(
        self, view: TargetView, requirements: TargetRequirements, now: float
    ) -> bool:
        target = view.announcement.target
        return (
            target not in requirements.avoid
            and has_model(view, requirements)
            and self._outliers.allows(target, now)
        )

    def _search(
        self, views: Sequence[TargetView], is_eligible: Callable[[TargetView], bool]
    ) -> TargetView | None:
        """Find the first eligible target, searching from a random position."""
        size = len(views)
        offset = int(self._rng.random() * size)
        for step in range(size):
            view = views[(offset + step) % size]
            if is_eligible(view):
                return view
        return None

    def _prefer_prefix_target(
        self,
        requirements: TargetRequirements,
        views: Sequence[TargetView],
        own_slice: Slice,
        best: TargetView,
        load: float,
        now: float,
    ) -> TargetView:
        """Prefer a target that may have the prefix cached, unless its load is too high.

        All hosts that share a slice assign a prefix to the same targets of that slice,
        so that the prefix is cached on few targets.
        """
        first, second = _find_prefix_targets(requirements.prefix, views, own_slice)
        hinted = self._hints.find(requirements.pool, requirements.prefix, views, now)
        for view in (first, hinted, second):
            if view is None or not self._is_eligible(view, requirements, now):
                continue
            view_load = self.traffic.estimate(view)
            max_load = max(load, min(AFFINITY_MAX_LOAD, load + AFFINITY_MARGIN))
            if view_load <= max_load:
                return view
        return best


def _find_prefix_targets(
    prefix: str, views: Sequence[TargetView], own_slice: Slice
) -> tuple[TargetView, TargetView]:
    """Find the two targets to which a prefix is assigned by its hash.

    In a small pool hosts of all zones choose the same two targets; in a large pool
    hosts that share a slice do.
    """
    if len(views) <= SMALL_POOL_TARGETS:
        order = sorted(
            views,
            key=lambda view: xxhash.xxh3_64_intdigest(
                f"{prefix} {view.announcement.target}"
            ),
        )
        return order[0], order[min(1, len(order) - 1)]
    section = own_slice if own_slice.size else Slice(0, len(views), len(views))
    digest = xxhash.xxh3_64_intdigest(prefix)
    first, second = digest % section.size, (digest >> 32) % section.size
    return views[section.position(first)], views[section.position(second)]
