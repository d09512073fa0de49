"""Calls for the pieces of many requests."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding._piece_queue import PieceRef
from bramleyspread_forwarding._pieces import PieceItem
from bramleyspread_forwarding._targets import ForwardTarget


class BatchedItem(msgspec.Struct, frozen=True):
    """A piece in a call."""

    #: The piece.
    item: PieceItem
    #: Time left for it, in milliseconds.
    remaining_ms: float
    #: What it is made from in a first stage.
    key: str = ""
    #: The results that it is made from in a later stage.
    inputs: tuple[str, ...] = ()


class BatchedCall(msgspec.Struct, frozen=True):
    """A call to be made."""

    #: Its number.
    call: int
    #: The target.
    target: ForwardTarget
    #: The pieces.
    items: tuple[BatchedItem, ...]
    #: When to give it up, in milliseconds.
    timeout_ms: float


class RunningCall(msgspec.Struct, frozen=True):
    """A call on its way."""

    #: The target.
    target: ForwardTarget
    #: The pieces, in their order in the call.
    pieces: tuple[PieceRef, ...]
    #: When it was made up, in seconds.
    begun: float
    #: How long it takes by its service's limits, in milliseconds.
    length_ms: float
    #: How long its results are kept, in seconds.
    kept_s: float

    @classmethod
    def from_pieces(
        cls,
        target: ForwardTarget,
        pieces: Sequence[PieceRef],
        limits: PieceLimits,
        now: float,
    ) -> RunningCall:
        """Make up a call that begins now."""
        length_ms = measure_call(len(pieces), limits)
        return cls(target, tuple(pieces), now, length_ms, limits.kept_s)


def measure_call(pieces: int, limits: PieceLimits) -> float:
    """Measure how long a call takes by its service's limits, in milliseconds.

    >>> limits = PieceLimits(
    ...     slots=1, queue=1, batch=4, call_ms=100.0, piece_ms=10.0, kept_s=4.0
    ... )
    >>> measure_call(3, limits)
    130.0
    """
    return limits.call_ms + pieces * limits.piece_ms
