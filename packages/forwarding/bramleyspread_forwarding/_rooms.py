"""The room that results take at the targets that made them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import msgspec

from bramleyspread_core import PieceLimits

#: The part of a target's room that is given out; results differ in size.
ROOM_SHARE = 0.93


class _Kept(msgspec.Struct, frozen=True):
    """A result that takes room."""

    #: Its maker.
    target: str
    #: About its size, in bytes.
    size: int
    #: When its maker forgets it by itself, in seconds.
    until: float


class RoomAccount:
    """Results that lie at targets, as far as one batching host knows."""

    __slots__ = ("_bytes", "_kept")

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}
        self._bytes: Counter[str] = Counter()

    @property
    def is_empty(self) -> bool:
        """Whether no result is known to lie anywhere."""
        return not self._kept

    def keep(self, handle: str, target: str, size: int, until: float) -> None:
        """Take note of a result.

        :param handle: where it lies.
        :param target: its maker.
        :param size: about its size, in bytes.
        :param until: when its maker forgets it by itself, in seconds.
        """
        self.release((handle,))
        self._kept[handle] = _Kept(target, size, until)
        self._bytes[target] += size

    def release(self, handles: Iterable[str]) -> None:
        """Take note that results are gone."""
        for handle in handles:
            kept = self._kept.pop(handle, None)
            if kept is not None:
                self._bytes[kept.target] -= kept.size

    def forget(self, now: float) -> None:
        """Drop what its makers have forgotten by themselves.

        :param now: seconds.
        """
        self.release([x for x, kept in self._kept.items() if kept.until <= now])

    def find_left(self, target: str, limits: PieceLimits) -> float:
        """Find the bytes of room that a target has left.

        :param target: the target.
        :param limits: how a target works.
        :returns: bytes; infinite when nobody says how much room there is.
        """
        if not limits.room_bytes:
            return math.inf
        return limits.room_bytes * ROOM_SHARE - self.count_bytes(target)

    def count_bytes(self, target: str) -> int:
        """Count the bytes of results that lie at a target."""
        return self._bytes[target]
