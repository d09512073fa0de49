"""The stages of one caller's request, made before it goes to its target."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import curio
from loguru import logger

from bramleyspread_core import ForwardRoute
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_forwarding import (
    ForwardRequest,
    PieceFault,
    PieceJob,
    PieceRelease,
    PieceResult,
    ReadyStage,
    StageRun,
    find_home,
)

#: Time that the target itself is thought to need behind the stages, in ms.
TARGET_MS = 300.0
#: From this size on it matters in which zone results lie, in bytes.
LARGE_BYTES = 1_000_000
#: The part of a result's life in which it may be waited for.
LIFE_SHARE = 0.9
#: How long a stage without inputs may wait for its turn at most, in ms.
LONGEST_MS = 30_000.0


class StageWork:
    """Has the stages of a request made, as often as it takes, and gives them up.

    Without stages it is made at once and has no inputs.
    """

    def __init__(
        self,
        context: ForwardContext,
        request: ForwardRequest,
        route: ForwardRoute,
        priority: int,
        begun: float,
        until: float,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._priority = priority
        self._begun = begun
        self._until = until
        self._run: StageRun | None = None
        #: Whether the results were given up.
        self.is_released = False
        #: Time that the last making took, in milliseconds.
        self.spent_ms = 0.0

    @property
    def patience_left_ms(self) -> float:
        """Time left until the caller leaves without a first event."""
        return (self._find_patience() - read_monotonic()) * 1000

    def measure_inputs(self) -> dict[str, float]:
        """Sum up the megabytes of the request's inputs by zone."""
        return self._run.measure_inputs() if self._run is not None else {}

    def list_inputs(self) -> tuple[str, ...] | None:
        """List the request's inputs; None when its route has no stages."""
        if self._run is None:
            return None
        return tuple(each.handle for each in self._run.inputs)

    async def make(self) -> PieceFault | None:
        """Make all stages, from the beginning.

        :returns: None when all are made; else why they are not.
        """
        begun = read_monotonic()
        self.is_released = False
        self._run = run = StageRun(
            self._request.request,
            self._route.stages,
            self._request.pieces,
            self._request.piece_key,
        )
        try:
            while not run.is_done:
                fault = await self._make_ready(run)
                if fault is not None:
                    return fault
                await self._release(run.take_spent())
        finally:
            self.spent_ms = (read_monotonic() - begun) * 1000
        return None

    async def _make_ready(self, stages: StageRun) -> PieceFault | None:
        """Make all stages that can begin, beside each other."""
        ready = stages.take_ready()
        tasks: list[tuple[int, Any]] = []
        try:
            for each in ready:
                task = await curio.spawn(self._make_stage, stages, each)
                tasks.append((each.number, task))
            for number, task in tasks:
                results: Sequence[PieceResult] = await task.join()
                stages.finish(number, results)
                fault = next((x.fault for x in results if x.fault is not None), None)
                if fault is not None:
                    return fault
        finally:
            for _, task in tasks:
                await task.cancel(blocking=False)
        return None

    async def _make_stage(
        self, stages: StageRun, ready: ReadyStage
    ) -> Sequence[PieceResult]:
        number, service = ready.number, ready.service
        now = read_monotonic()
        behind = self._estimate_behind(number)
        zone, pulled = stages.find_inputs(number)
        is_bound = pulled >= LARGE_BYTES
        late_ms = (self._begun - now) * 1000 + self._route.aim_ms - behind
        remaining_ms = (self._find_patience() - now) * 1000 - behind
        job = PieceJob(
            service=service,
            items=ready.items,
            key=ready.key,
            inputs=ready.inputs,
            remaining_ms=min(remaining_ms, self._find_input_life(number)),
            aim_ms=late_ms,
            priority=self._priority,
            result_bytes=self._route.stages[number].result_bytes,
            zone=zone if is_bound else self._find_zone(number),
            is_bound=is_bound,
        )
        results = await self._context.piece_service.make(job)
        self._log_stage(job, results, now)
        if late_ms > 0 and all(each.handle for each in results):
            done = read_monotonic()
            spent_ms = (done - now) * 1000
            self._context.stage_times.note(service, self._priority, spent_ms, done)
        return results

    def _log_stage(
        self, job: PieceJob, results: Sequence[PieceResult], begun: float
    ) -> None:
        fault = next((x.fault for x in results if x.fault is not None), None)
        logger.bind(
            step="stage",
            peer=self._context.piece_service.name_batching_host(job.service),
            request=self._request.request,
            service=job.service,
            stage=job.items[0].stage if job.items else 0,
            pieces=len(job.items),
            aim_ms=round(job.aim_ms),
            left_ms=round(job.remaining_ms),
            ms=round((read_monotonic() - begun) * 1000),
        ).info(f"not made: {fault.value}" if fault is not None else "made")

    def _find_input_life(self, number: int) -> float:
        """Find how long the inputs of a stage will surely be kept, in ms."""
        lives = [LONGEST_MS]
        for before in self._route.stages[number].after:
            service = self._context.find_service(self._route.stages[before].service)
            if service is not None and service.pieces is not None:
                lives.append(service.pieces.kept_s * 1000 * LIFE_SHARE)
        return min(lives)

    def _find_zone(self, number: int) -> str:
        """Find where a stage's results will be needed, if it matters."""
        if self._route.stages[number].result_bytes < LARGE_BYTES:
            return ""
        service = self._context.choose_service(self._route, self._request.request)
        home = find_home(
            self._request.prompt, self._context.targets.list_usable(service)
        )
        return home.zone if home is not None else self._context.own.zone

    def _find_patience(self) -> float:
        """Find when the caller will have left without a first event, in seconds."""
        if not self._route.patience_ms:
            return self._until
        return min(self._until, self._begun + self._route.patience_ms / 1000)

    def _estimate_behind(self, number: int) -> float:
        """Estimate the time that is needed behind a stage, in milliseconds."""
        longest = 0.0
        for follower, stage in enumerate(self._route.stages):
            if number in stage.after:
                own = self._estimate_stage(follower)
                longest = max(longest, own + self._estimate_behind(follower))
        return longest or TARGET_MS

    def _estimate_stage(self, number: int) -> float:
        """Estimate the time that a stage itself will take, in milliseconds."""
        name = self._route.stages[number].service
        service = self._context.find_service(name)
        pieces = self._request.pieces[number : number + 1]
        if service is None or service.pieces is None or not any(pieces):
            return 0.0
        limits = service.pieces
        least = limits.call_ms + min(pieces[0], limits.batch) * limits.piece_ms
        return self._context.stage_times.estimate(
            name, self._priority, least, read_monotonic()
        )

    def estimate_ms(self) -> float:
        """Estimate the time until the first event, in milliseconds."""
        stages = range(len(self._route.stages))
        alone = [self._estimate_stage(x) + self._estimate_behind(x) for x in stages]
        return max(alone, default=TARGET_MS)

    async def release(self) -> None:
        """Give up what the stages made, once."""
        if self._run is None or self.is_released:
            return
        self.is_released = True
        await self._release(self._run.take_all())

    async def _release(self, releases: Sequence[PieceRelease]) -> None:
        for release in releases:
            await curio.spawn(self._context.piece_service.release, release, daemon=True)
