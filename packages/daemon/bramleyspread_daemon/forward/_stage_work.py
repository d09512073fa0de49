"""Runs the stages of one request before the request is sent to its target."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
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
    RefusedRequest,
    StageRun,
    estimate_reading_ms,
    find_preferred_engine,
    find_stage_goal_ms,
)

#: Share of the latency goal that a long prompt may take at most in estimates, so that
#: its request does not count as late before it has started.
MAX_TARGET_SHARE = 0.5
#: Factor by which the time to the first event may exceed its estimate, which is a mean,
#: before a request is late whose stages used all of their time.
TARGET_TIME_MARGIN = 1.5
#: Share of a result's lifetime during which stages may wait to use it.
RESULT_LIFETIME_SHARE = 0.9
#: Maximum time for which a stage without inputs may wait, in ms.
MAX_STAGE_WAIT_MS = 30_000.0


class StageWork:
    """Runs the stages of a request, and releases their results.

    ``run`` may be called again, for instance when results were lost. For a route
    without stages it finishes at once and there are no inputs.
    """

    def __init__(
        self,
        context: ForwardContext,
        request: ForwardRequest,
        route: ForwardRoute,
        priority: int,
        started_at: float,
        deadline: float,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._priority = priority
        self._started_at = started_at
        self._deadline = deadline
        self._run: StageRun | None = None
        self._runs = 0
        self._weights: Mapping[str, float] = {}
        self._fault_service = ""
        #: Whether the results were released.
        self.is_released = False
        #: Duration of the last run, in milliseconds.
        self.elapsed_ms = 0.0

    @property
    def first_event_remaining_ms(self) -> float:
        """Time left for the first event before the caller gives up, in milliseconds."""
        return (self._find_first_event_deadline() - read_monotonic()) * 1000

    def sum_input_mb(self) -> dict[str, float]:
        """Return the megabytes of the request's inputs, by zone."""
        return self._run.sum_input_mb() if self._run is not None else {}

    def list_services(self) -> tuple[str, ...]:
        """Return the services of the stages that have pieces for this request."""
        planned = zip(self._route.stages, self._request.pieces, strict=False)
        return tuple(stage.service for stage, pieces in planned if pieces)

    def list_inputs(self) -> tuple[str, ...] | None:
        """Return the handles of the request's inputs; None if there are no stages."""
        if self._run is None:
            return None
        return tuple(each.handle for each in self._run.inputs)

    def admit(self) -> RefusedRequest | None:
        """Decide by the load of later stages whether the request's stages may run.

        :returns: None if they may, otherwise the stage that is full.
        """
        admitted = self._context.piece_service.admission.decide(
            self._list_later_services(),
            self._priority,
            self._request.request_id,
            read_monotonic(),
        )
        if isinstance(admitted, RefusedRequest):
            self._log_refusal(admitted)
            return admitted
        self._weights = admitted.weights
        return None

    def _list_later_services(self) -> list[str]:
        """List the services of the stages that follow the first ones."""
        return [
            stage.service
            for number, stage in enumerate(self._route.stages)
            if stage.after and any(self._request.pieces[number : number + 1])
        ]

    def _log_refusal(self, refused: RefusedRequest) -> None:
        logger.bind(
            step="stage",
            peer="-",
            request=self._request.request_id,
            service=refused.service,
            priority=self._priority,
            share=round(refused.share, 2),
            wait_ms=round(refused.wait_ms),
            ends_in_ms=round(refused.ends_in_s * 1000),
        ).info("refused at arrival: stage full")

    def find_overload_end_s(self) -> float:
        """Find how long the overload is expected to go on that ended the last run."""
        admission = self._context.piece_service.admission
        return admission.find_end_s(self._fault_service, read_monotonic())

    async def run(self) -> PieceFault | None:
        """Run all stages from the start.

        :returns: None if all stages succeeded, otherwise the fault.
        """
        started_at = read_monotonic()
        self._runs += 1
        self.is_released = False
        self._run = run = StageRun(
            self._route.stages,
            self._request.pieces,
            self._request.piece_key,
        )
        try:
            while not run.is_done:
                fault = await self._run_ready_stages(run)
                if fault is not None:
                    return fault
                await self._release(run.release_unneeded())
        finally:
            self.elapsed_ms = (read_monotonic() - started_at) * 1000
        return None

    async def _run_ready_stages(self, stages: StageRun) -> PieceFault | None:
        """Run all stages whose inputs are available, concurrently."""
        ready = stages.start_ready_stages()
        tasks: list[tuple[int, Any]] = []
        try:
            for each in ready:
                task = await curio.spawn(self._run_stage, stages, each)
                tasks.append((each.number, task))
            for number, task in tasks:
                results: Sequence[PieceResult] = await task.join()
                stages.record_results(number, results)
                fault = next((x.fault for x in results if x.fault is not None), None)
                if fault is not None:
                    self._fault_service = self._route.stages[number].service
                    return fault
        finally:
            for _, task in tasks:
                await task.cancel(blocking=False)
        return None

    async def _run_stage(
        self, stages: StageRun, ready: ReadyStage
    ) -> Sequence[PieceResult]:
        number, service = ready.number, ready.service
        now = read_monotonic()
        downstream_ms = self._estimate_downstream_ms(number)
        zone, crossing_bytes = self._choose_zone(stages, number)
        goal_remaining_ms = (
            (self._started_at - now) * 1000 + self._route.aim_ms - downstream_ms
        )
        if self._context.piece_service.divides_fairly(service):
            goal_remaining_ms = find_stage_goal_ms(
                goal_remaining_ms,
                self._estimate_stage_ms(number),
                stages.count_stages_left(number),
            )
        remaining_ms = (self._find_first_event_deadline() - now) * 1000 - downstream_ms
        job = PieceJob(
            service=service,
            request=self._request.request_id,
            stage=ready.number,
            pieces=ready.pieces,
            key=ready.key,
            inputs=ready.inputs,
            remaining_ms=min(remaining_ms, self._find_input_lifetime_ms(number)),
            aim_ms=goal_remaining_ms,
            priority=self._priority,
            result_bytes=self._route.stages[number].result_bytes,
            zone=zone,
            crossing_bytes=crossing_bytes,
            is_begun=stages.has_results or self._runs > 1,
            weight=self._weights.get(service, 1.0),
        )
        self._context.signals.drains.record_choice(service, job.request)
        results = await self._context.piece_service.run_job(job)
        self._log_stage(job, results, now)
        if goal_remaining_ms > 0 and all(each.handle for each in results):
            finished_at = read_monotonic()
            elapsed_ms = (finished_at - now) * 1000
            self._context.stage_times.record(
                service, self._priority, elapsed_ms, finished_at
            )
        return results

    def _log_stage(
        self, job: PieceJob, results: Sequence[PieceResult], started_at: float
    ) -> None:
        fault = next((x.fault for x in results if x.fault is not None), None)
        logger.bind(
            step="stage",
            peer=self._context.piece_service.get_batching_host_name(job),
            request=job.request,
            service=job.service,
            stage=job.stage,
            pieces=job.pieces,
            aim_ms=round(job.aim_ms),
            left_ms=round(job.remaining_ms),
            zone=job.zone,
            outside=sum(each.zone != job.zone for each in results if each.handle),
            ms=round((read_monotonic() - started_at) * 1000),
        ).info(f"not made: {fault.value}" if fault is not None else "made")

    def _find_input_lifetime_ms(self, number: int) -> float:
        """Return how long a stage's inputs are certain to be kept, in ms."""
        lifetimes_ms = [MAX_STAGE_WAIT_MS]
        for before in self._route.stages[number].after:
            service = self._context.find_service(self._route.stages[before].service)
            if service is not None and service.pieces is not None:
                lifetimes_ms.append(
                    service.pieces.result_retention_s * 1000 * RESULT_LIFETIME_SHARE
                )
        return min(lifetimes_ms)

    def _choose_zone(self, stages: StageRun, number: int) -> tuple[str, int]:
        """Choose the zone where a stage's pieces should be processed.

        :returns: the zone, and the bytes that cross zones if the pieces are processed
            elsewhere. The zone is empty if any one will do for all pieces.
        """
        zone, input_bytes = stages.find_input_location(number)
        read_bytes = stages.find_read_bytes(number)
        if input_bytes >= read_bytes:
            return zone, round(input_bytes)
        zone = self._choose_request_zone() if stages.is_last(number) else ""
        return zone, round(read_bytes)

    def _choose_request_zone(self) -> str:
        """Choose the zone of the target that will probably get the request."""
        service = self._context.choose_service(self._route, self._request.request_id)
        home = find_preferred_engine(
            self._request.prompt, self._context.targets.list_usable(service)
        )
        return home.zone if home is not None else self._context.own.zone

    def _find_first_event_deadline(self) -> float:
        """Return when the caller gives up waiting for the first event, in seconds."""
        if not self._route.abandon_after_ms:
            return self._deadline
        return min(
            self._deadline, self._started_at + self._route.abandon_after_ms / 1000
        )

    def _estimate_downstream_ms(self, number: int) -> float:
        """Estimate the time from a stage's end to the first event, in milliseconds."""
        longest = 0.0
        for successor, stage in enumerate(self._route.stages):
            if number in stage.after:
                stage_ms = self._estimate_stage_ms(successor)
                longest = max(
                    longest, stage_ms + self._estimate_downstream_ms(successor)
                )
        return longest or self._estimate_target_ms()

    def _estimate_target_ms(self) -> float:
        """Estimate the time from the last stage to the first event, in ms."""
        service = self._context.choose_service(self._route, self._request.request_id)
        speed = self._context.placement.find_speed(service)
        target_ms = estimate_reading_ms(self._request.prompt, speed)
        if self._are_stages_divided_fairly():
            target_ms *= TARGET_TIME_MARGIN
        return min(target_ms, self._route.aim_ms * MAX_TARGET_SHARE)

    def _are_stages_divided_fairly(self) -> bool:
        return any(
            self._context.piece_service.divides_fairly(each.service)
            for each in self._route.stages
        )

    def _estimate_stage_ms(self, number: int) -> float:
        """Estimate the duration of a stage, in milliseconds."""
        name = self._route.stages[number].service
        service = self._context.find_service(name)
        pieces = self._request.pieces[number : number + 1]
        if service is None or service.pieces is None or not any(pieces):
            return 0.0
        limits = service.pieces
        min_ms = limits.call_ms + min(pieces[0], limits.batch) * limits.piece_ms
        return self._context.stage_times.estimate(
            name, self._priority, min_ms, read_monotonic()
        )

    def estimate_first_event_ms(self) -> float:
        """Estimate the time from the first stage to the first event, in ms."""
        stages = range(len(self._route.stages))
        estimates_ms = [
            self._estimate_stage_ms(x) + self._estimate_downstream_ms(x) for x in stages
        ]
        return max(estimates_ms, default=self._estimate_target_ms())

    async def release(self) -> None:
        """Release the results of the last run, unless they are released already."""
        if self._run is None or self.is_released:
            return
        self.is_released = True
        await self._release(self._run.release_all())

    async def _release(self, releases: Sequence[PieceRelease]) -> None:
        for release in releases:
            await curio.spawn(
                self._context.piece_service.releases.release, release, daemon=True
            )
