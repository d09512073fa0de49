"""Replicated state of group 0: documents, orders to targets, and zone drains."""

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
    DeploymentAccepted,
    DeploymentDiffers,
    DocumentInForce,
    DocumentsPage,
    Intended,
    IntendOrders,
    Order,
    PutDeployment,
    Rejected,
    ServiceDocument,
    ServiceName,
    SetZoneDrain,
    ZoneDrainAccepted,
    ZoneDrains,
    ZoneDrainsChanged,
    decode_json,
    encode_json,
    find_reference_faults,
)

#: Maximum size of the documents on one page, in bytes; only a single larger document
#: may exceed it. An entry host serves no callers while it reads a page.
MAX_PAGE_BYTES = 256_000


class DocumentRecord(msgspec.Struct, frozen=True):
    """A document in force, both decoded and as the submitted text."""

    #: The decoded document with its version and revision, as it is sent to entry hosts.
    in_force: DocumentInForce
    #: The text as submitted.
    text: str

    @property
    def document(self) -> ServiceDocument:
        """The decoded document."""
        return self.in_force.document


class AcceptedChange(msgspec.Struct, frozen=True):
    """An accepted change, remembered so that a retry of it is recognised."""

    #: Id of the change.
    change: str
    #: Digest of the submitted text.
    digest: int
    #: The result that was returned for the change.
    accepted: Accepted


class _Snapshot(msgspec.Struct, frozen=True):
    """The complete state as it is stored in snapshots."""

    #: Number of document changes accepted so far.
    revision: int
    #: The documents in force.
    documents: tuple[DocumentRecord, ...]
    #: The remembered changes, oldest first.
    changes: tuple[AcceptedChange, ...]
    #: The newest order of each target: the state that the target is to reach.
    orders: tuple[Order, ...]
    #: The highest fencing number of any order; orders with a lower one are rejected.
    fence: int
    #: The command that set the deployment document in force; None before the first one.
    deployment: PutDeployment | None = None
    #: The zone drains; snapshots of earlier builds have none.
    zone_drains: ZoneDrains = ZoneDrains()


