"""Tests of batching the pieces of many requests, with simulated targets and time."""

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
    TargetLoad,
)
from bramleyspread_forwarding._paces import SlowdownTracker
from bramleyspread_forwarding.tests.builders import (
    LIMITS,
    make_job,
    make_results,
    make_targets,
)

TARGETS = make_targets(3)


class SimulatedService:
    """Simulates targets whose calls take as long as the limits say.

    :param batch: maximum number of pieces in a call.
    :param held_s: how long a job's results are held before they are released.
    :param slowdowns: duration of each target's calls as a multiple of what the limits
        say; 1 for targets that are missing.
    """

    def __init__(
        self,
        batch: int = LIMITS.batch,
        held_s: float = 0.3,
        slowdowns: dict[str, float] | None = None,
    ) -> None:
        self.targets = TARGETS
        self.slowdowns = slowdowns or {}
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
            for done in self.batcher.expire_and_shed(self.limits, self.now):
                self.ended[done.job] = (self.now, done.results)
            for call in self.batcher.dispatch(self.targets, self.limits, self.now):
                call_ms = self.limits.call_ms + len(call.items) * self.limits.piece_ms
                self.calls[call.target.target] += 1
                call_ms *= self.slowdowns.get(call.target.target, 1.0)
                wait_ms = min(call_ms, call.timeout_ms)
                ends_at = self.now + wait_ms / 1000
                heapq.heappush(
                    self._calls, (ends_at, call.call, call, wait_ms < call_ms)
                )

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


def send_requests(
    service: SimulatedService,
    seconds: float = 10.0,
    within_s: float = 1.0,
    requests_per_s: float = 20.0,
) -> tuple[int, int]:
    """Send requests of two pieces on average.

    :returns: the number of requests, and of those that completed within the limit.
    """
    rng = random.Random(7)
    sent: dict[int, float] = {}
    refused = 0
    while service.now < seconds:
        service.run(rng.expovariate(requests_per_s))
        pieces = rng.choice((1, 1, 2, 2, 4))
        number = service.add(make_job(f"r{service.now}", pieces))
        if isinstance(number, int):
            sent[number] = service.now
        else:
            refused += 1
    service.run(6.0)
    in_time = sum(
        number in service.ended
        and service.ended[number][0] - sent_at < within_s
        and all(x.handle for x in service.ended[number][1])
        for number, sent_at in sent.items()
    )
    return len(sent) + refused, in_time


def test_service_meets_goal_only_with_batched_calls() -> None:
    sent, in_time = send_requests(SimulatedService())
    assert in_time >= 0.97 * sent
    sent, in_time = send_requests(SimulatedService(batch=1))
    assert in_time < 0.7 * sent


def test_slow_target_does_not_delay_pieces_that_fast_targets_can_process() -> None:
    service = SimulatedService(slowdowns={"t0": 5.0})
    sent, in_time = send_requests(service, within_s=0.8)
    assert in_time >= 0.93 * sent


def test_target_that_never_answers_delays_pieces_for_a_bounded_time() -> None:
    service = SimulatedService(slowdowns={"t0": 1e9})
    sent, in_time = send_requests(service, within_s=1.0)
    assert in_time >= 0.9 * sent
    longest = max(
        ended_at - service.added[number]
        for number, (ended_at, _) in service.ended.items()
    )
    six_one_piece_calls_s, two_full_calls_s = 6 * 0.169, 2 * 0.279
    assert longest <= six_one_piece_calls_s + two_full_calls_s


def test_slow_target_gets_pieces_when_fast_targets_are_overloaded() -> None:
    service = SimulatedService(slowdowns={"t0": 3.0})
    for index in range(60):
        service.add(make_job(f"r{index}", 7, remaining_ms=30_000.0))
    fast_calls = 20
    service.run(fast_calls * 0.285)
    assert len(service.ended) >= 2 * fast_calls + fast_calls // 3 - 2


