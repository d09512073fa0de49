"""Entry hosts, stage services and callers under overload, in virtual time.

Prints the figures of all bursts, or of those whose names contain one of its arguments:

    python -m bramleyspread_forwarding.tests.overload_site fair "1 medium"
"""

from __future__ import annotations

import heapq
import sys
import zlib
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from itertools import count
from random import Random
from typing import Any

import msgspec

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding import (
    BatchedCall,
    Batcher,
    ForwardTarget,
    JobDone,
    PieceFault,
    PieceJob,
    PieceResult,
    RefusedRequest,
    ShardId,
    StageAdmission,
    StageRun,
    StageTimes,
    estimate_call_ms,
    find_return_s,
    find_stage_goal_ms,
)
from bramleyspread_forwarding.tests.builders import make_targets
from bramleyspread_forwarding.tests.overload_loads import (
    BURSTS,
    SMALL_BYTES,
    SMALL_WORK,
    Burst,
    Kind,
    Load,
)

#: Load before a burst, in which hosts learn how long stages take, in seconds.
BEFORE_S = 4.0
#: Load after a burst, and time for the rest to end, in seconds.
AFTER_S, END_S = 6.0, 16.0
#: Interval at which late jobs are removed, in seconds.
TICK_S = 0.05
#: Time that a message between hosts takes, in seconds.
DELAY_S = 0.002
#: Share of its lifetime for which a stage may wait to use a result.
LIFETIME_SHARE = 0.9
#: Estimated time from the last stage to the first event, in milliseconds.
ENGINE_MS = 250.0
#: Retry delays of refused callers, as the entry hosts compute them.
RETRY_S, RETRY_SHARE = 0.5, 0.25


class Caller:
    """A caller's request, which is sent again once if it is refused."""

    def __init__(self, kind: Kind, pieces: tuple[int, ...], now: float) -> None:
        self.kind = kind
        self.pieces = pieces
        self.sent_at = now
        self.deadline = now + kind.timeout_ms / 1000
        self.attempts = 0
        #: Availability zone of the engine that its last attempt was meant for.
        self.zone = ""
        #: How long it took, in seconds; None if it was refused for good.
        self.took_s: float | None = None
        #: How long its last attempt took, in seconds.
        self.attempt_took_s = 0.0

    @property
    def outcome(self) -> str:
        """How it ended: on time, late or refused."""
        if self.took_s is None or self.took_s * 1000 > self.kind.timeout_ms:
            return "refused"
        return "on time" if self.took_s * 1000 <= self.kind.aim_ms else "late"


class Service:
    """One shard of a stage service: its targets and their batching host."""

    def __init__(
        self,
        site: OverloadSite,
        service: str,
        number: int,
        size: int,
        limits: PieceLimits,
    ) -> None:
        self._site, self.number, self.limits = site, number, limits
        self.name = f"{service}{number}-" if number else service
        self.targets = self.all_targets = _make_zone_targets(self.name, size)
        self.batcher = Batcher(is_fair=site.is_fair)
        self.waiting: dict[int, Callable[[tuple[PieceResult, ...]], None]] = {}
        self.calls = self.pieces = 0
        self.busy_s = 0.0
        #: By handle, the time that its target spent on it, in seconds.
        self.spent_s: dict[str, float] = {}
        self._running: dict[int, BatchedCall] = {}

    def add(
        self, job: PieceJob, end: Callable[[tuple[PieceResult, ...]], None]
    ) -> int | None:
        now, limits = self._site.now, self.limits
        number = self.batcher.add(job, limits, len(self.targets), now)
        if isinstance(number, PieceFault):
            end(tuple(PieceResult(fault=number) for _ in range(job.pieces)))
            return None
        self.waiting[number] = end
        self.dispatch()
        return number

    def cancel(self, number: int) -> None:
        if self.waiting.pop(number, None) is not None:
            self.batcher.jobs.cancel(number)
            self.release(self.batcher.jobs.take_unwanted_handles())

    def release(self, handles: tuple[str, ...]) -> None:
        self.batcher.release(handles)
        self.dispatch()

    def tick(self) -> None:
        self.finish(self.batcher.expire_and_shed(self.limits, self._site.now))
        self.dispatch()

    def dispatch(self) -> None:
        for call in self.batcher.dispatch(self.targets, self.limits, self._site.now):
            self._running[call.call] = call
            requests = tuple(each.item.request for each in call.items)
            self._site.calls.append((self._site.now, call.target.target, requests))
            work = sum(self._site.find_work(x.item.request) for x in call.items)
            took_s = (self.limits.call_ms + work * self.limits.piece_ms) / 1000
            self.calls, self.pieces = self.calls + 1, self.pieces + len(call.items)
            self.busy_s += took_s
            self._site.schedule(took_s, self._answer, call, took_s)

    def lose(self, share: float) -> None:
        kept = len(self.all_targets) - round(len(self.all_targets) * share)
        self.targets = self.all_targets[:kept]
        lost = {each.target for each in self.all_targets[kept:]}
        for number, call in tuple(self._running.items()):
            if call.target.target in lost:
                del self._running[number]
                self.finish(self.batcher.fail(number, self._site.now))

    def _answer(self, call: BatchedCall, took_s: float) -> None:
        if self._running.pop(call.call, None) is None:
            return
        results = tuple(
            PieceResult(f"{self.name}{call.call}-{at}", None, call.target.zone)
            for at in range(len(call.items))
        )
        for each in results:
            self.spent_s[each.handle] = took_s / len(results)
        self.finish(self.batcher.finish(call.call, results, self._site.now))
        self.release(self.batcher.jobs.take_unwanted_handles())

    def finish(self, done: list[JobDone]) -> None:
        for each in done:
            end = self.waiting.pop(each.job, None)
            if end is not None:
                end(each.results)


