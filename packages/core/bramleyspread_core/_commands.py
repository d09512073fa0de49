"""Commands to the control hosts, and their results.

``POST /v1/control/commands`` with a command (a tagged union); the answer is a
result (a tagged union). Any control host takes a command; one that is not the
leader of the command's group answers :class:`NotLeader`.
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


class SubmitDocument(msgspec.Struct, frozen=True, tag="submit-document"):
    """Put a service document in force if its version is the next one."""

    #: Makes a resend of the same change harmless.
    change: str
    #: Who submits it.
    author: str
    #: The document's YAML text, as submitted.
    text: str


class ClaimKey(msgspec.Struct, frozen=True, order=True):
    """What an idempotency key is unique within."""

    #: The brand whose caller chose the key.
    brand: Brand
    #: The service that was called.
    service: ServiceName
    #: The caller's own key.
    key: str


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Take the right to run a non-idempotent request once."""

    #: The key to claim.
    key: ClaimKey
    #: The request that wants to run.
    request: RequestId
    #: Digest of pipeline and body, so that a key reused for other work is seen.
    digest: str
    #: The entry host that will run it.
    owner: HostName
    #: When the owner gives up at the latest, in milliseconds from now.
    remaining_ms: int


if TYPE_CHECKING:
    _OptionalPayload = Payload | None
else:
    # msgspec reads a union of raw JSON and None as None alone; raw JSON with
    # None as its default, which is left out, goes both ways.
    _OptionalPayload = Payload


class Settle(msgspec.Struct, frozen=True, tag="settle", omit_defaults=True):
    """Record how a claimed request ended; only the claim's request may."""

    #: The claimed key.
    key: ClaimKey
    #: The request that holds the claim.
    request: RequestId
    #: ``done``, ``not-run`` (frees the key) or ``unknown``.
    ended: str
    #: The whole answer, when done.
    answer: _OptionalPayload = None


class IntendOrders(msgspec.Struct, frozen=True, tag="intend-orders"):
    """Make orders durable before they are sent; only the orderer does this."""

    #: The orders; all carry the proposer's fencing number.
    orders: tuple[Order, ...]


class PutDeployment(msgspec.Struct, frozen=True, tag="put-deployment"):
    """Put a deployment document in force unless a higher version is."""

    #: What the document says; known to be valid.
    deployment: Deployment
    #: The document as it was submitted, for people to read back.
    text: str


class ConfirmDeployment(msgspec.Struct, frozen=True, tag="confirm-deployment"):
    """Ask for the newest deployment document, through the log."""


#: Commands that a control host takes.
Command = (
    SubmitDocument | Claim | Settle | IntendOrders | PutDeployment | ConfirmDeployment
)


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The document is committed and goes in force."""

    #: The service.
    service: ServiceName
    #: The version now in force.
    version: int
    #: The position in the order of all changes.
    revision: int
    #: True when this is a resend of a change accepted before.
    resent: bool = False


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Somebody else's version came first."""

    #: The service.
    service: ServiceName
    #: The version in force.
    version: int
    #: Who submitted that version.
    author: str


class Rejected(msgspec.Struct, frozen=True, tag="rejected"):
    """The command is refused for good; nothing changed."""

    #: One line a fault.
    faults: tuple[str, ...]


class Claimed(msgspec.Struct, frozen=True, tag="claimed"):
    """The request may run: the claim is durable in a quorum."""


class ClaimRunning(msgspec.Struct, frozen=True, tag="claim-running"):
    """Another request holds the key and may still be running."""

    #: The request that holds it.
    request: RequestId
    #: When to ask again, in milliseconds.
    retry_after_ms: int


class ClaimDone(msgspec.Struct, frozen=True, tag="claim-done"):
    """The key's request is done; this is its answer."""

    #: The request that ran.
    request: RequestId
    #: Its whole answer.
    answer: Payload


class ClaimUnknown(msgspec.Struct, frozen=True, tag="claim-unknown"):
    """The key's request was dispatched and nobody knows how it ended."""

    #: The request that held the key.
    request: RequestId


class ClaimMismatch(msgspec.Struct, frozen=True, tag="claim-mismatch"):
    """The key was used before for a different request."""


class Settled(msgspec.Struct, frozen=True, tag="settled"):
    """The outcome is durable in a quorum."""


class Intended(msgspec.Struct, frozen=True, tag="intended"):
    """The orders are durable and may be sent."""


class DeploymentTaken(msgspec.Struct, frozen=True, tag="deployment-taken"):
    """The document is in force, or a higher version is."""

    #: The version in force.
    version: int


class DeploymentDiffers(msgspec.Struct, frozen=True, tag="deployment-differs"):
    """Another document is in force under the same version; nothing changed."""

    #: The version in force.
    version: int


class DeploymentRead(msgspec.Struct, frozen=True, tag="deployment-read"):
    """The newest deployment document; empty when there is none yet."""

    #: Its version; 0 when there is none.
    version: int
    #: Its text, as submitted.
    text: str


class NotLeader(msgspec.Struct, frozen=True, tag="not-leader"):
    """Ask another control host; the command was not taken here."""

    #: Where the leader is thought to be; None when it is not known.
    leader: Address | None = None


class Undecided(msgspec.Struct, frozen=True, tag="undecided"):
    """The command may or may not take effect; resend it with the same id."""

    #: What happened.
    why: str


#: Results of commands.
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
    | DeploymentTaken
    | DeploymentDiffers
    | DeploymentRead
    | NotLeader
    | Undecided
)


class DocumentText(msgspec.Struct, frozen=True):
    """A committed service document as its team wrote it, for people to read."""

    #: The service.
    service: ServiceName
    #: Its version.
    version: int
    #: Position in the order of all changes.
    revision: int
    #: Who submitted it.
    author: str
    #: The YAML text, as submitted.
    text: str


class DocumentInForce(msgspec.Struct, frozen=True):
    """A committed service document as processes hand it on.

    Only the control host that takes a submission reads its YAML; at the target
    size that costs fifty times what reading this does.
    """

    #: The service.
    service: ServiceName
    #: Its version.
    version: int
    #: Position in the order of all changes.
    revision: int
    #: Who submitted it.
    author: str
    #: What it says.
    document: ServiceDocument


class DocumentsQuery(msgspec.Struct, frozen=True):
    """An entry host's question for newer documents; also its report.

    ``POST /v1/control/documents``.
    """

    #: Who asks.
    host: HostName
    #: Its availability zone.
    zone: str
    #: Where it listens.
    address: Address
    #: Every change up to this revision is in force there.
    revision: int


class DocumentsPage(msgspec.Struct, frozen=True):
    """Documents newer than asked for; only the newest version of each."""

    #: Everything up to here is on this page or was known before.
    revision: int
    #: The newer documents, in order of revision.
    documents: tuple[DocumentInForce, ...] = ()
