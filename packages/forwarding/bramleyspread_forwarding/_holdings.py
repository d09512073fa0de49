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
    >>> holdings.keep("photos", made, size=5, until=4.0)
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
        self, service: str, results: Sequence[PieceResult], size: int, until: float
    ) -> None:
        """Take note of results that were made for this host.

        :param service: the service that made them.
        :param results: the results.
        :param size: about the size of one, in bytes.
        :param until: when their makers forget them by themselves, in seconds.
        """
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
        held = self._held.get(service, {})
        for handle in [x for x, each in held.items() if each.until <= now]:
            del held[handle]
        return tuple(
            HeldResult(handle, each.maker, each.size, (each.until - now) * 1000)
            for handle, each in held.items()
        )
