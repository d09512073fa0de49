"""Group 0's state: service documents, known changes, and intended orders."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import msgspec
import xxhash

from bramleyspread_control._entries import Change, PutDocument
from bramleyspread_core import (
    Accepted,
    CommandResult,
    Conflict,
    DeploymentDiffers,
    DeploymentTaken,
    DocumentInForce,
    DocumentsPage,
    Intended,
    IntendOrders,
    Order,
    PutDeployment,
    Rejected,
    ServiceDocument,
    ServiceName,
    decode_json,
    encode_json,
    find_reference_faults,
)

#: Most bytes of documents on one page, more only for a single document; an entry
#: host reads a page in one go, while its callers wait.
MAX_PAGE_BYTES = 256_000


class DocumentRecord(msgspec.Struct, frozen=True):
    """A document in force, as what it says and as the text that says it."""

    #: As it is handed on.
    in_force: DocumentInForce
    #: The text, as submitted.
    text: str

    @property
    def document(self) -> ServiceDocument:
        """What it says."""
        return self.in_force.document


class AcceptedChange(msgspec.Struct, frozen=True):
    """An accepted change, kept so that a resend is known."""

    #: The change's id.
    change: str
    #: Digest of the submitted text.
    digest: int
    #: What was answered.
    accepted: Accepted


class _Snapshot(msgspec.Struct, frozen=True):
    """The whole state, for snapshots."""

    #: Position in the order of all changes.
    revision: int
    #: The documents in force.
    documents: tuple[DocumentRecord, ...]
    #: The changes, oldest first.
    changes: tuple[AcceptedChange, ...]
    #: The newest order of each target.
    orders: tuple[Order, ...]
    #: The highest fencing number of an order.
    fence: int
    #: The deployment document in force.
    deployment: PutDeployment | None = None


class DocumentsMachine:
    """Builds documents and orders from committed entries."""

    def __init__(self, retained_change_ids: int) -> None:
        #: Position in the order of all changes.
        self.revision = 0
        #: The documents in force, by service.
        self.documents: dict[str, DocumentRecord] = {}
        #: The newest order of each target.
        self.orders: dict[str, Order] = {}
        #: The deployment document in force, as it was put; None before the first.
        self.deployment_change: PutDeployment | None = None
        self._fence = 0
        self._changes: OrderedDict[str, AcceptedChange] = OrderedDict()
        self._max_change_ids = retained_change_ids

    def apply(self, change: Change) -> CommandResult | None:
        """Apply a committed change.

        :param change: the change.
        :returns: the result of the command that made it.
        """
        match change:
            case PutDocument():
                return self._put(change)
            case IntendOrders():
                return self._record_orders(change)
            case PutDeployment():
                return self._put_deployment(change)
        return None

    def find_page(self, revision: int) -> DocumentsPage:
        """Find documents newer than a revision.

        :param revision: everything up to here is known to the asker.
        :returns: the documents, as many as one page takes.
        """
        newer = [
            held
            for held in self.documents.values()
            if held.in_force.revision > revision
        ]
        newer.sort(key=lambda each: each.in_force.revision)
        listed: list[DocumentInForce] = []
        size = 0
        for held in newer:
            size += len(held.text)
            if listed and size > MAX_PAGE_BYTES:
                return DocumentsPage(listed[-1].revision, tuple(listed))
            listed.append(held.in_force)
        return DocumentsPage(self.revision, tuple(listed))

    def encode(self) -> bytes:
        """Write the whole state as JSON."""
        snapshot = _Snapshot(
            self.revision,
            tuple(self.documents.values()),
            tuple(self._changes.values()),
            tuple(self.orders.values()),
            self._fence,
            self.deployment_change,
        )
        return encode_json(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the state.

        :param data: what :meth:`encode` wrote.
        :raises MessageError: when it is something else; then nothing changes.
        """
        snapshot: _Snapshot = decode_json(data, _Snapshot)
        self.revision = snapshot.revision
        self.documents = {each.in_force.service: each for each in snapshot.documents}
        self._changes = OrderedDict((each.change, each) for each in snapshot.changes)
        self.orders = {each.target: each for each in snapshot.orders}
        self._fence = snapshot.fence
        self.deployment_change = snapshot.deployment

    def _put(self, put: PutDocument) -> CommandResult:
        digest = xxhash.xxh3_64_intdigest(put.text)
        known = self._changes.get(put.change)
        if known is not None:
            if known.digest != digest:
                fault = f"change {put.change!r} was another document; use a new id"
                return Rejected((fault,))
            return msgspec.structs.replace(known.accepted, resent=True)
        document = put.document
        held = self.documents.get(document.service)
        version = held.in_force.version if held else 0
        if document.version != version + 1:
            author = held.in_force.author if held else ""
            return Conflict(_get_service_name(document), version, author)
        faults = tuple(self._find_faults(document))
        if faults:
            return Rejected(faults)
        return self._accept(put, digest)

    def _accept(self, put: PutDocument, digest: int) -> Accepted:
        document = put.document
        self.revision += 1
        in_force = DocumentInForce(
            _get_service_name(document),
            document.version,
            self.revision,
            put.author,
            document,
        )
        self.documents[document.service] = DocumentRecord(in_force, put.text)
        accepted = Accepted(
            _get_service_name(document), document.version, self.revision
        )
        self._changes[put.change] = AcceptedChange(put.change, digest, accepted)
        while len(self._changes) > self._max_change_ids:
            self._changes.popitem(last=False)
        return accepted

    def _find_faults(self, document: ServiceDocument) -> Iterator[str]:
        others = {name: held.document for name, held in self.documents.items()}
        yield from find_reference_faults(document, others)
        after = {**others, document.service: document}
        for name, other in others.items():
            if name == document.service or not _has_stage_in(other, document.service):
                continue
            for fault in find_reference_faults(other, after):
                yield f"service {name!r} would break: {fault}"

    def _put_deployment(self, put: PutDeployment) -> CommandResult:
        held = self.deployment_change
        if held is None or put.deployment.version > held.deployment.version:
            self.deployment_change = put
            return DeploymentTaken(put.deployment.version)
        version = held.deployment.version
        if put.deployment.version == version and put.text != held.text:
            return DeploymentDiffers(version)
        return DeploymentTaken(version)

    def _record_orders(self, intent: IntendOrders) -> CommandResult:
        lowest = min((order.fence for order in intent.orders), default=self._fence)
        if lowest < self._fence:
            fault = f"fencing number {lowest} is old; {self._fence} has given orders"
            return Rejected((fault,))
        for order in intent.orders:
            self.orders[order.target] = order
            self._fence = max(self._fence, order.fence)
        return Intended()


def _has_stage_in(document: ServiceDocument, service: str) -> bool:
    return any(
        document.resolve_pool(stage).service == service
        for pipeline in document.pipelines
        for stage in pipeline.stages
    )


def _get_service_name(document: ServiceDocument) -> ServiceName:
    return ServiceName(document.service)
