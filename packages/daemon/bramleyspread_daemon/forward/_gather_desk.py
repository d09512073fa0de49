"""Makes the pieces of stages: here, or at the host that gathers for the service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

import curio
import h11
import msgspec
from loguru import logger

from bramleyspread_core import (
    Address,
    MessageError,
    PieceLimits,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ClosedError, Response, UnsentError, fetch
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import write_refusal
from bramleyspread_daemon.forward._upstream import UpstreamPool
from bramleyspread_daemon.forward._wire import PiecesTurnedAway, TargetWire, WireCall
from bramleyspread_forwarding import (
    EntryHost,
    ForwardTarget,
    GatheredCall,
    Gatherer,
    JobDone,
    PieceFault,
    PieceJob,
    PieceRelease,
    PieceResult,
    PieceResults,
    find_gatherer,
)

#: Where entry hosts ask each other for pieces.
PIECES_PATH = "/v1/pieces"
#: Most time for reaching another entry host, in seconds.
REACH_S = 0.25
#: Hosts that are asked for one job, one after the other, before it is made here.
MOST_OWNERS = 3
#: Pause before the host that gathers by now is asked, in seconds.
MOVED_S = 0.02
#: How long a host gathers on after others seem to ask another one, in seconds.
HAND_OVER_S = 0.3
#: How long a host that didn't answer isn't asked, in seconds.
AVOIDED_S = 1.5
#: How often waiting jobs are looked through, in seconds.
TICK_S = 0.05
#: Time for the answer behind a job's own time, in milliseconds.
ANSWER_MS = 120.0
#: Where entry hosts tell each other that results are needed no more.
RELEASE_PATH = "/v1/pieces-release"
#: Most time for giving results up, in seconds.
RELEASE_S = 1.0


#: Results, that there are none, or why nobody knows.
Answer = tuple[PieceResult, ...] | PiecesTurnedAway | str


class _Job:
    """A job that somebody waits for."""

    __slots__ = ("ended", "results")

    def __init__(self) -> None:
        self.ended = curio.Event()
        self.results: tuple[PieceResult, ...] = ()


class ServiceView:
    """What the desk asks about services and hosts."""

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


class GatherDesk:
    """Pieces for this host's requests, and for those of other hosts."""

    def __init__(
        self,
        host: str,
        view: ServiceView,
        wire: TargetWire,
        peers: ConnectionPool,
        targets: UpstreamPool,
    ) -> None:
        self._host = host
        self._view = view
        self._wire = wire
        self._peers = peers
        self._targets = targets
        self._gatherers: dict[str, Gatherer] = {}
        self._jobs: dict[tuple[str, int], _Job] = {}
        self._avoided: dict[str, float] = {}
        self._owned_at: dict[str, float] = {}
        #: Calls made to targets.
        self.calls = 0
        #: Pieces in them.
        self.pieces = 0

    async def make(self, job: PieceJob) -> tuple[PieceResult, ...]:
        """Have all pieces of a job made.

        :param job: the job.
        :returns: the results, in the order of its pieces.
        """
        begun = read_monotonic()
        for _ in range(MOST_OWNERS):
            owner = self._find_owner(job.service, read_monotonic())
            if owner is None or owner.host == self._host:
                break
            results = await self._ask(owner, _shorten(job, begun))
            if results is not None and not _is_moved(results):
                return results
            if results is not None:
                await curio.sleep(MOVED_S)
                continue
            self._avoided[owner.host] = read_monotonic() + AVOIDED_S
            logger.bind(step="gather", peer=owner.host).warning("no answer")
        owner = self._find_owner(job.service, read_monotonic())
        stays = owner is None or owner.host != self._host
        results = await self._make_here(_shorten(job, begun), stays=stays)
        if _is_moved(results):
            return await self._make_here(_shorten(job, begun), stays=True)
        return results

    def _find_owner(self, service: str, now: float) -> EntryHost | None:
        hosts = [
            each
            for each in self._view.list_hosts()
            if self._avoided.get(each.host, 0.0) <= now
        ]
        return find_gatherer(service, hosts)

    def _is_owner(self, service: str, now: float) -> bool:
        """Whether this host gathers for a service, or did until a moment ago."""
        owner = self._find_owner(service, now)
        if owner is None or owner.host == self._host:
            self._owned_at[service] = now
        return now - self._owned_at.get(service, now) < HAND_OVER_S

    async def _ask(
        self, owner: EntryHost, job: PieceJob
    ) -> tuple[PieceResult, ...] | None:
        body = encode_json(job)
        try:
            response = await self._ask_once(owner.address, body, job.remaining_ms)
            if response.status != 200:
                return None
            answer: PieceResults = decode_json(response.body, PieceResults)
        except (UnsentError, ClosedError, MessageError, h11.ProtocolError):
            return None
        fits = len(answer.results) == len(job.items)
        return answer.results if fits else None

    async def _ask_once(
        self, address: Address, body: bytes, remaining_ms: float
    ) -> Response:
        connection = await self._peers.take(address, timeout=REACH_S)
        whole = False
        try:
            response: Response = await curio.timeout_after(
                (max(remaining_ms, 0.0) + ANSWER_MS) / 1000,
                fetch,
                connection,
                "POST",
                PIECES_PATH,
                body,
            )
            whole = True
        except curio.TaskTimeout:
            raise ClosedError("no answer in time") from None
        finally:
            if whole:
                await self._peers.give_back(connection)
            else:
                await connection.close()
        return response

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
        gatherer = self._gatherers.setdefault(job.service, Gatherer())
        targets = len(self._view.list_targets(job.service))
        now = read_monotonic()
        number = gatherer.add(job, limits, targets, now, stays=stays)
        if isinstance(number, PieceFault):
            return _fail_all(job, number)
        waiting = self._jobs[job.service, number] = _Job()
        try:
            await self._pump(job.service)
            await waiting.ended.wait()
            return waiting.results
        finally:
            gatherer.cancel(number)
            self._jobs.pop((job.service, number), None)
            await self._give_up_unwanted(job.service)

    async def _pump(self, service: str) -> None:
        limits = self._view.find_limits(service)
        if limits is None:
            return
        gatherer = self._gatherers[service]
        targets = self._view.list_targets(service)
        for call in gatherer.dispatch(targets, limits, read_monotonic()):
            self.calls += 1
            self.pieces += len(call.items)
            await curio.spawn(self._run_call, service, call, daemon=True)

    async def _run_call(self, service: str, call: GatheredCall) -> None:
        gatherer = self._gatherers[service]
        begun = read_monotonic()
        try:
            answer: Answer = await self._call(call)
        except UnsentError as error:
            answer = PiecesTurnedAway(str(error))
        except (ClosedError, MessageError) as error:
            answer = str(error)
        now = read_monotonic()
        if isinstance(answer, str):
            self._log_failure(call, answer)
            done = gatherer.fail(call.call, now)
        elif isinstance(answer, PiecesTurnedAway):
            self._log_failure(call, answer.why)
            done = gatherer.fail(call.call, now, counts=False)
        else:
            done = gatherer.finish(call.call, answer, now)
        logger.bind(
            step="gather",
            peer=call.target.target,
            service=service,
            pieces=len(call.items),
            requests=len({each.item.request for each in call.items}),
            waiting=gatherer.waiting_pieces,
            running=gatherer.calls_running,
            ms=round((now - begun) * 1000),
            kept_bytes=gatherer.count_kept_bytes(call.target.target),
            faults=_count_faults(answer),
        ).info("called")
        await self._end(service, done)
        await self._give_up_unwanted(service)
        await self._pump(service)

    async def _call(
        self, call: GatheredCall
    ) -> tuple[PieceResult, ...] | PiecesTurnedAway:
        written = self._wire.write_pieces(call)
        limit = max(call.timeout_ms, 1.0) / 1000
        try:
            status, body = await curio.timeout_after(
                limit, self._post, call.target.address, written
            )
        except curio.TaskTimeout:
            await self._targets.drop(call.target.address)
            raise ClosedError(f"no answer within {limit:.3f} s") from None
        return self._wire.read_pieces(call, status, body)

    async def _post(self, address: Address, call: WireCall) -> tuple[int, bytes]:
        connection = await self._targets.take(address, REACH_S)
        whole = False
        keep_s: float | None = None
        try:
            headers = [
                (b"Host", str(address).encode()),
                *call.headers,
                (b"Content-Length", str(len(call.body)).encode()),
            ]
            await connection.send("POST", call.path, headers, call.body)
            head = await connection.read_head()
            keep_s = self._wire.read_head(head.status_code, head.headers).keep_s
            body = await connection.read_body()
            whole = True
        finally:
            if whole:
                await self._targets.give_back(connection, keep_s)
            else:
                await connection.close()
        return head.status_code, body

    def _log_failure(self, call: GatheredCall, why: str) -> None:
        peer = call.target.target
        logger.bind(step="gather", peer=peer).warning(
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
        for service, gatherer in tuple(self._gatherers.items()):
            now = read_monotonic()
            await self._end(service, gatherer.expire(now))
            if not self._is_owner(service, now):
                await self._end(service, gatherer.hand_over())
            if gatherer.waiting_pieces:
                await self._pump(service)

    async def _give_up_unwanted(self, service: str) -> None:
        unwanted = self._gatherers[service].take_unwanted()
        if unwanted:
            release = PieceRelease(service, unwanted)
            await curio.spawn(self._release_here, release, daemon=True)

    async def release(self, release: PieceRelease) -> None:
        """Give results up, through the host that gathers for their service.

        :param release: the results.
        """
        owner = self._find_owner(release.service, read_monotonic())
        if owner is None or owner.host == self._host:
            await self._release_here(release)
            return
        try:
            body = encode_json(release)
            await self._peers.ask(owner.address, RELEASE_PATH, body, RELEASE_S)
        except (UnsentError, ClosedError):
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
        by_maker: dict[str, list[str]] = {}
        for handle in release.handles:
            by_maker.setdefault(self._wire.find_maker(handle), []).append(handle)
        for maker, theirs in by_maker.items():
            call = self._wire.write_release(theirs)
            try:
                address = Address.from_text(maker)
                await curio.timeout_after(RELEASE_S, self._post, address, call)
            except (UnsentError, ClosedError, ValueError, curio.TaskTimeout) as error:
                logger.bind(step="release", peer=maker).debug(f"not told: {error}")
        gatherer = self._gatherers.get(release.service)
        if gatherer is not None:
            gatherer.release(release.handles)
            await self._pump(release.service)


def _count_faults(answer: Answer) -> dict[str, int]:
    """Count the pieces that were not made, by reason."""
    if not isinstance(answer, tuple):
        return {}
    return dict(Counter(each.fault.value for each in answer if each.fault))


def _is_moved(results: Sequence[PieceResult]) -> bool:
    """Whether another host gathers for the service by now."""
    return any(each.fault is PieceFault.MOVED for each in results)


def _shorten(job: PieceJob, begun: float) -> PieceJob:
    """Take the time that has passed since a job began off what is left for it."""
    spent = (read_monotonic() - begun) * 1000
    return msgspec.structs.replace(
        job, remaining_ms=job.remaining_ms - spent, aim_ms=job.aim_ms - spent
    )


def _fail_all(job: PieceJob, fault: PieceFault) -> tuple[PieceResult, ...]:
    return tuple(PieceResult(fault=fault) for _ in job.items)
