"""Makes the pieces of stages: here, or at the host that batches for the service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

import curio
import msgspec
from loguru import logger

from bramleyspread_core import (
    MessageError,
    PieceLimits,
    decode_json,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import write_refusal
from bramleyspread_daemon.forward._batching_hosts import BatchingHosts
from bramleyspread_daemon.forward._piece_calls import (
    Answer,
    OutcomeUnknown,
    PieceCalls,
)
from bramleyspread_daemon.forward._wire import PiecesTurnedAway
from bramleyspread_forwarding import (
    BatchedCall,
    Batcher,
    EntryHost,
    ForwardTarget,
    JobDone,
    PieceFault,
    PieceJob,
    PieceRelease,
    PieceResult,
    PieceResults,
)

#: Hosts that are asked for one job, one after the other, before it is made here.
MOST_OWNERS = 3
#: Pause before the host that batches by now is asked, in seconds.
MOVED_S = 0.02
#: How often waiting jobs are looked through, in seconds.
TICK_S = 0.05


class _Job:
    """A job that somebody waits for."""

    __slots__ = ("ended", "results")

    def __init__(self) -> None:
        self.ended = curio.Event()
        self.results: tuple[PieceResult, ...] = ()


class ServiceView:
    """What the piece service asks about services and hosts."""

    def __init__(
        self,
        list_targets: Callable[[str], Sequence[ForwardTarget]],
        find_limits: Callable[[str], PieceLimits | None],
        list_hosts: Callable[[], Sequence[EntryHost]],
    ) -> None:
        #: Lists the targets of a service that take work.
        self.list_targets = list_targets
        #: Finds how the targets of a service work on pieces.
        self.find_limits = find_limits
        #: Lists the entry hosts that are there, this one included.
        self.list_hosts = list_hosts


class PieceService:
    """Pieces for this host's requests, and for those of other hosts."""

    def __init__(
        self,
        host: str,
        view: ServiceView,
        targets: PieceCalls,
        peers: ConnectionPool,
    ) -> None:
        self._view = view
        self._targets = targets
        self._batchers: dict[str, Batcher] = {}
        self._jobs: dict[tuple[str, int], _Job] = {}
        self._hosts = BatchingHosts(host, view.list_hosts, peers)
        #: Calls made to targets.
        self.calls = 0
        #: Pieces in them.
        self.pieces = 0

    async def make(self, job: PieceJob) -> tuple[PieceResult, ...]:
        """Have all pieces of a job made.

        :param job: the job.
        :returns: the results, in the order of its pieces.
        """
        results = await self._make_anywhere(job)
        limits = self._view.find_limits(job.service)
        if limits is not None:
            self._hosts.keep(job, results, limits.kept_s)
        return results

    async def _make_anywhere(self, job: PieceJob) -> tuple[PieceResult, ...]:
        begun = read_monotonic()
        for _ in range(MOST_OWNERS):
            owner = self._hosts.find_other(job.service)
            if owner is None:
                break
            results = await self._hosts.ask(owner, _shorten(job, begun))
            if results is None:
                continue
            if not _is_moved(results):
                return results
            await curio.sleep(MOVED_S)
        stays = self._hosts.find_other(job.service) is not None
        job = self._hosts.add_held(job, None)
        results = await self._make_here(_shorten(job, begun), stays=stays)
        if _is_moved(results):
            return await self._make_here(_shorten(job, begun), stays=True)
        return results

    async def serve(self, http: HttpRequest, reply: Reply) -> None:
        """Answer another host's question for pieces."""
        try:
            job: PieceJob = decode_json(http.body, PieceJob)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        task = await curio.spawn(self._serve_job, job, reply, daemon=True)

        async def leave() -> None:
            await task.cancel(blocking=False)

        reply.on_left = leave

    async def _serve_job(self, job: PieceJob, reply: Reply) -> None:
        reply.send_json(PieceResults(await self._make_here(job)))

    async def _make_here(
        self, job: PieceJob, *, stays: bool = False
    ) -> tuple[PieceResult, ...]:
        limits = self._view.find_limits(job.service)
        if limits is None:
            return _fail_all(job, PieceFault.ERROR)
        batcher = self._batchers.setdefault(job.service, Batcher())
        targets = len(self._view.list_targets(job.service))
        now = read_monotonic()
        batcher.learn_held(job.held, now)
        number = batcher.add(job, limits, targets, now, stays=stays)
        if isinstance(number, PieceFault):
            self._log_job(job, number, now)
            return _fail_all(job, number)
        waiting = self._jobs[job.service, number] = _Job()
        try:
            await self._pump(job.service)
            await waiting.ended.wait()
            fault = next((x.fault for x in waiting.results if x.fault), None)
            if fault is not None:
                self._log_job(job, fault, now)
            return waiting.results
        finally:
            batcher.jobs.cancel(number)
            self._jobs.pop((job.service, number), None)
            await self._give_up_unwanted(job.service)

    def _log_job(self, job: PieceJob, fault: PieceFault, begun: float) -> None:
        """Log why a job has no results, and what stood in its way."""
        batcher = self._batchers[job.service]
        logger.bind(
            step="job",
            peer="-",
            request=job.items[0].request if job.items else "",
            service=job.service,
            pieces=len(job.items),
            priority=job.priority,
            aim_ms=round(job.aim_ms),
            waited_ms=round((read_monotonic() - begun) * 1000),
            waiting=batcher.jobs.waiting_pieces,
            running=batcher.calls_running,
            targets=len(self._view.list_targets(job.service)),
        ).warning(f"given up: {fault.value}")

    def name_batching_host(self, service: str) -> str:
        """Name the host that batches for a service, this one included."""
        return self._hosts.name(service)

    async def _pump(self, service: str) -> None:
        limits = self._view.find_limits(service)
        if limits is None:
            return
        batcher = self._batchers[service]
        targets = self._view.list_targets(service)
        for call in batcher.dispatch(targets, limits, read_monotonic()):
            self.calls += 1
            self.pieces += len(call.items)
            await curio.spawn(self._run_call, service, call, daemon=True)

    async def _run_call(self, service: str, call: BatchedCall) -> None:
        batcher = self._batchers[service]
        begun = read_monotonic()
        answer = await self._targets.make(call)
        now = read_monotonic()
        if isinstance(answer, OutcomeUnknown):
            self._log_failure(call, answer.why)
            done = batcher.fail(call.call, now)
        elif isinstance(answer, PiecesTurnedAway):
            self._log_failure(call, answer.why)
            done = batcher.fail(call.call, now, counts=False)
        else:
            done = batcher.finish(call.call, answer, now)
        logger.bind(
            step="batch",
            peer=call.target.target,
            service=service,
            pieces=len(call.items),
            requests=len({each.item.request for each in call.items}),
            waiting=batcher.jobs.waiting_pieces,
            running=batcher.calls_running,
            ms=round((now - begun) * 1000),
            kept_bytes=batcher.count_kept_bytes(call.target.target),
            faults=_count_faults(answer),
        ).info("called")
        await self._end(service, done)
        await self._give_up_unwanted(service)
        await self._pump(service)

    def _log_failure(self, call: BatchedCall, why: str) -> None:
        peer = call.target.target
        logger.bind(step="batch", peer=peer).warning(
            f"{len(call.items)} pieces not made: {why}"
        )

    async def _end(self, service: str, done: Sequence[JobDone]) -> None:
        for each in done:
            waiting = self._jobs.get((service, each.job))
            if waiting is not None:
                waiting.results = each.results
                await waiting.ended.set()

    async def tick(self) -> None:
        """Give up what is late, and try what was passed over."""
        for service, batcher in tuple(self._batchers.items()):
            now = read_monotonic()
            limits = self._view.find_limits(service)
            if limits is None:
                await self._end(service, batcher.jobs.expire(now))
            else:
                await self._end(service, batcher.give_up(limits, now))
            if not self._hosts.may_keep(service):
                await self._end(service, batcher.jobs.hand_over())
            if batcher.jobs.waiting_pieces:
                await self._pump(service)

    def count_kept_bytes(self, service: str, target: str) -> int:
        """Count the bytes of results that lie at a target, as far as is known here."""
        batcher = self._batchers.get(service)
        return batcher.count_kept_bytes(target) if batcher is not None else 0

    async def _give_up_unwanted(self, service: str) -> None:
        unwanted = self._batchers[service].jobs.take_unwanted()
        if unwanted:
            release = PieceRelease(service, unwanted)
            await curio.spawn(self._release_here, release, daemon=True)

    async def release(self, release: PieceRelease) -> None:
        """Give results up, through the host that batches for their service.

        :param release: the results.
        """
        self._hosts.forget(release.service, release.handles)
        if not await self._hosts.pass_release(release):
            await self._release_here(release)

    async def serve_release(self, http: HttpRequest, reply: Reply) -> None:
        """Take another host's word that results are needed no more."""
        try:
            release: PieceRelease = decode_json(http.body, PieceRelease)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        reply.send(204, b"")
        await curio.spawn(self._release_here, release, daemon=True)

    async def _release_here(self, release: PieceRelease) -> None:
        await self._targets.release(release.handles)
        batcher = self._batchers.get(release.service)
        if batcher is not None:
            batcher.release(release.handles)
            await self._pump(release.service)


def _count_faults(answer: Answer) -> dict[str, int]:
    """Count the pieces that were not made, by reason."""
    if not isinstance(answer, tuple):
        return {}
    return dict(Counter(each.fault.value for each in answer if each.fault))


def _is_moved(results: Sequence[PieceResult]) -> bool:
    """Whether another host batches for the service by now."""
    return any(each.fault is PieceFault.MOVED for each in results)


def _shorten(job: PieceJob, begun: float) -> PieceJob:
    """Take the time that has passed since a job began off what is left for it."""
    spent = (read_monotonic() - begun) * 1000
    return msgspec.structs.replace(
        job, remaining_ms=job.remaining_ms - spent, aim_ms=job.aim_ms - spent
    )


def _fail_all(job: PieceJob, fault: PieceFault) -> tuple[PieceResult, ...]:
    return tuple(PieceResult(fault=fault) for _ in job.items)
