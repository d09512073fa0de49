"""The interfaces between the decisions and the processes around them.

Every implementation is sans-I/O: it takes typed values and ``now`` (monotonic
seconds) and returns typed values. Nothing in it waits, reads a clock, opens a
file or draws from a global random source. Time moves only by ``now``.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from bramleyspread_core._announcement import Announcement
from bramleyspread_core._calls import Outcome, StreamToken
from bramleyspread_core._commands import (
    Command,
    CommandResult,
    DocumentInForce,
    DocumentsPage,
    DocumentsQuery,
    DocumentText,
)
from bramleyspread_core._deployment import Deployment
from bramleyspread_core._document import ServiceDocument
from bramleyspread_core._effects import Effect, TargetView
from bramleyspread_core._identity import (
    Address,
    AttemptId,
    HostName,
    PoolName,
    RequestId,
)
from bramleyspread_core._orders import Order
from bramleyspread_core._request import CallerRequest
from bramleyspread_core._timeline import Happening


class PeerMessage(msgspec.Struct, frozen=True):
    """An opaque message between two processes of the system."""

    #: The sending host.
    sender: HostName
    #: The receiving host.
    receiver: HostName
    #: JSON that only the two ends' decision objects read.
    body: msgspec.Raw


class PeerSend(msgspec.Struct, frozen=True):
    """A message to deliver at most once, without waiting for an answer."""

    #: Where to.
    address: Address
    #: The message.
    message: PeerMessage


class CommandReply(msgspec.Struct, frozen=True):
    """The result of a command, for the ticket it was proposed under."""

    #: The ticket given to :meth:`ControlNode.propose`.
    ticket: int
    #: The result.
    result: CommandResult


class ControlOutput(msgspec.Struct, frozen=True):
    """What a control host must do now, after its storage was synced."""

    #: Messages to other control hosts.
    sends: tuple[PeerSend, ...] = ()
    #: Results of commands.
    replies: tuple[CommandReply, ...] = ()
    #: Events for the time line.
    happenings: tuple[Happening, ...] = ()


class HostInForce(msgspec.Struct, frozen=True):
    """How far one entry host has put the changes in force."""

    #: The entry host.
    host: HostName
    #: Its availability zone.
    zone: str
    #: Every change up to this revision is in force there.
    revision: int
    #: Seconds since it was heard.
    age: float


class ControlStatus(msgspec.Struct, frozen=True):
    """What a control host knows of itself."""

    #: The host.
    host: HostName
    #: ``leader``, ``follower``, ``candidate`` or ``learner``, by group id.
    roles: dict[str, str]
    #: Leader by group id; empty text when not known.
    leaders: dict[str, str]
    #: Term by group id.
    terms: dict[str, int]
    #: Last applied index by group id.
    applied: dict[str, int]
    #: Voting members by group id.
    voters: dict[str, tuple[str, ...]]
    #: Revision of the newest committed change.
    revision: int
    #: Entry hosts that have asked here for documents.
    entry_hosts: tuple[HostInForce, ...] = ()


class ControlNode(Protocol):
    """All decisions of one control host: its replicas of every group."""

    def receive(self, message: PeerMessage, now: float) -> None:
        """Take a message from another control host."""

    def propose(self, ticket: int, command: Command, now: float) -> None:
        """Take a command; at most one reply with this ticket follows."""

    def tick(self, now: float) -> None:
        """Let time pass; call at least every 10 ms."""

    def flush(self, now: float) -> ControlOutput:
        """Write and sync what is due, then say what may leave the process.

        One call serves everything taken since the last one, with one sync.
        """

    def answer_query(self, query: DocumentsQuery, now: float) -> DocumentsPage:
        """Hand out committed documents newer than the query's revision."""

    def report_status(self, now: float) -> ControlStatus:
        """Describe this host."""

    def hand_over(self, now: float) -> None:
        """Pass leadership of every group on, before a planned stop."""

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List the committed documents, the newest version of each."""

    def list_texts(self) -> Sequence[DocumentText]:
        """List the committed documents as they were submitted."""

    def list_intents(self) -> Sequence[Order]:
        """List the newest committed order of each target."""

    def order_fence(self, now: float) -> int | None:
        """The fencing number to order with, or None when another may order.

        Not None only while this host holds the lease to give orders and the
        lease of every earlier orderer must have run out; it only ever rises.
        """


class DeploymentSource(Protocol):
    """Where the deployment document in force is read from."""

    @property
    def deployment(self) -> Deployment | None:
        """The newest committed version known here; None before the first."""

    def confirms_deployment(self, now: float) -> bool:
        """Whether no newer version can have been accepted anywhere by now."""


class Directory(Protocol):
    """What an entry host knows of targets, other entry hosts and documents."""

    def hear(self, announcement: Announcement, now: float) -> Sequence[PeerSend]:
        """Take a target's own announcement."""

    def receive(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        """Take a message from another entry host."""

    def tick(self, now: float) -> Sequence[PeerSend]:
        """Let time pass; call about every 100 ms. Returns the spread's messages."""

    def list_usable(self, pool: PoolName, now: float) -> Sequence[TargetView]:
        """List targets of a pool that may be given new work, this zone's first.

        The sequence is shared and must not be changed; it is the same object
        as long as nothing changed, so that callers can cache by identity.
        """

    def apply_documents(self, page: DocumentsPage, now: float) -> Sequence[Happening]:
        """Put newer documents in force; older ones are ignored."""

    def find_document(self, service: str) -> ServiceDocument | None:
        """Find the document in force of a service."""

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List the documents in force, the newest version of each."""

    @property
    def revision(self) -> int:
        """Every change up to here is in force on this host."""

    def list_hosts(self, now: float) -> Sequence[HostInForce]:
        """List the entry hosts known, this one included."""


class RequestDecisions(Protocol):
    """All decisions of an entry host about its callers' requests."""

    def arrive(self, request: CallerRequest, now: float) -> Sequence[Effect]:
        """Take a caller's request; exactly one ``SendAnswer`` follows for it."""

    def caller_left(self, request: RequestId, now: float) -> Sequence[Effect]:
        """The caller closed its connection before it had its answer."""

    def token_arrived(
        self, attempt: AttemptId, token: StreamToken, now: float
    ) -> Sequence[Effect]:
        """A streaming attempt produced a token."""

    def attempt_ended(
        self, attempt: AttemptId, outcome: Outcome, now: float
    ) -> Sequence[Effect]:
        """An attempt ended; late and repeated ends are dropped and counted."""

    def claim_answered(
        self, request: RequestId, result: CommandResult, now: float
    ) -> Sequence[Effect]:
        """The control hosts answered a claim (``Undecided`` when none did)."""

    def settle_answered(
        self, request: RequestId, result: CommandResult, now: float
    ) -> Sequence[Effect]:
        """The control hosts answered a settlement."""

    def tick(self, now: float) -> Sequence[Effect]:
        """Let time pass: deadlines, hedges, waiting requests."""

    def next_due(self) -> float | None:
        """When ``tick`` must be called next, in monotonic seconds; None for never."""

    def begin_drain(self, now: float) -> Sequence[Effect]:
        """Take no new requests once the balancer has caught up; finish the rest."""

    @property
    def in_flight(self) -> int:
        """Requests not yet answered, and settlements not yet durable."""
