"""What the files of a data folder hold."""

from __future__ import annotations

import msgspec

from bramleyspread_control._entries import Entry
from bramleyspread_control._members import Members


class FolderFingerprint(msgspec.Struct, frozen=True):
    """What the data folder looked like when this host last wrote to it.

    It is not durable and need not be: it is of use only to a process that
    starts on the same boot of the machine.
    """

    #: The folder's and the files' stamp; empty when there is none.
    stamp: str
    #: Groups whose logs were surely complete.
    groups: tuple[int, ...]


class HeaderRecord(msgspec.Struct, frozen=True, tag="header"):
    """The first record of a checkpoint."""

    #: Identity of the data folder.
    incarnation: str
    #: The deployment that it belongs to; empty before it does.
    deployment: str
    #: The members that founded the deployment, where this one did.
    founders: Members
    #: Groups that share the claims.
    groups: int


class GroupStateRecord(msgspec.Struct, frozen=True, tag="group-state"):
    """A group as of a checkpoint, without its log's entries."""

    #: The group.
    group: int
    #: The newest term seen.
    term: int
    #: Who got this replica's vote in that term.
    vote: str
    #: The state holds everything up to here, and the log what is behind.
    index: int
    #: Term of that entry.
    index_term: int
    #: The members at that entry.
    members: Members
    #: The state at that entry.
    state: msgspec.Raw


class VoteRecord(msgspec.Struct, frozen=True, tag="voted"):
    """A new term, and who got the vote in it."""

    #: The group.
    group: int
    #: The term.
    term: int
    #: Who got the vote; empty for nobody.
    vote: str


class EntryRecord(msgspec.Struct, frozen=True, tag="logged"):
    """An entry; it replaces those at its position and behind."""

    #: The group.
    group: int
    #: The entry.
    entry: Entry


class CommitRecord(msgspec.Struct, frozen=True, tag="committed"):
    """Everything up to an entry is committed."""

    #: The group.
    group: int
    #: The entry's position.
    index: int


class SyncedRecord(msgspec.Struct, frozen=True, tag="mark"):
    """The journal's first bytes were synced."""

    #: How many.
    synced: int


class EndRecord(msgspec.Struct, frozen=True, tag="end"):
    """The last record of a checkpoint."""

    #: Records before this one.
    records: int


#: What a journal holds.
JournalRecord = VoteRecord | EntryRecord | CommitRecord | SyncedRecord
#: What a checkpoint holds.
CheckpointRecord = HeaderRecord | GroupStateRecord | EntryRecord | EndRecord


class LocatedRecord(msgspec.Struct, frozen=True):
    """A record with the place that it was read from."""

    #: The file.
    name: str
    #: Where the record begins, in bytes.
    offset: int
    #: The record.
    record: VoteRecord | EntryRecord | CommitRecord


class LoadedFolder(msgspec.Struct):
    """What was found in a data folder."""

    #: The checkpoint's first record.
    header: HeaderRecord
    #: The checkpoint's groups.
    states: list[GroupStateRecord]
    #: What came after them, in order.
    records: list[LocatedRecord]
