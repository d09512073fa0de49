"""All targets of the experiment, and what entry hosts know of them with a lag."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from random import Random

from bramleyspread_core import (
    Address,
    Announcement,
    DocumentInForce,
    DocumentsPage,
    Happening,
    HostInForce,
    HostName,
    PeerMessage,
    PeerSend,
    PoolName,
    ServiceDocument,
    TargetName,
    TargetView,
)
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._queueing_target import QueueingTarget
from bramleyspread_proof._sizes import Size

#: Time between two announcements of a target, in seconds.
ANNOUNCE_PAUSE = 0.5
#: Groups of targets that announce themselves at different times.
ANNOUNCE_GROUPS = 5
#: Time from an announcement to its being known, in seconds.
ANNOUNCE_LAG = 0.2
#: Time without an announcement after which a target is not used, in seconds.
LEASE = 2.5
#: One way inside an availability zone, in seconds.
NEAR = 0.0003


class Fleet:
    """Targets, zones and the links between them."""

    def __init__(self, size: Size, agenda: Agenda, rng: Random) -> None:
        self.size = size
        self.document = size.make_document()
        self.targets: dict[TargetName, QueueingTarget] = {}
        self.names: dict[Address, TargetName] = {}
        self.cut_zone: str | None = None
        self.cut_at = 0.0
        self._agenda = agenda
        self._sequence = 0
        for pool in (*size.pools, size.ledger):
            for number in range(pool.targets):
                zone = size.zones[number % len(size.zones)]
                address = Address("10.0.0.1", 1 + len(self.targets))
                target = QueueingTarget(
                    f"{pool.name}-{number}", zone, size, pool, address, agenda, rng
                )
                self.targets[target.name] = target
                self.names[address] = target.name
        self.directories = {zone: ZoneDirectory(self, zone) for zone in size.zones}
        targets = list(self.targets.values())
        self._groups = [targets[n::ANNOUNCE_GROUPS] for n in range(ANNOUNCE_GROUPS)]
        self._known: dict[TargetName, TargetView] = {}
        for group in range(ANNOUNCE_GROUPS):
            pause = group * ANNOUNCE_PAUSE / ANNOUNCE_GROUPS
            agenda.after(pause, partial(self._announce, group))
        self._learn([TargetView(target.announce(0), 0.0) for target in targets])

    def is_cut(self, one: str, other: str) -> bool:
        """Whether nothing passes between two zones."""
        return one != other and self.cut_zone in (one, other)

    def delay(self, one: str, other: str) -> float:
        """Find the time of one way, in seconds."""
        return NEAR if one == other else self.size.far

    def _announce(self, group: int) -> None:
        """Take the reports of some targets; hosts know them after the lag."""
        self._sequence += 1
        taken_at = self._agenda.now
        reports = [
            TargetView(target.announce(self._sequence), taken_at)
            for target in self._groups[group]
            if target.alive
        ]
        self._agenda.after(ANNOUNCE_LAG, lambda: self._learn(reports))
        self._agenda.after(ANNOUNCE_PAUSE, lambda: self._announce(group))

    def _learn(self, reports: list[TargetView]) -> None:
        for view in reports:
            self._known[view.announcement.target] = view
        oldest = self._agenda.now - LEASE
        known = [view for view in self._known.values() if view.load_as_of >= oldest]
        expired = self._agenda.now >= self.cut_at + LEASE
        for zone, directory in self.directories.items():
            heard = known
            if self.cut_zone is not None and expired:
                heard = [
                    view
                    for view in known
                    if not self.is_cut(zone, view.announcement.zone)
                ]
            directory.learn(heard)


class ZoneDirectory:
    """What the entry hosts of one zone know; implements ``Directory``."""

    def __init__(self, fleet: Fleet, zone: str) -> None:
        self._fleet = fleet
        self._zone = zone
        self._views: dict[str, list[TargetView]] = {}
        count, zones = fleet.size.hosts, fleet.size.zones
        self._hosts = [
            HostInForce(HostName(f"entry-{number}"), zones[number % len(zones)], 1, 0.0)
            for number in range(count)
        ]
        self.revision = 1

    def learn(self, reports: list[TargetView]) -> None:
        """Take reports that arrived."""
        views: dict[str, list[TargetView]] = {}
        for near in (True, False):
            for view in reports:
                if (view.announcement.zone == self._zone) is near:
                    views.setdefault(view.announcement.pool.pool, []).append(view)
        self._views = views

    def list_usable(self, pool: PoolName, now: float) -> Sequence[TargetView]:
        """List targets, this zone's first."""
        return self._views.get(pool.pool, ())

    def find_document(self, service: str) -> ServiceDocument | None:
        """Find the one document."""
        return self._fleet.document

    def list_hosts(self, now: float) -> Sequence[HostInForce]:
        """List all entry hosts."""
        return self._hosts

    def hear(self, announcement: Announcement, now: float) -> Sequence[PeerSend]:
        """Hear nothing; reports come by ``learn``."""
        return ()

    def receive(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        """Receive nothing."""
        return ()

    def tick(self, now: float) -> Sequence[PeerSend]:
        """Send nothing."""
        return ()

    def apply_documents(self, page: DocumentsPage, now: float) -> Sequence[Happening]:
        """Apply nothing."""
        return ()

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List nothing."""
        return ()
