"""Handles messages from the directories of other entry hosts."""

from __future__ import annotations

from collections.abc import Sequence

from bramleyspread_core import (
    DocumentsPage,
    HostName,
    MessageError,
    PeerMessage,
    PeerSend,
    UnstampedEvent,
)
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._documents import DocumentTable
from bramleyspread_membership._gossip import GossipWriter
from bramleyspread_membership._hosts import HostTable
from bramleyspread_membership._lateness import DelayEstimator
from bramleyspread_membership._messages import (
    DetailRow,
    DetailsRequest,
    DetailsResponse,
    DirectoryMessage,
    DocumentsRequest,
    DocumentsResponse,
    Gossip,
    LeavingNotice,
    LeavingRow,
    PoolSummary,
    RenewalRow,
    decode_message,
)
from bramleyspread_membership._record import MergeResult
from bramleyspread_membership._rows import build_detail_row
from bramleyspread_membership._summaries import SummaryTable, ZoneSummary
from bramleyspread_membership._targets import TargetTable

#: Maximum number of targets in one request for details.
MAX_DETAILS_PER_REQUEST = 100
#: Shortest interval between two requests for documents, in seconds.
DOCUMENTS_REQUEST_INTERVAL_S = 0.3
#: Maximum number of events kept until they are taken; the oldest are discarded.
MAX_KEPT_EVENTS = 1_000


