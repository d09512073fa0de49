"""What a leader knows of one other replica."""

from __future__ import annotations

import math

import crc32c
import msgspec

from bramleyspread_control._members import Members
from bramleyspread_control._messages import SnapshotChunk

#: Bytes of a snapshot in one message.
SNAPSHOT_CHUNK_BYTES = 256_000


class OutgoingSnapshot(msgspec.Struct, frozen=True):
    """A snapshot under way to a replica."""

    #: It holds everything up to here.
    index: int
    #: Term of that entry.
    term: int
    #: The members at that entry.
    members: Members
    #: The state.
    data: bytes
    #: Its checksum.
    checksum: int
    #: Bytes that the replica has.
    offset: int = 0

    @classmethod
    def from_state(
        cls, index: int, term: int, members: Members, data: bytes
    ) -> OutgoingSnapshot:
        """Prepare a snapshot.

        :param index: it holds everything up to here.
        :param term: term of that entry.
        :param members: the members at that entry.
        :param data: the state.
        :returns: the snapshot, with nothing sent yet.
        """
        return cls(index, term, members, data, crc32c.crc32c(data))

    def make_chunk(self, group: int, term: int, now: float) -> SnapshotChunk:
        """Make the message with the next piece.

        :param group: the group.
        :param term: the leader's term.
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
    """How far a replica has the log, and when it last answered."""

    __slots__ = (
        "last_contact_at",
        "match_index",
        "next_index",
        "retransmit_at",
        "session",
        "snapshot",
    )

    def __init__(self, next_index: int) -> None:
        #: It has everything up to here, synced.
        self.match_index = 0
        #: The entry to send next.
        self.next_index = next_index
        #: When the newest message that it answered was sent.
        self.last_contact_at = -math.inf
        #: Until when entries on their way are waited for; 0 for none on the way.
        self.retransmit_at = 0.0
        #: A snapshot under way.
        self.snapshot: OutgoingSnapshot | None = None
        #: The process that all this is about; empty before it was heard.
        self.session = ""

    def reset(self, session: str, next_index: int) -> None:
        """Begin anew: the replica restarted, perhaps with an older folder.

        :param session: the new process.
        :param following: the entry to try first.
        """
        self.session = session
        self.match_index = 0
        self.next_index = next_index
        self.retransmit_at = 0.0
        self.snapshot = None
