"""Documents in force on an entry host; a version is never replaced by an older one."""

from __future__ import annotations

from collections.abc import Mapping

from xxhash import xxh64_intdigest

from bramleyspread_core import (
    NEVER_REVERTS,
    ContractWatch,
    DocumentInForce,
    DocumentsPage,
    InvalidFileError,
    ServiceDocument,
    UnstampedEvent,
    encode_json,
)

#: Maximum size in bytes of the documents in one message.
MAX_PAGE_BYTES = 200_000


class DocumentTable:
    """The newest valid version of each service's document."""

    __slots__ = ("_digest", "_encoded_sizes", "_in_force", "_revision", "_watch")

    def __init__(self, watch: ContractWatch) -> None:
        self._watch = watch
        self._in_force: dict[str, DocumentInForce] = {}
        self._encoded_sizes: dict[str, int] = {}
        self._revision = 0
        self._digest = 0

    @property
    def revision(self) -> int:
        """The revision up to which every change is in force on this host."""
        return self._revision

    @property
    def digest(self) -> int:
        """Digest of the versions in force, equal on hosts with equal versions."""
        return self._digest

    def apply(self, page: DocumentsPage) -> list[UnstampedEvent]:
        """Put newer documents in force; older ones are ignored.

        :param page: documents from a control host or another entry host.
        :returns: events for the time line.
        """
        events = []
        all_applied = True
        for document in page.documents:
            if document.version <= self._find_version(document.service):
                continue
            event = self._put_in_force(document)
            all_applied = all_applied and event.kind == "document-in-force"
            events.append(event)
        if events:
            self._digest = self._compute_digest()
        if all_applied:
            self._revision = max(self._revision, page.revision)
        return events

    def find(self, service: str) -> ServiceDocument | None:
        """Find the document in force for a service.

        :param service: the service's name.
        :returns: the document, or None if there is none.
        """
        in_force = self._in_force.get(service)
        return in_force.document if in_force else None

    def list_documents(self) -> list[DocumentInForce]:
        """List the documents in force, sorted by revision."""
        return sorted(self._in_force.values(), key=lambda each: each.revision)

    def list_versions(self) -> dict[str, int]:
        """Map each service to the version of its document in force."""
        return {service: each.version for service, each in self._in_force.items()}

    def build_page(self, versions: Mapping[str, int]) -> DocumentsPage:
        """Collect documents that are newer than those of another host.

        :param versions: the versions in force on the other host, by service.
        :returns: a page; its revision is 0 if not all documents fit.
        """
        newer: list[DocumentInForce] = []
        size = 0
        for document in self.list_documents():
            if document.version <= versions.get(document.service, 0):
                continue
            size += self._encoded_sizes[document.service]
            if newer and size > MAX_PAGE_BYTES:
                return DocumentsPage(0, tuple(newer))
            newer.append(document)
        return DocumentsPage(self._revision, tuple(newer))

    def _find_version(self, service: str) -> int:
        in_force = self._in_force.get(service)
        return in_force.version if in_force else 0

    def _put_in_force(self, document: DocumentInForce) -> UnstampedEvent:
        """Validate a document and put it in force."""
        name = f"{document.service} version {document.version}"
        parsed = document.document
        try:
            parsed.check(name)
        except InvalidFileError as error:
            return _refuse(name, error.faults[0])
        if (parsed.service, parsed.version) != (document.service, document.version):
            return _refuse(name, "it names another service or version")
        current_version = self._find_version(document.service)
        self._watch.check(
            NEVER_REVERTS,
            document.version > current_version,
            document.service,
            f"version {document.version} after {current_version}",
        )
        self._in_force[document.service] = document
        self._encoded_sizes[document.service] = len(encode_json(document))
        return UnstampedEvent(
            "document-in-force", step=document.service, detail=str(document.version)
        )

    def _compute_digest(self) -> int:
        versions = sorted((name, each.version) for name, each in self._in_force.items())
        return xxh64_intdigest(repr(versions)) >> 11


def _refuse(name: str, reason: str) -> UnstampedEvent:
    return UnstampedEvent("document-refused", step=name, detail=reason)
