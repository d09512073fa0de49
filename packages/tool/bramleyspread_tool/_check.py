"""``bramleyspread check``: find faults in documents before anyone else does."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

from bramleyspread_core import (
    InvalidFileError,
    ServiceDocument,
    find_reference_faults,
)
from bramleyspread_tool._settings import read_file


def read_documents(paths: Sequence[Path]) -> dict[Path, ServiceDocument]:
    """Read documents, each checked by itself.

    :param paths: the files.
    :returns: the documents by file, in the order given.
    :raises InvalidFileError: for the first file with faults.
    """
    return {
        path: ServiceDocument.from_yaml(read_file(path), str(path)) for path in paths
    }


def find_faults(
    documents: Mapping[Path, ServiceDocument],
    in_force: Mapping[str, ServiceDocument],
    complete: bool,
) -> tuple[str, ...]:
    """Find faults between documents.

    :param documents: the documents to check, by file.
    :param in_force: other documents in force, by service.
    :param complete: whether ``in_force`` is all there is; otherwise a
        reference to a service that is not among them is passed over.
    :returns: one line a fault, each with its file.
    """
    given = {document.service: document for document in documents.values()}
    known = {**in_force, **given}
    faults: list[str] = []
    seen: dict[str, Path] = {}
    for path, document in documents.items():
        if document.service in seen:
            first = seen[document.service]
            faults.append(f"{path}: service: {document.service!r} is also in {first}")
        seen.setdefault(document.service, path)
        faults.extend(
            f"{path}: {fault}"
            for fault in find_reference_faults(document, known)
            if complete or "in force; submit it first" not in fault
        )
    return tuple(faults)


def check_files(paths: Sequence[Path]) -> tuple[str, ...]:
    """Check files by themselves and against one another.

    :param paths: the files.
    :returns: one line a fault; empty when all is well.
    """
    documents: dict[Path, ServiceDocument] = {}
    faults: list[str] = []
    for path in paths:
        try:
            documents.update(read_documents([path]))
        except InvalidFileError as error:
            faults.extend(f"{error.name}: {fault}" for fault in error.faults)
    faults.extend(find_faults(documents, {}, complete=False))
    return tuple(faults)
