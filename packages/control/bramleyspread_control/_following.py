"""Follower and learner: append entries and install snapshots from the leader."""

from __future__ import annotations

from collections.abc import Callable

import crc32c

from bramleyspread_control._consensus_state import ConsensusState
from bramleyspread_control._entries import Entry
from bramleyspread_control._messages import (
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotChunkRequest,
)
from bramleyspread_core import HostName, MessageError


class _IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    __slots__ = ("checksum", "data", "index")

    def __init__(self, index: int, checksum: int) -> None:
        #: Index of the last log entry that the snapshot includes.
        self.index = index
        #: Checksum of the complete snapshot.
        self.checksum = checksum
        #: The data received so far.
        self.data = bytearray()


class FollowerState:
    """Handles the messages that a replica receives from its leader."""

    def __init__(
        self, consensus: ConsensusState, restore_state: Callable[[bytes], None]
    ) -> None:
        self._consensus = consensus
        self._restore_state = restore_state
        self._incoming_snapshot: _IncomingSnapshot | None = None
        #: True when a snapshot has replaced the log and no checkpoint contains it yet.
        self.snapshot_installed = False

    def handle_append_request(
        self,
        sender: HostName,
        request: AppendRequest,
        now: float,
        sender_knows_session: bool,
    ) -> None:
        """Append entries to the log; the response is sent once they are synced.

        :param sender: the leader.
        :param request: the request.
        :param now: monotonic seconds.
        :param sender_knows_session: whether the leader sent the message to this
            process, rather than to an earlier process on the same data folder.
        """
        consensus = self._consensus
        if request.term < consensus.term:
            self._send_append_response(
                sender, False, consensus.log.last_index, request.sent_at
            )
            return
        entries = request.entries
        if not _has_valid_entries(request, entries):
            consensus.report_event(
                "message-refused",
                sender,
                "append request with invalid or out-of-order entries ignored",
            )
            return
        self._follow_leader(sender, request.term, now)
        log = consensus.log
        skipped = log.base_index - request.prev_index
        if skipped <= 0 and log.find_term(request.prev_index) != request.prev_term:
            retry_index = self._find_retry_index(request.prev_index)
            self._send_append_response(sender, False, retry_index, request.sent_at)
            return
        if not self._append_entries(entries[max(skipped, 0) :]):
            consensus.report_event(
                "log-diverged",
                sender,
                "append request conflicts with entries committed up to index "
                f"{log.commit_index}; ignored",
            )
            return
        agreed_index = max(request.prev_index + len(entries), log.base_index)
        log.commit_index = max(
            log.commit_index, min(request.commit_index, agreed_index)
        )
        if (
            request.term_committed
            and sender_knows_session
            and agreed_index >= request.commit_index
        ):
            self._confirm_log(sender)
            consensus.last_confirmed_at = now
        self._send_append_response(sender, True, agreed_index, request.sent_at)

    def handle_snapshot_chunk(
        self, sender: HostName, chunk: SnapshotChunk, now: float
    ) -> None:
        """Receive a chunk of a snapshot, and install the snapshot after its last chunk.

        :param sender: the leader.
        :param chunk: the message.
        :param now: monotonic seconds.
        """
        consensus = self._consensus
        if chunk.term < consensus.term:
            self._send_append_response(
                sender, False, consensus.log.last_index, chunk.sent_at
            )
            return
        self._follow_leader(sender, chunk.term, now)
        if chunk.index <= consensus.log.commit_index:
            self._send_append_response(sender, True, chunk.index, chunk.sent_at)
            return
        incoming = self._incoming_snapshot
        if incoming is None or incoming.index != chunk.index:
            incoming = self._incoming_snapshot = _IncomingSnapshot(
                chunk.index, chunk.checksum
            )
        if chunk.offset == len(incoming.data):
            incoming.data += chunk.data
        if len(incoming.data) < chunk.size:
            chunk_request = SnapshotChunkRequest(
                consensus.group,
                consensus.term,
                chunk.index,
                len(incoming.data),
                chunk.sent_at,
            )
            consensus.send(sender, chunk_request)
            return
        self._incoming_snapshot = None
        if self._install(sender, chunk, bytes(incoming.data)):
            self._send_append_response(sender, True, chunk.index, chunk.sent_at)

    def _install(self, sender: HostName, chunk: SnapshotChunk, data: bytes) -> bool:
        consensus = self._consensus
        if crc32c.crc32c(data) != chunk.checksum:
            consensus.report_event(
                "snapshot-refused", sender, "snapshot checksum mismatch; discarded"
            )
            return False
        try:
            self._restore_state(data)
        except MessageError as error:
            consensus.report_event("snapshot-refused", sender, str(error))
            return False
        consensus.log.reset(chunk.index, chunk.index_term, chunk.members)
        consensus.report_event(
            "snapshot-installed", sender, f"up to log index {chunk.index}"
        )
        self.snapshot_installed = True
        return True

    def _follow_leader(self, leader: HostName, term: int, now: float) -> None:
        self._consensus.become_follower(term, leader, now)
        self._consensus.last_leader_contact_at = now

    def _append_entries(self, entries: tuple[Entry, ...]) -> bool:
        log = self._consensus.log
        for entry in entries:
            term = log.find_term(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                if entry.index <= log.commit_index:
                    return False
                log.truncate_from(entry.index)
            log.append(entry.detach())
        return True

    def _find_retry_index(self, prev_index: int) -> int:
        """Find the last index at which this log may match the leader's.

        It is the last entry of this log, or else the one before the entries of the
        conflicting term.
        """
        log = self._consensus.log
        if prev_index > log.last_index:
            return log.last_index
        term = log.find_term(prev_index)
        index = prev_index - 1
        while index > log.commit_index and log.find_term(index) == term:
            index -= 1
        return index

    def _confirm_log(self, leader: HostName) -> None:
        consensus = self._consensus
        if not consensus.log_complete:
            consensus.log_complete = True
            consensus.report_event("log-confirmed", leader)

    def _send_append_response(
        self, leader: HostName, matched: bool, index: int, sent_at: float
    ) -> None:
        consensus = self._consensus
        consensus.send(
            leader,
            AppendResponse(
                consensus.group,
                consensus.term,
                matched,
                index,
                sent_at,
                consensus.sync_s,
                knows_drains=True,
            ),
        )


def _has_valid_entries(request: AppendRequest, entries: tuple[Entry, ...]) -> bool:
    """Whether the entries have consecutive indexes, valid terms and valid changes."""
    for position, entry in enumerate(entries, request.prev_index + 1):
        if entry.index != position or entry.term > request.term:
            return False
        try:
            entry.read_change()
        except MessageError:
            return False
    return True