def test_slow_target_gets_pieces_when_fast_target_is_short_of_storage() -> None:
    def count_completed_jobs(slowdown: float) -> int:
        service = SimulatedService(batch=9, slowdowns={"t0": slowdown}, held_s=0.4)
        service.targets = TARGETS[:2]
        service.limits = msgspec.structs.replace(
            service.limits, piece_ms=14.3, result_capacity_bytes=1.54e6
        )
        for index in range(80):
            job = make_job(
                f"r{index}", 6, result_bytes=60_000, remaining_ms=99_000.0, aim_ms=9e4
            )
            service.add(job)
        service.run(8.0)
        return len(service.ended)

    fast_target_alone = count_completed_jobs(50.0)
    assert count_completed_jobs(4.0) >= 1.15 * fast_target_alone


def test_target_that_recovers_from_slowdown_gets_its_full_share() -> None:
    service = SimulatedService(slowdowns={"t0": 5.0})
    send_requests(service, 3.0)
    service.slowdowns = {}
    service.calls.clear()
    sent, in_time = send_requests(service, service.now + 10.0)
    assert in_time >= 0.95 * sent
    assert service.calls["t0"] >= 0.8 * service.calls["t1"]


def dispatch_after_report(slowdown: float, jobs: int = 2) -> list[BatchedCall]:
    """Dispatch to three free targets, the first of which reports a slowdown."""
    batcher = Batcher()
    batcher.record_load("t0", TargetLoad(0, 0, 1, slowdown), 0.0)
    for index in range(jobs):
        batcher.add(make_job(f"r{index}", LIMITS.batch), LIMITS, 3, 0.0)
    return batcher.dispatch(TARGETS, LIMITS, 0.0)


# Guards against a target that says that it is slow and gets calls before faster ones.
def test_target_that_reports_a_slowdown_gets_only_what_faster_ones_leave() -> None:
    assert {x.target.target for x in dispatch_after_report(1.0)} == {"t0", "t1"}
    assert {x.target.target for x in dispatch_after_report(1.3)} == {"t1", "t2"}
    calls = dispatch_after_report(1.3, jobs=3)
    assert [x.target.target for x in calls] == ["t1", "t2", "t0"]
    assert {x.target.target for x in dispatch_after_report(4.0, jobs=3)} == {"t1", "t2"}


# Guards against pieces that nobody gets: free targets of other zones leave them to
# their zone, whose only target left them to the faster ones.
def test_slower_target_gets_the_pieces_that_free_ones_leave_to_its_zone() -> None:
    batcher = Batcher()
    batcher.record_load("t0", TargetLoad(0, 0, 1, 2.0), 0.0)
    job = make_job("r", 4, zone="z0", crossing_bytes=12_000_000)
    batcher.add(job, LIMITS, 3, 0.0)
    (call,) = batcher.dispatch(TARGETS, LIMITS, 0.0)
    assert (call.target.target, len(call.items)) == ("t0", 4)


# Guards against slow targets that lose work which no faster one would complete earlier.
def test_target_with_a_small_slowdown_works_while_faster_ones_are_busy() -> None:
    service = SimulatedService(slowdowns={"t0": 1.3})
    service.batcher.record_load("t0", TargetLoad(0, 0, 1, 1.3), 0.0)
    sent, in_time = send_requests(service, requests_per_s=30.0)
    assert in_time >= 0.9 * sent
    assert 0.6 < service.calls["t0"] / service.calls["t1"] < 0.95


# Guards against a target that stays slow after it has reported its usual speed again.
def test_slowdown_ends_when_it_is_no_longer_reported() -> None:
    tracker = SlowdownTracker()
    tracker.record_report("t0", 4.0, 0.0)
    assert tracker.find_relative_slowdown("t0", ["t0", "t1", "t2"]) == 4.0
    tracker.record_report("t0", 1.0, 0.5)
    assert tracker.find_slowdown("t0") == 1.0
    tracker.record_report("t0", 1.3, 1.0)
    assert (tracker.find_reported("t0", 5.0), tracker.find_reported("t0", 7.0)) == (
        1.3,
        1.0,
    )


def test_most_completed_jobs_meet_their_goal_under_overload() -> None:
    sent, in_time = send_requests(SimulatedService(), requests_per_s=60.0)
    # Three targets process 75 pieces per second; requests need 120 on average.
    capacity_share = 75 / 120
    assert in_time >= 0.8 * capacity_share * sent


