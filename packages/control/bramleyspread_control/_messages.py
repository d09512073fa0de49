"""Messages between control hosts."""

from __future__ import annotations

import msgspec

from bramleyspread_control._entries import Entry
from bramleyspread_control._members import Members


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """A message as a JSON array, which takes half the bytes of an object."""


class Hello(_Message, frozen=True, tag="hello"):
    """A host's sign of life, which shows the identity of its data folder."""

    #: True when its data folder has never belonged to a deployment.
    is_uninitialised: bool
    #: Its availability zone and address, for those whose settings don't name it.
    zone: str = ""
    #: Where it takes messages, as ``ip:port``; empty when settings name it.
    address: str = ""


class FoundDeployment(_Message, frozen=True, tag="found"):
    """The first members of a new deployment, for a host that is one of them."""

    #: The members.
    members: Members
    #: Groups that share the claims.
    groups: int


class VoteRequest(_Message, frozen=True, tag="ask-vote"):
    """A candidate asks for a vote, or first whether it would get one."""

    #: The group.
    group: int
    #: The term that it stands for.
    term: int
    #: Position of its last entry.
    last_index: int
    #: Term of its last entry.
    last_term: int
    #: True to ask only whether the vote would be given.
    is_pre_vote: bool
    #: True when the leader itself asked it to stand.
    transfer_requested: bool = False


class VoteResponse(_Message, frozen=True, tag="give-vote"):
    """The answer to :class:`AskVote`."""

    #: The group.
    group: int
    #: The term asked about when given; the voter's own term when not.
    term: int
    #: Whether it answers a trial.
    is_pre_vote: bool
    #: Whether the vote is given.
    granted: bool
    #: Whether the voter's log is surely complete.
    log_complete: bool
    #: How long the voter has been running, in seconds.
    uptime_s: float


class AppendRequest(_Message, frozen=True, tag="append"):
    """Entries from a leader; without any it is a sign of life."""

    #: The group.
    group: int
    #: The leader's term.
    term: int
    #: Position of the entry before the first one.
    prev_index: int
    #: Term of the entry before the first one.
    prev_term: int
    #: The entries.
    entries: tuple[Entry, ...]
    #: Everything up to here is committed.
    commit_index: int
    #: Whether an entry of the leader's own term is committed.
    term_committed: bool
    #: The leader's clock, to be sent back, in seconds.
    sent_at: float


class AppendResponse(_Message, frozen=True, tag="appended"):
    """The answer to :class:`Append` and to a snapshot's last piece."""

    #: The group.
    group: int
    #: The replica's term.
    term: int
    #: Whether the logs agreed at the entry before the first one.
    matched: bool
    #: Agreed and synced up to here; where not matched, try from here.
    index: int
    #: The leader's clock, as it came.
    sent_at: float


class SnapshotChunk(_Message, frozen=True, tag="snapshot-piece"):
    """A piece of a group's whole state, for a replica that lags far behind."""

    #: The group.
    group: int
    #: The leader's term.
    term: int
    #: The state holds everything up to here.
    index: int
    #: Term of that entry.
    index_term: int
    #: The members at that entry.
    members: Members
    #: Size of the whole state, in bytes.
    size: int
    #: Checksum of the whole state.
    checksum: int
    #: Where the piece begins, in bytes.
    offset: int
    #: The piece.
    data: bytes
    #: The leader's clock, to be sent back, in seconds.
    sent_at: float


class SnapshotChunkRequest(_Message, frozen=True, tag="snapshot-wanted"):
    """The answer to a piece that was not the last: where the next one begins."""

    #: The group.
    group: int
    #: The replica's term.
    term: int
    #: The snapshot.
    index: int
    #: Where the next piece begins, in bytes.
    offset: int
    #: The leader's clock, as it came.
    sent_at: float


class StartElection(_Message, frozen=True, tag="stand-now"):
    """A leader asks a replica to take over at once."""

    #: The group.
    group: int
    #: The leader's term.
    term: int


#: Messages about one group.
GroupMessage = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotChunkRequest
    | StartElection
)
#: All messages.
Message = Hello | FoundDeployment | GroupMessage


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What one control host sends to another at one time."""

    #: The deployment that the sender belongs to; empty before it does.
    deployment: str
    #: Identity of the sender's data folder.
    incarnation: str
    #: Identity of the sender's process, new at every start.
    session: str
    #: Identity of the receiver's data folder as the sender knows it.
    to_incarnation: str
    #: Identity of the receiver's process as the sender knows it.
    to_session: str
    #: The messages, in order.
    messages: tuple[Message, ...]
