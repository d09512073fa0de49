"""Pieces of many requests in few calls, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import msgspec
import pytest

from bramleyspread_forwarding import (
    BatchedCall,
    Batcher,
    PieceFault,
    PieceJob,
    PieceResult,
)
from bramleyspread_forwarding.tests.builders import (
    LIMITS,
    make_job,
    make_results,
    make_targets,
)

TARGETS = make_targets(3)


class Service:
    """Targets that work as long as the limits say; a result stays for a while."""

    def __init__(
        self,
        batch: int = LIMITS.batch,
        held_s: float = 0.3,
        factors: dict[str, float] | None = None,
    ) -> None:
        self.targets = TARGETS
        self.factors = factors or {}
        self.calls: Counter[str] = Counter()
        self.limits = msgspec.structs.replace(LIMITS, batch=batch)
        self.batcher = Batcher()
        self.now = 0.0
        self.held_s = held_s
        self.added: dict[int, float] = {}
        self.ended: dict[int, tuple[float, tuple[PieceResult, ...]]] = {}
        self._calls: list[tuple[float, int, BatchedCall, bool]] = []
        self._held: list[tuple[float, tuple[str, ...]]] = []

    def add(self, job: PieceJob) -> int | PieceFault:
        number = self.batcher.add(job, self.limits, len(self.targets), self.now)
        if isinstance(number, int):
            self.added[number] = self.now
        return number

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.005
            while self._held and self._held[0][0] <= self.now:
                self.batcher.release(heapq.heappop(self._held)[1])
            self._finish_calls()
            for done in self.batcher.give_up(self.limits, self.now):
                self.ended[done.job] = (self.now, done.results)
            for call in self.batcher.dispatch(self.targets, self.limits, self.now):
                length = self.limits.call_ms + len(call.items) * self.limits.piece_ms
                self.calls[call.target.target] += 1
                length *= self.factors.get(call.target.target, 1.0)
                waited = min(length, call.timeout_ms)
                due = self.now + waited / 1000
                heapq.heappush(self._calls, (due, call.call, call, waited < length))

    def _finish_calls(self) -> None:
        while self._calls and self._calls[0][0] <= self.now:
            _, number, call, is_overdue = heapq.heappop(self._calls)
            if is_overdue:
                for done in self.batcher.fail(number, self.now):
                    self.ended[done.job] = (self.now, done.results)
                continue
            results = make_results(len(call.items), call.target.zone)
            for done in self.batcher.finish(number, results, self.now):
                self.ended[done.job] = (self.now, done.results)
                handles = tuple(x.handle for x in done.results)
                heapq.heappush(self._held, (self.now + self.held_s, handles))


def serve_calm_day(
    service: Service,
    seconds: float = 10.0,
    within_s: float = 1.0,
    requests_per_s: float = 20.0,
) -> tuple[int, int]:
    """Offer requests of two pieces each; count those asked and in time."""
    rng = random.Random(7)
    asked: dict[int, float] = {}
    refused = 0
    while service.now < seconds:
        service.run(rng.expovariate(requests_per_s))
        pieces = rng.choice((1, 1, 2, 2, 4))
        number = service.add(make_job(f"r{service.now}", pieces))
        if isinstance(number, int):
            asked[number] = service.now
        else:
            refused += 1
    service.run(6.0)
    in_time = sum(
        number in service.ended
        and service.ended[number][0] - at < within_s
        and all(x.handle for x in service.ended[number][1])
        for number, at in asked.items()
    )
    return len(asked) + refused, in_time


def test_a_calm_day_is_carried_only_by_batched_calls() -> None:
    asked, in_time = serve_calm_day(Service())
    assert in_time >= 0.97 * asked
    asked, in_time = serve_calm_day(Service(batch=1))
    assert in_time < 0.7 * asked


def test_a_slow_target_holds_nothing_up_that_quick_ones_can_carry() -> None:
    service = Service(factors={"t0": 5.0})
    asked, in_time = serve_calm_day(service, within_s=0.8)
    assert in_time >= 0.93 * asked


def test_a_target_that_falls_silent_holds_pieces_for_a_bounded_time() -> None:
    service = Service(factors={"t0": 1e9})
    asked, in_time = serve_calm_day(service, within_s=1.0)
    assert in_time >= 0.9 * asked
    longest = max(at - service.added[x] for x, (at, _) in service.ended.items())
    six_times_one_piece, two_calls = 6 * 0.169, 2 * 0.279
    assert longest <= six_times_one_piece + two_calls


def test_a_slow_target_helps_when_the_quick_ones_have_too_much() -> None:
    service = Service(factors={"t0": 3.0})
    for at in range(60):
        service.add(make_job(f"r{at}", 7, remaining_ms=30_000.0))
    quick_calls = 20
    service.run(quick_calls * 0.285)
    assert len(service.ended) >= 2 * quick_calls + quick_calls // 3 - 2


def test_a_slow_target_helps_when_room_is_short_at_the_quick_one() -> None:
    def serve(factor: float) -> int:
        service = Service(batch=9, factors={"t0": factor}, held_s=0.4)
        service.targets = TARGETS[:2]
        service.limits = msgspec.structs.replace(
            service.limits, piece_ms=14.3, room_bytes=1.54e6
        )
        for at in range(80):
            job = make_job(
                f"r{at}", 6, result_bytes=60_000, remaining_ms=99_000.0, aim_ms=9e4
            )
            service.add(job)
        service.run(8.0)
        return len(service.ended)

    alone = serve(50.0)
    assert serve(4.0) >= 1.15 * alone


def test_a_target_that_was_slow_gets_its_work_back() -> None:
    service = Service(factors={"t0": 5.0})
    serve_calm_day(service, 3.0)
    service.factors = {}
    service.calls.clear()
    asked, in_time = serve_calm_day(service, service.now + 10.0)
    assert in_time >= 0.95 * asked
    assert service.calls["t0"] >= 0.8 * service.calls["t1"]


def test_with_too_much_to_do_most_of_what_is_carried_is_in_time() -> None:
    asked, in_time = serve_calm_day(Service(), requests_per_s=60.0)
    carried = 75 / 120
    assert in_time >= 0.8 * carried * asked


def test_with_too_much_to_do_what_is_late_is_given_up_soon() -> None:
    service = Service()
    serve_calm_day(service, requests_per_s=60.0)
    given_up = [
        at - service.added[number]
        for number, (at, results) in service.ended.items()
        if not all(each.handle for each in results)
    ]
    assert len(given_up) > 50
    aim_and_two_calls = 1.0 + 2 * 0.279
    assert sum(given_up) / len(given_up) < aim_and_two_calls + 0.1


def test_late_work_is_done_when_there_is_time_for_it() -> None:
    service = Service()
    jobs = [service.add(make_job(f"r{at}", 7, aim_ms=-1.0)) for at in range(6)]
    service.run(2.0)
    assert all(service.ended[int(number)][1][0].handle for number in jobs)


def test_large_results_of_half_made_jobs_never_block_the_room() -> None:
    service = Service(held_s=0.3)
    jobs = [
        service.add(make_job(f"r{at}", 6, result_bytes=3_000_000, remaining_ms=9_000.0))
        for at in range(12)
    ]
    service.run(4.0)
    done = [number for number in jobs if number in service.ended]
    assert len(done) == len(jobs)
    assert all(x.handle for n in done for x in service.ended[int(n)][1])


def test_urgent_jobs_go_first_and_late_ones_last() -> None:
    batcher = Batcher()
    one = (TARGETS[0],)
    limits = msgspec.structs.replace(LIMITS, batch=1)
    for name, priority, aim in (
        ("late", 0, -1.0),
        ("second", 1, 1_000.0),
        ("first", 0, 1_000.0),
        ("soon", 0, 500.0),
    ):
        batcher.add(make_job(name, 1, priority=priority, aim_ms=aim), limits, 9, 0.0)
    order = []
    for _ in range(4):
        (call,) = batcher.dispatch(one, limits, 0.001)
        order.append(call.items[0].item.request)
        batcher.finish(call.call, make_results(1), 0.002)
    assert order == ["soon", "first", "second", "late"]


def test_pieces_with_large_inputs_are_left_to_targets_near_them() -> None:
    batcher = Batcher()
    batcher.add(make_job("r", 2, zone="z2", is_bound=True), LIMITS, 3, 0.0)
    (call,) = batcher.dispatch(TARGETS, LIMITS, 0.0)
    assert call.target.zone == "z2"


def test_pieces_go_elsewhere_when_their_zone_has_too_many() -> None:
    batcher = Batcher()
    for at in range(3):
        job = make_job(f"r{at}", 5, zone="z2", is_bound=True)
        batcher.add(job, LIMITS, 3, 0.0)
    assert len(batcher.dispatch(TARGETS, LIMITS, 0.0)) > 1


@pytest.mark.parametrize(
    ("fault", "again"),
    [
        (PieceFault.ROOM, True),
        (PieceFault.ERROR, True),
        (PieceFault.GONE, False),
        (PieceFault.LATE, False),
    ],
)
def test_which_faults_are_tried_again(fault: PieceFault, again: bool) -> None:
    batcher = Batcher()
    batcher.add(make_job("r", 1), LIMITS, 3, 0.0)
    (call,) = batcher.dispatch(TARGETS, LIMITS, 0.0)
    done = batcher.finish(call.call, [PieceResult(fault=fault)], 0.1)
    assert (not done) is again
    assert batcher.jobs.waiting_pieces == int(again)


def test_a_target_that_did_not_answer_is_passed_over_for_a_while() -> None:
    batcher = Batcher()
    batcher.add(make_job("r", 1), LIMITS, 3, 0.0)
    (call,) = batcher.dispatch(TARGETS, LIMITS, 0.0)
    batcher.fail(call.call, 0.1)
    (second,) = batcher.dispatch(TARGETS, LIMITS, 0.1)
    assert second.target != call.target


def test_a_job_that_cannot_end_in_time_is_refused_at_once() -> None:
    batcher = Batcher()
    job = make_job("r", 1, remaining_ms=100.0)
    assert batcher.add(job, LIMITS, 3, 0.0) is PieceFault.FULL
    assert batcher.add(make_job("r", 1), LIMITS, 0, 0.0) is PieceFault.FULL


def test_what_a_target_turned_away_was_not_begun() -> None:
    batcher = Batcher()
    for name in ("first", "second"):
        batcher.add(make_job(name, 4), LIMITS, 1, 0.0)
    urgent = make_job("urgent", 7, priority=-1)
    (call,) = batcher.dispatch(TARGETS[:1], LIMITS, 0.0)
    batcher.fail(call.call, 0.01, counts=False)
    batcher.add(urgent, LIMITS, 1, 0.02)
    assert batcher.jobs.count_reserved_bytes() == 0
    (call,) = batcher.dispatch(TARGETS[1:2], LIMITS, 0.02)
    assert {each.item.request for each in call.items} == {"urgent"}


def test_a_target_that_keeps_failing_is_tried_less_and_less() -> None:
    batcher = Batcher()
    batcher.add(make_job("r", 1, remaining_ms=60_000.0), LIMITS, 1, 0.0)
    tried = []
    for tick in range(100):
        now = tick * 0.05
        for call in batcher.dispatch(TARGETS[:1], LIMITS, now):
            tried.append(now)
            batcher.fail(call.call, now, counts=False)
    assert len(tried) <= 7
    assert max(b - a for a, b in zip(tried, tried[1:], strict=False)) < 1.3


def test_results_that_nobody_waits_for_are_told() -> None:
    batcher = Batcher()
    number = batcher.add(make_job("r", 9), LIMITS, 3, 0.0)
    assert isinstance(number, int)
    first, second = batcher.dispatch(TARGETS, LIMITS, 0.0)
    early = make_results(len(first.items))
    batcher.finish(first.call, early, 0.1)
    batcher.jobs.cancel(number)
    late = make_results(len(second.items))
    batcher.finish(second.call, late, 0.2)
    assert set(batcher.jobs.take_unwanted()) == {x.handle for x in (*early, *late)}
    assert batcher.jobs.take_unwanted() == ()


def test_jobs_not_begun_go_to_the_host_that_batches_by_now() -> None:
    batcher = Batcher()
    for name in ("begun", "waiting"):
        batcher.add(make_job(name, 7), LIMITS, 3, 0.0)
    batcher.add(make_job("stays", 1), LIMITS, 3, 0.0, stays=True)
    batcher.dispatch(TARGETS[:1], LIMITS, 0.0)
    (moved,) = batcher.jobs.hand_over()
    assert {x.fault for x in moved.results} == {PieceFault.MOVED}
    assert batcher.jobs.waiting_pieces == 1