def test_late_jobs_are_shed_soon_under_overload() -> None:
    service = SimulatedService()
    send_requests(service, requests_per_s=60.0)
    shed_after_s = [
        ended_at - service.added[number]
        for number, (ended_at, results) in service.ended.items()
        if not all(each.handle for each in results)
    ]
    assert len(shed_after_s) > 50
    goal_and_two_full_calls_s = 1.0 + 2 * 0.279
    assert sum(shed_after_s) / len(shed_after_s) < goal_and_two_full_calls_s + 0.1


def test_late_jobs_are_processed_when_targets_are_idle() -> None:
    service = SimulatedService()
    jobs = [service.add(make_job(f"r{index}", 7, aim_ms=-1.0)) for index in range(6)]
    service.run(2.0)
    assert all(service.ended[int(number)][1][0].handle for number in jobs)


def test_large_results_of_incomplete_jobs_do_not_exhaust_storage() -> None:
    service = SimulatedService(held_s=0.3)
    jobs = [
        service.add(
            make_job(f"r{index}", 6, result_bytes=3_000_000, remaining_ms=9_000.0)
        )
        for index in range(12)
    ]
    service.run(4.0)
    done = [number for number in jobs if number in service.ended]
    assert len(done) == len(jobs)
    assert all(x.handle for n in done for x in service.ended[int(n)][1])


def test_urgent_jobs_are_dispatched_first_and_late_ones_last() -> None:
    batcher = Batcher()
    single_target = (TARGETS[0],)
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
        (call,) = batcher.dispatch(single_target, limits, 0.001)
        order.append(call.items[0].item.request)
        batcher.finish(call.call, make_results(1), 0.002)
    assert order == ["soon", "first", "second", "late"]


@pytest.mark.parametrize(
    ("fault", "is_retried"),
    [
        (PieceFault.STORAGE_FULL, True),
        (PieceFault.ERROR, True),
        (PieceFault.GONE, False),
        (PieceFault.LATE, False),
    ],
)
def test_only_transient_faults_are_retried(fault: PieceFault, is_retried: bool) -> None:
    batcher = Batcher()
    batcher.add(make_job("r", 1), LIMITS, 3, 0.0)
    (call,) = batcher.dispatch(TARGETS, LIMITS, 0.0)
    done = batcher.finish(call.call, [PieceResult(fault=fault)], 0.1)
    assert (not done) is is_retried
    assert batcher.jobs.waiting_pieces == int(is_retried)


def test_target_that_did_not_answer_is_in_backoff() -> None:
    batcher = Batcher()
    batcher.add(make_job("r", 1), LIMITS, 3, 0.0)
    (call,) = batcher.dispatch(TARGETS, LIMITS, 0.0)
    batcher.fail(call.call, 0.1)
    (second,) = batcher.dispatch(TARGETS, LIMITS, 0.1)
    assert second.target != call.target


def test_job_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    batcher = Batcher()
    job = make_job("r", 1, remaining_ms=100.0)
    assert batcher.add(job, LIMITS, 3, 0.0) is PieceFault.SHED
    assert batcher.add(make_job("r", 1), LIMITS, 0, 0.0) is PieceFault.SHED


def test_rejected_pieces_do_not_count_as_started() -> None:
    batcher = Batcher()
    for name in ("first", "second"):
        batcher.add(make_job(name, 4), LIMITS, 1, 0.0)
    urgent = make_job("urgent", 7, priority=-1)
    (call,) = batcher.dispatch(TARGETS[:1], LIMITS, 0.0)
    batcher.fail(call.call, 0.01, may_have_run=False)
    batcher.add(urgent, LIMITS, 1, 0.02)
    assert batcher.jobs.count_reserved_bytes() == 0
    (call,) = batcher.dispatch(TARGETS[1:2], LIMITS, 0.02)
    assert {each.item.request for each in call.items} == {"urgent"}


