"""Computes stage pieces: locally, or at the batching host of a shard of the service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

import curio
import msgspec
from loguru import logger

from bramleyspread_core import MessageError, decode_json
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon.forward._batching_hosts import BatchingHosts
from bramleyspread_daemon.forward._overflow_report import OverflowReport
from bramleyspread_daemon.forward._piece_calls import (
    CallOutcome,
    OutcomeUnknown,
    PieceCalls,
)
from bramleyspread_daemon.forward._result_releases import ResultReleases
from bramleyspread_daemon.forward._service_directory import ServiceDirectory
from bramleyspread_daemon.forward._wire import PiecesRejected
from bramleyspread_forwarding import (
    NO_LOAD,
    BatchedCall,
    Batcher,
    ForwardTarget,
    JobDone,
    NotSent,
    PieceFault,
    PieceJob,
    PieceRelease,
    PieceResult,
    PieceResults,
    ShardId,
    StageAdmission,
    StageLoad,
    TargetAccess,
    TargetLoad,
    choose_shard,
    estimate_call_ms,
    find_call_lead_s,
)

#: Maximum number of batching hosts asked for a job, one after another, before it is
#: run locally.
MAX_HOSTS_TRIED = 3
#: Delay before a job is sent to the new batching host of its shard, after the old
#: one refused it, in seconds.
MOVED_RETRY_DELAY_S = 0.02
#: Minimum number of a service's targets with which its capacity is divided in shares.
#: With fewer, one call is so large a part of it that shares of a second mean little.
MIN_FAIR_TARGETS = 5
#: Margin by which a timer must not fire too early, in seconds.
TIMER_MARGIN_S = 0.001
#: Interval at which waiting jobs are checked, in seconds.
TICK_INTERVAL_S = 0.05


class _PendingJob:
    """A job whose results a task is waiting for."""

    __slots__ = ("finished", "results")

    def __init__(self) -> None:
        self.finished = curio.Event()
        self.results: tuple[PieceResult, ...] = ()


class PieceService:
    """Computes pieces for the requests of this host and of other entry hosts."""

    def __init__(
        self,
        host: str,
        directory: ServiceDirectory,
        targets: PieceCalls,
        peers: ConnectionPool,
        access: TargetAccess,
        *,
        is_fair: bool = False,
        is_planned: bool = False,
    ) -> None:
        #: Whether each priority gets its share in overload.
        self.is_fair = is_fair
        self._is_planned = is_planned
        #: What a plan sends to other zones.
        self.overflow = OverflowReport()
        self._directory = directory
        self._access = access
        self._targets = targets
        targets.on_load = self._record_target_load
        self._batchers: dict[ShardId, Batcher] = {}
        self._jobs: dict[tuple[ShardId, int], _PendingJob] = {}
        self._hosts = BatchingHosts(
            host, directory.list_hosts, peers, self._record_load
        )
        #: Admits requests by the load of later stages.
        self.admission = StageAdmission()
        #: Releases results at the targets that store them.
        self.releases = ResultReleases(
            directory, targets, self._hosts, self._handle_released
        )
        #: Number of batched calls sent to targets that have ended.
        self.calls = 0
        #: Number of pieces in those calls.
        self.pieces = 0

    def divides_fairly(self, service: str) -> bool:
        """Whether each priority gets its share of a service's capacity in overload."""
        targets = self._directory.list_targets(service)
        return self.is_fair and len(targets) >= MIN_FAIR_TARGETS

    def _record_load(self, shard: ShardId, load: StageLoad) -> None:
        if self.is_fair:
            self.admission.record(shard, load, read_monotonic())

    async def run_job(self, job: PieceJob) -> tuple[PieceResult, ...]:
        """Compute all pieces of a job.

        :param job: the job.
        :returns: the results, in the order of the job's pieces.
        """
        if self._directory.is_all_drained(job.service):
            return _fail_all(job, PieceFault.SHED)
        results = await self._run_with_fallback(job)
        limits = self._directory.find_limits(job.service)
        if limits is not None:
            self._hosts.record_results(job, results, limits.result_retention_s)
        return results

    async def _run_with_fallback(self, job: PieceJob) -> tuple[PieceResult, ...]:
        """Run a job at its shard's batching host.

        This host runs it if it is the batching host, or if no batching host answers.
        """
        started_at = read_monotonic()
        for _ in range(MAX_HOSTS_TRIED):
            job, shard, target_ids = self._assign_shard(job)
            batching_host = self._hosts.find_remote_owner(shard)
            if batching_host is None:
                break
            results = await self._hosts.request_results(
                batching_host, _deduct_elapsed(job, started_at), target_ids
            )
            if results is None:
                continue
            if not _has_moved(results):
                return results
            await curio.sleep(MOVED_RETRY_DELAY_S)
        job, shard, target_ids = self._assign_shard(job)
        is_local = self._hosts.find_remote_owner(shard) is not None
        job = self._hosts.add_held(job, None, target_ids)
        results = await self._run_locally(
            _deduct_elapsed(job, started_at), is_local=is_local
        )
        if _has_moved(results):
            job, _, _ = self._assign_shard(job)
            return await self._run_locally(
                _deduct_elapsed(job, started_at), is_local=True
            )
        return results

    def _assign_shard(self, job: PieceJob) -> tuple[PieceJob, ShardId, frozenset[str]]:
        """Choose a job's shard; return the job, the shard and ids of its targets."""
        shards = self._directory.list_shards(job.service)
        number = choose_shard(job, shards)
        target_ids = frozenset(each.target for each in shards[number])
        job = msgspec.structs.replace(job, shard=number)
        return job, ShardId(job.service, number), target_ids

    async def serve(self, http: HttpRequest, reply: Reply) -> None:
        """Handle another entry host's request to compute pieces."""
        try:
            job: PieceJob = decode_json(http.body, PieceJob)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        task = await curio.spawn(self._serve_job, job, reply, daemon=True)

        async def cancel_task() -> None:
            await task.cancel(blocking=False)

        reply.on_disconnect = cancel_task

    async def _serve_job(self, job: PieceJob, reply: Reply) -> None:
        shard = ShardId(job.service, job.shard)
        is_local = self._hosts.is_stand_in(shard, job.unreachable)
        results = await self._run_locally(job, is_local=is_local)
        batcher = self._batchers.get(shard)
        load = batcher.load if batcher is not None else NO_LOAD
        reply.send_json(PieceResults.pack(results, load))

    async def _run_locally(
        self, job: PieceJob, *, is_local: bool = False
    ) -> tuple[PieceResult, ...]:
        limits = self._directory.find_limits(job.service)
        if limits is None:
            return _fail_all(job, PieceFault.ERROR)
        shard = ShardId(job.service, job.shard)
        if not self._is_in_use(shard):
            return _fail_all(job, PieceFault.MOVED)
        batcher = self._batchers.get(shard)
        if batcher is None:
            batcher = Batcher(
                self._access,
                is_fair=self.divides_fairly(shard.service),
                is_planned=self._is_planned,
            )
            self._batchers[shard] = batcher
        now = read_monotonic()
        targets = self._access.count_capacity(
            self._directory.list_shard_targets(shard),
            self._hosts.find_rate_share(shard),
            estimate_call_ms(limits.batch, limits) / 1000,
            now,
        )
        batcher.add_held_results(job.held, now)
        number = batcher.add(job, limits, targets, now, is_local=is_local)
        if isinstance(number, PieceFault):
            self._log_failed_job(job, number, now)
            self._record_load(shard, batcher.load)
            return _fail_all(job, number)
        pending = self._jobs[shard, number] = _PendingJob()
        try:
            await self._dispatch(shard)
            await pending.finished.wait()
            fault = next((x.fault for x in pending.results if x.fault), None)
            if fault is not None:
                self._log_failed_job(job, fault, now)
            return pending.results
        finally:
            batcher.jobs.cancel(number)
            self._jobs.pop((shard, number), None)
            self._record_load(shard, batcher.load)
            await self._release_unwanted(shard)

    def _log_failed_job(
        self, job: PieceJob, fault: PieceFault, started_at: float
    ) -> None:
        """Log why a job failed, together with the load at that time."""
        shard = ShardId(job.service, job.shard)
        batcher = self._batchers[shard]
        logger.bind(
            step="job",
            peer="-",
            request=job.request,
            service=job.service,
            shard=job.shard,
            pieces=job.pieces,
            priority=job.priority,
            aim_ms=round(job.aim_ms),
            waited_ms=round((read_monotonic() - started_at) * 1000),
            waiting=batcher.jobs.waiting_pieces,
            running=batcher.calls_in_flight,
            targets=len(self._directory.list_shard_targets(shard)),
        ).warning(f"given up: {fault.value}")

    def get_batching_host_name(self, job: PieceJob) -> str:
        """Return the name of the batching host of a job, which may be this host."""
        shards = self._directory.list_shards(job.service)
        shard = ShardId(job.service, choose_shard(job, shards))
        return self._hosts.get_batching_host_name(shard)

    async def _dispatch(self, shard: ShardId) -> None:
        limits = self._directory.find_limits(shard.service)
        if limits is None or self._directory.must_wait():
            return
        batcher = self._batchers[shard]
        targets = self._directory.list_shard_targets(shard)
        lead_s = find_call_lead_s(limits, self._directory.link_mbps)
        if self._access.are_any_brittle(targets):
            # A call that comes before the one before it has ended has to wait.
            lead_s = 0.0
        share = self._hosts.find_rate_share(shard)
        now = read_monotonic()
        for call in batcher.dispatch(targets, limits, now, lead_s, share):
            await curio.spawn(self._run_call, shard, call, daemon=True)
            if lead_s:
                delay_s = call.expected_ms / 1000 - lead_s
                await curio.spawn(self._dispatch_later, shard, delay_s, daemon=True)

    async def _dispatch_later(self, shard: ShardId, delay_s: float) -> None:
        """Dispatch when a call is about to end, so that the next one is not late."""
        await curio.sleep(max(delay_s, 0.0) + TIMER_MARGIN_S)
        await self._dispatch(shard)

    async def _run_call(self, shard: ShardId, call: BatchedCall) -> None:
        batcher = self._batchers[shard]
        started_at = read_monotonic()
        answer = await self._targets.send(call)
        now = read_monotonic()
        if isinstance(answer, NotSent):
            await self._withdraw(shard, call, answer)
            return
        self.calls += 1
        self.pieces += len(call.items)
        if isinstance(answer, OutcomeUnknown):
            self._log_failure(call, answer.why)
            done = batcher.fail(call.call, now)
        elif isinstance(answer, PiecesRejected):
            self._log_failure(call, answer.why)
            done = batcher.fail(call.call, now, may_have_run=False)
        else:
            done = batcher.finish(call.call, answer, now)
        logger.bind(
            step="batch",
            peer=call.target.target,
            service=shard.service,
            shard=shard.number,
            pieces=len(call.items),
            requests=len({each.item.request for each in call.items}),
            waiting=batcher.jobs.waiting_pieces,
            running=batcher.calls_in_flight,
            ms=round((now - started_at) * 1000),
            expected_ms=round(call.expected_ms),
            kept_bytes=batcher.count_stored_bytes(call.target.target),
            faults=_count_faults(answer),
        ).info("called")
        await self._finish_jobs(shard, done)
        await self._release_unwanted(shard)
        await self._dispatch(shard)

    def _record_target_load(self, target: ForwardTarget, load: TargetLoad) -> None:
        """Pass on the load of a target to the batchers that send it calls."""
        now = read_monotonic()
        for batcher in self._batchers.values():
            if batcher.has_call_in_flight(target.target):
                batcher.record_load(target.target, load, now)

    async def _withdraw(
        self, shard: ShardId, call: BatchedCall, answer: NotSent
    ) -> None:
        """Queue the pieces of a call that was not sent again."""
        batcher = self._batchers[shard]
        batcher.withdraw(call.call, read_monotonic())
        logger.bind(
            step="batch",
            peer=call.target.target,
            service=shard.service,
            shard=shard.number,
            pieces=len(call.items),
            zone=call.target.zone,
        ).info(f"not sent: {answer.why}")
        await self._dispatch(shard)

    def _log_failure(self, call: BatchedCall, why: str) -> None:
        peer = call.target.target
        logger.bind(step="batch", peer=peer).warning(
            f"{len(call.items)} pieces not computed: {why}"
        )

    async def _finish_jobs(self, shard: ShardId, done: Sequence[JobDone]) -> None:
        for each in done:
            pending = self._jobs.get((shard, each.job))
            if pending is not None:
                pending.results = each.results
                await pending.finished.set()

    async def tick(self) -> None:
        """Expire late jobs, and dispatch waiting pieces.

        If this host is no longer the batching host of a shard, other hosts' jobs that
        have not started fail with ``PieceFault.MOVED``.
        """
        if self._hosts.check_suspension():
            self._access.restart()
        for shard, batcher in tuple(self._batchers.items()):
            now = read_monotonic()
            limits = self._directory.find_limits(shard.service)
            if limits is None:
                await self._finish_jobs(shard, batcher.jobs.expire(now))
            else:
                await self._finish_jobs(shard, batcher.expire_and_shed(limits, now))
            if self._directory.is_all_drained(shard.service):
                await self._finish_jobs(shard, batcher.jobs.fail_waiting())
            if not self._may_run_received_jobs(shard):
                await self._finish_jobs(shard, batcher.jobs.fail_unstarted())
            if batcher.jobs.waiting_pieces:
                await self._dispatch(shard)
            if batcher.overflow is not None:
                self.overflow.update(shard, batcher.overflow.list_shares(now), now)
        await self.releases.tick()

    def follow_owners(self, service: str) -> None:
        """Note since when this host has owned shards of a service, if it does."""
        if self._directory.find_limits(service) is not None:
            for number in range(len(self._directory.list_shards(service))):
                self._hosts.find_rate_share(ShardId(service, number))

    def _may_run_received_jobs(self, shard: ShardId) -> bool:
        return self._is_in_use(shard) and self._hosts.may_run_received_jobs(shard)

    def _is_in_use(self, shard: ShardId) -> bool:
        return shard.number < len(self._directory.list_shards(shard.service))

    def count_stored_bytes(self, service: str, target: str) -> int:
        """Return the bytes of results stored at a target, as far as this host knows."""
        return sum(
            batcher.count_stored_bytes(target)
            for shard, batcher in self._batchers.items()
            if shard.service == service
        )

    def is_in_backoff(self, service: str, target: str) -> bool:
        """Return whether a target gets no calls from this host, since it failed."""
        now = read_monotonic()
        return any(
            batcher.is_in_backoff(target, now)
            for shard, batcher in self._batchers.items()
            if shard.service == service
        )

    async def _release_unwanted(self, shard: ShardId) -> None:
        unwanted = self._batchers[shard].jobs.take_unwanted_handles()
        if unwanted:
            release = PieceRelease(shard.service, unwanted, shard.number)
            await curio.spawn(self.releases.release_locally, release, daemon=True)

    async def _handle_released(self, shard: ShardId, handles: Collection[str]) -> None:
        """Use the storage that released results occupied."""
        batcher = self._batchers.get(shard)
        if batcher is not None:
            batcher.release(handles)
            await self._dispatch(shard)


def _count_faults(answer: CallOutcome) -> dict[str, int]:
    """Count the pieces that failed, by fault."""
    if not isinstance(answer, tuple):
        return {}
    return dict(Counter(each.fault.value for each in answer if each.fault))


def _has_moved(results: Sequence[PieceResult]) -> bool:
    """Return whether another host has become the service's batching host."""
    return any(each.fault is PieceFault.MOVED for each in results)


def _deduct_elapsed(job: PieceJob, started_at: float) -> PieceJob:
    """Subtract the time elapsed since a job started from its remaining times."""
    elapsed_ms = (read_monotonic() - started_at) * 1000
    return msgspec.structs.replace(
        job, remaining_ms=job.remaining_ms - elapsed_ms, aim_ms=job.aim_ms - elapsed_ms
    )


def _fail_all(job: PieceJob, fault: PieceFault) -> tuple[PieceResult, ...]:
    return tuple(PieceResult(fault=fault) for _ in range(job.pieces))
