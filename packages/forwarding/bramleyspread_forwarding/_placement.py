"""Chooses the target that gets a request."""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import count
from random import Random

import msgspec

from bramleyspread_capacity import EngineSpeed, EngineSpeeds
from bramleyspread_core import EngineLimits
from bramleyspread_forwarding._accounts import TargetTracker
from bramleyspread_forwarding._placement_messages import (
    Admitted,
    NoTarget,
    Placed,
    PlaceQuery,
    PlaceStep,
)
from bramleyspread_forwarding._prompt_affinity import (
    find_preferred_engine,
    list_shared_parts,
)
from bramleyspread_forwarding._rate_admission import RateAdmission
from bramleyspread_forwarding._rate_shares import OWNER_SHARE, STAND_IN_SHARE
from bramleyspread_forwarding._signal_table import SignalTable
from bramleyspread_forwarding._target_access import TargetAccess
from bramleyspread_forwarding._targets import ForwardTarget
from bramleyspread_forwarding._zone_overflow import RequestOverflow

#: Additional time to first token for each request waiting at the target, in ms.
WAITING_REQUEST_MS = 60.0
#: Cost of a target other than an engine when all its slots are occupied, compared with
#: an idle one, in ms. Engines batch what they run at once, other targets don't.
FULL_TARGET_MS = 100.0
#: Speed that is assumed of a target of which nothing is known.
INITIAL_SPEED = EngineSpeed()
#: Cost of a call to another availability zone, in ms.
OTHER_ZONE_MS = 4.0
#: Cost of moving a megabyte of inputs to another zone, in ms.
INPUT_MS_PER_MB = 13.5
#: Cost of a zone that a plan doesn't name, besides that of crossing, in ms: more than
#: what moving the inputs of most requests costs, less than being late.
OUT_OF_PLAN_MS = 150.0
#: Cost of reading a token again that another engine has in its cache, in ms.
CACHE_MISS_MS_PER_TOKEN = 0.05
#: Cost of missing the latency goal, in ms.
LATE_MS = 2_000.0
#: Cost of exceeding an engine's memory, in ms.
MEMORY_EXCEEDED_MS = 4_000.0
#: Share of an engine's memory that requests occupy without extra cost.
USABLE_MEMORY_SHARE = 0.9
#: Reasons for which requests are refused because of what targets said.
RATE_LIMITED, PAUSED = "every target limits its rate", "every target wants a pause"
#: Reason for which a stream isn't continued.
NO_SUCH_SOFTWARE = "no target has the software version that began the stream"
#: Reason for which requests are refused because brittle targets have no room.
NO_ROOM = "every target is brittle and has no room"
#: Reason for which requests are refused because of zone drains.
ZONES_DRAINED = "every target is in a drained zone"
#: Time after which a request may come back that was refused for zone drains, in
#: seconds; operators withdraw drains after minutes rather than seconds.
DRAINED_RETRY_S = 2.0
#: Time after which a request may come back that found no room, in seconds.
NO_ROOM_RETRY_S = 0.5
#: Cost of a target that limits the rate of its requests, in ms; others that are as good
#: go first.
LIMITED_MS = 20.0
#: Maximum time that a request waits for a target's rate limit, in seconds.
MAX_RATE_WAIT_S = 1.0
#: Time after which a reservation expires whose end was not reported, in seconds.
RESERVATION_TTL_S = 40.0


class _ZoneChoice(msgspec.Struct, frozen=True):
    """Zone that should get a request."""

    #: The plan that counts the request; None if the cost of each request decides.
    overflow: RequestOverflow | None = None
    #: The zone that would get it without a plan.
    home: str = ""
    #: The planned zone; None while no plan is in force.
    zone: str | None = None


class _Reservation(msgspec.Struct, frozen=True):
    """The load of a placed request, counted at its target."""

    placed: Placed
    #: When the request was placed, in seconds.
    placed_at: float
    #: Whether the target has read the request's prompt.
    is_read: bool = False
    #: The zone for which it was planned.
    plan: _ZoneChoice = _ZoneChoice()


