"""What a leader knows of one other replica."""

from __future__ import annotations

import math

import crc32c
import msgspec

from bramleyspread_control._members import Members
from bramleyspread_control._messages import SnapshotPiece

#: Bytes of a snapshot in one message.
PIECE_BYTES = 256_000


class SnapshotSend(msgspec.Struct, frozen=True):
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
    ) -> SnapshotSend:
        """Prepare a snapshot.

        :param index: it holds everything up to here.
        :param term: term of that entry.
        :param members: the members at that entry.
        :param data: the state.
        :returns: the snapshot, with nothing sent yet.
        """
        return cls(index, term, members, data, crc32c.crc32c(data))

    def make_piece(self, group: int, term: int, now: float) -> SnapshotPiece:
        """Make the message with the next piece.

        :param group: the group.
        :param term: the leader's term.
        :param now: monotonic seconds.
        :returns: the message.
        """
        return SnapshotPiece(
            group,
            term,
            self.index,
            self.term,
            self.members,
            len(self.data),
            self.checksum,
            self.offset,
            self.data[self.offset : self.offset + PIECE_BYTES],
            now,
        )


class Progress:
    """How far a replica has the log, and when it last answered."""

    __slots__ = ("contact", "match", "next", "resend_at", "session", "snapshot")

    def __init__(self, following: int) -> None:
        #: It has everything up to here, synced.
        self.match = 0
        #: The entry to send next.
        self.next = following
        #: When the newest message that it answered was sent.
        self.contact = -math.inf
        #: Until when entries on their way are waited for; 0 for none on the way.
        self.resend_at = 0.0
        #: A snapshot under way.
        self.snapshot: SnapshotSend | None = None
        #: The process that all this is about; empty before it was heard.
        self.session = ""

    def forget(self, session: str, following: int) -> None:
        """Begin anew: the replica restarted, perhaps with an older folder.

        :param session: the new process.
        :param following: the entry to try first.
        """
        self.session = session
        self.match = 0
        self.next = following
        self.resend_at = 0.0
        self.snapshot = None
