"""Operators that drain and undrain zones in random runs with faults."""

from __future__ import annotations

import random

import msgspec

from bramleyspread_control.tests._chaos import Chaos
from bramleyspread_control.tests._cluster import Cluster
from bramleyspread_core import (
    CommandResult,
    NotLeader,
    ReadZoneDrains,
    SetZoneDrain,
    ZoneDrainAccepted,
    ZoneDrainsChanged,
    ZoneDrainsRead,
)

ZONES = ("north", "south", "west")
#: Time from an order's arrival in which it is tried again, in seconds.
RETRY_S = 0.9
#: Share of commands that arrive late, and how late at most, in seconds.
LATE_SHARE, MAX_LATENESS_S = 0.2, 6.0


class ZoneOrdering:
    """An order that one host receives, and forwards to the leader that it knows.

    :param cluster: the hosts.
    :param host: the host that receives the order.
    :param zone: the zone.
    :param drained: whether it is to be drained.
    :param late: collects the commands that arrive late, with time and host.
    :param rng: chooses these commands.
    """

    def __init__(
        self,
        cluster: Cluster,
        host: str,
        zone: str,
        drained: bool,
        late: list[tuple[float, str, SetZoneDrain]],
        rng: random.Random,
    ) -> None:
        self._cluster = cluster
        self._late = late
        self._rng = rng
        self._host = host
        self._arrived_at = cluster.now
        #: The zone.
        self.zone = zone
        #: Whether it is to be drained.
        self.drained = drained
        #: Whether the receiving host has answered.
        self.is_answered = False
        #: The acknowledgement; None if there is none.
        self.accepted: ZoneDrainAccepted | None = None
        self._ticket = 0
        known = cluster.nodes[host].zone_drains.revision
        self._command = SetZoneDrain(zone, drained, known, int(cluster.now * 1_000))
        self._send(host)

    def advance(self) -> None:
        """Read an answer of the leader if there is one, and try again in time."""
        result = self._cluster.replies.pop(self._ticket, None)
        in_time = self._cluster.now < self._arrived_at + RETRY_S
        match result:
            case None if in_time:
                return
            case ZoneDrainAccepted():
                self.accepted = result
            case ZoneDrainsChanged() if in_time:
                self._command = msgspec.structs.replace(
                    self._command, revision=result.revision, marker=result.marker
                )
                self._send(self._host)
                return
            case NotLeader(leader) if in_time and leader is not None:
                self._send(
                    next(x.host for x in self._cluster.members if x.address == leader)
                )
                return
        self.is_answered = True

    def _send(self, host: str) -> None:
        self._ticket = 0
        if self._rng.random() < LATE_SHARE:
            due = self._cluster.now + self._rng.uniform(0.0, MAX_LATENESS_S)
            self._late.append((due, host, self._command))
        elif host in self._cluster.nodes and host not in self._cluster.suspended_hosts:
            self._ticket = self._cluster.propose(host, self._command)


class DrainChaos(Chaos):
    """Faults under which operators give one order after the other for each zone."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__(size, seed)
        self._under_way: dict[str, list[ZoneOrdering]] = {}
        self._late: list[tuple[float, str, SetZoneDrain]] = []
        self._late_rng = random.Random(seed)
        self._newest_revision = 0
        #: The last acknowledged order for each zone.
        self.last_accepted: dict[str, bool] = {}
        #: Zones of which a later order was not acknowledged.
        self.unclear: set[str] = set()
        #: Number of acknowledged orders.
        self.accepted_count = 0

    def run_random_action(self) -> None:
        """Give an order, end a fault, or do as without drains."""
        choice = self.rng.random()
        if choice < 0.5:
            self.order_random_zone()
        elif choice < 0.6:
            self.cluster.heal()
            self.cluster.suspended_hosts.clear()
            self.start_stopped_hosts()
        else:
            super().run_random_action()

    def order_random_zone(self) -> None:
        """Give an order for a zone for which none is under way, at up to two hosts."""
        zone, drained = self.rng.choice(ZONES), self.rng.random() < 0.5
        hosts = sorted(set(self.cluster.nodes) - self.cluster.suspended_hosts)
        if self._under_way.get(zone) or not hosts:
            return
        chosen = self.rng.sample(hosts, min(len(hosts), self.rng.randint(1, 2)))
        self._under_way[zone] = [
            ZoneOrdering(self.cluster, each, zone, drained, self._late, self._late_rng)
            for each in chosen
        ]

    def step(self) -> None:
        """Advance, and let late commands arrive."""
        due = [each for each in self._late if each[0] <= self.cluster.now]
        for each in due:
            self._late.remove(each)
            _, host, command = each
            if host in self.cluster.nodes and host not in self.cluster.suspended_hosts:
                self.cluster.propose(host, command)
        super().step()

    def check_replies(self) -> None:
        """Check revisions and repeats of acknowledged orders."""
        for zone, orderings in self._under_way.items():
            for each in orderings:
                if not each.is_answered:
                    each.advance()
            if orderings and all(each.is_answered for each in orderings):
                self._record(zone, orderings)
                orderings.clear()
        kept = {
            each._ticket: self.cluster.replies[each._ticket]
            for orderings in self._under_way.values()
            for each in orderings
            if each._ticket in self.cluster.replies
        }
        super().check_replies()
        self.cluster.replies.update(kept)

    def _record(self, zone: str, orderings: list[ZoneOrdering]) -> None:
        accepted = [each.accepted for each in orderings if each.accepted is not None]
        if not accepted:
            self.unclear.add(zone)
            return
        self.accepted_count += 1
        self.last_accepted[zone] = orderings[0].drained
        # A second host's attempts for the same order can't change its result.
        self.unclear.discard(zone)
        self._newest_revision = max(
            self._newest_revision, *(each.revision for each in accepted)
        )

    def check(self) -> None:
        """Check that the last acknowledged orders hold wherever that is confirmed."""
        super().check()
        for name, node in self.cluster.nodes.items():
            replica = node._store.replicas[0]
            if name in self.cluster.suspended_hosts:
                continue
            if not replica.has_newest_state(self.cluster.now):
                continue
            for zone, drained in self.last_accepted.items():
                if zone not in self.unclear and not self._under_way[zone]:
                    assert node.zone_drains.is_drained(zone) == drained, zone

    def check_accepted(self) -> None:
        """Check that the last acknowledged order for each zone holds."""
        super().check_accepted()
        read = self.cluster.call(ReadZoneDrains())
        assert isinstance(read, ZoneDrainsRead)
        assert read.drains.revision >= self._newest_revision
        for zone, drained in self.last_accepted.items():
            if zone not in self.unclear:
                assert read.drains.is_drained(zone) == drained, zone


def order(
    cluster: Cluster, zone: str, drained: bool, host: str | None = None
) -> CommandResult | None:
    """Give an order at a host, and try again after each mismatch.

    :param cluster: the hosts.
    :param zone: the zone.
    :param drained: whether it is to be drained.
    :param host: the host; any that leads if None.
    """
    command = SetZoneDrain(zone, drained, 0, int(cluster.now * 1_000))
    result = cluster.call(command, host)
    while isinstance(result, ZoneDrainsChanged):
        command = msgspec.structs.replace(
            command, revision=result.revision, marker=result.marker
        )
        result = cluster.call(command, host)
    return result