class Placement:
    """Chooses targets by work in flight, load reports, shared prompts and zone.

    Requests whose prompts share parts go to the same engine while they meet their
    latency goal there and the engine is not much busier than the others. A target that
    names a rate limit gets no more, and one that wants no requests from a host for a
    while gets none from it.

    :param rng: breaks ties.
    :param access: paces the requests of limited targets.
    :param speeds: what is known of the speeds of engines.
    :param is_planned: whether a plan decides what is sent to other zones; else the cost
        of each request does.
    """

    def __init__(
        self,
        rng: Random,
        access: TargetAccess | None = None,
        speeds: EngineSpeeds | None = None,
        *,
        is_planned: bool = False,
    ) -> None:
        self._is_planned = is_planned
        #: By service, the plan of what is sent to other zones.
        self.overflows: dict[str, RequestOverflow] = {}
        self._rng = rng
        #: What is known of the speeds of engines.
        self.speeds = speeds if speeds is not None else EngineSpeeds()
        self._access = access if access is not None else TargetAccess(SignalTable())
        self._admissions: dict[str, RateAdmission] = {}
        self._trackers: dict[str, TargetTracker] = {}
        self._reservations: dict[int, _Reservation] = {}
        self._tickets = count(rng.getrandbits(40) << 20)

    def choose(
        self,
        query: PlaceQuery,
        targets: Sequence[ForwardTarget],
        limits: EngineLimits | None,
        now: float,
        share: float = 1.0,
    ) -> Placed | NoTarget:
        """Choose a target and reserve the request's load there.

        :param query: the request.
        :param targets: the targets that accept work.
        :param limits: an engine's capacity; None for targets other than engines.
        :param now: the current time, in seconds.
        :param share: the share of targets' rate limits that this host may hand out.
        :returns: the target, or the reason for which there is none.
        """
        eligible = _list_eligible(query, targets)
        if isinstance(eligible, NoTarget):
            return eligible
        targets = eligible
        untried = [each for each in targets if each.target not in query.tried]
        if not untried:
            return NoTarget("every target was tried")
        memory_tokens = query.prompt.memory_tokens if query.prompt is not None else 0
        if limits is not None and memory_tokens > limits.memory_tokens:
            return NoTarget("larger than an engine's memory")
        waits_s = self._find_waits_s(query, untried, share, now)
        ready: Sequence[ForwardTarget] | NoTarget = untried
        if waits_s:
            ready = self._list_ready(query, targets, untried, waits_s, share, now)
        if isinstance(ready, NoTarget):
            return ready
        accepting = self._list_with_room(ready, memory_tokens, limits, share, now)
        if not accepting:
            return NoTarget(NO_ROOM, NO_ROOM_RETRY_S)
        plan = self._choose_zone(query, targets, limits, share, now)
        best = self._find_best(
            query, targets, accepting, limits, now, waits_s, plan.zone
        )
        tracker = self._find_tracker(best)
        placed = Placed(
            next(self._tickets),
            best,
            tracker.count_unread_tokens(query.prompt, now),
            memory_tokens,
            round(tracker.count_requests(now)),
            self._access.acquire(best, share, now) if waits_s else 0.0,
            self._access.signals.share_limit(best, now),
            tracker.unread_tokens,
        )
        self._reserve(placed, query, plan, now)
        return placed

    def _list_ready(
        self,
        query: PlaceQuery,
        targets: Sequence[ForwardTarget],
        untried: Sequence[ForwardTarget],
        waits_s: dict[str, float],
        share: float,
        now: float,
    ) -> Sequence[ForwardTarget] | NoTarget:
        """List the targets that a request needn't wait for too long.

        :param query: the request.
        :param targets: the targets that the request may use.
        :param untried: those of them that weren't tried.
        :param waits_s: by target, how long the request would have to wait, in seconds.
        :param share: the share of targets' rate limits that this host may hand out.
        :param now: the current time, in seconds.
        :returns: the targets, or the reason for which there are none.
        """
        ready = [x for x in untried if waits_s.get(x.target, 0.0) <= MAX_RATE_WAIT_S]
        if not ready:
            return _refuse_for_signals(query, waits_s)
        refusal = self._refuse_for_rates(query, targets, share, now)
        return refusal if refusal is not None else ready

    def _choose_zone(
        self,
        query: PlaceQuery,
        targets: Sequence[ForwardTarget],
        limits: EngineLimits | None,
        share: float,
        now: float,
    ) -> _ZoneChoice:
        """Choose the zone that should get a request, by the requests of all zones.

        Only the host that places for a service of engines knows them.
        """
        if not self._is_planned or limits is None or share <= STAND_IN_SHARE:
            return _ZoneChoice()
        overflow = self.overflows.setdefault(query.service, RequestOverflow())
        overflow.update(targets, self._trackers, now)
        home = _find_home(query, find_preferred_engine(query.prompt, targets))
        if not overflow.is_in_force(now):
            return _ZoneChoice(overflow, home)
        return _ZoneChoice(overflow, home, overflow.choose_zone(home, now))

    def _list_with_room(
        self,
        targets: Sequence[ForwardTarget],
        memory_tokens: int,
        limits: EngineLimits | None,
        share: float,
        now: float,
    ) -> Sequence[ForwardTarget]:
        """List the targets that need not reject a request, as far as they are brittle.

        A brittle target gets no more than it runs at once, and none while it fails.
        """
        if self._access.signals.is_empty:
            return targets
        usable_share = min(share / OWNER_SHARE, 1.0)

        def has_room(target: ForwardTarget) -> bool:
            if not self._access.signals.is_brittle(target):
                return True
            tracker = self._find_tracker(target)
            if tracker.backoff_until > now:
                return False
            if tracker.count_requests(now) + 1 > target.slots * usable_share:
                return False
            usable_tokens = math.inf
            if limits is not None:
                usable_tokens = limits.memory_tokens * USABLE_MEMORY_SHARE
            return tracker.memory_tokens + memory_tokens <= usable_tokens * usable_share

        return [each for each in targets if has_room(each)]

    def _find_best(
        self,
        query: PlaceQuery,
        targets: Sequence[ForwardTarget],
        accepting: Sequence[ForwardTarget],
        limits: EngineLimits | None,
        now: float,
        waits_s: dict[str, float],
        zone: str | None,
    ) -> ForwardTarget:
        """Find the target at which a request costs least.

        Targets in backoff are considered only if all are. What is planned for another
        zone than that of its preferred engine prefers an engine there.
        """
        available = [x for x in accepting if self._find_tracker(x).backoff_until <= now]
        preferred = find_preferred_engine(query.prompt, targets)
        if zone is not None and preferred is not None and preferred.zone != zone:
            inside = [each for each in targets if each.zone == zone]
            preferred = find_preferred_engine(query.prompt, inside)
        return min(
            available or accepting,
            key=lambda each: self._estimate_cost_ms(
                query, each, each == preferred, limits, now, waits_s, zone
            ),
        )

    def admit(
        self,
        query: PlaceQuery,
        targets: Sequence[ForwardTarget],
        limits: EngineLimits | None,
        now: float,
        share: float = 1.0,
    ) -> Admitted | NoTarget:
        """Decide whether a request can be served by what targets have said.

        :param query: the request.
        :param targets: the targets that accept work.
        :param limits: an engine's capacity; None for targets other than engines.
        :param now: the current time, in seconds.
        :param share: the share of targets' rate limits that this host may hand out.
        """
        if targets and all(each.target in query.paused for each in targets):
            return _refuse_for_signals(query, {})
        refusal = self._refuse_for_rates(query, targets, share, now)
        if refusal is not None:
            return refusal
        memory_tokens = query.prompt.memory_tokens if query.prompt is not None else 0
        if targets and not self._list_with_room(
            targets, memory_tokens, limits, share, now
        ):
            return NoTarget(NO_ROOM, NO_ROOM_RETRY_S)
        return Admitted()

    def _find_waits_s(
        self,
        query: PlaceQuery,
        targets: Sequence[ForwardTarget],
        share: float,
        now: float,
    ) -> dict[str, float]:
        """Find how long requests must wait by what targets have said, in seconds.

        :returns: the wait for each target that limits its rate, and an infinite one
            for each that wants no requests from the sender now.
        """
        waits_s = dict.fromkeys(query.paused, math.inf) if query.paused else {}
        if self._access.signals.is_empty:
            return waits_s
        for each in targets:
            if each.target not in waits_s and self._access.signals.is_limited(each):
                waits_s[each.target] = self._access.find_wait_s(each, share, now)
        return waits_s

    def _refuse_for_rates(
        self,
        query: PlaceQuery,
        targets: Sequence[ForwardTarget],
        share: float,
        now: float,
    ) -> NoTarget | None:
        """Refuse a new request if rate limits leave no share of any target for it."""
        if query.is_admitted or query.tried or self._access.signals.is_empty:
            return None
        usable = [each for each in targets if each.target not in query.paused]
        rate = sum(self._access.find_rate(each, share, now) for each in usable)
        if not 0 < rate < math.inf:
            return None
        admission = self._admissions.setdefault(query.service, RateAdmission())
        excess_s = admission.admit(query.priority, rate, now)
        return NoTarget(RATE_LIMITED, excess_s) if excess_s else None

    def record_step(self, step: PlaceStep, now: float) -> None:
        """Update a target's load and failures from the progress of a request.

        :param step: the progress.
        :param now: the current time, in seconds.
        """
        tracker = self._trackers.setdefault(step.target, TargetTracker())
        if step.load is not None:
            tracker.record_load(step.load, now)
        if step.sample is not None:
            slowdown = tracker.find_slowdown(now)
            self.speeds.record(step.target, step.sample, slowdown)
        reservation = self._reservations.get(step.ticket)
        if reservation is not None:
            self._update_reservation(reservation, step, tracker)
        if step.good:
            tracker.record_success()
        elif step.good is False:
            tracker.record_failure(now)

    def is_in_backoff(self, target: str, now: float) -> bool:
        """Whether a target failed lately, and gets work only if no other one can."""
        tracker = self._trackers.get(target)
        return tracker is not None and tracker.backoff_until > now

    def expire(self, now: float) -> None:
        """Remove the reservations of requests whose end was not reported in time."""
        for ticket, reservation in tuple(self._reservations.items()):
            if now - reservation.placed_at > RESERVATION_TTL_S:
                target = reservation.placed.target.target
                step = PlaceStep(ticket=ticket, target=target, ended=True)
                self.record_step(step, now)

    def _update_reservation(
        self, reservation: _Reservation, step: PlaceStep, tracker: TargetTracker
    ) -> None:
        placed = reservation.placed
        if not reservation.is_read and (step.began or step.ended):
            tracker.record_prompt_read(placed.unread_tokens)
        if step.ended:
            tracker.remove_request(placed.tokens)
            del self._reservations[placed.ticket]
            if reservation.plan.overflow is not None:
                reservation.plan.overflow.remove(reservation.plan.home)
        elif step.began:
            self._reservations[placed.ticket] = msgspec.structs.replace(
                reservation, is_read=True
            )

    def _find_tracker(self, target: ForwardTarget) -> TargetTracker:
        return self._trackers.setdefault(target.target, TargetTracker())

    def _reserve(
        self,
        placed: Placed,
        query: PlaceQuery,
        plan: _ZoneChoice,
        now: float,
    ) -> None:
        tracker = self._find_tracker(placed.target)
        tracker.record_parts(list_shared_parts(query.prompt), now)
        tracker.add_request(placed.unread_tokens, placed.tokens)
        self._reservations[placed.ticket] = _Reservation(placed, now, plan=plan)
        if plan.overflow is not None:
            crossing_ms = _estimate_crossing_ms(query, plan.home, is_other=True)
            plan.overflow.add(plan.home, crossing_ms / 1000)

    def _estimate_cost_ms(
        self,
        query: PlaceQuery,
        target: ForwardTarget,
        is_preferred: bool,
        limits: EngineLimits | None,
        now: float,
        waits_s: dict[str, float],
        zone: str | None,
    ) -> float:
        """Estimate the cost of sending a request to a target, in ms."""
        tracker = self._find_tracker(target)
        unread_tokens = tracker.count_unread_tokens(query.prompt, now)
        if limits is not None:
            speed = self.speeds.find(query.service, target.target)
        else:
            speed = _describe_unbatched(target)
        wait_ms = _estimate_wait_ms(target, tracker, unread_tokens, speed, now)
        cost = wait_ms + self._rng.random()
        if waits_s and target.target in waits_s:
            cost += LIMITED_MS + waits_s[target.target] * 1000
        if not is_preferred:
            cost += unread_tokens * CACHE_MISS_MS_PER_TOKEN
        if query.slack_ms > 0 and wait_ms > query.slack_ms:
            cost += LATE_MS
        if limits is not None and query.prompt is not None:
            memory_tokens = tracker.memory_tokens + query.prompt.memory_tokens
            if memory_tokens > limits.memory_tokens * USABLE_MEMORY_SHARE:
                cost += MEMORY_EXCEEDED_MS
        if zone is None:
            return cost + _estimate_crossing_ms(query, target.zone)
        if target.zone == zone:
            return cost
        return cost + _estimate_crossing_ms(query, target.zone) + OUT_OF_PLAN_MS


