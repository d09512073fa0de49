"""The ledger in which a target records its runs, so that a demo can count them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from bramleyspread_core import encode_json


class LedgerEntry(msgspec.Struct, frozen=True):
    """One run of an attempt, recorded when the run starts."""

    #: The marker of the caller's request.
    marker: str
    #: The name of the stage.
    stage: str
    #: The attempt's id.
    attempt: str
    #: The request's id.
    request: str
    #: The target that ran it.
    target: str


#: Writes one entry to a ledger.
LedgerWriter = Callable[[LedgerEntry], None]


def discard_entry(_entry: LedgerEntry) -> None:
    """Discard an entry; used if no ledger is wanted."""


def open_ledger(path: Path) -> LedgerWriter:
    """Open a ledger file whose entries survive a crash of the process.

    :param path: the file to append to.
    :returns: a function that writes each entry without buffering.
    """
    file = path.open("ab", buffering=0)

    def write(entry: LedgerEntry) -> None:
        file.write(encode_json(entry) + b"\n")

    return write
