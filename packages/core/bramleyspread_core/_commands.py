"""Commands to the control hosts, and their results.

A command is sent by ``POST /v1/control/commands``; command and result are tagged
unions. Any control host accepts the call, but one that is not the leader of the
command's group answers :class:`NotLeader`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bramleyspread_core._calls import Payload
from bramleyspread_core._deployment import Deployment
from bramleyspread_core._document import ServiceDocument
from bramleyspread_core._identity import (
    Address,
    Brand,
    HostName,
    RequestId,
    ServiceName,
)
from bramleyspread_core._orders import Order
from bramleyspread_core._zone_drains import ZoneDrains


class SubmitDocument(msgspec.Struct, frozen=True, tag="submit-document"):
    """Put a service document in force if its version is one above the current one."""

    #: Id of the change, by which a resend of the same change is recognised.
    change: str
    #: Name of the person who submits the document.
    author: str
    #: The document's YAML text, as submitted.
    text: str


class ClaimKey(msgspec.Struct, frozen=True, order=True):
    """An idempotency key with the scope in which it is unique."""

    #: The brand whose caller chose the key.
    brand: Brand
    #: The service that was called.
    service: ServiceName
    #: The key as the caller chose it.
    key: str


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Claim the right to run a non-idempotent request once."""

    key: ClaimKey
    #: The request that is to run.
    request: RequestId
    #: Digest of pipeline and body, by which reuse of a key for a different request is
    #: detected.
    digest: str
    #: The entry host that will run the request.
    owner: HostName
    #: Maximum time until the owner stops running the request, in milliseconds.
    remaining_ms: int


if TYPE_CHECKING:
    _OptionalPayload = Payload | None
else:
    # msgspec decodes a union of raw JSON and None to None only. Raw JSON with the
    # default None, which is omitted from the output, is encoded and decoded correctly.
    _OptionalPayload = Payload


class Settle(msgspec.Struct, frozen=True, tag="settle", omit_defaults=True):
    """Record the outcome of a claimed request; only the claim's holder may send it."""

    key: ClaimKey
    #: The request that holds the claim.
    request: RequestId
    #: The outcome: ``done``, ``not-run`` (which releases the key) or ``unknown``.
    ended: str
    #: The complete answer if the outcome is ``done``.
    answer: _OptionalPayload = None


class IntendOrders(msgspec.Struct, frozen=True, tag="intend-orders"):
    """Make orders durable before they are sent; proposed only by the orderer.

    The orderer is the control host that holds the lease to give orders.
    """

    #: The orders, all with the proposer's fencing number.
    orders: tuple[Order, ...]


class PutDeployment(msgspec.Struct, frozen=True, tag="put-deployment"):
    """Put a deployment document in force if its version is above the current one.

    Otherwise nothing changes.
    """

    #: The parsed document, which has been found valid.
    deployment: Deployment
    #: The document's text, as submitted.
    text: str


class ConfirmDeployment(msgspec.Struct, frozen=True, tag="confirm-deployment"):
    """Read the newest deployment document through the replicated log."""


class SetZoneDrain(msgspec.Struct, frozen=True, tag="set-zone-drain"):
    """Drain or undrain an availability zone, by compare-and-set.

    Nothing changes unless revision and marker are those that the leader names. So a
    command that was delayed cannot undo an order that was acknowledged meanwhile.
    """

    zone: str
    #: Whether nothing new is to be sent to the zone's targets.
    drained: bool
    #: Revision of the drains on which the command is based.
    revision: int
    #: When the order arrived, in milliseconds since 1970.
    at_ms: int
    #: The newest marker that the leader named; empty if none is known.
    marker: str = ""


class ReadZoneDrains(msgspec.Struct, frozen=True, tag="read-zone-drains"):
    """Read the newest zone drains from the leader."""