def _estimate_crossing_ms(
    query: PlaceQuery, zone: str, *, is_other: bool = False
) -> float:
    """Estimate the cost of what crosses zones if a request goes to a zone, in ms.

    :param query: the request.
    :param zone: the zone.
    :param is_other: whether it goes to any other zone instead.
    """
    sizes_mb = [mb for at, mb in query.input_mb.items() if (at == zone) == is_other]
    moved_ms = sum(sizes_mb) * INPUT_MS_PER_MB
    return moved_ms + (OTHER_ZONE_MS if (zone == query.zone) == is_other else 0.0)


def _find_home(query: PlaceQuery, preferred: ForwardTarget | None) -> str:
    """Find the zone where a request costs least, apart from load.

    :param query: the request.
    :param preferred: the engine that has its prompt's shared parts, if there is one.
    """
    zones = {query.zone, *query.input_mb}
    shared_ms = 0.0
    if preferred is not None and query.prompt is not None:
        zones.add(preferred.zone)
        shared_ms = query.prompt.tokens_in * CACHE_MISS_MS_PER_TOKEN

    def estimate_ms(zone: str) -> float:
        is_preferred = preferred is None or preferred.zone == zone
        missed_ms = 0.0 if is_preferred else shared_ms
        return _estimate_crossing_ms(query, zone) + missed_ms

    return min(sorted(zones), key=estimate_ms)