def test_backoff_grows_up_to_its_maximum_while_a_target_fails() -> None:
    batcher = Batcher()
    batcher.add(make_job("r", 1, remaining_ms=60_000.0), LIMITS, 1, 0.0)
    call_times = []
    for tick in range(100):
        now = tick * 0.05
        for call in batcher.dispatch(TARGETS[:1], LIMITS, now):
            call_times.append(now)
            batcher.fail(call.call, now, may_have_run=False)
    assert len(call_times) <= 7
    assert max(b - a for a, b in zip(call_times, call_times[1:], strict=False)) < 1.3


def test_results_of_a_cancelled_job_are_returned_once_for_release() -> None:
    batcher = Batcher()
    number = batcher.add(make_job("r", 9), LIMITS, 3, 0.0)
    assert isinstance(number, int)
    first, second = batcher.dispatch(TARGETS, LIMITS, 0.0)
    early_results = make_results(len(first.items))
    batcher.finish(first.call, early_results, 0.1)
    batcher.jobs.cancel(number)
    late_results = make_results(len(second.items))
    batcher.finish(second.call, late_results, 0.2)
    assert set(batcher.jobs.take_unwanted_handles()) == {
        x.handle for x in (*early_results, *late_results)
    }
    assert batcher.jobs.take_unwanted_handles() == ()


def test_hand_over_fails_only_unstarted_jobs_that_may_move() -> None:
    batcher = Batcher()
    for name in ("started", "waiting"):
        batcher.add(make_job(name, 7), LIMITS, 3, 0.0)
    batcher.add(make_job("stays", 1), LIMITS, 3, 0.0, is_local=True)
    batcher.dispatch(TARGETS[:1], LIMITS, 0.0)
    (moved,) = batcher.jobs.fail_unstarted()
    assert {x.fault for x in moved.results} == {PieceFault.MOVED}
    assert batcher.jobs.waiting_pieces == 1


# Guards against pieces that are turned away for want of storage: a call sent ahead was
# given storage that the results of the call before it were about to take.
def test_call_sent_ahead_leaves_storage_for_the_call_before_it() -> None:
    capacity = 10 / 0.93 + 0.1
    limits = msgspec.structs.replace(LIMITS, result_capacity_bytes=capacity)
    batcher = Batcher()
    target = make_targets(1)
    for number in range(20):
        batcher.add(make_job(f"r{number}", 1, result_bytes=1), limits, 1, 0.0)
    (first,) = batcher.dispatch(target, limits, 0.0, lead_s=0.05)
    assert len(first.items) == limits.batch
    assert batcher.dispatch(target, limits, 0.1, lead_s=0.05) == []
    ends_at = first.expected_ms / 1000
    (second,) = batcher.dispatch(target, limits, ends_at - 0.04, lead_s=0.05)
    assert len(second.items) == 10 - limits.batch
    assert batcher.dispatch(target, limits, ends_at - 0.03, lead_s=0.05) == []


def test_call_sent_ahead_is_timed_from_the_end_of_the_call_before_it() -> None:
    batcher = Batcher()
    target = make_targets(1)
    for number in range(20):
        batcher.add(make_job(f"r{number}", 1), LIMITS, 1, 0.0)
    (first,) = batcher.dispatch(target, LIMITS, 0.0, lead_s=0.05)
    ends_at = first.expected_ms / 1000
    (second,) = batcher.dispatch(target, LIMITS, ends_at - 0.04, lead_s=0.05)
    batcher.finish(first.call, make_results(len(first.items)), ends_at)
    assert batcher.dispatch(target, LIMITS, ends_at + 0.1, lead_s=0.05) == []
    (third,) = batcher.dispatch(target, LIMITS, 2 * ends_at - 0.04, lead_s=0.05)
    assert third.call > second.call


def test_overdue_call_holds_the_next_one_back() -> None:
    batcher = Batcher()
    target = make_targets(1)
    for number in range(20):
        batcher.add(make_job(f"r{number}", 1), LIMITS, 1, 0.0)
    (first,) = batcher.dispatch(target, LIMITS, 0.0, lead_s=0.05)
    overdue_at = first.expected_ms / 1000 + 0.06
    assert batcher.dispatch(target, LIMITS, overdue_at, lead_s=0.05) == []
