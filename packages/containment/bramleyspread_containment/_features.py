"""Identifies the features of requests that may be the cause of a crash."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

#: Size of a feature's identity, in bytes. Two features of a fleet hardly ever share
#: one, and nobody can make a part that shares the identity of another one.
IDENTITY_BYTES = 8
#: First letter of the identities of parts, and of requests.
PART, REQUEST = "p", "r"
#: Number of parts whose identities are kept; those used least recently are dropped.
MAX_KEPT_PARTS = 2_048


@lru_cache(maxsize=MAX_KEPT_PARTS)
def identify_part(part: str) -> str:
    """Return the identity of a part of a prompt.

    It is as short for an id of any length, so it can be kept and sent to other hosts.

    :param part: the part's id.

    >>> identify_part("5c1e07a2") == identify_part("5c1e07a2")
    True
    >>> len(identify_part("x" * 10_000))
    17
    """
    return PART + _digest(b"part", part.encode("utf-8", "replace"))


def identify_request(caller: str, path: str, body: bytes) -> str:
    """Return the identity of a request, the same each time that a caller repeats it.

    :param caller: the organisation that sent it; empty for none.
    :param path: host, path and query.
    :param body: the body.

    >>> first = identify_request("booths", "h/pay?id=7", b"{}")
    >>> first == identify_request("booths", "h/pay?id=7", b"{}")
    True
    >>> first == identify_request("booths", "h/pay?id=8", b"{}")
    False
    """
    lengths = f"{len(caller)},{len(path)},"
    return REQUEST + _digest(b"request", f"{lengths}{caller}{path}".encode() + body)


def is_request(feature: str) -> bool:
    """Whether a feature is a request itself."""
    return feature.startswith(REQUEST)


def _digest(kind: bytes, content: bytes) -> str:
    return blake2b(content, digest_size=IDENTITY_BYTES, person=kind).hexdigest()
