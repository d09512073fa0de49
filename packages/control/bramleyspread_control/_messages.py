"""Messages between control hosts."""

from __future__ import annotations

import msgspec

from bramleyspread_control._entries import Entry
from bramleyspread_control._members import Members
from bramleyspread_core import HostName


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages; JSON arrays take half as many bytes as objects."""


class HostAddress(msgspec.Struct, frozen=True, array_like=True):
    """Where a member of the deployment receives messages."""

    host: HostName
    zone: str
    #: The address, as ``ip:port``.
    address: str


class Hello(_Message, frozen=True, tag="hello"):
    """Periodic announcement of a host and the identity of its data folder."""

    #: True when the data folder has never belonged to a deployment.
    is_uninitialised: bool
    #: Availability zone of the host, for receivers whose settings do not name the host.
    zone: str = ""
    #: Address at which the host receives messages, as ``ip:port``; empty when only
    #: hosts named in the settings may join.
    address: str = ""
    #: The members that the sender knows, for a receiver that isn't one of them.
    members: tuple[HostAddress, ...] = ()


class CreateDeployment(_Message, frozen=True, tag="found"):
    """Creates a deployment; sent to the hosts that are its founding members."""

    #: The founding members.
    members: Members
    #: Number of groups that the claims are divided among.
    groups: int


class VoteRequest(_Message, frozen=True, tag="ask-vote"):
    """A candidate requests a vote, or asks in a pre-vote if it would receive one."""

    group: int
    #: Term of the election.
    term: int
    #: Index of the candidate's last log entry.
    last_index: int
    #: Term of the candidate's last log entry.
    last_term: int
    #: True to ask only whether the vote would be granted, without a new term.
    is_pre_vote: bool
    #: True when the leader requested the election in order to transfer its leadership.
    transfer_requested: bool = False


class VoteResponse(_Message, frozen=True, tag="give-vote"):
    """The response to :class:`VoteRequest`."""

    group: int
    #: Term of the election if the vote is granted, else the voter's own term.
    term: int
    #: Whether this responds to a pre-vote.
    is_pre_vote: bool
    #: Whether the vote is granted.
    granted: bool
    #: Whether the voter's log is known to be complete.
    log_complete: bool
    #: Time since the voter's process started, in seconds.
    uptime_s: float
    #: Why the vote is denied; empty if it is granted, or if the voter doesn't say.
    denial: str = ""


class AppendRequest(_Message, frozen=True, tag="append"):
    """Log entries from a leader; a message without entries is a heartbeat."""

    group: int
    #: Term of the leader.
    term: int
    #: Index of the entry before the first one in the message.
    prev_index: int
    #: Term of the entry before the first one in the message.
    prev_term: int
    entries: tuple[Entry, ...]
    #: Index of the last committed entry.
    commit_index: int
    #: Whether an entry of the leader's own term is committed.
    term_committed: bool
    #: The leader's clock in seconds, which the response returns.
    sent_at: float


class AppendResponse(_Message, frozen=True, tag="appended"):
    """The response to :class:`AppendRequest` and to the last chunk of a snapshot."""

    group: int
    #: Term of the replica.
    term: int
    #: Whether the logs match at the entry before the first one in the message.
    matched: bool
    #: Index up to which the logs match and are synced; if they do not match, the index
    #: to continue the search from.
    index: int
    #: The leader's clock, copied from the request.
    sent_at: float
    #: Smoothed duration of the replica's syncs, in seconds; 0 if unknown.
    sync_s: float = 0.0
    #: Whether the replica's build can read entries with zone drains.
    knows_drains: bool = False


class SnapshotChunk(_Message, frozen=True, tag="snapshot-piece"):
    """A chunk of a group's complete state, for a replica that lags too far behind."""

    group: int
    #: Term of the leader.
    term: int
    #: Index of the last log entry that the state includes.
    index: int
    #: Term of that entry.
    index_term: int
    #: The members at that entry.
    members: Members
    #: Size of the complete state in bytes.
    size: int
    #: Checksum of the complete state.
    checksum: int
    #: Offset of the chunk in bytes.
    offset: int
    data: bytes
    #: The leader's clock in seconds, which the response returns.
    sent_at: float


class SnapshotChunkRequest(_Message, frozen=True, tag="snapshot-wanted"):
    """The response to a chunk that is not the last: requests the next one."""

    group: int
    #: Term of the replica.
    term: int
    #: Index of the last log entry that the snapshot includes.
    index: int
    #: Offset of the requested chunk in bytes.
    offset: int
    #: The leader's clock, copied from the chunk.
    sent_at: float


class StartElection(_Message, frozen=True, tag="stand-now"):
    """A leader asks a replica to start an election at once and to become leader."""

    group: int
    #: Term of the leader.
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
Message = Hello | CreateDeployment | GroupMessage


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """All messages from one control host to another in one transmission."""

    #: Id of the sender's deployment; empty before it belongs to one.
    deployment: str
    #: Identity of the sender's data folder.
    incarnation: str
    #: Identity of the sender's process, new at every start.
    session: str
    #: Identity of the receiver's data folder as known to the sender; empty if unknown.
    to_incarnation: str
    #: Identity of the receiver's process as known to the sender; empty if unknown.
    to_session: str
    #: The messages, in order.
    messages: tuple[Message, ...]
