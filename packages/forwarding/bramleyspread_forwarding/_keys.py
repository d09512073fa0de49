"""Whose request it is, and how long that may be believed."""

from __future__ import annotations

import math

import msgspec

from bramleyspread_core import Deployment, KeyHolder


class KeyUnknown(msgspec.Struct, frozen=True):
    """Nobody holds the key."""


class KeysStale(msgspec.Struct, frozen=True):
    """The keys may have been taken away since the document was confirmed."""


class KeyRing:
    """The keys of the document in force, trusted only while it is confirmed.

    A control host that holds the lease confirms the document; the time counts
    from when it was asked, so that the answer's way makes it shorter, never
    longer.
    """

    def __init__(self, trusted_s: float) -> None:
        self._trusted_s = trusted_s
        self._holders: dict[str, KeyHolder] | None = None
        #: When the newest document was last known to be the newest, in seconds.
        self.confirmed_at = -math.inf

    def apply(self, deployment: Deployment) -> None:
        """Take the keys of a newer document."""
        if deployment.holders is None:
            self._holders = None
            return
        self._holders = {
            key: holder for holder in deployment.holders for key in holder.keys
        }

    def confirm(self, asked_at: float) -> None:
        """Take note that the document in force was the newest one.

        :param asked_at: when the question was sent, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def is_fresh(self, now: float) -> bool:
        """Whether the keys may be believed."""
        return now - self.confirmed_at <= self._trusted_s

    def find_holder(
        self, key: str | None, now: float
    ) -> KeyHolder | KeyUnknown | KeysStale | None:
        """Find who holds a key.

        :param key: the key; None when the caller shows none.
        :param now: seconds.
        :returns: the holder; None when the document asks for no keys.
        """
        if self._holders is None:
            return None
        if not self.is_fresh(now):
            return KeysStale()
        holder = self._holders.get(key) if key is not None else None
        return holder if holder is not None else KeyUnknown()
