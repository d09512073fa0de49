"""What a target writes down of its runs, so that a demo can count them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from bramleyspread_core import encode_json


class LedgerEntry(msgspec.Struct, frozen=True):
    """One run of one attempt, written down before the work is done."""

    #: The caller's mark of its request.
    marker: str
    #: The stage.
    stage: str
    #: The attempt.
    attempt: str
    #: The request.
    request: str
    #: The target that ran it.
    target: str


#: Writes down one run.
Ledger = Callable[[LedgerEntry], None]


def discard_entry(_line: LedgerEntry) -> None:
    """A ledger that keeps nothing."""


def open_ledger(path: Path) -> Ledger:
    """Open a ledger that survives its process.

    :param path: the file, appended to.
    :returns: a ledger that hands each line to the system at once.
    """
    file = path.open("ab", buffering=0)

    def write(line: LedgerEntry) -> None:
        file.write(encode_json(line) + b"\n")

    return write
