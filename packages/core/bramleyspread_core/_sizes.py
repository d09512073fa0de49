"""Limits on the size of what control hosts replicate and send to each other."""

from __future__ import annotations

from bramleyspread_core._codec import encode_json

#: Maximum size of a change as JSON, in bytes. Each control host must be able to
#: receive, decode and sync one within a part of a leader's lease.
MAX_CHANGE_BYTES = 4_000_000


def find_size_fault(size: int) -> str:
    """Tell why a change is too large to be replicated.

    :param size: its size as JSON, in bytes.
    :returns: the reason; empty if it is small enough.

    >>> find_size_fault(4_000_001)
    'a change of 4000001 bytes as JSON; at most 4000000 are accepted'
    >>> find_size_fault(4_000_000)
    ''
    """
    if size <= MAX_CHANGE_BYTES:
        return ""
    return f"a change of {size} bytes as JSON; at most {MAX_CHANGE_BYTES} are accepted"


def find_command_fault(command: object) -> str:
    """Tell why a command is too large to be replicated.

    :param command: the command, which becomes a change as it is.
    :returns: the reason; empty if it is small enough.
    """
    return find_size_fault(len(encode_json(command)))