def _make_zone_targets(name: str, size: int) -> tuple[ForwardTarget, ...]:
    return tuple(
        msgspec.structs.replace(x, target=f"{name}{at}", zone=f"z{at % 3}")
        for at, x in enumerate(make_targets(size))
    )


class Host:
    """One entry host."""

    def __init__(self, number: int) -> None:
        self.zone = f"z{number % 3}"
        self.times = StageTimes()
        self.admission = StageAdmission()


class Attempt:
    """One attempt of a caller at a host: its stages, then an engine."""

    def __init__(self, site: OverloadSite, host: Host, caller: Caller) -> None:
        self._site, self._host, self._caller = site, host, caller
        self._started_at = site.now
        self._route = site.routes[caller.kind.name]
        self._run = StageRun(self._route.stages, caller.pieces, "k")
        self.name = f"r{next(site.numbers)}"
        self._jobs: dict[int, tuple[Service, int | None]] = {}
        self._is_ended = False
        zone = site.rng.randrange(3)
        self._zone = caller.zone = f"z{site.draw_crowded(zone)}"
        self._used: list[str] = []
        self._weights: Mapping[str, float] = {}

    def start(self) -> None:
        site = self._site
        stages = range(len(self._route.stages))
        needed_ms = max(self._stage_ms(x) + self._downstream_ms(x) for x in stages)
        if needed_ms > (self._caller.deadline - site.now) * 1000:
            self._refuse(max(RETRY_S, needed_ms / 1000 * RETRY_SHARE))
            return
        if site.is_fair:
            later = [
                stage.service
                for at, stage in enumerate(self._route.stages)
                if stage.after and self._caller.pieces[at]
            ]
            admitted = self._host.admission.decide(
                later, self._route.priority, self.name, site.now
            )
            if isinstance(admitted, RefusedRequest):
                site.faults["arrival " + admitted.service] += 1
                self._refuse(self._find_return_s(admitted.ends_in_s))
                return
            self._weights = admitted.weights
        self._start_stages()

    def _start_stages(self) -> None:
        for ready in self._run.start_ready_stages():
            self._start_stage(ready)
            if self._is_ended:
                return
        if self._run.is_done:
            engine_s = self._site.rng.uniform(0.15, 0.35)
            self._site.schedule(engine_s, self._serve)

    def _start_stage(self, ready: Any) -> None:
        number, site, now = ready.number, self._site, self._site.now
        downstream_ms = self._downstream_ms(number)
        stage = self._route.stages[number]
        zone, input_bytes = self._run.find_input_location(number)
        read_bytes = self._run.find_read_bytes(number)
        if input_bytes < read_bytes:
            zone = self._zone if self._run.is_last(number) else ""
        remaining_ms = (self._caller.deadline - now) * 1000 - downstream_ms
        if stage.after:
            remaining_ms = min(remaining_ms, 4_000.0 * LIFETIME_SHARE)
        elapsed_ms = (now - self._started_at) * 1000
        aim_ms = self._route.aim_ms - elapsed_ms - downstream_ms
        if site.is_fair:
            left = self._run.count_stages_left(number)
            aim_ms = find_stage_goal_ms(aim_ms, self._stage_ms(number), left)
        job = PieceJob(
            service=ready.service,
            request=f"{self.name}/{number}",
            stage=number,
            pieces=ready.pieces,
            key=ready.key,
            inputs=ready.inputs,
            remaining_ms=remaining_ms,
            aim_ms=aim_ms,
            priority=self._route.priority,
            result_bytes=stage.result_bytes,
            zone=zone,
            crossing_bytes=round(max(input_bytes, read_bytes)),
            is_begun=self._run.has_results,
            weight=self._weights.get(ready.service, 1.0),
        )
        site.work[job.request] = (
            SMALL_WORK if stage.result_bytes == SMALL_BYTES else 1.0
        )
        service = site.find_shard(ready.service, self.name)

        def send() -> None:
            if not self._is_ended:
                self._jobs[number] = service, None
                self._jobs[number] = service, service.add(job, end)

        def end(results: tuple[PieceResult, ...]) -> None:
            site.schedule(DELAY_S, self._end_stage, number, results, now, aim_ms > 0)

        site.schedule(DELAY_S, send)

    def _end_stage(
        self,
        number: int,
        results: tuple[PieceResult, ...],
        started_at: float,
        is_timely: bool,
    ) -> None:
        service = self._route.stages[number].service
        shard = self._site.find_shard(service, self.name)
        load = shard.batcher.load
        shard_id = ShardId(service, shard.number)
        self._host.admission.record(shard_id, load, self._site.now)
        self._used += [x.handle for x in results if x.handle]
        self._run.record_results(number, results)
        if self._is_ended:
            self._release()
            return
        if any(each.fault for each in results):
            self._site.faults[service] += 1
            retry_s = RETRY_S
            if self._site.is_fair:
                retry_s = self._find_return_s(load.ends_in_ms / 1000)
            self._refuse(retry_s)
            return
        now = self._site.now
        if is_timely:
            elapsed_ms = (now - started_at) * 1000
            self._host.times.record(service, self._route.priority, elapsed_ms, now)
        for release in self._run.release_unneeded():
            self._site.find_shard(release.service, self.name).release(release.handles)
        self._start_stages()

    def _release(self) -> None:
        for release in self._run.release_all():
            self._site.find_shard(release.service, self.name).release(release.handles)

    def _serve(self) -> None:
        self._is_ended = True
        now = self._site.now
        self._caller.took_s = now - self._caller.sent_at
        self._caller.attempt_took_s = now - self._started_at
        if self._caller.outcome == "refused":
            self._waste()
        self._release()

    def _waste(self) -> None:
        services = self._site.shards
        for handle in self._used:
            self._site.wasted_s += sum(x.spent_s.get(handle, 0.0) for x in services)

    def _refuse(self, retry_s: float) -> None:
        self._is_ended = True
        self._site.waited_s.append(self._site.now - self._started_at)
        for service, job in self._jobs.values():
            if job is not None:
                service.cancel(job)
        self._release()
        self._waste()
        caller = self._caller
        if caller.attempts < 2 and self._site.now + retry_s < caller.deadline:
            self._site.schedule(retry_s, self._site.send, caller)

    def _find_return_s(self, ends_in_s: float) -> float:
        left_s = self._caller.deadline - self._site.now - self._route.aim_ms / 1000
        return find_return_s(ends_in_s, left_s, self._site.rng.random())

    def _stage_ms(self, number: int) -> float:
        stage = self._route.stages[number]
        pieces = self._caller.pieces[number]
        if not pieces:
            return 0.0
        limits = self._site.services[stage.service][0].limits
        min_ms = estimate_call_ms(min(pieces, limits.batch), limits)
        priority = self._route.priority
        return self._host.times.estimate(
            stage.service, priority, min_ms, self._site.now
        )

    def _downstream_ms(self, number: int) -> float:
        following = [
            self._stage_ms(at) + self._downstream_ms(at)
            for at, stage in enumerate(self._route.stages)
            if number in stage.after
        ]
        return max(following, default=ENGINE_MS)


