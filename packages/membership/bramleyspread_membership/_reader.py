"""What messages from other directories do to this one."""

from __future__ import annotations

from collections.abc import Sequence

from bramleyspread_core import (
    DocumentsPage,
    Happening,
    HostName,
    MessageError,
    PeerMessage,
    PeerSend,
)
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._documents import DocumentShelf
from bramleyspread_membership._gossip import GossipWriter
from bramleyspread_membership._hosts import HostTable
from bramleyspread_membership._lateness import LatenessEstimator
from bramleyspread_membership._messages import (
    DetailRow,
    DirectoryMessage,
    GiveDetails,
    GiveDocuments,
    Gossip,
    LeavingNews,
    LeftRow,
    PoolSummary,
    RenewalRow,
    WantDetails,
    WantDocuments,
    read_message,
)
from bramleyspread_membership._record import Merge
from bramleyspread_membership._rows import make_detail
from bramleyspread_membership._summaries import SummaryTable, ZoneSummary
from bramleyspread_membership._targets import TargetTable

#: Most targets asked for in one message.
WANTED_AT_ONCE = 100
#: Time between two questions for documents, in seconds.
ASK_DOCUMENTS_EVERY = 0.3
#: Happenings kept until they are taken.
KEPT_HAPPENINGS = 1_000


class GossipReader:
    """Takes messages from other directories; none can do harm.

    What is malformed, meant for another host or too late is dropped and
    counted. Repeated and reordered messages change nothing.
    """

    __slots__ = (
        "_ask_documents_at",
        "_config",
        "_happenings",
        "_hosts",
        "_lateness",
        "_shelf",
        "_summaries",
        "_targets",
        "_writer",
        "dropped",
    )

    def __init__(
        self,
        config: DirectoryConfig,
        now: float,
        targets: TargetTable,
        hosts: HostTable,
        shelf: DocumentShelf,
        summaries: SummaryTable,
        writer: GossipWriter,
    ) -> None:
        self._config = config
        self._targets = targets
        self._hosts = hosts
        self._shelf = shelf
        self._summaries = summaries
        self._writer = writer
        self._lateness = LatenessEstimator()
        self._ask_documents_at = now
        self._happenings: list[Happening] = []
        #: Messages that were dropped.
        self.dropped = 0

    def read(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        """Take a message.

        :param message: the message.
        :param now: monotonic seconds.
        :returns: questions and answers to its sender.
        """
        if message.receiver != self._config.host:
            self.dropped += 1
            return ()
        try:
            body = read_message(bytes(message.body))
        except MessageError:
            self.dropped += 1
            return ()
        return self._take(message, body, now)

    def take_happenings(self) -> Sequence[Happening]:
        """Take events that messages brought about."""
        taken, self._happenings = self._happenings, []
        return taken

    def forget(self, host: HostName) -> None:
        """Drop what is known of a host that is gone.

        :param host: the host.
        """
        self._lateness.forget(host)

    def _take(
        self, message: PeerMessage, body: DirectoryMessage, now: float
    ) -> Sequence[PeerSend]:
        match body:
            case Gossip():
                return self._take_gossip(message, body, now)
            case LeavingNews():
                self._take_left(body.left, now)
            case WantDetails():
                return self._give_details(message, body, now)
            case GiveDetails():
                self._take_details(message, body, now)
            case WantDocuments():
                page = self._shelf.make_page(body.versions)
                return self._writer.answer(message.sender, GiveDocuments(page), now)
            case GiveDocuments():
                self._take_documents(body.page, now)
        return ()

    def _take_gossip(
        self, message: PeerMessage, gossip: Gossip, now: float
    ) -> Sequence[PeerSend]:
        own = gossip.hosts[0] if gossip.hosts else None
        if own is None or own.host != message.sender:
            self.dropped += 1
            return ()
        sent = gossip.sent_ms / 1000
        late = self._lateness.estimate(own.host, own.incarnation, sent, now)
        if late > self._config.host_lease:
            self.dropped += 1
            return ()
        for row in gossip.hosts:
            self._hosts.merge(row, late, now)
        if late < self._config.gossip_every:
            self._hosts.hear(own.host, now)
        self._writer.note_peer(own, frozenset(gossip.unheard))
        self._take_left(gossip.left, now)
        unknown = self._take_rows(
            message, gossip.details, gossip.renewals, now - late, now
        )
        self._take_summaries(own.zone, gossip.summaries, now)
        return (
            *self._ask_details(message, unknown, now),
            *self._ask_documents(message, gossip.documents, own.revision, now),
        )

    def _take_rows(
        self,
        message: PeerMessage,
        details: Sequence[DetailRow],
        renewals: Sequence[RenewalRow],
        sent_at: float,
        now: float,
    ) -> list[RenewalRow]:
        for detail in details:
            heard_at = sent_at - detail.age_ms / 1000
            self._targets.merge(detail.announcement, heard_at, message.sender, now)
        return [
            row
            for row in renewals
            if self._targets.renew(
                row, sent_at - row.age_ms / 1000, message.sender, now
            )
            is Merge.UNKNOWN
        ]

    def _take_summaries(
        self, zone: str, summaries: Sequence[PoolSummary], now: float
    ) -> None:
        for summary in summaries:
            self._summaries.put(ZoneSummary(zone, summary, now))

    def _ask_details(
        self, message: PeerMessage, unknown: list[RenewalRow], now: float
    ) -> Sequence[PeerSend]:
        if not unknown:
            return ()
        names = tuple(row.target for row in unknown[:WANTED_AT_ONCE])
        return self._writer.answer(message.sender, WantDetails(names), now)

    def _ask_documents(
        self, message: PeerMessage, digest: int, revision: int, now: float
    ) -> Sequence[PeerSend]:
        if digest == self._shelf.digest:
            self._shelf.apply(DocumentsPage(revision))
            return ()
        if now < self._ask_documents_at:
            return ()
        self._ask_documents_at = now + ASK_DOCUMENTS_EVERY
        question = WantDocuments(self._shelf.list_versions())
        return self._writer.answer(message.sender, question, now)

    def _give_details(
        self, message: PeerMessage, want: WantDetails, now: float
    ) -> Sequence[PeerSend]:
        records = (self._targets.find(name) for name in want.targets[:WANTED_AT_ONCE])
        rows = tuple(make_detail(each, now) for each in records if each is not None)
        answer = GiveDetails(int(now * 1000), self._config.incarnation, rows)
        return self._writer.answer(message.sender, answer, now)

    def _take_details(
        self, message: PeerMessage, given: GiveDetails, now: float
    ) -> None:
        sent = given.sent_ms / 1000
        late = self._lateness.estimate(message.sender, given.incarnation, sent, now)
        self._take_rows(message, given.details, (), now - late, now)

    def _take_left(self, rows: Sequence[LeftRow], now: float) -> None:
        for row in rows:
            self._targets.leave(row.target, row.incarnation, now)

    def _take_documents(self, page: DocumentsPage, now: float) -> None:
        happenings = self._shelf.apply(page)
        if happenings:
            self._writer.hasten(now)
        self._happenings.extend(happenings)
        del self._happenings[:-KEPT_HAPPENINGS]
