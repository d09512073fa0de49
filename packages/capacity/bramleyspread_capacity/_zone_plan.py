"""Plans which share of an availability zone's work is sent to other zones.

For loads that exceed the capacity of one zone for seconds, while others have capacity
to spare: bursts in one zone, zones of unequal size, and drained ones.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

#: Time within which work that waits too long in a zone is to be done elsewhere, in
#: seconds. Bursts last 4 to 7 s, and callers expect answers after 1 to 3 s.
CLEARANCE_S = 1.0
#: Share of a zone's capacity up to which it gets work of other zones. The rest is for
#: changes of its own work until the next rounds.
USABLE_SHARE = 0.9
#: Share of the way to a larger share of work that one round goes. Smaller ones hold at
#: once, so that no zone gets more than it has capacity for.
RISE = 0.5
#: How long a plan must have been updated before it is used, in seconds. Until then, and
#: after a gap, the owner may not know all demand.
SETTLING_S = 1.0
#: Time without an update after which a plan isn't used any more, in seconds.
MAX_AGE_S = 2.0
#: Time over which arriving work is averaged, in seconds.
AVERAGING_S = 1.0
#: Work below which a zone counts as one without arrivals.
MIN_WORK = 0.01


class ZoneDemand(msgspec.Struct, frozen=True):
    """A zone's work of one service, and what the zone's targets can do.

    The unit is the caller's: pieces, or requests in progress.
    """

    zone: str
    #: Work that arrives for the zone's targets in a second.
    rate: float
    #: Work that the zone's targets can do in a second.
    capacity: float
    #: Work that waits for the zone's targets.
    backlog: float = 0.0
    #: Whether nothing may be sent to the zone's targets.
    is_drained: bool = False


class ZoneShare(msgspec.Struct, frozen=True):
    """Share of a zone's work that another zone gets."""

    source: str
    target: str
    #: Share of the work that arrives for the source.
    share: float
    #: Work in a second by which the source's demand exceeds its capacity.
    excess: float
    #: Work in a second that the target can do besides its own.
    spare: float


class ZonePlan:
    """The shares of one service's work that go to other zones.

    Only what exceeds a zone's own capacity is sent elsewhere, and only as much as fits
    there. Work that would wait less at home than crossing costs stays.
    """

    __slots__ = ("_credits", "_first_at", "_shares", "_updated_at")

    def __init__(self) -> None:
        self._first_at = math.inf
        self._updated_at = -math.inf
        self._shares: dict[tuple[str, str], ZoneShare] = {}
        # Work that a zone has yet to send to another one, or has sent in advance.
        self._credits: dict[tuple[str, str], float] = {}

    def update(
        self, demands: Sequence[ZoneDemand], crossing_s: float, now: float
    ) -> None:
        """Update the plan.

        :param demands: all zones, each once.
        :param crossing_s: how long work may wait so that it need not cross zones, in
            seconds.
        :param now: the current time, in seconds.
        """
        if now - self._updated_at > MAX_AGE_S:
            self._first_at = now
            self._shares.clear()
            self._credits.clear()
        self._updated_at = now
        wanted = _share_out(demands, crossing_s)
        self._shares = self._approach(wanted, demands)
        for pair in self._credits.keys() - self._shares.keys():
            del self._credits[pair]

    def is_in_force(self, now: float) -> bool:
        """Whether the plan may be used now."""
        is_settled = now - self._first_at >= SETTLING_S
        return is_settled and now - self._updated_at <= MAX_AGE_S

    def list_shares(self, now: float) -> tuple[ZoneShare, ...]:
        """List the shares that are in force."""
        return tuple(self._shares.values()) if self.is_in_force(now) else ()

    def choose(self, source: str, work: float, now: float) -> str:
        """Choose the zone that does some work.

        :param source: the zone where it would be done without a plan.
        :param work: the amount.
        :param now: the current time, in seconds.
        :returns: the zone; the same one while no plan is in force.
        """
        if not self._shares or not self.is_in_force(now):
            return source
        # A zone is chosen once it is owed more than half of the work.
        best, max_owed = source, work / 2
        for (from_zone, to_zone), share in self._shares.items():
            if from_zone != source:
                continue
            pair = (from_zone, to_zone)
            owed = self._credits.get(pair, 0.0) + share.share * work
            self._credits[pair] = owed
            if owed > max_owed:
                best, max_owed = to_zone, owed
        if best != source:
            self._credits[source, best] -= work
        return best

    def _approach(
        self, wanted: Sequence[ZoneShare], demands: Sequence[ZoneDemand]
    ) -> dict[tuple[str, str], ZoneShare]:
        """Raise the shares a part of the way, and lower them at once."""
        shares = {}
        for each in wanted:
            pair = (each.source, each.target)
            known = self._shares.get(pair)
            before = known.share if known is not None else 0.0
            if each.share > before:
                share = before + RISE * (each.share - before)
                each = msgspec.structs.replace(each, share=share)
            shares[pair] = each
        return shares


def _share_out(
    demands: Sequence[ZoneDemand], crossing_s: float
) -> tuple[ZoneShare, ...]:
    """Share out what exceeds zones' capacity over what others have to spare."""
    excess = {each.zone: _find_excess(each, crossing_s) for each in demands}
    spare = {each.zone: _find_spare(each) for each in demands}
    larger = max(sum(excess.values()), sum(spare.values()))
    return tuple(
        ZoneShare(
            each.zone,
            target,
            min(excess[each.zone] * room / larger / each.rate, 1.0),
            excess[each.zone],
            room,
        )
        for each in demands
        if excess[each.zone] > 0
        for target, room in spare.items()
        if room > 0
    )


def _find_flow(demand: ZoneDemand) -> float:
    """Find the work to be placed in a second, with the part of the backlog."""
    return demand.rate + demand.backlog / CLEARANCE_S


def _find_capacity(demand: ZoneDemand) -> float:
    return 0.0 if demand.is_drained else max(demand.capacity, 0.0)


def _find_excess(demand: ZoneDemand, crossing_s: float) -> float:
    """Find the work in a second that exceeds a zone's capacity.

    A backlog that is done before crossing would pay doesn't count. Only work that
    arrives can still be sent elsewhere.
    """
    capacity = _find_capacity(demand)
    kept = capacity * (1.0 + max(crossing_s, 0.0) / CLEARANCE_S)
    return min(max(_find_flow(demand) - kept, 0.0), demand.rate)


def _find_spare(demand: ZoneDemand) -> float:
    usable = _find_capacity(demand) * USABLE_SHARE
    return max(usable - _find_flow(demand), 0.0)


class ArrivalRates:
    """Rates at which work arrives, by zone, averaged over about a second."""

    __slots__ = ("_amounts", "_updated_at")

    def __init__(self) -> None:
        self._amounts: dict[str, float] = {}
        self._updated_at = 0.0

    def record(self, zone: str, work: float, now: float) -> None:
        """Record that work has arrived."""
        self._decay(now)
        self._amounts[zone] = self._amounts.get(zone, 0.0) + work

    def find(self, now: float) -> dict[str, float]:
        """Find the rates by zone."""
        self._decay(now)
        return {zone: work / AVERAGING_S for zone, work in self._amounts.items()}

    def _decay(self, now: float) -> None:
        elapsed_s = max(now - self._updated_at, 0.0)
        self._updated_at = max(now, self._updated_at)
        factor = math.exp(-elapsed_s / AVERAGING_S)
        self._amounts = {
            zone: work * factor
            for zone, work in self._amounts.items()
            if work * factor > MIN_WORK
        }
