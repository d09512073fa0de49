"""Calls to targets, each of which carries the pieces of several requests."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding._piece_queue import PieceRef
from bramleyspread_forwarding._pieces import PieceItem
from bramleyspread_forwarding._targets import ForwardTarget


class BatchedItem(msgspec.Struct, frozen=True):
    """A piece in a call."""

    item: PieceItem
    #: Time until the deadline of the piece's job, in milliseconds.
    remaining_ms: float
    #: Identifies the source data that a first-stage piece reads; empty in later stages.
    key: str = ""
    #: Handles of the earlier results that a later-stage piece reads.
    inputs: tuple[str, ...] = ()


class BatchedCall(msgspec.Struct, frozen=True):
    """A call that the batching host has to send to a target."""

    #: Number of the call, unique within its batcher.
    call: int
    target: ForwardTarget
    items: tuple[BatchedItem, ...]
    #: Expected duration according to the service's limits, in milliseconds.
    expected_ms: float
    #: Time after which the call is abandoned, in milliseconds.
    timeout_ms: float
    #: When the call was created, in seconds.
    created_at: float = 0.0


class RunningCall(msgspec.Struct, frozen=True):
    """A call that is in flight."""

    target: ForwardTarget
    #: The pieces, in the order in which the call carries them.
    pieces: tuple[PieceRef, ...]
    #: When the call was created or, if it was sent ahead, when the target was free for
    #: it, in seconds.
    started_at: float
    #: Expected duration according to the service's limits, in milliseconds.
    expected_ms: float
    #: The capacity limits of the target.
    limits: PieceLimits
    #: Approximate size of all results, in bytes.
    result_bytes: int = 0
    #: Whether the call was sent while all slots of its target were still occupied.
    is_ahead: bool = False

    @classmethod
    def start(
        cls,
        target: ForwardTarget,
        pieces: Sequence[PieceRef],
        limits: PieceLimits,
        now: float,
        result_bytes: int,
        *,
        is_ahead: bool = False,
    ) -> RunningCall:
        """Create the record of a call that starts now."""
        expected_ms = estimate_call_ms(len(pieces), limits)
        return cls(
            target, tuple(pieces), now, expected_ms, limits, result_bytes, is_ahead
        )


def estimate_call_ms(pieces: int, limits: PieceLimits) -> float:
    """Estimate a call's duration from its service's limits, in milliseconds.

    >>> limits = PieceLimits(
    ...     slots=1, queue=1, batch=4, call_ms=100.0, piece_ms=10.0,
    ...     result_retention_s=4.0
    ... )
    >>> estimate_call_ms(3, limits)
    130.0
    """
    return limits.call_ms + pieces * limits.piece_ms


def find_nominal_rate(targets: float, limits: PieceLimits) -> float:
    """Find how many pieces per second targets process in full calls.

    :param targets: number of targets.
    :param limits: their limits.
    """
    full_call_s = estimate_call_ms(limits.batch, limits) / 1000
    return targets * limits.slots * limits.batch / full_call_s
