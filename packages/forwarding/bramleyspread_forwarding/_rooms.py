"""Storage that results occupy at the targets that produced them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import msgspec

from bramleyspread_core import PieceLimits

#: Share of a target's storage that is assigned to results; the rest allows for results
#: larger than estimated.
USABLE_SHARE = 0.93
#: How long storage that is full for unknown reasons counts as full, in seconds.
UNACCOUNTED_TTL_S = 1.0
#: Begins the handle under which such storage is recorded; no result has such a handle.
UNACCOUNTED = "unaccounted "


class _StoredResult(msgspec.Struct, frozen=True):
    """A result that occupies storage."""

    #: Id of the target that stores the result.
    target: str
    #: Approximate size, in bytes.
    size: int
    #: When the target evicts the result, in seconds.
    expires_at: float


class StorageUsage:
    """Results stored at targets, as far as one batching host knows."""

    __slots__ = ("_bytes", "_results")

    def __init__(self) -> None:
        self._results: dict[str, _StoredResult] = {}
        self._bytes: Counter[str] = Counter()

    @property
    def is_empty(self) -> bool:
        """Whether no target is known to store any result."""
        return not self._results

    def add(self, handle: str, target: str, size: int, expires_at: float) -> None:
        """Add a result.

        :param handle: the result's handle.
        :param target: the target that stores it.
        :param size: its approximate size, in bytes.
        :param expires_at: when the target evicts it, in seconds.
        """
        self.release((handle,))
        self._results[handle] = _StoredResult(target, size, expires_at)
        self._bytes[target] += size

    def record_full(
        self, target: str, size: int, limits: PieceLimits, now: float
    ) -> None:
        """Record that a target had no storage for a result.

        Whatever occupies the storage may be there for as long as results are kept, but
        may also be released at any time, unnoticed by this host.

        :param target: the target.
        :param size: approximate size of the result, in bytes.
        :param limits: the capacity limits of the service's targets.
        :param now: the current time, in seconds.
        """
        unaccounted = self.find_free_bytes(target, limits) - size + 1
        if size and 0 < unaccounted < math.inf:
            handle = f"{UNACCOUNTED}{target}"
            known = self._results.get(handle)
            unaccounted += known.size if known is not None else 0
            self.add(handle, target, int(unaccounted), now + UNACCOUNTED_TTL_S)

    def release(self, handles: Iterable[str]) -> None:
        """Remove results that their targets no longer store."""
        for handle in handles:
            stored = self._results.pop(handle, None)
            if stored is not None:
                self._bytes[stored.target] -= stored.size

    def expire(self, now: float) -> None:
        """Remove results that their targets have evicted.

        :param now: the current time, in seconds.
        """
        self.release(
            [
                handle
                for handle, stored in self._results.items()
                if stored.expires_at <= now
            ]
        )

    def find_free_bytes(self, target: str, limits: PieceLimits) -> float:
        """Find the storage that a target has left.

        :param target: the target.
        :param limits: the capacity limits of the service's targets.
        :returns: bytes; infinite when the limits don't state a storage size.
        """
        if not limits.result_capacity_bytes:
            return math.inf
        return limits.result_capacity_bytes * USABLE_SHARE - self.count_bytes(target)

    def count_bytes(self, target: str) -> int:
        """Count the bytes of results stored at a target."""
        return self._bytes[target]
