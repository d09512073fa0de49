"""One caller's request on its way through an entry host."""

from __future__ import annotations

import math
import sys

import curio
from loguru import logger

from bramleyspread_core import ForwardRoute, KeyHolder
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon.forward._attempt import Attempt
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._stage_work import StageWork
from bramleyspread_daemon.forward._stream_times import StreamTimes
from bramleyspread_daemon.forward._wire import (
    CallerWire,
    CallTerms,
    Refusal,
)
from bramleyspread_forwarding import (
    AttemptEnd,
    Delivered,
    ForwardRequest,
    MayHaveRun,
    NoTarget,
    Placed,
    PlaceQuery,
    RetryBudget,
    TargetFailed,
    WasNotRun,
    may_follow,
)

#: A connection that carried an answer this lately is known to be alive, in seconds;
#: what may run once goes on no other.
LIVE_S = 0.8
#: When a caller that was refused may come back, in seconds.
RETRY_S = 0.5
#: The part of the time that stages take now after which it may come back.
RETRY_SHARE = 0.25
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
        self._times = StreamTimes(self._begun)
        self._attempts = 0
        self._tried: list[str] = []
        self._last_event = request.last_event
        self._in_doubt = False
        self._failure: TargetFailed | None = None
        self._current: Attempt | None = None

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
        if self._current is not None:
            await self._current.close()
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
            first_ms=round(self._times.first_ms),
            pause_ms=round(self._times.longest_ms),
            ms=round(spent),
            attempts=self._attempts + self._is_open,
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
        attempt = self._current = Attempt(
            self._context,
            self._request,
            self._reply,
            self._stages,
            self._times,
            placed,
        )
        end = await attempt.run(self._write_terms(placed), self._find_idle())
        self._attempts += attempt.was_sent
        self._last_event = attempt.last_event or self._last_event
        ran = attempt.was_sent and not isinstance(end, WasNotRun)
        self._in_doubt = self._in_doubt or ran
        return end

    def _find_idle(self) -> float:
        """Find how long a connection may have been idle, in seconds.

        What may run once goes on none that could have died without a word.
        """
        if self._route.repeatable:
            return math.inf
        return 0.0 if self._attempts else LIVE_S

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

    def _write_terms(self, placed: Placed) -> CallTerms:
        return CallTerms(
            target=placed.target.target,
            remaining_ms=max((self._until - read_monotonic()) * 1000, 1.0),
            holder=self._holder.name if self._holder is not None else None,
            priority=self._priority,
            inputs=self._stages.list_inputs(),
            last_event=self._last_event,
        )

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
        return self._is_open or self._in_doubt

    @property
    def _is_open(self) -> bool:
        """Whether a target may be at work on it now."""
        return self._current is not None and self._current.is_open

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
