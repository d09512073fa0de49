"""What an entry host knows of targets, other entry hosts and documents."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bramleyspread_core import (
    Announcement,
    ContractWatch,
    DocumentInForce,
    DocumentsPage,
    Happening,
    HostInForce,
    PeerMessage,
    PeerSend,
    PoolName,
    ServiceDocument,
    TargetsReport,
    TargetView,
)
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._documents import DocumentShelf
from bramleyspread_membership._gossip import GossipWriter
from bramleyspread_membership._handler import GossipHandler
from bramleyspread_membership._hosts import HostTable
from bramleyspread_membership._messages import LeavingNotice, LeavingRow
from bramleyspread_membership._record import MergeResult
from bramleyspread_membership._sampling import PoolSizeEstimator
from bramleyspread_membership._summaries import SummaryTable, ZoneSummary
from bramleyspread_membership._targets import TargetTable
from bramleyspread_membership._usable_targets import UsableTargetCache

#: Time between two clearings of leases that ran out, in seconds.
EXPIRE_INTERVAL_S = 0.5


class EntryDirectory:
    """The directory of one entry host; use it through ``Directory``.

    Targets are known by leases that only their own announcements renew,
    whoever passes them on. Documents come from control hosts and neighbours
    alike. Nothing here needs a quorum, so that a zone cut off goes on.
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
        self._documents = DocumentShelf(watch)
        self._usable_targets = UsableTargetCache(
            self._targets, config.zone, config.lease_s
        )
        self._pool_sizes = PoolSizeEstimator(config.announce_every, now)
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
        """Make the directory of a host that starts.

        :param config: its settings.
        :param rng: spreads rounds of gossip over time.
        :param now: monotonic seconds.
        :param watch: where breaches of contracts are reported.
        :returns: a directory that knows nothing yet.
        """
        return cls(config, rng, now, watch or ContractWatch())

    def hear(self, announcement: Announcement, now: float) -> Sequence[PeerSend]:
        """Take a target's own announcement.

        :param announcement: the announcement.
        :param now: monotonic seconds.
        :returns: the news that it is leaving, when that is news.
        """
        self._pool_sizes.count_announcement(announcement.pool)
        merge = self._targets.merge(announcement, now, self._config.host, now)
        if merge is not MergeResult.LEAVING:
            return ()
        row = LeavingRow(announcement.target, announcement.incarnation)
        return self._writer.broadcast(LeavingNotice((row,)), now)

    def receive(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        """Take a message from another entry host.

        :param message: the message; whatever it holds, it does no harm.
        :param now: monotonic seconds.
        :returns: questions and answers to that host.
        """
        return self._handler.handle(message, now)

    def tick(self, now: float) -> Sequence[PeerSend]:
        """Let time pass; call about every 100 ms.

        :param now: monotonic seconds.
        :returns: a round of gossip when one is due.
        """
        if now >= self._next_expire_at:
            self._next_expire_at = now + EXPIRE_INTERVAL_S
            self._expire(now)
        return self._writer.write_round(now)

    def list_usable(self, pool: PoolName, now: float) -> Sequence[TargetView]:
        """List targets of a pool that may be given new work, this zone's first.

        :param pool: the pool.
        :param now: monotonic seconds.
        :returns: a shared sequence; the same object as long as nothing changed.
        """
        return self._usable_targets.list(pool, now)

    def list_summaries(self, now: float) -> Sequence[ZoneSummary]:
        """List what other zones said that they have of each pool.

        :param now: monotonic seconds.
        :returns: the summaries; empty where every target is known anyway.
        """
        return self._summaries.list(now)

    def apply_documents(self, page: DocumentsPage, now: float) -> Sequence[Happening]:
        """Put newer documents in force; older ones are ignored.

        :param page: from a control host.
        :param now: monotonic seconds.
        :returns: what happened, for the time line.
        """
        happenings = self._documents.apply(page)
        if happenings:
            self._writer.expedite_round(now)
        return happenings

    def find_document(self, service: str) -> ServiceDocument | None:
        """Find the document in force of a service.

        :param service: the service's name.
        :returns: the document, or None.
        """
        return self._documents.find(service)

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List the documents in force, as they were submitted."""
        return self._documents.list_documents()

    @property
    def revision(self) -> int:
        """Every change up to here is in force on this host."""
        return self._documents.revision

    def list_hosts(self, now: float) -> Sequence[HostInForce]:
        """List the entry hosts known, this one included.

        :param now: monotonic seconds.
        :returns: this host first.
        """
        own = HostInForce(self._config.host, self._config.zone, self.revision, 0.0)
        return [own, *self._hosts.list_in_force(now)]

    def report_targets(self, now: float) -> TargetsReport:
        """Collect what the control hosts need for giving orders.

        :param now: monotonic seconds.
        :returns: the targets that this host heard itself.
        """
        received = [
            record.announcement
            for pool in self._targets.list_pools()
            for record in self._targets.list_usable(pool, now)
            if record.source == self._config.host
        ]
        return TargetsReport(self._config.host, tuple(received))

    def take_happenings(self) -> Sequence[Happening]:
        """Take events that messages from other hosts brought about."""
        return self._handler.take_happenings()

    @property
    def messages_dropped(self) -> int:
        """Messages that were malformed, meant for another host, or too late."""
        return self._handler.messages_dropped

    @property
    def bytes_sent(self) -> int:
        """Bytes of the bodies of all messages written so far."""
        return self._writer.bytes_sent

    def _expire(self, now: float) -> None:
        self._pool_sizes.measure(now)
        self._targets.expire(now)
        for host in self._hosts.expire(now):
            self._handler.forget(host)
            self._writer.forget(host)