def _describe_unbatched(target: ForwardTarget) -> EngineSpeed:
    """Describe a target that isn't an engine as one that doesn't batch."""
    request_ms = FULL_TARGET_MS / max(target.slots, 1)
    return EngineSpeed(request_ms=INITIAL_SPEED.request_ms + request_ms)


def _estimate_wait_ms(
    target: ForwardTarget,
    tracker: TargetTracker,
    unread_tokens: float,
    speed: EngineSpeed,
    now: float,
) -> float:
    """Estimate by how much a request waits longer than at an idle target, in ms.

    That is an idle target of the initial estimate. All of the time to first token is
    longer at a target that reports a slowdown.

    :param target: the target.
    :param tracker: its load.
    :param unread_tokens: number of the request's tokens that it would have to read.
    :param speed: how fast it is without the slowdown.
    :param now: the current time, in seconds.
    """
    tokens = tracker.unread_tokens + unread_tokens
    wait_ms = speed.estimate_ms(tokens, tracker.count_requests(now))
    wait_ms += tracker.count_waiting(target.slots, now) * WAITING_REQUEST_MS
    return wait_ms * tracker.find_slowdown(now) - INITIAL_SPEED.first_event_ms


def _list_eligible(
    query: PlaceQuery, targets: Sequence[ForwardTarget]
) -> Sequence[ForwardTarget] | NoTarget:
    """List the targets that a request's sender may use, or find why there are none."""
    if not targets:
        return NoTarget("no target takes work")
    if query.drained_zones:
        targets = [each for each in targets if each.zone not in query.drained_zones]
        if not targets:
            return NoTarget(ZONES_DRAINED, DRAINED_RETRY_S)
    if query.software is not None:
        targets = [each for each in targets if each.software == query.software]
        if not targets:
            return NoTarget(NO_SUCH_SOFTWARE)
    return targets


def _refuse_for_signals(query: PlaceQuery, waits_s: dict[str, float]) -> NoTarget:
    """Refuse a request because no target wants it now, by what targets have said.

    :param query: the request.
    :param waits_s: by target, how long the request would have to wait, in seconds.
    """
    limited = [s for x, s in waits_s.items() if x not in query.paused]
    paused = [s for x, s in query.paused.items() if x not in query.tried]
    soonest_s = min((*limited, *paused), default=math.inf)
    reason = RATE_LIMITED if limited else PAUSED
    return NoTarget(reason, soonest_s if soonest_s < math.inf else None)
