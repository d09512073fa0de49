"""All targets of the experiment, and what entry hosts know of them with a lag."""

from __future__ import annotations

from collections.abc import Sequence
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
        self._announce()

    def is_cut(self, one: str, other: str) -> bool:
        """Whether nothing passes between two zones."""
        return one != other and self.cut_zone in (one, other)

    def delay(self, one: str, other: str) -> float:
        """Find the time of one way, in seconds."""
        return NEAR if one == other else self.size.far

    def _announce(self) -> None:
        """Take all targets' reports; hosts know them after the lag."""
        self._sequence += 1
        taken_at = self._agenda.now
        reports = [
            TargetView(target.announce(self._sequence), taken_at)
            for target in self.targets.values()
            if target.alive or taken_at < target.died_at + LEASE
        ]
        lag = ANNOUNCE_LAG if taken_at else 0.0
        self._agenda.after(lag, lambda: self._learn(reports))
        self._agenda.after(ANNOUNCE_PAUSE, self._announce)

    def _learn(self, reports: list[TargetView]) -> None:
        expired = self._agenda.now >= self.cut_at + LEASE
        for zone, directory in self.directories.items():
            heard = reports
            if self.cut_zone is not None and expired:
                heard = [
                    view
                    for view in reports
                    if not self.is_cut(zone, view.announcement.zone)
                ]
            directory.learn(heard)


class ZoneDirectory:
    """What the entry hosts of one zone know; implements ``Directory``."""

    def __init__(self, fleet: Fleet, zone: str) -> None:
        self._fleet = fleet
        self._zone = zone
        self._views: dict[str, list[TargetView]] = {}
        count = fleet.size.hosts
        self._hosts = [
            HostInForce(HostName(f"entry-{number}"), "", 1, 0.0)
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
