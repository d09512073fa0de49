"""Replication progress of one other replica, as the leader tracks it."""

from __future__ import annotations

import math

import crc32c
import msgspec

from bramleyspread_control._members import Members
from bramleyspread_control._messages import SnapshotChunk

#: Maximum size of the snapshot data in one message, in bytes.
SNAPSHOT_CHUNK_BYTES = 256_000


class OutgoingSnapshot(msgspec.Struct, frozen=True):
    """A snapshot that is being sent to a replica."""

    #: Index of the last log entry that the snapshot includes.
    index: int
    #: Term of that entry.
    term: int
    #: The members at that entry.
    members: Members
    #: The encoded state.
    data: bytes
    #: Checksum of the encoded state.
    checksum: int
    #: Number of bytes that the replica has received.
    offset: int = 0

    @classmethod
    def from_state(
        cls, index: int, term: int, members: Members, data: bytes
    ) -> OutgoingSnapshot:
        """Create a snapshot of an encoded state.

        :param index: index of the last log entry that the state includes.
        :param term: term of that entry.
        :param members: the members at that entry.
        :param data: the encoded state.
        :returns: the snapshot, of which nothing has been sent yet.
        """
        return cls(index, term, members, data, crc32c.crc32c(data))

    def make_chunk(self, group: int, term: int, now: float) -> SnapshotChunk:
        """Create the message with the next chunk.

        :param group: id of the group.
        :param term: term of the leader.
        :param now: monotonic seconds.
        :returns: the message.
        """
        return SnapshotChunk(
            group,
            term,
            self.index,
            self.term,
            self.members,
            len(self.data),
            self.checksum,
            self.offset,
            self.data[self.offset : self.offset + SNAPSHOT_CHUNK_BYTES],
            now,
        )


class ReplicaProgress:
    """How far a replica's log matches the leader's, and its last response."""

    __slots__ = (
        "knows_drains",
        "last_contact_at",
        "match_index",
        "next_index",
        "retransmit_due_at",
        "session",
        "snapshot",
        "sync_s",
    )

    def __init__(self, next_index: int) -> None:
        #: Index up to which the replica's log is known to match and to be synced.
        self.match_index = 0
        #: Index of the next entry to send.
        self.next_index = next_index
        #: Sending time of the newest message that the replica has answered, in
        #: monotonic seconds.
        self.last_contact_at = -math.inf
        #: Smoothed duration of the replica's syncs, in seconds; 0 if unknown.
        self.sync_s = 0.0
        #: Whether its build can read entries with zone drains, by its last response.
        self.knows_drains = False
        #: Time at which unanswered entries are sent again; 0 when none are in flight.
        self.retransmit_due_at = 0.0
        #: The snapshot that is being sent, if any.
        self.snapshot: OutgoingSnapshot | None = None
        #: Identity of the process that this progress belongs to; empty before its first
        #: message.
        self.session = ""

    def reset(self, session: str, next_index: int) -> None:
        """Discard the progress, for a new process that may use an older data folder.

        :param session: identity of the new process.
        :param next_index: index of the first entry to try.
        """
        self.session = session
        self.match_index = 0
        self.next_index = next_index
        self.retransmit_due_at = 0.0
        self.snapshot = None
