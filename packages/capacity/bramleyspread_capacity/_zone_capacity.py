"""How much work the targets of a service in one availability zone can take."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum

import msgspec


class Restriction(str, Enum):
    """Why a target gets no work, or less than it has room for.

    If several hold for one target, the first in this order counts.
    """

    #: The target has said that it leaves.
    LEAVING = "leaving"
    #: Its zone is drained by an operator's order.
    DRAINED = "drained"
    #: It wants no requests from this host for a while.
    PAUSED = "paused"
    #: It failed lately, and gets work only if no other target can.
    IN_BACKOFF = "backoff"
    #: It has just started; until it is warm it accepts a limited rate.
    WARMING_UP = "warming-up"
    #: It names the rate of requests that it accepts.
    RATE_LIMITED = "rate-limited"
    #: It ends if it has to reject too many requests, so it gets no more than it runs.
    BRITTLE = "brittle"


#: Restrictions under which a target still gets work.
PARTIAL_RESTRICTIONS = frozenset(
    {Restriction.WARMING_UP, Restriction.RATE_LIMITED, Restriction.BRITTLE}
)


class TargetCapacity(msgspec.Struct, frozen=True):
    """What one target can take, as one host sees it now."""

    #: Id of the target.
    target: str
    #: Name of its service.
    service: str
    #: Its availability zone.
    zone: str
    #: Number of calls that it processes at once.
    calls: int
    #: What restricts it; empty for a target that takes all that it has room for.
    restrictions: tuple[Restriction, ...] = ()
    #: Requests a second that it accepts from all hosts together; None if it names none.
    rate: float | None = None

    @property
    def main_restriction(self) -> Restriction | None:
        """The restriction that counts; None if there is none."""
        for each in Restriction:
            if each in self.restrictions:
                return each
        return None


class ZoneCapacity(msgspec.Struct, frozen=True):
    """What the targets of one service in one zone can take, as one host sees it now.

    Each target counts once: as usable, or under its restriction.

    Sources: the zone drains and the targets' readiness come from control hosts, so all
    hosts see the same within a second. Rate limits, brittleness and departures are
    told by targets to any host and passed on to the host that places for the service,
    or batches for it; pauses and backoffs are those of this host alone. So the host
    that does the service's shared work has the whole picture.
    """

    service: str
    zone: str
    #: Number of targets without any restriction.
    usable: int = 0
    #: Number of calls that the targets which get work process at once: the usable ones,
    #: and those that are warming up, limit their rate or are brittle.
    calls: int = 0
    #: Requests a second that the targets which limit their rate, or warm up, accept
    #: from all hosts together; 0 if there are none of them.
    limited_rate: float = 0.0
    #: Number of calls at once of those targets; included in ``calls``.
    limited_calls: int = 0
    #: Number of the other targets by restriction; none with 0.
    restricted: dict[Restriction, int] = {}

    @property
    def targets(self) -> int:
        """Number of all known targets."""
        return self.usable + sum(self.restricted.values())


def sum_by_zone(targets: Iterable[TargetCapacity]) -> tuple[ZoneCapacity, ...]:
    """Sum the capacity of targets by service and zone.

    :param targets: all known targets, each once.
    :returns: one sum for each service and zone that has targets, sorted by both.

    >>> limited = Restriction.RATE_LIMITED
    >>> (north,) = sum_by_zone(
    ...     (
    ...         TargetCapacity("t1", "photos", "north", 4),
    ...         TargetCapacity("t2", "photos", "north", 4, (limited,), 2.5),
    ...         TargetCapacity("t3", "photos", "north", 4, (Restriction.PAUSED,)),
    ...     )
    ... )
    >>> north.usable, north.calls, north.limited_rate, north.targets
    (1, 8, 2.5, 3)
    >>> {each.value: number for each, number in north.restricted.items()}
    {'paused': 1, 'rate-limited': 1}
    """
    zones: dict[tuple[str, str], list[TargetCapacity]] = {}
    for each in targets:
        zones.setdefault((each.service, each.zone), []).append(each)
    return tuple(_sum_zone(*key, members) for key, members in sorted(zones.items()))


def _sum_zone(service: str, zone: str, targets: list[TargetCapacity]) -> ZoneCapacity:
    found = [(each, each.main_restriction) for each in targets]
    restricted = Counter(reason for _, reason in found if reason is not None)
    working = [
        each
        for each, reason in found
        if reason is None or reason in PARTIAL_RESTRICTIONS
    ]
    limited = [each for each in working if each.rate is not None]
    return ZoneCapacity(
        service,
        zone,
        usable=len(found) - restricted.total(),
        calls=sum(each.calls for each in working),
        limited_rate=sum(each.rate or 0.0 for each in limited),
        limited_calls=sum(each.calls for each in limited),
        restricted={each: restricted[each] for each in Restriction if restricted[each]},
    )
