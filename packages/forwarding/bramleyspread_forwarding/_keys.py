"""Identifies callers by their API keys, as long as the keys are known to be valid."""

from __future__ import annotations

import math

import msgspec

from bramleyspread_core import Deployment, OrganisationKeys


class KeyUnknown(msgspec.Struct, frozen=True):
    """Reports that no holder has the key."""


class KeysUnconfirmed(msgspec.Struct, frozen=True):
    """Reports that keys may have been revoked since the document was confirmed."""


class KeyRing:
    """The API keys of the deployment document in force.

    The keys are trusted only for a limited time after a control host with a lease
    has confirmed that the document is the newest one. The time counts from when the
    confirmation was requested, so network latency shortens it and never extends it.
    """

    def __init__(self, trusted_s: float) -> None:
        self._trusted_s = trusted_s
        self._holders: dict[str, OrganisationKeys] | None = None
        #: Time at which the document was last known to be the newest, in seconds.
        self.confirmed_at = -math.inf

    def apply(self, deployment: Deployment) -> None:
        """Replace the keys by those of a newer document."""
        if deployment.holders is None:
            self._holders = None
            return
        self._holders = {
            key: holder for holder in deployment.holders for key in holder.keys
        }

    def confirm(self, requested_at: float) -> None:
        """Record that the document in force was confirmed to be the newest.

        :param requested_at: when the confirmation was requested, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def is_fresh(self, now: float) -> bool:
        """Whether the last confirmation is recent enough to trust the keys."""
        return now - self.confirmed_at <= self._trusted_s

    def find_holder(
        self, key: str | None, now: float
    ) -> OrganisationKeys | KeyUnknown | KeysUnconfirmed | None:
        """Find the holder of a key.

        :param key: the key; None when the request has none.
        :param now: the current time, in seconds.
        :returns: the holder; None when the document does not require keys.
        """
        if self._holders is None:
            return None
        if not self.is_fresh(now):
            return KeysUnconfirmed()
        holder = self._holders.get(key) if key is not None else None
        return holder if holder is not None else KeyUnknown()