#: All commands.
Command = (
    SubmitDocument
    | Claim
    | Settle
    | IntendOrders
    | PutDeployment
    | ConfirmDeployment
    | SetZoneDrain
    | ReadZoneDrains
)


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The document is committed and comes into force."""

    service: ServiceName
    #: The committed version.
    version: int
    #: Position of the change among all changes.
    revision: int
    #: Whether the command resent a change that had been accepted before.
    resent: bool = False


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """The document is refused: its version is not one above the one in force."""

    service: ServiceName
    #: The version in force.
    version: int
    #: Name of the person who submitted the version in force.
    author: str


class Rejected(msgspec.Struct, frozen=True, tag="rejected"):
    """The command is invalid and refused; nothing changed, and a retry is useless."""

    #: One line per fault.
    faults: tuple[str, ...]


class Claimed(msgspec.Struct, frozen=True, tag="claimed"):
    """The request may run, because its claim is durable on a quorum."""


class ClaimRunning(msgspec.Struct, frozen=True, tag="claim-running"):
    """Another request holds the key and may still be running."""

    #: The request that holds the key.
    request: RequestId
    #: Delay before a retry, in milliseconds.
    retry_after_ms: int


class ClaimDone(msgspec.Struct, frozen=True, tag="claim-done"):
    """Another request with the key has run; its stored answer is returned."""

    #: The request that ran.
    request: RequestId
    #: The complete answer to that request.
    answer: Payload


class ClaimUnknown(msgspec.Struct, frozen=True, tag="claim-unknown"):
    """Another request with the key was dispatched, and its outcome is unknown."""

    #: The request that held the key.
    request: RequestId


class ClaimMismatch(msgspec.Struct, frozen=True, tag="claim-mismatch"):
    """The key was used before for a request with a different digest."""


class Settled(msgspec.Struct, frozen=True, tag="settled"):
    """The outcome is durable on a quorum."""


class Intended(msgspec.Struct, frozen=True, tag="intended"):
    """The orders are durable and may be sent."""


class DeploymentAccepted(msgspec.Struct, frozen=True, tag="deployment-taken"):
    """The document, or a higher version of it, is in force."""

    #: The version in force.
    version: int


class DeploymentDiffers(msgspec.Struct, frozen=True, tag="deployment-differs"):
    """Another document is in force under the same version; nothing changed."""

    #: The version in force.
    version: int


class DeploymentRead(msgspec.Struct, frozen=True, tag="deployment-read"):
    """The newest deployment document."""

    #: The document's version; 0 if there is no document yet.
    version: int
    #: The document's text, as submitted; empty if there is no document yet.
    text: str


class ZoneDrainAccepted(msgspec.Struct, frozen=True, tag="zone-drain-accepted"):
    """The zone is drained, or isn't, as ordered."""

    #: Revision of the drains from which the order holds.
    revision: int
    #: Whether the zone was in that state already.
    is_repeat: bool = False


class ZoneDrainsChanged(msgspec.Struct, frozen=True, tag="zone-drains-changed"):
    """Nothing changed: the command is not based on the newest state of the drains."""

    #: Revision of the drains in force.
    revision: int
    #: Changes with each acknowledged repeat of an order and each change of leader,
    #: which leave the revision as it is. Empty if the leader did not decide.
    marker: str = ""


class ZoneDrainsRead(msgspec.Struct, frozen=True, tag="zone-drains-read"):
    """The newest zone drains."""

    drains: ZoneDrains


class NotLeader(msgspec.Struct, frozen=True, tag="not-leader"):
    """The command was not accepted, because this control host is not the leader."""

    #: Address of the presumed leader; None if unknown.
    leader: Address | None = None


class Undecided(msgspec.Struct, frozen=True, tag="undecided"):
    """The command may or may not take effect; it can be resent with the same id."""

    #: Human-readable explanation.
    why: str


#: All results of commands.
CommandResult = (
    Accepted
    | Conflict
    | Rejected
    | Claimed
    | ClaimRunning
    | ClaimDone
    | ClaimUnknown
    | ClaimMismatch
    | Settled
    | Intended
    | DeploymentAccepted
    | DeploymentDiffers
    | DeploymentRead
    | ZoneDrainAccepted
    | ZoneDrainsChanged
    | ZoneDrainsRead
    | NotLeader
    | Undecided
)


class DocumentText(msgspec.Struct, frozen=True):
    """A committed service document as submitted, for display to operators."""

    service: ServiceName
    version: int
    #: Position of the change among all changes.
    revision: int
    #: Name of the person who submitted the document.
    author: str
    #: The YAML text, as submitted.
    text: str


class DocumentInForce(msgspec.Struct, frozen=True):
    """A committed service document in parsed form, as sent between processes.

    Only the control host that receives a submission parses its YAML. In a deployment
    of the largest size aimed for, that takes fifty times as long as decoding this form.
    """

    service: ServiceName
    version: int
    #: Position of the change among all changes.
    revision: int
    #: Name of the person who submitted the document.
    author: str
    document: ServiceDocument


class DocumentsQuery(msgspec.Struct, frozen=True):
    """An entry host's query for newer documents, which also reports its revision.

    It is sent by ``POST /v1/control/documents``.
    """

    #: The entry host that sends the query.
    host: HostName
    #: Availability zone of the entry host.
    zone: str
    #: Address at which the entry host listens.
    address: Address
    #: Every change up to this revision is in force on the entry host.
    revision: int


class DocumentsPage(msgspec.Struct, frozen=True):
    """Documents newer than the query's revision; only the newest version of each.

    If there are more than fit into a page, the next query returns the others.
    """

    #: Every change up to this revision is on this page or was known before.
    revision: int
    #: The newer documents, sorted by revision.
    documents: tuple[DocumentInForce, ...] = ()
