"""Forwarding of one caller's request."""

from __future__ import annotations

import math
import sys

import curio
from loguru import logger

from bramleyspread_core import ForwardRoute, OrganisationKeys
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_daemon.forward._attempt import Attempt
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._kept_failure import KeptFailure
from bramleyspread_daemon.forward._stage_work import StageWork
from bramleyspread_daemon.forward._stream_binding import (
    StreamBinding,
    Unresumable,
)
from bramleyspread_daemon.forward._stream_times import StreamTimes
from bramleyspread_daemon.forward._target_choice import (
    choose_target,
    log_choice,
    log_withdrawal,
)
from bramleyspread_daemon.forward._target_crashes import RequestFeatures
from bramleyspread_daemon.forward._unsent_answer import count_unsent
from bramleyspread_daemon.forward._wire import (
    CallerWire,
    CallMetadata,
    Refusal,
)
from bramleyspread_forwarding import (
    DRAINED_RETRY_S,
    NO_ROOM,
    PAUSED,
    RATE_LIMITED,
    ZONES_DRAINED,
    AttemptEnd,
    Delivered,
    ForwardRequest,
    MayHaveRun,
    NoTarget,
    NotSent,
    Placed,
    PlaceQuery,
    RetryBudget,
    TargetFailed,
    WasNotRun,
    may_retry,
)

#: Time after a response during which its connection is known to be alive, in seconds.
#: Requests that may run only once reuse no other connection.
FRESH_CONNECTION_S = 0.8
#: Minimum delay after which a refused caller may retry, in seconds.
RETRY_AFTER_S = 0.5
#: Share of the estimated stage time after which a refused caller may retry.
RETRY_AFTER_SHARE = 0.25
#: Why requests are refused under which targets crash.
QUARANTINED = "targets crash under requests like this one"
#: Why requests end that are unfinished when this host stops.
STOPPED = "this host stops"
#: Timeout of a request whose caller gives no deadline, in ms.
DEFAULT_TIMEOUT_MS = 30_000.0


