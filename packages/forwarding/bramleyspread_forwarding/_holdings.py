"""Results that the requests of one entry host hold at targets."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from bramleyspread_forwarding._pieces import HeldResult, PieceResult


class _Holding(msgspec.Struct, frozen=True):
    """One result that is held."""

    maker: str
    size: int
    #: When its maker forgets it by itself, in seconds.
    until: float


class Holdings:
    """What this host's requests hold, so that a new batching host can be told.

    >>> holdings = Holdings()
    >>> made = (PieceResult("h1", maker="t"), PieceResult("h2", maker="t"))
    >>> holdings.keep("photos", made, size=5, now=0.0, until=4.0)
    >>> holdings.release("photos", ["h1"])
    >>> [(each.handle, each.remaining_ms) for each in holdings.list_held("photos", 3.0)]
    [('h2', 1000.0)]
    >>> holdings.list_held("photos", 4.0)
    ()
    """

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held: dict[str, dict[str, _Holding]] = {}

    def keep(
        self,
        service: str,
        results: Sequence[PieceResult],
        size: int,
        now: float,
        until: float,
    ) -> None:
        """Take note of results that were made for this host, and drop old ones.

        :param service: the service that made them.
        :param results: the results.
        :param size: about the size of one, in bytes.
        :param now: seconds.
        :param until: when their makers forget them by themselves, in seconds.
        """
        self._forget(service, now)
        held = self._held.setdefault(service, {})
        for each in results:
            if each.handle and each.maker:
                held[each.handle] = _Holding(each.maker, size, until)

    def release(self, service: str, handles: Iterable[str]) -> None:
        """Take note that results are needed no more."""
        held = self._held.get(service, {})
        for handle in handles:
            held.pop(handle, None)

    def list_held(self, service: str, now: float) -> tuple[HeldResult, ...]:
        """List what is held of a service.

        :param service: the service.
        :param now: seconds.
        :returns: the results that their makers still keep.
        """
        self._forget(service, now)
        held = self._held.get(service, {})
        return tuple(
            HeldResult(handle, each.maker, each.size, (each.until - now) * 1000)
            for handle, each in held.items()
        )

    def count(self, service: str) -> int:
        """Count the results of a service that are noted."""
        return len(self._held.get(service, {}))

    def _forget(self, service: str, now: float) -> None:
        """Drop what its makers have forgotten; the oldest stand first."""
        held = self._held.get(service, {})
        while held:
            oldest = next(iter(held))
            if held[oldest].until > now:
                break
            del held[oldest]
