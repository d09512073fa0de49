"""The targets of the experiment and the delayed view that entry hosts have of them."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from random import Random

from bramleyspread_core import (
    Address,
    Announcement,
    DocumentInForce,
    DocumentsPage,
    EntryHostStatus,
    HostName,
    PeerMessage,
    PeerSend,
    PoolName,
    ServiceDocument,
    TargetName,
    TargetView,
    UnstampedEvent,
)
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._queueing_target import QueueingTarget
from bramleyspread_proof._sizes import Size

#: Interval between two announcements of a target, in seconds.
ANNOUNCE_INTERVAL_S = 0.5
#: Number of groups of targets; the groups announce at different times, spread evenly
#: over the interval.
ANNOUNCE_GROUPS = 5
#: Delay until an announcement reaches the entry hosts, in seconds.
ANNOUNCE_DELAY_S = 0.2
#: Time without an announcement after which a target expires, in seconds.
LEASE_S = 2.5
#: One-way delay within an availability zone, in seconds.
INTRA_ZONE_DELAY_S = 0.0003


class Fleet:
    """The targets, with the availability zones and the delays between them."""

    def __init__(self, size: Size, scheduler: Scheduler, rng: Random) -> None:
        self.size = size
        self.document = size.make_document()
        self.targets: dict[TargetName, QueueingTarget] = {}
        self.names_by_address: dict[Address, TargetName] = {}
        #: Zone that is cut off from the others; None if there is none.
        self.cut_zone: str | None = None
        #: Virtual time of the latest change of ``cut_zone``, in seconds.
        self.cut_at = 0.0
        self._scheduler = scheduler
        self._sequence = 0
        for pool in (*size.pools, size.ledger):
            for number in range(pool.targets):
                zone = size.zones[number % len(size.zones)]
                address = Address("10.0.0.1", 1 + len(self.targets))
                target = QueueingTarget(
                    f"{pool.name}-{number}", zone, size, pool, address, scheduler, rng
                )
                self.targets[target.name] = target
                self.names_by_address[address] = target.name
        self.directories = {zone: ZoneDirectory(self, zone) for zone in size.zones}
        targets = list(self.targets.values())
        self._groups = [targets[n::ANNOUNCE_GROUPS] for n in range(ANNOUNCE_GROUPS)]
        self._known: dict[TargetName, TargetView] = {}
        for group in range(ANNOUNCE_GROUPS):
            delay = group * ANNOUNCE_INTERVAL_S / ANNOUNCE_GROUPS
            scheduler.call_later(delay, partial(self._announce, group))
        self._update_directories(
            [TargetView(target.make_announcement(0), 0.0) for target in targets]
        )

    def is_cut(self, one: str, other: str) -> bool:
        """Whether the network between two zones is cut."""
        return one != other and self.cut_zone in (one, other)

    def find_delay(self, one: str, other: str) -> float:
        """Return the one-way delay between two zones, in seconds."""
        return INTRA_ZONE_DELAY_S if one == other else self.size.inter_zone_delay_s

    def _announce(self, group: int) -> None:
        """Announce one group of targets, and schedule its next announcement.

        The directories are updated after ``ANNOUNCE_DELAY_S``.
        """
        self._sequence += 1
        loads_as_of = self._scheduler.now
        views = [
            TargetView(target.make_announcement(self._sequence), loads_as_of)
            for target in self._groups[group]
            if target.alive
        ]
        self._scheduler.call_later(
            ANNOUNCE_DELAY_S, lambda: self._update_directories(views)
        )
        self._scheduler.call_later(ANNOUNCE_INTERVAL_S, lambda: self._announce(group))

    def _update_directories(self, views: list[TargetView]) -> None:
        for view in views:
            self._known[view.announcement.target] = view
        oldest = self._scheduler.now - LEASE_S
        known = [
            view for view in self._known.values() if view.load_measured_at >= oldest
        ]
        expired = self._scheduler.now >= self.cut_at + LEASE_S
        for zone, directory in self.directories.items():
            visible = known
            if self.cut_zone is not None and expired:
                visible = [
                    view
                    for view in known
                    if not self.is_cut(zone, view.announcement.zone)
                ]
            directory.update(visible)


class ZoneDirectory:
    """The directory shared by the entry hosts of one zone; implements ``Directory``."""

    def __init__(self, fleet: Fleet, zone: str) -> None:
        self._fleet = fleet
        self._zone = zone
        self._views_by_pool: dict[str, list[TargetView]] = {}
        count, zones = fleet.size.hosts, fleet.size.zones
        self._hosts = [
            EntryHostStatus(
                HostName(f"entry-{number}"), zones[number % len(zones)], 1, 0.0
            )
            for number in range(count)
        ]
        self.revision = 1

    def update(self, views: list[TargetView]) -> None:
        """Replace the known targets; those of this zone come first in each pool."""
        views_by_pool: dict[str, list[TargetView]] = {}
        for in_own_zone in (True, False):
            for view in views:
                if (view.announcement.zone == self._zone) is in_own_zone:
                    views_by_pool.setdefault(view.announcement.pool.pool, []).append(
                        view
                    )
        self._views_by_pool = views_by_pool

    def list_usable(self, pool: PoolName, now: float) -> Sequence[TargetView]:
        """List the targets of a pool, those of this zone first."""
        return self._views_by_pool.get(pool.pool, ())

    def find_document(self, service: str) -> ServiceDocument | None:
        """Return the only document."""
        return self._fleet.document

    def list_hosts(self, now: float) -> Sequence[EntryHostStatus]:
        """List all entry hosts."""
        return self._hosts

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> Sequence[PeerSend]:
        """Ignore the announcement; ``update`` sets the known targets."""
        return ()

    def handle_message(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        """Ignore the message."""
        return ()

    def tick(self, now: float) -> Sequence[PeerSend]:
        """Send nothing."""
        return ()

    def apply_documents(
        self, page: DocumentsPage, now: float
    ) -> Sequence[UnstampedEvent]:
        """Ignore the documents."""
        return ()

    def list_documents(self) -> Sequence[DocumentInForce]:
        """Return nothing; ``find_document`` returns the only document."""
        return ()
