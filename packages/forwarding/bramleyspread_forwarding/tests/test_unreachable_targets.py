"""Targets that can't be reached while control hosts still list them."""

from __future__ import annotations

import heapq
from itertools import count

import msgspec

from bramleyspread_forwarding import (
    BatchedCall,
    Batcher,
    ForwardTarget,
    PieceFault,
    PieceResult,
)
from bramleyspread_forwarding.tests.builders import (
    LIMITS,
    make_job,
    make_results,
    make_targets,
)

TARGETS = make_targets(3)
#: Room for the results of one job and a half at each target.
SMALL_LIMITS = msgspec.structs.replace(LIMITS, result_capacity_bytes=0.9e6)
#: Time after which a call to an unreachable target fails, in seconds.
CONNECT_TIMEOUT_S = 0.25
#: How long results are held before they are released, in seconds.
HELD_S = 0.4


class CutService:
    """A service of whose targets only the first one can be reached."""

    def __init__(self) -> None:
        self.batcher = Batcher()
        #: When each job ended, in seconds; failed ones are missing.
        self.ended_at: list[float] = []
        self._order = count()
        self._events: list[tuple[float, int, BatchedCall | tuple[str, ...]]] = []

    def run(self, seconds: float, now: float = 0.0) -> None:
        """Run until a time."""
        self._dispatch(now)
        while self._events and self._events[0][0] < seconds:
            now, _, event = heapq.heappop(self._events)
            if isinstance(event, tuple):
                self.batcher.release(event)
            elif event.target == TARGETS[0]:
                self._answer(event, now)
            else:
                self.batcher.fail(event.call, now, may_have_run=False)
            self._dispatch(now)

    def _answer(self, call: BatchedCall, now: float) -> None:
        results = make_results(len(call.items))
        for done in self.batcher.finish(call.call, results, now):
            if all(each.handle for each in done.results):
                self.ended_at.append(now)
                handles = tuple(each.handle for each in done.results)
                self._schedule(now + HELD_S, handles)

    def _dispatch(self, now: float) -> None:
        for call in self.batcher.dispatch(TARGETS, SMALL_LIMITS, now):
            is_reached = call.target == TARGETS[0]
            elapsed_s = call.expected_ms / 1000 if is_reached else CONNECT_TIMEOUT_S
            self._schedule(now + elapsed_s, call)

    def _schedule(self, at: float, event: BatchedCall | tuple[str, ...]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))


# Guards against started jobs that hold all storage of the only target left, while each
# lacks a piece that was sent to an unreachable target again and again.
def test_jobs_end_at_the_target_that_is_left() -> None:
    service = CutService()
    jobs = 8
    for index in range(2 * jobs):
        job = make_job(f"r{index}", 8, result_bytes=60_000, remaining_ms=19_000.0)
        service.batcher.add(job, SMALL_LIMITS, 3, 0.0)
    # Each job takes two calls, one after another, and holds its results.
    two_calls_s = (2 * LIMITS.call_ms + 8 * LIMITS.piece_ms) / 1000
    service.run(seconds=jobs * (two_calls_s + HELD_S) + CONNECT_TIMEOUT_S)
    assert len(service.ended_at) >= jobs


def test_unreachable_target_gets_single_pieces_of_jobs_that_have_not_started() -> None:
    batcher = Batcher()
    for index in range(4):
        batcher.add(make_job(f"r{index}", 4), LIMITS, 3, 0.0)
    calls = batcher.dispatch(TARGETS, LIMITS, 0.0)
    batcher.fail(calls[1].call, 0.25, may_have_run=False)
    probe_sizes = [
        len(call.items)
        for call in batcher.dispatch(TARGETS, LIMITS, 0.6)
        if call.target == calls[1].target
    ]
    assert probe_sizes in ([], [1])


def test_jobs_are_refused_at_once_while_no_target_is_reached() -> None:
    batcher = Batcher()
    assert isinstance(batcher.add(make_job("first", 2), LIMITS, 1, 0.0), int)
    now = 0.0
    for _ in range(2):
        (call,) = batcher.dispatch(TARGETS[:1], LIMITS, now)
        batcher.fail(call.call, now + 0.25, may_have_run=False)
        now += 1.0
    assert batcher.add(make_job("second", 2), LIMITS, 1, now) is PieceFault.SHED
    (probe,) = batcher.dispatch(TARGETS[:1], LIMITS, now)
    batcher.finish(probe.call, make_results(len(probe.items)), now + 0.2)
    assert isinstance(batcher.add(make_job("third", 2), LIMITS, 1, now + 0.2), int)


def test_target_without_room_for_a_large_result_gets_small_ones() -> None:
    batcher = Batcher()
    target: tuple[ForwardTarget, ...] = TARGETS[:1]
    large, small = 3_000_000, 8_000
    batcher.add(make_job("large", 2, result_bytes=large), LIMITS, 1, 0.0)
    (call,) = batcher.dispatch(target, LIMITS, 0.0)
    full = PieceResult(fault=PieceFault.STORAGE_FULL)
    batcher.finish(call.call, (full, full), 0.01)
    batcher.add(make_job("small", 1, result_bytes=small), LIMITS, 1, 0.01)
    (call,) = batcher.dispatch(target, LIMITS, 0.5)
    assert [each.item.request for each in call.items] == ["small"]


# Guards against an overflow of the backoff, with which the pieces of a failed call
# stayed without a result once a target had failed some thousand calls in a row.
def test_calls_are_given_up_after_thousands_of_failures_in_a_row() -> None:
    batcher = Batcher()
    now = 0.0
    failed_calls = 0
    while failed_calls < 1_100:
        batcher.add(make_job(f"r{failed_calls}", 1), LIMITS, 1, now)
        for call in batcher.dispatch(TARGETS[:1], LIMITS, now):
            batcher.fail(call.call, now + 0.25, may_have_run=False)
            failed_calls += 1
        now += 2.0
    (probe,) = batcher.dispatch(TARGETS[:1], LIMITS, now)
    batcher.finish(probe.call, make_results(len(probe.items)), now + 0.2)
    assert isinstance(batcher.add(make_job("next", 1), LIMITS, 1, now + 0.2), int)
