"""Builders of values that several tests of this package use."""

from __future__ import annotations

from bramleyspread_core import Address, PieceLimits
from bramleyspread_forwarding import (
    ForwardTarget,
    PieceJob,
    PieceResult,
    Prompt,
    PromptPart,
    Readiness,
    SignalTable,
    TargetAccess,
    TargetHeartbeat,
)

#: Capacity limits of a photo service with three targets.
LIMITS = PieceLimits(
    slots=1,
    queue=2,
    batch=7,
    call_ms=150.0,
    piece_ms=18.3,
    result_capacity_bytes=34e6,
    result_retention_s=4.0,
)


def make_targets(number: int, slots: int = 1) -> tuple[ForwardTarget, ...]:
    """Build targets t0, t1 and so on, each in its own zone: z0, z1 and so on."""
    return tuple(
        ForwardTarget(
            f"t{index}", Address("10.0.0.1", 8000 + index), f"z{index}", slots
        )
        for index in range(number)
    )


def make_access() -> TargetAccess:
    """Build what paces the requests to targets that have said nothing."""
    return TargetAccess(SignalTable())


def make_notice(target: str = "t", **changes: object) -> TargetHeartbeat:
    """Build a heartbeat.

    :param target: id of the target.
    :param changes: fields that differ from the defaults.
    """
    fields: dict[str, object] = {
        "target": target,
        "sequence": 1,
        "service": "photos",
        "address": Address("10.0.0.1", 8000),
        "zone": "z0",
        "slots": 1,
        "readiness": Readiness.READY,
        **changes,
    }
    return TargetHeartbeat(**fields)  # type: ignore[arg-type]


def make_job(request: str, pieces: int, **changes: object) -> PieceJob:
    """Build a job of one request.

    :param request: id of the request.
    :param pieces: number of pieces.
    :param changes: fields that differ from the defaults.
    """
    fields: dict[str, object] = {
        "service": "photos",
        "request": request,
        "stage": 0,
        "pieces": pieces,
        "key": "k",
        "remaining_ms": 4_000.0,
        "aim_ms": 1_000.0,
        **changes,
    }
    return PieceJob(**fields)  # type: ignore[arg-type]


def make_results(number: int, zone: str = "z0") -> tuple[PieceResult, ...]:
    """Build the results of a call, with handles that no other call has."""
    make_results.count += 1  # type: ignore[attr-defined]
    prefix = make_results.count  # type: ignore[attr-defined]
    return tuple(
        PieceResult(f"h{prefix}-{index}", None, zone) for index in range(number)
    )


make_results.count = 0  # type: ignore[attr-defined]


def make_prompt(*shared: str, tokens_in: int = 9_000) -> Prompt:
    """Build a prompt of shared parts of 3,000 tokens each and a part of its own.

    :param shared: ids of the shared parts.
    :param tokens_in: number of tokens of the whole prompt.
    """
    parts = [PromptPart(part, 3_000) for part in shared]
    own_part = PromptPart("own", tokens_in - 3_000 * len(shared))
    return Prompt(tokens_in=tokens_in, tokens_out=50, parts=(*parts, own_part))