class RequestForwarder:
    """Forwards one request to targets, and the answer back to the caller."""

    def __init__(
        self,
        context: ForwardContext,
        wire: CallerWire,
        request: ForwardRequest,
        route: ForwardRoute,
        holder: OrganisationKeys | None,
        reply: Reply,
    ) -> None:
        self._context = context
        self._wire = wire
        self._request = request
        self._route = route
        self._holder = holder
        self._reply = reply
        self._started_at = read_monotonic()
        timeout_ms = (
            request.deadline_ms
            if request.deadline_ms is not None
            else DEFAULT_TIMEOUT_MS
        )
        self._deadline = (
            self._started_at + min(timeout_ms, float(route.timeout_ms)) / 1000
        )
        holder_name = holder.name if holder is not None else ""
        self._features = RequestFeatures(request, holder_name)
        holder_priority = holder.priority if holder is not None else None
        self._priority = context.rank_urgency(route, holder_priority)
        self._stages = StageWork(
            context, request, route, self._priority, self._started_at, self._deadline
        )
        self._times = StreamTimes(self._started_at)
        self._binding = StreamBinding(
            request, route, context.targets, context.stream_keepers
        )
        self._attempts = 0
        self._is_admitted = False
        self._tried_targets: list[str] = []
        self._last_event_id = request.last_event
        self._earlier_attempt_may_have_run = False
        self._kept_failure = KeptFailure()
        self._current_attempt: Attempt | None = None
        #: Whether the host's stop is what cancels it.
        self.is_ended_by_stop = False

    async def run(self) -> None:
        """Run until the caller has its final answer or has disconnected."""
        self._context.in_flight += 1
        outcome = ""
        try:
            remaining_s = max(self._deadline - read_monotonic(), 0.001)
            try:
                outcome = await timeout_after(remaining_s, self._process)
            except curio.TaskTimeout:
                outcome = self._end_by_timeout()
            except Exception:
                outcome = self._end_by_error()
        finally:
            self._context.in_flight -= 1
            outcome = outcome or self._describe_cancellation()
            self._context.end_counts[outcome.partition(":")[0]] += 1
            self._log_outcome(outcome)
            await self._clean_up()

    @property
    def has_begun(self) -> bool:
        """Whether the caller's answer has begun."""
        return self._reply.begun

    def end_by_stop(self) -> None:
        """Give the caller a final answer after :meth:`run` was cancelled by a stop."""
        if self._reply.begun:
            self._reply.abort()
        elif self._may_have_run:
            self._refuse(504, STOPPED, None)
        else:
            self._refuse(503, STOPPED, RETRY_AFTER_S)

    def _describe_cancellation(self) -> str:
        """Describe how the request ended that was cancelled, for the log."""
        if not self.is_ended_by_stop:
            return "left"
        if self._reply.begun:
            return "ended by stop: cut off"
        what = "may have run" if self._may_have_run else "not run"
        return f"ended by stop: {what}"

    async def _clean_up(self) -> None:
        attempt = self._current_attempt
        if attempt is not None:
            await attempt.close()
        await self._stages.release()
        self._kept_failure.drop()
        if attempt is not None and self._reply.unsent_bytes:
            held = self._context.upstream.held
            await count_unsent(held, attempt.address, self._reply)

    def _log_outcome(self, outcome: str) -> None:
        elapsed_ms = (read_monotonic() - self._started_at) * 1000
        bound = logger.bind(
            step="end",
            peer=self._tried_targets[-1] if self._tried_targets else "-",
            request=self._request.request_id,
            route=self._route.name,
            version=self._context.version,
            stages_ms=round(self._stages.elapsed_ms),
            connect_ms=round(self._times.connecting_ms),
            first_ms=round(self._times.first_ms),
            pause_ms=round(self._times.longest_pause_ms),
            silent_ms=round(self._times.silent_ms),
            events=self._times.events,
            ms=round(elapsed_ms),
            # An attempt that was interrupted is not counted in ``_attempts``.
            attempts=self._attempts + self._is_in_flight,
        )
        bound.info(outcome)

    async def _process(self) -> str:
        service = self._context.choose_service(self._route, self._request.request_id)
        if not service:
            return self._refuse(503, "no document", RETRY_AFTER_S)
        if self._is_quarantined():
            return self._refuse(503, QUARANTINED, None)
        service = await self._binding.find_service(service)
        refused = self._refuse_unresumable() or self._refuse_drained(service)
        refused = refused or await self._run_stages(service)
        if refused:
            return refused
        if self._is_quarantined():
            return self._refuse(503, QUARANTINED, None)
        return await self._run_attempts(service)

    async def _run_attempts(self, service: str) -> str:
        budget = self._context.get_retry_budget(service)
        budget.record_first_attempt(read_monotonic())
        while True:
            end = await self._run_attempt(service)
            if isinstance(end, Delivered):
                return "delivered"
            if isinstance(end, NotSent):
                if self._is_quarantined():
                    return self._conclude(WasNotRun(QUARANTINED))
                continue
            is_retryable = may_retry(self._route, end, self._attempts)
            if (
                not is_retryable
                or self._is_quarantined()
                or not self._take_retry_budget(budget, end)
            ):
                return self._conclude(end)
            logger.bind(
                step="retry",
                peer=self._tried_targets[-1],
                request=self._request.request_id,
                after_event=self._last_event_id,
            ).info(_describe_end(end))
            if isinstance(end, TargetFailed) and self._current_attempt is not None:
                address = self._current_attempt.address
                self._kept_failure.keep(end, address, self._context.upstream.held)
            if not await self._ensure_inputs(end):
                return self._conclude(end)
            del end  # its body may be large

    def _is_quarantined(self) -> bool:
        """Whether requests like this one crash targets, so that none may get it."""
        found = self._context.crashes.find_quarantine(self._features)
        if found is None:
            return False
        self._context.crashes.refused += 1
        logger.bind(
            step="quarantine",
            peer=",".join(found.targets),
            request=self._request.request_id,
            feature=found.feature,
        ).info("covers the request")
        return True

    def _refuse_unresumable(self) -> str:
        """Refuse a stream that can't go on; return how it ended, or empty."""
        unresumable = self._binding.find_refusal()
        if unresumable is None:
            return ""
        return self._conclude(self._describe_unresumable(unresumable))

    def _refuse_drained(self, service: str) -> str:
        """Refuse a request if all targets of a service that it needs are drained.

        :param service: the service that gets the request after its stages.
        :returns: how the request ended, or empty if it didn't.
        """
        targets = self._context.targets
        if not targets.drains.drained:
            return ""
        services = (service, *self._stages.list_services())
        drained = [each for each in services if targets.is_all_drained(each)]
        if not drained:
            return ""
        for each in drained:
            reports = self._context.signals.drains
            reports.record_choice(each, self._request.request_id)
        refusal = NoTarget(ZONES_DRAINED, DRAINED_RETRY_S)
        return self._conclude(self._describe_refusal(refusal))

    async def _run_stages(self, service: str) -> str:
        """Run the stages; return how the request ended, or empty if they succeeded."""
        if not self._route.stages:
            return ""
        full = self._stages.admit()
        if full is not None:
            why = f"stage full: {full.service}"
            return self._refuse(503, why, self._draw_return_s(full.ends_in_s))
        admitted = await self._context.placement.admit(self._build_query(service))
        if isinstance(admitted, NoTarget):
            return self._conclude(self._describe_refusal(admitted))
        self._is_admitted = True
        needed_ms = self._stages.estimate_first_event_ms()
        if needed_ms > self._stages.first_event_remaining_ms:
            why = f"stages would take {needed_ms:.0f} ms"
            retry_after_s = max(RETRY_AFTER_S, needed_ms / 1000 * RETRY_AFTER_SHARE)
            return self._refuse(503, why, retry_after_s)
        fault = await self._stages.run()
        if fault is not None:
            drained = self._refuse_drained(service)
            if drained:
                return drained
            ends_in_s = self._stages.find_overload_end_s()
            return_s = self._draw_return_s(ends_in_s) if ends_in_s else RETRY_AFTER_S
            return self._refuse(503, f"stage: {fault.value}", return_s)
        return ""

    def _draw_return_s(self, ends_in_s: float) -> float:
        """Draw the time after which the caller may come back, in seconds."""
        left_s = self._deadline - read_monotonic() - self._route.aim_ms / 1000
        return self._context.draw_return_s(ends_in_s, left_s)

    async def _ensure_inputs(self, end: AttemptEnd) -> bool:
        """Return whether the inputs exist, after running the stages again if needed."""
        gone = isinstance(end, WasNotRun) and end.inputs_gone
        if not self._route.stages or not (gone or self._stages.is_released):
            return True
        await self._stages.release()
        return await self._stages.run() is None

    def _take_retry_budget(self, budget: RetryBudget, end: AttemptEnd) -> bool:
        """Take one retry from the budget, and return whether it allows the retry.

        A retry after an attempt that reached no target costs nothing.
        """
        if isinstance(end, WasNotRun) and not end.may_have_reached_target:
            return True
        return budget.try_acquire(read_monotonic(), len(self._context.list_hosts()))

    async def _run_attempt(self, service: str) -> AttemptEnd | NotSent:
        await self._context.signals.wait_after_suspension()
        binding = self._binding.find()
        if isinstance(binding, Unresumable):
            self._attempts = self._route.attempts
            return self._describe_unresumable(binding)
        query = self._build_query(service)
        asked_at = read_monotonic()
        placed = await choose_target(self._context.placement, query, binding)
        request_id = self._request.request_id
        self._context.signals.drains.record_choice(service, request_id)
        limited = self._context.count_limited(service)
        log_choice(request_id, query, placed, limited)
        if isinstance(placed, NoTarget):
            # Without a target left, no further attempt may follow.
            self._attempts = self._route.attempts
            return self._describe_refusal(placed)
        self._context.signals.held_back_counts["waited"] += placed.wait_s > 0
        self._tried_targets.append(placed.target.target)
        attempt = self._current_attempt = Attempt(
            self._context,
            self._request,
            self._reply,
            self._stages,
            self._times,
            service,
            placed,
            self._features,
            self._binding,
            asked_at,
        )
        if not await attempt.wait_for_turn():
            await attempt.close()
            return WasNotRun(
                "wants no requests any more", may_have_reached_target=False
            )
        end = await attempt.run(self._build_metadata(placed), self._find_max_idle_s())
        if isinstance(end, NotSent):
            self._tried_targets.pop()
            log_withdrawal(self._request.request_id, placed, end)
            return end
        self._attempts += attempt.was_sent
        self._last_event_id = attempt.last_event or self._last_event_id
        ran = attempt.was_sent and not isinstance(end, WasNotRun)
        self._earlier_attempt_may_have_run = self._earlier_attempt_may_have_run or ran
        return end

    @staticmethod
    def _describe_unresumable(unresumable: Unresumable) -> WasNotRun:
        return WasNotRun(unresumable.why, may_have_reached_target=False)

    def _find_max_idle_s(self) -> float:
        """Return how long a reused connection may have been idle, in seconds.

        A request that may run only once never uses a connection that could have failed
        unnoticed.
        """
        if self._route.repeatable:
            return math.inf
        return 0.0 if self._attempts else FRESH_CONNECTION_S

    def _build_query(self, service: str) -> PlaceQuery:
        elapsed_ms = (read_monotonic() - self._started_at) * 1000
        return PlaceQuery(
            service=service,
            zone=self._context.own.zone,
            prompt=self._request.prompt,
            tried=tuple(self._tried_targets),
            input_mb=self._stages.sum_input_mb(),
            slack_ms=self._route.aim_ms - elapsed_ms,
            priority=self._priority,
            is_admitted=self._is_admitted,
        )

    def _build_metadata(self, placed: Placed) -> CallMetadata:
        return CallMetadata(
            target=placed.target.target,
            remaining_ms=max((self._deadline - read_monotonic()) * 1000, 1.0),
            holder=self._holder.name if self._holder is not None else None,
            priority=self._priority,
            inputs=self._stages.list_inputs(),
            last_event_id=self._last_event_id,
        )

    def _conclude(self, end: AttemptEnd) -> str:
        """Give the caller the final answer after the last attempt."""
        if self._reply.begun:
            self._reply.abort()
            return "cut off"
        failure = self._kept_failure.failure
        if isinstance(end, WasNotRun) and failure is not None:
            end = failure
        if isinstance(end, TargetFailed):
            self._reply.send(end.status, end.body, end.headers)
            return f"target failed with {end.status}"
        if not self._may_have_run:
            return self._refuse(503, _describe_end(end), self._find_retry_after_s(end))
        return self._refuse(502, f"outcome unknown: {_describe_end(end)}", None)

    def _describe_refusal(self, refusal: NoTarget) -> WasNotRun:
        if refusal.reason in (NO_ROOM, RATE_LIMITED, PAUSED):
            self._context.signals.held_back_counts["refused"] += 1
        return WasNotRun(refusal.reason, retry_after_s=refusal.retry_after_s)

    def _find_retry_after_s(self, end: AttemptEnd) -> float:
        """Find when a refused caller may come back, in seconds."""
        known_s = end.retry_after_s if isinstance(end, WasNotRun) else None
        if known_s is None:
            return RETRY_AFTER_S
        return self._context.spread_retry(max(known_s, RETRY_AFTER_S))

    @property
    def _may_have_run(self) -> bool:
        """Whether any attempt may have run, including one in flight."""
        return self._is_in_flight or self._earlier_attempt_may_have_run

    @property
    def _is_in_flight(self) -> bool:
        """Whether a target may be processing the request now."""
        return self._current_attempt is not None and self._current_attempt.is_in_flight

    def _end_by_timeout(self) -> str:
        if self._reply.begun:
            self._reply.abort()
            return "cut off: out of time"
        if self._may_have_run:
            return self._refuse(504, "out of time", None)
        return self._refuse(503, "out of time before it was sent", RETRY_AFTER_S)

    def _end_by_error(self) -> str:
        log = logger.bind(step="end", peer="-", request=self._request.request_id)
        log.opt(exception=sys.exc_info()).error("internal error")
        if self._reply.begun:
            self._reply.abort()
        else:
            self._refuse(500, "a fault inside; see the log", None)
        return "fault"

    def _refuse(self, status: int, why: str, retry_after_s: float | None) -> str:
        written = self._wire.write_refusal(
            Refusal(status=status, why=why, retry_after_s=retry_after_s)
        )
        self._reply.send(written.status, written.body, written.headers)
        return f"refused with {status}: {why}"


def _describe_end(end: AttemptEnd) -> str:
    if isinstance(end, WasNotRun | MayHaveRun):
        return end.why
    return str(end.status) if isinstance(end, TargetFailed) else ""
