"""Interfaces between the sans-I/O logic and the processes that run it.

Every implementation takes typed values and ``now`` (monotonic seconds) and returns
typed values. It does not wait, read a clock, open a file or use a global random
source; time advances only through ``now``.
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
from bramleyspread_core._timeline import UnstampedEvent


class PeerMessage(msgspec.Struct, frozen=True):
    """An opaque message between two hosts."""

    #: The sending host.
    sender: HostName
    #: The receiving host.
    receiver: HostName
    #: JSON that only the sans-I/O objects of the two hosts interpret.
    body: msgspec.Raw


class PeerSend(msgspec.Struct, frozen=True):
    """A message to deliver at most once, without waiting for an answer."""

    #: Address of the receiving host.
    address: Address
    message: PeerMessage


class CommandReply(msgspec.Struct, frozen=True):
    """The result of a command, with the ticket under which it was proposed."""

    #: The ticket that was passed to :meth:`ControlNode.propose`.
    ticket: int
    result: CommandResult


class ControlOutput(msgspec.Struct, frozen=True):
    """What a control host must send and record now that its storage is synced."""

    #: Messages to other control hosts.
    sends: tuple[PeerSend, ...] = ()
    #: Results of commands.
    replies: tuple[CommandReply, ...] = ()
    #: Events to write to the time line.
    events: tuple[UnstampedEvent, ...] = ()


class EntryHostStatus(msgspec.Struct, frozen=True):
    """The revision that is in force on one entry host."""

    #: Name of the entry host.
    host: HostName
    #: Availability zone of the entry host.
    zone: str
    #: Every change up to this revision is in force on the entry host.
    revision: int
    #: Time since the entry host was last heard from, in seconds.
    age: float


class ControlStatus(msgspec.Struct, frozen=True):
    """Status of one control host and of its replica of each consensus group."""

    #: Name of the control host.
    host: HostName
    #: Role by group id: ``leader``, ``follower``, ``candidate`` or ``learner``.
    roles: dict[str, str]
    #: Name of the leader by group id; empty if unknown.
    leaders: dict[str, str]
    #: Term by group id.
    terms: dict[str, int]
    #: Last applied log index by group id.
    applied: dict[str, int]
    #: Voting members by group id.
    voters: dict[str, tuple[str, ...]]
    #: Revision of the newest committed change.
    revision: int
    #: Entry hosts that have queried this host for documents.
    entry_hosts: tuple[EntryHostStatus, ...] = ()


class ControlNode(Protocol):
    """Logic of one control host, which holds a replica of every consensus group."""

    def receive(self, message: PeerMessage, now: float) -> None:
        """Process a message from another control host."""

    def propose(self, ticket: int, command: Command, now: float) -> None:
        """Propose a command; at most one reply with this ticket follows."""

    def tick(self, now: float) -> None:
        """Process timers; must be called at least every 10 ms."""

    def flush(self, now: float) -> ControlOutput:
        """Write and sync pending records, then return what may be sent afterwards.

        One call, with one sync, covers all input since the previous call.
        """

    def answer_query(self, query: DocumentsQuery, now: float) -> DocumentsPage:
        """Return committed documents that are newer than the query's revision."""

    def report_status(self, now: float) -> ControlStatus:
        """Return the status of this host."""

    def transfer_leadership(self, now: float) -> None:
        """Hand leadership of every group over to other hosts, before a planned stop."""

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List the committed documents, the newest version of each."""

    def list_texts(self) -> Sequence[DocumentText]:
        """List the committed documents in their original text."""

    def list_intended_orders(self) -> Sequence[Order]:
        """List the newest committed order of each target."""

    def get_fencing_number(self, now: float) -> int | None:
        """Return the fencing number for orders; None if this host must not give any.

        The host may give orders only while it holds the lease to give them and every
        earlier holder's lease has certainly expired. The number never decreases.
        """


class DeploymentSource(Protocol):
    """Source of the deployment document in force."""

    @property
    def deployment(self) -> Deployment | None:
        """The newest committed version known here; None if there is none yet."""

    def is_deployment_confirmed(self, now: float) -> bool:
        """Whether it is certain that no host has accepted a newer version so far."""


class Directory(Protocol):
    """An entry host's replicated view of targets, entry hosts and documents."""

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> Sequence[PeerSend]:
        """Process an announcement that a target sent to this host."""

    def handle_message(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        """Process a message from another entry host."""

    def tick(self, now: float) -> Sequence[PeerSend]:
        """Process timers and return gossip messages; call about every 100 ms."""

    def list_usable(self, pool: PoolName, now: float) -> Sequence[TargetView]:
        """List targets of a pool that accept new work, this host's zone first.

        The sequence is shared and must not be modified. It is the same object until
        the list changes, so that callers can cache by identity.
        """

    def apply_documents(
        self, page: DocumentsPage, now: float
    ) -> Sequence[UnstampedEvent]:
        """Put newer documents into force; ignore older ones."""

    def find_document(self, service: str) -> ServiceDocument | None:
        """Return the document in force for a service; None if there is none."""

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List the documents in force, the newest version of each."""

    @property
    def revision(self) -> int:
        """Revision up to which every change is in force on this host."""

    def list_hosts(self, now: float) -> Sequence[EntryHostStatus]:
        """List the known entry hosts, including this one."""


class RequestDecisions(Protocol):
    """Logic of an entry host that runs its callers' requests."""

    def handle_request(self, request: CallerRequest, now: float) -> Sequence[Effect]:
        """Process a caller's request; exactly one ``SendAnswer`` follows for it."""

    def handle_caller_disconnect(
        self, request: RequestId, now: float
    ) -> Sequence[Effect]:
        """Process the disconnect of a caller that has not been answered."""

    def handle_token(
        self, attempt: AttemptId, token: StreamToken, now: float
    ) -> Sequence[Effect]:
        """Process a token of a streaming attempt."""

    def handle_attempt_end(
        self, attempt: AttemptId, outcome: Outcome, now: float
    ) -> Sequence[Effect]:
        """Process the end of an attempt; drop and count late and repeated ends."""

    def handle_claim_result(
        self, request: RequestId, result: CommandResult, now: float
    ) -> Sequence[Effect]:
        """Process the result of a claim; ``Undecided`` if no control host answered."""

    def handle_settlement_result(
        self, request: RequestId, result: CommandResult, now: float
    ) -> Sequence[Effect]:
        """Process the result of a settlement."""

    def tick(self, now: float) -> Sequence[Effect]:
        """Process timers: deadlines, hedges and waiting requests."""

    def next_due(self) -> float | None:
        """Time of the next ``tick``, in monotonic seconds; None if none is needed."""

    def begin_drain(self, now: float) -> Sequence[Effect]:
        """Begin to drain: refuse new requests after a grace period, complete others."""

    @property
    def in_flight(self) -> int:
        """Number of requests not yet answered and of settlements not yet durable."""