class OverloadSite:
    """Runs one burst.

    :param load: the deployment.
    :param burst: the burst.
    :param seed: determines arrivals, pieces and durations.
    """

    def __init__(
        self,
        load: Load,
        burst: Burst,
        seed: int = 1,
        *,
        is_fair: bool = False,
    ) -> None:
        self.rng = Random(seed)
        self._crowd = Random(seed + 1)
        self.now = 0.0
        self.is_fair = is_fair
        self.numbers = count()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._load, self._burst = load, burst
        self.routes = {each.name: each.route for each in load.kinds}
        self.services = {name: self._make_shards(name) for name in load.services}
        self.shards = [x for shards in self.services.values() for x in shards]
        self._hosts = [Host(at) for at in range(load.hosts)]
        self.callers: list[Caller] = []
        self.work: dict[str, float] = {}
        self.wasted_s = 0.0
        self.waited_s: list[float] = []
        self.faults: Counter[str] = Counter()
        #: Time, target and pieces of each call.
        self.calls: list[tuple[float, str, tuple[str, ...]]] = []

    def find_work(self, request: str) -> float:
        return self.work[request]

    def draw_crowded(self, zone: int) -> int:
        """Draw a zone instead of one drawn evenly, if a zone is crowded."""
        share = self._burst.crowded_share
        if not share:
            return zone
        return 0 if self._crowd.random() < share else self._crowd.randrange(1, 3)

    def _make_shards(self, service: str) -> list[Service]:
        size, limits = self._load.services[service]
        number = self._load.shards.get(service, 1)
        return [
            Service(self, service, at, size // number, limits) for at in range(number)
        ]

    def find_shard(self, service: str, request: str) -> Service:
        """Find the shard of a service that runs a request's jobs."""
        shards = self.services[service]
        return shards[zlib.crc32(request.encode()) % len(shards)]

    def schedule(self, delay_s: float, event: Callable[..., None], *args: Any) -> None:
        heapq.heappush(
            self._events, (self.now + delay_s, next(self.numbers), event, args)
        )

    def send(self, caller: Caller) -> None:
        caller.attempts += 1
        Attempt(self, self.rng.choice(self._hosts), caller).start()

    def run(self) -> None:
        """Run the load."""
        burst_end = BEFORE_S + self._burst.for_s
        for kind in self._load.kinds:
            at = 0.0
            while at < burst_end + AFTER_S:
                is_burst = BEFORE_S <= at < burst_end
                factor = self._burst.factors.get(kind.name, 1.0) if is_burst else 1.0
                at += self.rng.expovariate(kind.per_s * factor)
                pieces = kind.draw_pieces(self.rng)
                if any(pieces):
                    self.schedule(at, self._arrive, kind, pieces)
        if self._burst.lost:
            for lossy in self.services[self._burst.lost]:
                self.schedule(BEFORE_S, lossy.lose, 0.3)
                self.schedule(burst_end, lossy.lose, 0.0)
        for tick in range(int((burst_end + AFTER_S + END_S) / TICK_S)):
            self.schedule(tick * TICK_S, self._tick)
        while self._events:
            self.now, _, event, args = heapq.heappop(self._events)
            event(*args)

    def _arrive(self, kind: Kind, pieces: tuple[int, ...]) -> None:
        caller = Caller(kind, pieces, self.now)
        self.callers.append(caller)
        self.send(caller)

    def _tick(self) -> None:
        for service in self.shards:
            service.tick()

    def list_burst_callers(self) -> list[Caller]:
        """Return the callers that came during the burst."""
        end = BEFORE_S + self._burst.for_s
        return [x for x in self.callers if BEFORE_S <= x.sent_at < end]

    def describe(self) -> str:
        """Return the figures of the burst as a line of text."""
        shares: dict[str, Counter[str]] = defaultdict(Counter)
        value = most = 0.0
        for caller in self.list_burst_callers():
            kind = caller.kind
            shares[kind.name][caller.outcome] += 1
            most += kind.value
            value += {"on time": kind.value, "late": kind.late_value}.get(
                caller.outcome, 0.0
            )
        kinds = " ".join(
            f"{name} "
            + "/".join(
                f"{x[o] / x.total():.2f}" for o in ("on time", "late", "refused")
            )
            for name, x in sorted(shares.items())
        )
        busy_s = sum(each.busy_s for each in self.shards)
        waited = sorted(self.waited_s) or [0.0]
        calls = sum(each.calls for each in self.shards)
        pieces = sum(each.pieces for each in self.shards)
        return (
            f"{kinds} value {value / most:.3f} refusals {len(self.waited_s)} "
            f"after {sum(waited) / len(waited):.2f} s, 90 % "
            f"{waited[int(len(waited) * 0.9)]:.2f} s "
            f"wasted {self.wasted_s / busy_s:.3f} pieces/call {pieces / calls:.1f} "
            f"faults {dict(self.faults)}"
        )


def main() -> None:
    """Print the figures of bursts."""
    is_fair = "fair" in sys.argv[1:]
    names = [each for each in sys.argv[1:] if each not in ("fair", "priority")]
    for name, (load, burst) in BURSTS.items():
        if names and not any(each in name for each in names):
            continue
        site = OverloadSite(load, burst, is_fair=is_fair)
        site.run()
        print(f"{name:16}", site.describe(), flush=True)


if __name__ == "__main__":
    main()
