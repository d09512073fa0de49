"""Results at targets that the requests of one entry host still need."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from bramleyspread_forwarding._pieces import HeldResult, PieceResult


class _HeldResultEntry(msgspec.Struct, frozen=True):
    """A result that a request of this host needs."""

    #: Id of the target that produced and stores the result.
    maker: str
    #: Approximate size, in bytes.
    size: int
    #: When the target evicts the result, in seconds.
    expires_at: float


class HeldResults:
    """Results at targets that this host's requests hold, that is, still need.

    They are reported to a new batching host, which has to know how much storage they
    occupy.

    >>> held = HeldResults()
    >>> results = (PieceResult("h1", maker="t"), PieceResult("h2", maker="t"))
    >>> held.add("photos", results, size=5, now=0.0, expires_at=4.0)
    >>> held.release("photos", ["h1"])
    >>> [(each.handle, each.remaining_ms) for each in held.list_held("photos", 3.0)]
    [('h2', 1000.0)]
    >>> held.list_held("photos", 4.0)
    ()
    """

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held: dict[str, dict[str, _HeldResultEntry]] = {}

    def add(
        self,
        service: str,
        results: Sequence[PieceResult],
        size: int,
        now: float,
        expires_at: float,
    ) -> None:
        """Add results that were produced for this host, and remove expired ones.

        :param service: the service that produced them.
        :param results: the results.
        :param size: the approximate size of each result, in bytes.
        :param now: the current time, in seconds.
        :param expires_at: when the targets evict the results, in seconds.
        """
        self._expire(service, now)
        held = self._held.setdefault(service, {})
        for each in results:
            if each.handle and each.maker:
                held[each.handle] = _HeldResultEntry(each.maker, size, expires_at)

    def release(self, service: str, handles: Iterable[str]) -> None:
        """Remove results that are no longer needed."""
        held = self._held.get(service, {})
        for handle in handles:
            held.pop(handle, None)

    def find_maker(self, service: str, handle: str) -> str:
        """Return the target that stores a held result; empty if it isn't held."""
        entry = self._held.get(service, {}).get(handle)
        return entry.maker if entry is not None else ""

    def list_held(self, service: str, now: float) -> tuple[HeldResult, ...]:
        """List the held results of a service.

        :param service: the service.
        :param now: the current time, in seconds.
        :returns: the results that their targets have not evicted yet.
        """
        self._expire(service, now)
        held = self._held.get(service, {})
        return tuple(
            HeldResult(handle, each.maker, each.size, (each.expires_at - now) * 1000)
            for handle, each in held.items()
        )

    def count(self, service: str) -> int:
        """Count the held results of a service, including expired ones not removed."""
        return len(self._held.get(service, {}))

    def _expire(self, service: str, now: float) -> None:
        """Remove results that their targets have evicted.

        Results are in the order in which they were added, and the loop ends at the
        first one that has not expired.
        """
        held = self._held.get(service, {})
        while held:
            oldest = next(iter(held))
            if held[oldest].expires_at > now:
                break
            del held[oldest]
