"""Benchmark of forwarding decisions that one host makes for a whole service."""

from __future__ import annotations

import time
from collections.abc import Iterator
from random import Random

from bramleyspread_core import Address, EngineLimits, PieceLimits, encode_json
from bramleyspread_forwarding import (
    Batcher,
    EntryHost,
    FeedPage,
    ForwardTarget,
    PieceJob,
    PieceResult,
    Placed,
    Placement,
    PlaceQuery,
    PlaceStep,
    Prompt,
    PromptPart,
    Readiness,
    TargetHeartbeat,
    TargetRegistry,
)
from bramleyspread_proof._figures import Figure

#: Numbers of pieces that wait while batches are formed.
WAITING = (20, 200, 2_000)
#: Numbers of targets of a service; the last is a twelfth of all at the target size.
TARGETS = (9, 100, 900)
#: Number of entry hosts that a control host notifies of each change.
ENTRY_HOSTS = 480
#: Number of pieces in a job.
JOB_PIECES = 6
#: Number of runs of each measurement, of which the fastest counts.
REPEATS = 3
LIMITS = PieceLimits(
    slots=1,
    queue=2,
    batch=9,
    call_ms=150.0,
    piece_ms=14.3,
    result_capacity_bytes=1_500_000,
    result_retention_s=4.0,
)
ENGINE = EngineLimits(slots=64, memory_tokens=360_000)


def run() -> Iterator[Figure]:
    """Measure the processor time of a piece, a choice of engine and a target's change.

    :returns: a figure per number of waiting pieces, one per number of targets, and one
        for a change of a target's state.
    """
    for waiting in WAITING:
        duration_us = min(_time_piece(waiting) for _ in range(REPEATS))
        yield Figure("forwarding", f"piece, {waiting} waiting", duration_us, "us")
    for count in TARGETS:
        duration_us = min(_time_choice(count) for _ in range(REPEATS))
        yield Figure("forwarding", f"choice of engine among {count}", duration_us, "us")
    duration_us = min(_time_change() for _ in range(REPEATS))
    yield Figure(
        "forwarding", "a target's change told to one entry host", duration_us, "us"
    )


def _make_targets(number: int) -> tuple[ForwardTarget, ...]:
    return tuple(
        ForwardTarget(f"t{at}", Address("10.0.0.1", 8_000 + at), f"z{at % 4}", 1)
        for at in range(number)
    )


def _time_piece(waiting: int) -> float:
    """Return the processor time of a piece in the batcher, in microseconds."""
    batcher, targets, now = Batcher(), _make_targets(4), 0.0
    rng, pieces_done, jobs_added = Random(1), 0, 0
    began = time.process_time()
    while pieces_done < 3_000:
        while batcher.jobs.waiting_pieces < waiting:
            batcher.add(_make_job(rng, jobs_added), LIMITS, len(targets), now)
            jobs_added += 1
        for call in batcher.dispatch(targets, LIMITS, now):
            pieces_done += len(call.items)
            handles = [f"h{pieces_done}-{at}" for at in range(len(call.items))]
            batcher.finish(call.call, [PieceResult(x) for x in handles], now)
            batcher.release(handles)
        now += 0.07
    return (time.process_time() - began) / pieces_done * 1e6


def _make_job(rng: Random, number: int) -> PieceJob:
    return PieceJob(
        service="ledger",
        request=f"r{number}",
        stage=1,
        pieces=JOB_PIECES,
        inputs=("h",),
        remaining_ms=1e9,
        aim_ms=rng.uniform(1e6, 2e6),
        priority=rng.randrange(3),
        result_bytes=60_000,
    )


def _time_choice(count: int) -> float:
    """Return the processor time to choose and release an engine, in microseconds."""
    rng = Random(1)
    placement, targets = Placement(rng), _make_targets(count)
    choices, began = 1_000, time.process_time()
    for at in range(choices):
        parts = (PromptPart(f"p{at % 100}", 6_300), PromptPart(f"own{at}", 2_900))
        prompt = Prompt(tokens_in=9_200, tokens_out=50, parts=parts)
        query = PlaceQuery(service="llm", zone="z0", prompt=prompt, slack_ms=900.0)
        placed = placement.choose(query, targets, ENGINE, at * 0.01)
        assert isinstance(placed, Placed)
        step = PlaceStep(ticket=placed.ticket, target=placed.target.target, ended=True)
        placement.record_step(step, at * 0.01)
    return (time.process_time() - began) / choices * 1e6


def _time_change() -> float:
    """Return the processor time per entry host of a change, in microseconds.

    It includes receiving the change and encoding the feed page.
    """
    registry, changes = TargetRegistry(1.2), 50
    hosts = tuple(
        EntryHost(f"e{at}", "z0", Address("10.0.0.2", 7_000 + at)) for at in range(8)
    )
    began = time.process_time()
    for number in range(1, changes + 1):
        known = registry.position
        state = Readiness.READY if number % 2 else Readiness.DRAINING
        registry.handle_heartbeat(_make_notice(number, state), 0.1 * number)
        for _ in range(ENTRY_HOSTS):
            page = FeedPage(
                incarnation="l",
                position=registry.position,
                changes=registry.list_changes(known),
                entries=hosts,
            )
            encode_json(page)
    return (time.process_time() - began) / changes / ENTRY_HOSTS * 1e6


def _make_notice(number: int, state: Readiness) -> TargetHeartbeat:
    return TargetHeartbeat(
        target=f"t{number}",
        sequence=number,
        service="llm",
        address=Address("10.0.0.1", 8_000 + number),
        zone="z0",
        slots=64,
        readiness=state,
    )
