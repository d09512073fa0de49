"""One caller's request on its way through an entry host."""

from __future__ import annotations

import math
import sys

import curio
from loguru import logger

from bramleyspread_core import ForwardRoute, KeyHolder
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._stage_work import StageWork
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._wire import (
    CallerWire,
    CallTerms,
    Refusal,
    TargetHead,
)
from bramleyspread_forwarding import (
    AttemptEnd,
    Delivered,
    EventError,
    EventSplitter,
    ForwardRequest,
    MayHaveRun,
    NoTarget,
    Placed,
    PlaceQuery,
    PlaceStep,
    RetryBudget,
    TargetFailed,
    WasNotRun,
    may_follow,
)

#: Most time for reaching a target, in seconds.
CONNECT_S = 0.25
#: A connection that carried an answer this lately is known to be alive, in seconds;
#: what may run once goes on no other.
LIVE_S = 0.8
#: When a caller that was refused may come back, in seconds.
RETRY_S = 0.5
#: The part of the time that stages take now after which it may come back.
RETRY_SHARE = 0.25
#: Bytes of a stream that may wait for a slow caller.
MOST_UNSENT_BYTES = 131_072
#: How often a slow caller is looked at, in seconds.
CALLER_POLL_S = 0.01
#: The longest wait of a request whose route and caller name none, in ms.
DEFAULT_MS = 30_000.0