class DocumentStateMachine:
    """Builds the state of group 0 from committed entries."""

    def __init__(self, retained_change_ids: int) -> None:
        #: Number of document changes accepted so far.
        self.revision = 0
        #: The documents in force, by service.
        self.documents: dict[str, DocumentRecord] = {}
        #: The newest order of each target: the state that the target is to reach.
        self.orders: dict[str, Order] = {}
        #: The command that set the deployment document in force; None before the first
        #: one.
        self.deployment_change: PutDeployment | None = None
        #: The availability zones that operators have drained.
        self.zone_drains = ZoneDrains()
        self._highest_fence = 0
        self._changes: OrderedDict[str, AcceptedChange] = OrderedDict()
        self._max_change_ids = retained_change_ids

    def apply(self, change: Change) -> CommandResult | None:
        """Apply a committed change.

        :param change: the change.
        :returns: the result for the command that proposed the change; None for changes
            that no command proposed.
        """
        match change:
            case PutDocument():
                return self._put_document(change)
            case IntendOrders():
                return self._record_orders(change)
            case PutDeployment():
                return self._put_deployment(change)
            case SetZoneDrain():
                return self._set_zone_drain(change)
        return None

    def find_page(self, revision: int) -> DocumentsPage:
        """Find the documents that are newer than a revision.

        :param revision: the revision up to which the reader has all documents.
        :returns: the oldest of the newer documents, as many as fit into one page.
        """
        newer = [
            record
            for record in self.documents.values()
            if record.in_force.revision > revision
        ]
        newer.sort(key=lambda each: each.in_force.revision)
        listed: list[DocumentInForce] = []
        size = 0
        for record in newer:
            size += len(record.text)
            if listed and size > MAX_PAGE_BYTES:
                return DocumentsPage(listed[-1].revision, tuple(listed))
            listed.append(record.in_force)
        return DocumentsPage(self.revision, tuple(listed))

    def find_repeat_result(self, put: PutDeployment) -> CommandResult | None:
        """Find the result of a deployment document that is not newer than the current.

        :param put: the command with the document.
        :returns: the result; None if the document would be put in force.
        """
        current = self.deployment_change
        if current is None or put.deployment.version > current.deployment.version:
            return None
        version = current.deployment.version
        if put.deployment.version == version and put.text != current.text:
            return DeploymentDiffers(version)
        return DeploymentAccepted(version)

    def encode(self) -> bytes:
        """Encode the complete state as JSON."""
        snapshot = _Snapshot(
            self.revision,
            tuple(self.documents.values()),
            tuple(self._changes.values()),
            tuple(self.orders.values()),
            self._highest_fence,
            self.deployment_change,
            self.zone_drains,
        )
        return encode_json(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one.

        :param data: a state encoded by :meth:`encode`.
        :raises MessageError: when the data cannot be decoded; the state is then
            unchanged.
        """
        snapshot: _Snapshot = decode_json(data, _Snapshot)
        self.revision = snapshot.revision
        self.documents = {each.in_force.service: each for each in snapshot.documents}
        self._changes = OrderedDict((each.change, each) for each in snapshot.changes)
        self.orders = {each.target: each for each in snapshot.orders}
        self._highest_fence = snapshot.fence
        self.deployment_change = snapshot.deployment
        self.zone_drains = snapshot.zone_drains

    def _put_document(self, put: PutDocument) -> CommandResult:
        digest = xxhash.xxh3_64_intdigest(put.text)
        accepted_change = self._changes.get(put.change)
        if accepted_change is not None:
            if accepted_change.digest != digest:
                fault = f"change {put.change!r} was another document; use a new id"
                return Rejected((fault,))
            return msgspec.structs.replace(accepted_change.accepted, resent=True)
        document = put.document
        record = self.documents.get(document.service)
        version = record.in_force.version if record else 0
        if document.version != version + 1:
            author = record.in_force.author if record else ""
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
        others = {name: record.document for name, record in self.documents.items()}
        yield from find_reference_faults(document, others)
        documents_after = {**others, document.service: document}
        for name, other in others.items():
            if name == document.service or not _uses_pool_of(other, document.service):
                continue
            for fault in find_reference_faults(other, documents_after):
                yield f"service {name!r} would break: {fault}"

    def _put_deployment(self, put: PutDeployment) -> CommandResult:
        result = self.find_repeat_result(put)
        if result is None:
            self.deployment_change = put
            result = DeploymentAccepted(put.deployment.version)
        return result

    def _set_zone_drain(self, command: SetZoneDrain) -> CommandResult:
        drains = self.zone_drains
        if command.revision != drains.revision:
            return ZoneDrainsChanged(drains.revision)
        if command.drained:
            self.zone_drains = drains.drain(command.zone, command.at_ms)
        else:
            self.zone_drains = drains.undrain(command.zone)
        revision = self.zone_drains.revision
        return ZoneDrainAccepted(revision, is_repeat=revision == drains.revision)

    def _record_orders(self, command: IntendOrders) -> CommandResult:
        lowest_fence = min(
            (order.fence for order in command.orders), default=self._highest_fence
        )
        if lowest_fence < self._highest_fence:
            fault = (
                f"fencing number {lowest_fence} is old; "
                f"{self._highest_fence} has given orders"
            )
            return Rejected((fault,))
        for order in command.orders:
            self.orders[order.target] = order
            self._highest_fence = max(self._highest_fence, order.fence)
        return Intended()


def _uses_pool_of(document: ServiceDocument, service: str) -> bool:
    return any(
        document.resolve_pool(stage).service == service
        for pipeline in document.pipelines
        for stage in pipeline.stages
    )


def _get_service_name(document: ServiceDocument) -> ServiceName:
    return ServiceName(document.service)
