"""Records of the checkpoint, journal and fingerprint files in a data folder."""

from __future__ import annotations

import msgspec

from bramleyspread_control._entries import Entry
from bramleyspread_control._members import Members


class FolderFingerprint(msgspec.Struct, frozen=True):
    """Fingerprint of the data folder after this host's last write to it.

    It is not durable and need not be, since it is only valid until the next reboot of
    the machine.
    """

    #: Fingerprint of the folder and its files; empty when none could be computed.
    stamp: str
    #: Groups whose logs were known to be complete.
    groups: tuple[int, ...]


class HeaderRecord(msgspec.Struct, frozen=True, tag="header"):
    """The first record of a checkpoint."""

    #: Identity of the data folder.
    incarnation: str
    #: Id of the deployment that the folder belongs to; empty before it joins one.
    deployment: str
    #: The founding members of the deployment if this host is one of them, else none.
    founders: Members
    #: Number of groups that the claims are divided among.
    groups: int


class GroupStateRecord(msgspec.Struct, frozen=True, tag="group-state"):
    """State of a group at the time of a checkpoint, without the entries of its log."""

    group: int
    #: The highest known term.
    term: int
    #: The candidate that received this replica's vote in the term; empty if none did.
    vote: str
    #: Index of the last entry that the state includes; the log continues after it.
    index: int
    #: Term of that entry.
    index_term: int
    #: The members at that entry.
    members: Members
    #: The state at that entry.
    state: msgspec.Raw


class VoteRecord(msgspec.Struct, frozen=True, tag="voted"):
    """A new term, and this replica's vote in it."""

    group: int
    term: int
    #: The candidate that received the vote; empty if none did.
    vote: str


class EntryRecord(msgspec.Struct, frozen=True, tag="logged"):
    """A log entry; it replaces the entry of the same index and all later ones."""

    group: int
    entry: Entry


class CommitRecord(msgspec.Struct, frozen=True, tag="committed"):
    """A new commit index of a group."""

    group: int
    #: Index of the last committed entry.
    index: int


class SyncedRecord(msgspec.Struct, frozen=True, tag="mark"):
    """The journal has been synced up to an offset."""

    #: Number of synced bytes from the start of the journal.
    synced: int


class EndRecord(msgspec.Struct, frozen=True, tag="end"):
    """The last record of a checkpoint."""

    #: Number of records before this one.
    records: int


#: Records of a journal.
JournalRecord = VoteRecord | EntryRecord | CommitRecord | SyncedRecord
#: Records of a checkpoint.
CheckpointRecord = HeaderRecord | GroupStateRecord | EntryRecord | EndRecord


class LocatedRecord(msgspec.Struct, frozen=True):
    """A record and the place from which it was read."""

    #: Name of the file.
    name: str
    #: Offset of the record in bytes.
    offset: int
    record: VoteRecord | EntryRecord | CommitRecord


class LoadedCheckpoint(msgspec.Struct):
    """The content of a checkpoint."""

    #: The first record of the checkpoint.
    header: HeaderRecord
    #: The group states in the checkpoint.
    states: list[GroupStateRecord]
    #: All later records of the checkpoint, in order.
    records: list[LocatedRecord]