class RequestForwarder:
    """Brings one request to a target and the answer back to the caller."""

    def __init__(
        self,
        context: ForwardContext,
        wire: CallerWire,
        request: ForwardRequest,
        route: ForwardRoute,
        holder: KeyHolder | None,
        reply: Reply,
    ) -> None:
        self._context = context
        self._wire = wire
        self._request = request
        self._route = route
        self._holder = holder
        self._reply = reply
        self._begun = read_monotonic()
        waits = request.deadline_ms if request.deadline_ms is not None else DEFAULT_MS
        self._until = self._begun + min(waits, float(route.timeout_ms)) / 1000
        own_rank = holder.priority if holder is not None else None
        self._priority = route.priority if own_rank is None else own_rank
        self._stages = StageWork(
            context, request, route, self._priority, self._begun, self._until
        )
        self._first_ms = 0.0
        self._longest_ms = 0.0
        self._event_at = 0.0
        self._attempts = 0
        self._tried: list[str] = []
        self._last_event = request.last_event
        self._is_sent = False
        self._in_doubt = False
        self._failure: TargetFailed | None = None
        self._placed: Placed | None = None
        self._began = False
        self._connection: UpstreamConnection | None = None

    async def run(self) -> None:
        """Work until the caller has its final answer, or has left."""
        self._context.in_flight += 1
        how = "left"
        try:
            left = max(self._until - read_monotonic(), 0.001)
            try:
                how = await curio.timeout_after(left, self._work)
            except curio.TaskTimeout:
                how = self._end_late()
            except Exception:
                how = self._end_by_fault()
        finally:
            self._context.in_flight -= 1
            self._context.ends[how.partition(":")[0]] += 1
            self._log(how)
            await self._clear()

    async def _clear(self) -> None:
        self._settle_target()
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.close()
        await self._stages.release()

    def _log(self, how: str) -> None:
        spent = (read_monotonic() - self._begun) * 1000
        bound = logger.bind(
            step="end",
            peer=self._tried[-1] if self._tried else "-",
            request=self._request.request,
            route=self._route.name,
            version=self._context.version,
            stages_ms=round(self._stages.spent_ms),
            first_ms=round(self._first_ms),
            pause_ms=round(self._longest_ms),
            ms=round(spent),
            attempts=self._attempts,
        )
        bound.info(how)

    async def _work(self) -> str:
        refused = await self._make_stages()
        if refused:
            return refused
        service = self._context.choose_service(self._route, self._request.request)
        if not service:
            return self._refuse(503, "no document", RETRY_S)
        budget = self._context.find_budget(service)
        budget.note_first(read_monotonic())
        while True:
            end = await self._attempt(service)
            if isinstance(end, Delivered):
                return "delivered"
            if isinstance(end, TargetFailed):
                self._failure = end
            again = may_follow(self._route, end, self._attempts)
            if not again or not self._may_send_again(budget, end):
                return self._conclude(end)
            logger.bind(
                step="retry", peer=self._tried[-1], request=self._request.request
            ).info(_tell_why(end))
            if not await self._has_inputs(end):
                return self._conclude(end)

    async def _make_stages(self) -> str:
        """Make the stages; empty when all is made, else how the request ended."""
        if not self._route.stages:
            return ""
        needed_ms = self._stages.estimate_ms()
        if needed_ms > self._stages.patience_left_ms:
            why = f"stages would take {needed_ms:.0f} ms"
            retry_s = max(RETRY_S, needed_ms / 1000 * RETRY_SHARE)
            return self._refuse(503, why, retry_s)
        fault = await self._stages.make()
        if fault is not None:
            return self._refuse(503, f"stage: {fault.value}", RETRY_S)
        return ""

    async def _has_inputs(self, end: AttemptEnd) -> bool:
        """Whether the inputs are there for another attempt; made anew if need be."""
        gone = isinstance(end, WasNotRun) and end.inputs_gone
        if not self._route.stages or not (gone or self._stages.is_released):
            return True
        await self._stages.release()
        return await self._stages.make() is None

    def _may_send_again(self, budget: RetryBudget, end: AttemptEnd) -> bool:
        """Whether the budget allows it; what reached no target costs none."""
        if isinstance(end, WasNotRun) and not end.reached:
            return True
        return budget.take(read_monotonic(), len(self._context.list_hosts()))

    async def _attempt(self, service: str) -> AttemptEnd:
        query = self._write_query(service)
        placed = await self._context.placement.choose(query)
        self._log_placement(query, placed)
        if isinstance(placed, NoTarget):
            self._attempts = self._route.attempts
            return WasNotRun(placed.reason)
        self._tried.append(placed.target.target)
        self._placed, self._began = placed, False
        end: AttemptEnd | None = None
        try:
            end = await self._send(placed)
        finally:
            self._settle_target(end)
        return end

    def _log_placement(self, query: PlaceQuery, placed: Placed | NoTarget) -> None:
        bound = logger.bind(
            step="place",
            peer=placed.target.target if isinstance(placed, Placed) else "-",
            request=self._request.request,
            service=query.service,
            tried=len(query.tried),
            slack_ms=round(query.slack_ms),
        )
        if isinstance(placed, NoTarget):
            bound.info(f"no target: {placed.reason}")
            return
        load = {"reading": round(placed.reading), "ahead": placed.ahead}
        bound.bind(zone=placed.target.zone, **load).info("placed")

    def _write_query(self, service: str) -> PlaceQuery:
        spent = (read_monotonic() - self._begun) * 1000
        return PlaceQuery(
            service=service,
            zone=self._context.own.zone,
            prompt=self._request.prompt,
            tried=tuple(self._tried),
            input_mb=self._stages.measure_inputs(),
            slack_ms=self._route.aim_ms - spent,
        )

    def _settle_target(self, end: AttemptEnd | None = None) -> None:
        """Tell the placement that a request is off its target, and how it ended."""
        if self._placed is None:
            return
        placed, self._placed = self._placed, None
        good: bool | None = None
        if isinstance(end, Delivered):
            good = True
        elif end is not None:
            good = None if isinstance(end, WasNotRun) and end.inputs_gone else False
        step = PlaceStep(
            ticket=placed.ticket, target=placed.target.target, ended=True, good=good
        )
        self._context.placement.report(step)

    async def _send(self, placed: Placed) -> AttemptEnd:
        context, request = self._context, self._request
        idle_s = math.inf
        if not self._route.repeatable:
            idle_s = 0.0 if self._attempts else LIVE_S
        try:
            connection = await context.upstream.take(
                placed.target.address, CONNECT_S, idle_s=idle_s
            )
        except UnsentError as error:
            return WasNotRun(str(error), reached=False)
        self._connection = connection
        headers = context.wire.write_head(request, self._write_terms(placed))
        try:
            await connection.send(request.method, request.target, headers, request.body)
        except UnsentError as error:
            await self._drop_connection()
            return WasNotRun(str(error), reached=False)
        self._is_sent = True
        self._attempts += 1
        try:
            raw = await connection.read_head()
            head = context.wire.read_head(raw.status_code, raw.headers)
            end = await self._take_answer(placed, connection, head)
        except (ClosedError, EventError) as error:
            await self._drop_connection()
            end = MayHaveRun(str(error))
        self._is_sent = False
        self._in_doubt = self._in_doubt or not isinstance(end, WasNotRun)
        return end

    def _write_terms(self, placed: Placed) -> CallTerms:
        return CallTerms(
            target=placed.target.target,
            remaining_ms=max((self._until - read_monotonic()) * 1000, 1.0),
            holder=self._holder.name if self._holder is not None else None,
            priority=self._priority,
            inputs=self._stages.list_inputs(),
            last_event=self._last_event,
        )

    async def _take_answer(
        self, placed: Placed, connection: UpstreamConnection, head: TargetHead
    ) -> AttemptEnd:
        context = self._context
        if head.load is not None:
            step = PlaceStep(
                ticket=placed.ticket, target=placed.target.target, load=head.load
            )
            context.placement.report(step)
        if head.not_run:
            await connection.read_body()
            await self._give_back(connection, head)
            return WasNotRun(f"turned away with {head.status}", head.status == 409)
        if head.request != self._request.request:
            raise ClosedError("an answer to another request")
        good = 200 <= head.status < 300
        if good and not head.sealed:
            raise ClosedError("an answer without a seal")
        if good and head.is_stream:
            return await self._pass_stream(connection, head)
        body = await connection.read_body()
        self._note_first_byte()
        await self._give_back(connection, head)
        if not good:
            return TargetFailed(head.status, head.headers, body)
        if self._reply.begun:
            raise ClosedError("no stream where one went on")
        self._reply.send(head.status, body, head.headers)
        return Delivered()

    async def _pass_stream(
        self, connection: UpstreamConnection, head: TargetHead
    ) -> AttemptEnd:
        splitter = EventSplitter()
        if not self._reply.begun:
            self._reply.begin(head.status, head.headers)
        while piece := await connection.read_piece():
            for event in splitter.feed(piece):
                self._reply.send_piece(event.data)
                self._last_event = event.event or self._last_event
                self._note_event()
            await self._stages.release()
            await self._wait_for_caller()
        if not splitter.is_between:
            raise ClosedError("ended in the middle of an event")
        await self._give_back(connection, head)
        self._reply.end()
        return Delivered()

    async def _wait_for_caller(self) -> None:
        """Read no further from the target while the caller doesn't keep up."""
        while self._reply.unsent_bytes > MOST_UNSENT_BYTES:
            await curio.sleep(CALLER_POLL_S)

    def _note_event(self) -> None:
        self._note_first_byte()
        now = read_monotonic()
        if not self._event_at:
            self._first_ms = (now - self._begun) * 1000
        else:
            pause = (now - self._event_at) * 1000
            self._longest_ms = max(self._longest_ms, pause)
        self._event_at = now

    def _note_first_byte(self) -> None:
        if self._placed is None or self._began:
            return
        self._began = True
        step = PlaceStep(
            ticket=self._placed.ticket, target=self._placed.target.target, began=True
        )
        self._context.placement.report(step)

    async def _give_back(
        self, connection: UpstreamConnection, head: TargetHead
    ) -> None:
        self._connection = None
        await self._context.upstream.give_back(connection, head.keep_s)

    async def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    def _conclude(self, end: AttemptEnd) -> str:
        """Give the final answer behind the last attempt."""
        if self._reply.begun:
            self._reply.cut()
            return "cut off"
        if isinstance(end, WasNotRun) and self._failure is not None:
            end = self._failure
        if isinstance(end, TargetFailed):
            self._reply.send(end.status, end.body, end.headers)
            return f"target failed with {end.status}"
        if not self._may_have_run:
            return self._refuse(503, _tell_why(end), RETRY_S)
        return self._refuse(502, f"outcome unknown: {_tell_why(end)}", None)

    @property
    def _may_have_run(self) -> bool:
        """Whether any attempt may have run, the one on its way included."""
        return self._is_sent or self._in_doubt

    def _end_late(self) -> str:
        if self._reply.begun:
            self._reply.cut()
            return "cut off: out of time"
        if self._may_have_run:
            return self._refuse(504, "out of time", None)
        return self._refuse(503, "out of time before it was sent", RETRY_S)

    def _end_by_fault(self) -> str:
        log = logger.bind(step="end", peer="-", request=self._request.request)
        log.opt(exception=sys.exc_info()).error("a fault inside")
        if self._reply.begun:
            self._reply.cut()
        else:
            self._refuse(500, "a fault inside; see the log", None)
        return "fault"

    def _refuse(self, status: int, why: str, retry_after_s: float | None) -> str:
        written = self._wire.write_refusal(
            Refusal(status=status, why=why, retry_after_s=retry_after_s)
        )
        self._reply.send(written.status, written.body, written.headers)
        return f"refused with {status}: {why}"


def _tell_why(end: AttemptEnd) -> str:
    if isinstance(end, WasNotRun | MayHaveRun):
        return end.why
    return str(end.status) if isinstance(end, TargetFailed) else ""
