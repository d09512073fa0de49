"""Ramps up the work of availability zones that come back."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence

from bramleyspread_forwarding._targets import ForwardTarget

#: Time in which a zone that was empty is ramped up to its share, in seconds. Latency
#: goals are 0.8 to 3 s, so that the first requests show how the zone's targets do
#: before all of its share goes there.
RAMP_S = 5.0
#: Service name under which a ramp of all services is recorded.
ALL_SERVICES = ""


class SlowStarts:
    """Which targets of zones that come back may get work already.

    Meant for a zone with a third of the targets that comes back under full load. Its
    targets have nothing to do, so that they are the best choice for each request and
    each call; without a ramp the zone has its whole share within the first second.

    The share of a zone rises in proportion to time. Requests take it into account in
    turns, as many as its share allows; calls for pieces go to that share of its
    targets. Where no other zone has targets, all of them are used at once.

    >>> from bramleyspread_core import Address
    >>> zones = ("north", "south")
    >>> targets = [
    ...     ForwardTarget(f"{zone}{at}", Address(f"10.0.{at}.1", port), zone, 1)
    ...     for port, zone in enumerate(zones, 8000) for at in range(2)
    ... ]
    >>> starts = SlowStarts()
    >>> starts.follow_drains({"north"}, 100.0)
    >>> starts.follow_drains(set(), 200.0)
    >>> [each.target for each in starts.list_open("s", targets, 201.0)]
    ['north0', 'south0', 'south1']
    >>> [len(starts.choose("s", targets, 201.0)) for _ in range(10)]
    [2, 2, 2, 2, 2, 2, 2, 2, 2, 4]
    >>> len(starts.choose("s", targets, 206.0))
    4
    """

    __slots__ = ("_absent_since", "_credits", "_drained_since", "_ramps")

    def __init__(self) -> None:
        # By zone, when this host learned that it was drained, in seconds.
        self._drained_since: dict[str, float] = {}
        # By service and zone, when the targets ceased to be usable, in seconds; None
        # while there are usable ones.
        self._absent_since: dict[tuple[str, str], float | None] = {}
        # By service and zone, when the ramp began, in seconds.
        self._ramps: dict[tuple[str, str], float] = {}
        # By service and zone, the share of a request that may use it next.
        self._credits: dict[tuple[str, str], float] = {}

    def follow_drains(self, drained: Collection[str], now: float) -> None:
        """Start the ramps of zones whose drain was withdrawn.

        :param drained: the zones that are drained now.
        :param now: the current time, in seconds.
        """
        for zone in sorted(self._drained_since.keys() - set(drained)):
            idle_s = now - self._drained_since.pop(zone)
            self._start(ALL_SERVICES, zone, idle_s, now)
        for zone in drained:
            self._drained_since.setdefault(zone, now)

    def follow_usable(
        self, service: str, zones: Iterable[str], drained: Collection[str], now: float
    ) -> None:
        """Start the ramps of zones whose targets come back after an absence.

        Called for services whose targets need time to warm up: their zones were
        partitioned off, or all of their targets were restarted.

        :param service: the service.
        :param zones: zones with usable targets.
        :param drained: the zones that are drained, whose ramps follow the drains.
        :param now: the current time, in seconds.
        """
        present = set(zones)
        for key, absent_since in tuple(self._absent_since.items()):
            if key[0] != service or key[1] in drained:
                continue
            if key[1] not in present:
                self._absent_since[key] = now if absent_since is None else absent_since
            elif absent_since is not None:
                self._start(*key, now - absent_since, now)
        self._absent_since |= dict.fromkeys(((service, each) for each in present), None)

    def _start(self, service: str, zone: str, idle_s: float, now: float) -> None:
        """Start a ramp.

        It begins at the share that the zone had before, less what it lost in the time
        in which it was idle, so that a short idle time costs it little.
        """
        began_at = self._ramps.get((service, zone), -math.inf)
        grown_s = min(now - idle_s - began_at, RAMP_S)
        self._ramps[service, zone] = now - max(grown_s - idle_s, 0.0)

    def find_share(self, service: str, zone: str, now: float) -> float:
        """Find the share of a zone's usual work that it may get.

        :param service: the service.
        :param zone: the zone.
        :param now: the current time, in seconds.
        :returns: the share, from 0 to 1; 1 if it isn't ramped up.
        """
        share = 1.0
        for key in ((ALL_SERVICES, zone), (service, zone)):
            started_at = self._ramps.get(key)
            if started_at is None:
                continue
            if now - started_at >= RAMP_S:
                del self._ramps[key]
                continue
            share = min(share, max(now - started_at, 0.0) / RAMP_S)
        return share

    def choose(
        self, service: str, targets: Sequence[ForwardTarget], now: float
    ) -> Sequence[ForwardTarget]:
        """Choose the targets that one request may go to, and count that request.

        :param service: the service.
        :param targets: its usable targets.
        :param now: the current time, in seconds.
        """
        shares = self._find_shares(service, targets, now)
        if not shares:
            return targets
        closed = {
            zone
            for zone, share in shares.items()
            if not self._take_turn(service, zone, share * _find_portion(targets, zone))
        }
        return [each for each in targets if each.zone not in closed]

    def _take_turn(self, service: str, zone: str, portion: float) -> bool:
        """Whether a zone's next turn is due, of which it gets this portion."""
        credit = self._credits.get((service, zone), 0.0) + portion
        # Sums of portions may stay below 1 by rounding.
        is_due = credit >= 1.0 - 1e-9
        self._credits[service, zone] = credit - is_due
        return is_due

    def list_open(
        self, service: str, targets: Sequence[ForwardTarget], now: float
    ) -> Sequence[ForwardTarget]:
        """List the targets that may get calls now.

        :param service: the service.
        :param targets: its usable targets, or some of them, sorted by id.
        :param now: the current time, in seconds.
        """
        shares = self._find_shares(service, targets, now)
        if not shares:
            return targets
        rooms = {
            zone: math.ceil(share * sum(each.zone == zone for each in targets))
            for zone, share in shares.items()
        }
        listed = []
        for each in targets:
            if each.zone in rooms:
                rooms[each.zone] -= 1
            if rooms.get(each.zone, 0) >= 0:
                listed.append(each)
        return listed

    def _find_shares(
        self, service: str, targets: Sequence[ForwardTarget], now: float
    ) -> dict[str, float]:
        """Find the share of each zone that is ramped up.

        :returns: the shares; none if there are no targets in other zones.
        """
        if not self._ramps:
            return {}
        zones = sorted({each.zone for each in targets})
        shares = {zone: self.find_share(service, zone, now) for zone in zones}
        ramping = {zone: share for zone, share in shares.items() if share < 1.0}
        return ramping if len(ramping) < len(zones) else {}


def _find_portion(targets: Sequence[ForwardTarget], zone: str) -> float:
    """Find the portion of requests that a zone gets in the end, by its targets."""
    return sum(each.zone == zone for each in targets) / len(targets)
