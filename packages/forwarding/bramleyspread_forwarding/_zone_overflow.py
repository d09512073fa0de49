"""Measures the demand by availability zone, and plans what is sent to other zones."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from bramleyspread_capacity import ArrivalRates, ZoneDemand, ZonePlan, ZoneShare
from bramleyspread_core import PieceLimits
from bramleyspread_forwarding._accounts import TargetTracker
from bramleyspread_forwarding._batched_calls import estimate_call_ms
from bramleyspread_forwarding._piece_queue import PieceQueue
from bramleyspread_forwarding._pieces import PieceJob
from bramleyspread_forwarding._targets import ForwardTarget
from bramleyspread_forwarding._zone_waits import WAIT_S_PER_MB

#: Time between two rounds of a plan, in seconds.
ROUND_S = 0.25
#: Minimum number of targets for each zone, on average, with which pieces are planned.
#: With a single target a zone's capacity is all or nothing, and its pieces wait for it.
MIN_TARGETS_PER_ZONE = 2
#: Weight of the latest request in the average cost of crossing zones.
CROSSING_SMOOTHING = 0.02


class PieceOverflow:
    """Chooses the zone that processes a job's pieces, by the demand of all zones.

    Used by the batching host of a shard, which sees all of its jobs and calls.
    """

    __slots__ = ("_megabytes", "_next_round_at", "_plan", "_rates")

    def __init__(self) -> None:
        self._plan = ZonePlan()
        self._rates = ArrivalRates()
        # Megabytes that would cross zones if all pieces did, by zone.
        self._megabytes = ArrivalRates()
        self._next_round_at = 0.0

    def list_shares(self, now: float) -> tuple[ZoneShare, ...]:
        """List the shares that are in force."""
        return self._plan.list_shares(now)

    def is_due(self, now: float) -> bool:
        """Whether a round is over."""
        return now >= self._next_round_at

    def find_full_zones(self, now: float) -> frozenset[str] | None:
        """Find the zones whose capacity is exceeded; None if no plan is in force."""
        if not self._plan.is_in_force(now):
            return None
        return frozenset(each.source for each in self._plan.list_shares(now))

    def choose_zone(self, job: PieceJob, now: float) -> str:
        """Choose the zone of a job that arrives; empty if any zone will do."""
        self._rates.record(job.zone, job.pieces, now)
        if not job.zone:
            return ""
        self._megabytes.record(job.zone, job.crossing_bytes / 1e6, now)
        return self._plan.choose(job.zone, job.pieces, now)

    def update(
        self,
        targets: Iterable[ForwardTarget],
        slowdowns: Mapping[str, float],
        limits: PieceLimits,
        jobs: PieceQueue,
        now: float,
    ) -> None:
        """Update the plan.

        :param targets: targets that accept work.
        :param slowdowns: how many times as long as usual their calls take, by target.
        :param limits: the capacity limits of the service's targets.
        :param jobs: the queue.
        :param now: the current time, in seconds.
        """
        self._next_round_at = now + ROUND_S
        targets = tuple(targets)
        if not _may_plan(targets):
            return
        full_call_s = estimate_call_ms(limits.batch, limits) / 1000
        per_s = limits.slots * limits.batch / full_call_s
        capacity: dict[str, float] = defaultdict(float)
        for each in targets:
            capacity[each.zone] += per_s / slowdowns[each.target]
        rates = self._rates.find(now)
        if not rates:
            return
        anywhere = rates.pop("", 0.0)
        demands = _list_demands(capacity, rates, anywhere, jobs.count_waiting_by_zone())
        pieces = sum(rates.values())
        megabytes = sum(self._megabytes.find(now).values())
        crossing_s = megabytes / pieces * WAIT_S_PER_MB if pieces else 0.0
        self._plan.update(demands, crossing_s, now)


def _list_demands(
    capacity: Mapping[str, float],
    rates: Mapping[str, float],
    anywhere: float,
    waiting: Mapping[str, int],
) -> list[ZoneDemand]:
    """List the demand of each zone.

    :param capacity: pieces per second that the zone's targets process, by zone.
    :param rates: pieces per second that arrive, by zone.
    :param anywhere: pieces per second that arrive for any zone.
    :param waiting: number of waiting pieces, by zone; those for any zone under an empty
        name.
    """
    backlog = dict(waiting)
    waiting_anywhere = backlog.pop("", 0)
    total = sum(capacity.values())
    demands = []
    for zone in sorted({*capacity, *rates, *backlog}):
        # Work for any zone takes its part of each zone's capacity.
        own = capacity.get(zone, 0.0)
        part = own / total if total else 0.0
        demands.append(
            ZoneDemand(
                zone,
                rates.get(zone, 0.0) + anywhere * part,
                own,
                backlog.get(zone, 0) + waiting_anywhere * part,
            )
        )
    return demands


class RequestOverflow:
    """Chooses the zone that gets a request, by the requests in progress of all zones.

    Used by the placement host of a service, which sees all of its requests.
    """

    __slots__ = ("_crossing_s", "_in_progress", "_next_round_at", "_plan")

    def __init__(self) -> None:
        self._plan = ZonePlan()
        # Requests in progress by the zone that would get them without a plan.
        self._in_progress: Counter[str] = Counter()
        self._crossing_s = 0.0
        self._next_round_at = 0.0

    def list_shares(self, now: float) -> tuple[ZoneShare, ...]:
        """List the shares that are in force."""
        return self._plan.list_shares(now)

    def is_in_force(self, now: float) -> bool:
        """Whether the plan may be used now."""
        return self._plan.is_in_force(now)

    def choose_zone(self, home: str, now: float) -> str:
        """Choose the zone of a request.

        :param home: the zone that would get it without a plan.
        :param now: the current time, in seconds.
        """
        return self._plan.choose(home, 1.0, now)

    def add(self, home: str, crossing_s: float) -> None:
        """Record that a request was placed.

        :param home: the zone that would get it without a plan.
        :param crossing_s: by how much crossing zones delays it, in seconds.
        """
        self._in_progress[home] += 1
        self._crossing_s += CROSSING_SMOOTHING * (crossing_s - self._crossing_s)

    def remove(self, home: str) -> None:
        """Record that a request has ended."""
        self._in_progress[home] -= 1
        if self._in_progress[home] <= 0:
            del self._in_progress[home]

    def update(
        self,
        targets: Iterable[ForwardTarget],
        trackers: Mapping[str, TargetTracker],
        now: float,
    ) -> None:
        """Update the plan if a round is over.

        :param targets: targets that accept work.
        :param trackers: the load of targets that have got any. Those in backoff don't
            count.
        :param now: the current time, in seconds.
        """
        if now < self._next_round_at:
            return
        self._next_round_at = now + ROUND_S
        capacity: dict[str, float] = {}
        for each in targets:
            tracker = trackers.get(each.target)
            slots = float(each.slots)
            if tracker is not None:
                slots /= tracker.find_slowdown(now)
                slots *= tracker.backoff_until <= now
            capacity[each.zone] = capacity.get(each.zone, 0.0) + slots
        demands = [
            ZoneDemand(zone, self._in_progress[zone], capacity.get(zone, 0.0))
            for zone in sorted({*capacity, *self._in_progress})
        ]
        self._plan.update(demands, self._crossing_s, now)


def _may_plan(targets: Sequence[ForwardTarget]) -> bool:
    """Whether zones have enough targets for a plan."""
    zones = {each.zone for each in targets}
    return len(targets) >= MIN_TARGETS_PER_ZONE * len(zones)
