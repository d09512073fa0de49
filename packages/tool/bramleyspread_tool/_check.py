"""The ``bramleyspread check`` command: validates documents before submission."""

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
    """Read documents and validate each one separately.

    :param paths: the files.
    :returns: the documents by file, in the given order.
    :raises InvalidFileError: for the first file that is not a valid document.
    """
    return {
        path: ServiceDocument.from_yaml(read_file(path), str(path)) for path in paths
    }


def find_faults(
    documents: Mapping[Path, ServiceDocument],
    in_force: Mapping[str, ServiceDocument],
    complete: bool,
) -> tuple[str, ...]:
    """Find duplicate services and invalid references among documents.

    :param documents: the documents to check, by file.
    :param in_force: other documents in force, by service.
    :param complete: whether ``in_force`` holds all documents in force; if not,
        references to services that are not in it are not reported.
    :returns: one line per fault, beginning with the file.
    """
    checked = {document.service: document for document in documents.values()}
    known = {**in_force, **checked}
    faults: list[str] = []
    first_paths: dict[str, Path] = {}
    for path, document in documents.items():
        if document.service in first_paths:
            first = first_paths[document.service]
            faults.append(f"{path}: service: {document.service!r} is also in {first}")
        first_paths.setdefault(document.service, path)
        faults.extend(
            f"{path}: {fault}"
            for fault in find_reference_faults(document, known)
            if complete or "in force; submit it first" not in fault
        )
    return tuple(faults)


def check_files(paths: Sequence[Path]) -> tuple[str, ...]:
    """Check each file separately and then all of them together.

    :param paths: the files.
    :returns: one line per fault; empty if there is none.
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
