"""Pieces whose large inputs or results should stay in one availability zone."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding import Batcher, PieceJob
from bramleyspread_forwarding.tests.builders import (
    LIMITS,
    make_job,
    make_results,
    make_targets,
)
from bramleyspread_forwarding.tests.zone_load import ZoneLoad

TARGETS = make_targets(3)
#: Bytes for which it is worth waiting for a full call and more.
MANY_BYTES = 10_000_000
#: Results that go to the same zone are as many as the calls of three targets that are
#: half busy.
JOBS_PER_S = 6.0
#: Share of the bytes which cross zones when pieces go to any free target that may still
#: cross.
MAX_CROSSING_SHARE = 0.2
#: Share of jobs that must meet their goal.
ON_TIME_SHARE = 0.98


def make_result_job(rng: Random, number: int) -> PieceJob:
    """Build a job whose three results of 3 MB are needed in some zone."""
    zone = f"z{rng.randrange(3)}"
    size = 3_000_000
    return make_job(
        f"r{number}",
        3,
        zone=zone,
        crossing_bytes=3 * size,
        result_bytes=size,
        aim_ms=1_200.0,
    )


def make_shared_job(rng: Random, number: int) -> PieceJob:
    """Build a job whose eight results are all read by each of sixteen pieces."""
    size = 60_000
    return make_job(
        f"r{number}",
        8,
        crossing_bytes=8 * 16 * size,
        result_bytes=size,
        aim_ms=1_000.0,
    )


@pytest.mark.parametrize(
    ("make", "limits", "per_s"),
    [
        (make_result_job, msgspec.structs.replace(LIMITS, batch=4), JOBS_PER_S),
        (make_shared_job, LIMITS, JOBS_PER_S * 3 / 8),
    ],
)
def test_few_bytes_cross_zones_while_targets_have_time(
    make: type, limits: PieceLimits, per_s: float
) -> None:
    anywhere = ZoneLoad(limits, make, per_s, is_zone_kept=False)
    kept = ZoneLoad(limits, make, per_s)
    anywhere.run()
    kept.run()
    assert kept.on_time_share >= ON_TIME_SHARE
    assert kept.crossing_bytes <= MAX_CROSSING_SHARE * anywhere.crossing_bytes


def test_overloaded_targets_do_as_much_work_as_without_zones() -> None:
    limits = msgspec.structs.replace(LIMITS, batch=4, result_capacity_bytes=0.0)
    overload_per_s = 30.0
    anywhere = ZoneLoad(limits, make_result_job, overload_per_s, is_zone_kept=False)
    kept = ZoneLoad(limits, make_result_job, overload_per_s)
    anywhere.run()
    kept.run()
    assert kept.pieces_made >= 0.98 * anywhere.pieces_made


def test_pieces_wait_for_the_zone_of_their_data() -> None:
    batcher = Batcher()
    job = make_job("r", 2, zone="z2", crossing_bytes=MANY_BYTES)
    batcher.add(job, LIMITS, 3, 0.0)
    (call,) = batcher.dispatch(TARGETS, LIMITS, 0.0)
    assert call.target.zone == "z2"


def test_pieces_go_to_other_zones_if_they_would_miss_their_goal() -> None:
    batcher = Batcher()
    for index in range(3):
        job = make_job(
            f"r{index}", 5, zone="z2", crossing_bytes=MANY_BYTES, aim_ms=700.0
        )
        batcher.add(job, LIMITS, 3, 0.0)
    assert len(batcher.dispatch(TARGETS, LIMITS, 0.0)) > 1


def test_small_results_go_to_any_free_target() -> None:
    batcher = Batcher()
    for index in range(3):
        job = make_job(f"r{index}", 7, zone="z2", crossing_bytes=42_000)
        batcher.add(job, LIMITS, 3, 0.0)
    assert len(batcher.dispatch(TARGETS, LIMITS, 0.0)) == 3


def test_pieces_do_not_wait_for_a_zone_without_targets() -> None:
    batcher = Batcher()
    job = make_job("r", 2, zone="z2", crossing_bytes=MANY_BYTES)
    batcher.add(job, LIMITS, 2, 0.0)
    assert batcher.dispatch(TARGETS[:2], LIMITS, 0.0)


def test_pieces_do_not_wait_for_a_target_that_does_not_answer() -> None:
    batcher = Batcher()
    batcher.add(make_job("first", 7), LIMITS, 1, 0.0)
    (silent,) = batcher.dispatch(TARGETS[2:], LIMITS, 0.0)
    job = make_job("r", 2, zone="z2", crossing_bytes=MANY_BYTES, aim_ms=9_000.0)
    overdue = 3 * silent.expected_ms / 1000
    batcher.add(job, LIMITS, 3, overdue)
    assert batcher.dispatch(TARGETS, LIMITS, overdue)


def test_pieces_do_not_wait_for_a_target_without_storage() -> None:
    batcher = Batcher()
    size = 3_000_000
    batcher.add(make_job("first", 7, result_bytes=size), LIMITS, 1, 0.0)
    (call,) = batcher.dispatch(TARGETS[2:], LIMITS, 0.0)
    batcher.finish(call.call, make_results(7), 0.3)
    batcher.add(make_job("second", 3, result_bytes=size), LIMITS, 1, 0.3)
    batcher.dispatch(TARGETS[2:], LIMITS, 0.3)
    job = make_job(
        "r", 2, zone="z2", crossing_bytes=MANY_BYTES, result_bytes=2 * size, aim_ms=3e3
    )
    batcher.add(job, LIMITS, 3, 0.3)
    assert batcher.dispatch(TARGETS, LIMITS, 0.3)


def test_remaining_pieces_follow_the_first_ones_into_their_zone() -> None:
    batcher = Batcher()
    job = make_job("r", 10, crossing_bytes=3 * MANY_BYTES, aim_ms=2_000.0)
    batcher.add(job, LIMITS, 3, 0.0)
    (first,) = batcher.dispatch(TARGETS, LIMITS, 0.0)
    batcher.finish(first.call, make_results(7), 0.28)
    (second,) = batcher.dispatch(TARGETS, LIMITS, 0.28)
    assert second.target == first.target
