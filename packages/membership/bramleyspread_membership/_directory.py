"""The directory of an entry host: targets, other entry hosts and documents."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bramleyspread_core import (
    Announcement,
    ContractWatch,
    DocumentInForce,
    DocumentsPage,
    EntryHostStatus,
    PeerMessage,
    PeerSend,
    PoolName,
    ServiceDocument,
    TargetsReport,
    TargetView,
    UnstampedEvent,
)
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._documents import DocumentTable
from bramleyspread_membership._gossip import GossipWriter
from bramleyspread_membership._handler import GossipHandler
from bramleyspread_membership._hosts import HostTable
from bramleyspread_membership._messages import LeavingNotice, LeavingRow
from bramleyspread_membership._record import MergeResult
from bramleyspread_membership._sampling import PoolSizeEstimator
from bramleyspread_membership._summaries import SummaryTable, ZoneSummary
from bramleyspread_membership._targets import TargetTable
from bramleyspread_membership._usable import UsableTargetCache

#: Interval between two removals of expired records, in seconds.
EXPIRE_INTERVAL_S = 0.5


class EntryDirectory:
    """The directory of one entry host; implements the ``Directory`` protocol.

    A target is usable until its lease expires. Only its own announcements renew the
    lease, whichever host relays them. Documents come from control hosts and from other
    entry hosts. Nothing here needs a quorum, so an isolated zone keeps working.
    """

    __slots__ = (
        "_config",
        "_documents",
        "_handler",
        "_hosts",
        "_next_expire_at",
        "_pool_sizes",
        "_summaries",
        "_targets",
        "_usable_targets",
        "_writer",
    )

    def __init__(
        self,
        config: DirectoryConfig,
        rng: random.Random,
        now: float,
        watch: ContractWatch,
    ) -> None:
        self._config = config
        self._targets = TargetTable(config.lease_s, config.leaving_retention_s, watch)
        self._hosts = HostTable(config, now)
        self._documents = DocumentTable(watch)
        self._usable_targets = UsableTargetCache(
            self._targets, config.zone, config.lease_s
        )
        self._pool_sizes = PoolSizeEstimator(config.announce_interval_s, now)
        self._summaries = SummaryTable(config.host_lease_s)
        self._writer = GossipWriter(
            config,
            rng,
            now,
            self._targets,
            self._hosts,
            self._documents,
            self._pool_sizes,
        )
        self._handler = GossipHandler(
            config,
            now,
            self._targets,
            self._hosts,
            self._documents,
            self._summaries,
            self._writer,
        )
        self._next_expire_at = now + EXPIRE_INTERVAL_S

    @classmethod
    def from_config(
        cls,
        config: DirectoryConfig,
        rng: random.Random,
        now: float,
        watch: ContractWatch | None = None,
    ) -> EntryDirectory:
        """Create the directory of a starting host.

        :param config: the directory's configuration.
        :param rng: randomises the times and the contents of gossip rounds.
        :param now: monotonic seconds.
        :param watch: receives contract breaches.
        :returns: an empty directory.
        """
        return cls(config, rng, now, watch or ContractWatch())

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> Sequence[PeerSend]:
        """Handle an announcement received directly from a target.

        :param announcement: the announcement.
        :param now: monotonic seconds.
        :returns: notices to other hosts if the target was newly marked as leaving.
        """
        self._pool_sizes.count_announcement(announcement.pool)
        result = self._targets.merge(announcement, now, self._config.host, now)
        if result is not MergeResult.LEAVING:
            return ()
        row = LeavingRow(announcement.target, announcement.incarnation)
        return self._writer.broadcast(LeavingNotice((row,)), now)

    def handle_message(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        """Handle a message from another entry host.

        :param message: the message; its content is not trusted.
        :param now: monotonic seconds.
        :returns: requests and responses to its sender.
        """
        return self._handler.handle(message, now)

    def tick(self, now: float) -> Sequence[PeerSend]:
        """Run expiry and gossip rounds when they are due; call about every 100 ms.

        :param now: monotonic seconds.
        :returns: the messages of a gossip round if one is due.
        """
        if now >= self._next_expire_at:
            self._next_expire_at = now + EXPIRE_INTERVAL_S
            self._expire(now)
        return self._writer.write_round(now)

    def list_usable(self, pool: PoolName, now: float) -> Sequence[TargetView]:
        """List the usable targets of a pool, those of this zone first.

        :param pool: the pool.
        :param now: monotonic seconds.
        :returns: a shared sequence; the same object while nothing has changed.
        """
        return self._usable_targets.list(pool, now)

    def list_summaries(self, now: float) -> Sequence[ZoneSummary]:
        """List the pool summaries received from other zones.

        :param now: monotonic seconds.
        :returns: the summaries; empty if gossip goes to all hosts.
        """
        return self._summaries.list(now)

    def apply_documents(
        self, page: DocumentsPage, now: float
    ) -> Sequence[UnstampedEvent]:
        """Put newer documents in force; older ones are ignored.

        :param page: documents from a control host.
        :param now: monotonic seconds.
        :returns: events for the time line.
        """
        events = self._documents.apply(page)
        if events:
            self._writer.expedite_round(now)
        return events

    def find_document(self, service: str) -> ServiceDocument | None:
        """Find the document in force for a service.

        :param service: the service's name.
        :returns: the document, or None if there is none.
        """
        return self._documents.find(service)

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List the documents in force, sorted by revision."""
        return self._documents.list_documents()

    @property
    def revision(self) -> int:
        """The revision up to which every change is in force on this host."""
        return self._documents.revision

    def list_hosts(self, now: float) -> Sequence[EntryHostStatus]:
        """List the known entry hosts, including this one.

        :param now: monotonic seconds.
        :returns: the hosts, this one first.
        """
        own_entry = EntryHostStatus(
            self._config.host, self._config.zone, self.revision, 0.0
        )
        return [own_entry, *self._hosts.list_in_force(now)]

    def report_targets(self, now: float) -> TargetsReport:
        """Build the report for the control hosts, which need it to give orders.

        :param now: monotonic seconds.
        :returns: usable targets whose newest update this host received directly.
        """
        received = [
            record.announcement
            for pool in self._targets.list_pools()
            for record in self._targets.list_usable(pool, now)
            if record.source == self._config.host
        ]
        return TargetsReport(self._config.host, tuple(received))

    def drain_events(self) -> Sequence[UnstampedEvent]:
        """Return and clear the events caused by messages from other hosts."""
        return self._handler.drain_events()

    @property
    def messages_dropped(self) -> int:
        """Number of messages dropped as malformed, misdirected or too late."""
        return self._handler.messages_dropped

    @property
    def bytes_sent(self) -> int:
        """Total size of the bodies of all messages written."""
        return self._writer.bytes_sent

    def _expire(self, now: float) -> None:
        self._pool_sizes.update_rates(now)
        self._targets.expire(now)
        for host in self._hosts.expire(now):
            self._handler.forget(host)
            self._writer.forget(host)