class GossipHandler:
    """Applies messages from other directories without trusting their content.

    Messages that are malformed, meant for another host or too late are dropped and
    counted. Repeated and reordered messages have no effect.
    """

    __slots__ = (
        "_config",
        "_delays",
        "_documents",
        "_events",
        "_hosts",
        "_next_documents_request_at",
        "_summaries",
        "_targets",
        "_writer",
        "messages_dropped",
    )

    def __init__(
        self,
        config: DirectoryConfig,
        now: float,
        targets: TargetTable,
        hosts: HostTable,
        documents: DocumentTable,
        summaries: SummaryTable,
        writer: GossipWriter,
    ) -> None:
        self._config = config
        self._targets = targets
        self._hosts = hosts
        self._documents = documents
        self._summaries = summaries
        self._writer = writer
        self._delays = DelayEstimator()
        self._next_documents_request_at = now
        self._events: list[UnstampedEvent] = []
        #: Number of dropped messages.
        self.messages_dropped = 0

    def handle(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        """Handle a message from another entry host.

        :param message: the message.
        :param now: monotonic seconds.
        :returns: requests and responses to its sender.
        """
        if message.receiver != self._config.host:
            self.messages_dropped += 1
            return ()
        try:
            body = decode_message(bytes(message.body))
        except MessageError:
            self.messages_dropped += 1
            return ()
        return self._dispatch(message, body, now)

    def drain_events(self) -> Sequence[UnstampedEvent]:
        """Return and clear the events caused by messages."""
        taken, self._events = self._events, []
        return taken

    def forget(self, host: HostName) -> None:
        """Discard the delay estimates of an expired host.

        :param host: the host.
        """
        self._delays.forget(host)

    def _dispatch(
        self, message: PeerMessage, body: DirectoryMessage, now: float
    ) -> Sequence[PeerSend]:
        match body:
            case Gossip():
                return self._handle_gossip(message, body, now)
            case LeavingNotice():
                self._mark_leaving(body.left, now)
            case DetailsRequest():
                return self._handle_details_request(message, body, now)
            case DetailsResponse():
                self._handle_details_response(message, body, now)
            case DocumentsRequest():
                page = self._documents.build_page(body.versions)
                return self._writer.write_to(
                    message.sender, DocumentsResponse(page), now
                )
            case DocumentsResponse():
                self._handle_documents_response(body.page, now)
        return ()

    def _handle_gossip(
        self, message: PeerMessage, gossip: Gossip, now: float
    ) -> Sequence[PeerSend]:
        sender_row = gossip.hosts[0] if gossip.hosts else None
        if sender_row is None or sender_row.host != message.sender:
            self.messages_dropped += 1
            return ()
        sender_clock = gossip.sent_ms / 1000
        delay_s = self._delays.estimate(
            sender_row.host, sender_row.incarnation, sender_clock, now
        )
        if delay_s > self._config.host_lease_s:
            self.messages_dropped += 1
            return ()
        for row in gossip.hosts:
            self._hosts.merge(row, delay_s, now)
        if delay_s < self._config.gossip_interval_s:
            self._hosts.record_message(sender_row.host, now)
        self._writer.record_unheard(sender_row, frozenset(gossip.unheard))
        self._mark_leaving(gossip.left, now)
        unresolved = self._merge_rows(
            message, gossip.details, gossip.renewals, now - delay_s, now
        )
        self._store_summaries(sender_row.zone, gossip.summaries, now)
        return (
            *self._request_details(message, unresolved, now),
            *self._request_documents(
                message, gossip.documents, sender_row.revision, now
            ),
        )

    def _merge_rows(
        self,
        message: PeerMessage,
        details: Sequence[DetailRow],
        renewals: Sequence[RenewalRow],
        sent_at: float,
        now: float,
    ) -> list[RenewalRow]:
        """Merge rows about targets; return the renewals whose details are missing."""
        for row in details:
            received_at = sent_at - row.age_ms / 1000
            self._targets.merge(row.announcement, received_at, message.sender, now)
        return [
            row
            for row in renewals
            if self._targets.renew(
                row, sent_at - row.age_ms / 1000, message.sender, now
            )
            is MergeResult.UNKNOWN_DETAILS
        ]

    def _store_summaries(
        self, zone: str, summaries: Sequence[PoolSummary], now: float
    ) -> None:
        for summary in summaries:
            self._summaries.put(ZoneSummary(zone, summary, now))

    def _request_details(
        self, message: PeerMessage, unresolved: list[RenewalRow], now: float
    ) -> Sequence[PeerSend]:
        if not unresolved:
            return ()
        names = tuple(row.target for row in unresolved[:MAX_DETAILS_PER_REQUEST])
        return self._writer.write_to(message.sender, DetailsRequest(names), now)

    def _request_documents(
        self, message: PeerMessage, digest: int, revision: int, now: float
    ) -> Sequence[PeerSend]:
        """Request newer documents if the sender's versions differ from those here.

        If the versions are equal, every change up to the sender's revision is in force
        here too, and this host's revision is raised to it.
        """
        if digest == self._documents.digest:
            self._documents.apply(DocumentsPage(revision))
            return ()
        if now < self._next_documents_request_at:
            return ()
        self._next_documents_request_at = now + DOCUMENTS_REQUEST_INTERVAL_S
        request = DocumentsRequest(self._documents.list_versions())
        return self._writer.write_to(message.sender, request, now)

    def _handle_details_request(
        self, message: PeerMessage, request: DetailsRequest, now: float
    ) -> Sequence[PeerSend]:
        records = (
            self._targets.find(name)
            for name in request.targets[:MAX_DETAILS_PER_REQUEST]
        )
        rows = tuple(
            build_detail_row(each, now) for each in records if each is not None
        )
        response = DetailsResponse(int(now * 1000), self._config.incarnation, rows)
        return self._writer.write_to(message.sender, response, now)

    def _handle_details_response(
        self, message: PeerMessage, response: DetailsResponse, now: float
    ) -> None:
        sender_clock = response.sent_ms / 1000
        delay_s = self._delays.estimate(
            message.sender, response.incarnation, sender_clock, now
        )
        self._merge_rows(message, response.details, (), now - delay_s, now)

    def _mark_leaving(self, rows: Sequence[LeavingRow], now: float) -> None:
        for row in rows:
            self._targets.mark_leaving(row.target, row.incarnation, now)

    def _handle_documents_response(self, page: DocumentsPage, now: float) -> None:
        events = self._documents.apply(page)
        if events:
            self._writer.expedite_round(now)
        self._events.extend(events)
        del self._events[:-MAX_KEPT_EVENTS]
