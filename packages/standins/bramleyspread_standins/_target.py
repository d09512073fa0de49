"""The process of a stand-in target, shared by engines and plain services."""

from __future__ import annotations

import signal
import time
from collections import defaultdict
from dataclasses import dataclass

import curio

from bramleyspread_core import (
    Address,
    Announcement,
    AttemptId,
    CancelCall,
    MessageError,
    PoolName,
    StreamToken,
    TargetAnswer,
    TargetCall,
    TargetName,
    TargetRefusal,
    TargetState,
    ZoneName,
    decode_json,
    encode_json,
)
from bramleyspread_standins._announcing import Announcer, DelayedLoad
from bramleyspread_standins._faults import FaultInjector
from bramleyspread_standins._http import Exchange, HttpRequest, serve_http
from bramleyspread_standins._payload import InvalidPayload, parse_payload
from bramleyspread_standins._run import AttemptHistory, Run
from bramleyspread_standins._scheduler import Scheduler

#: Interval of checks whether to stop, in seconds.
STOP_POLL_INTERVAL_S = 0.02
#: Interval of load samples, in seconds.
LOAD_SAMPLE_INTERVAL_S = 0.05
#: Minimum time that a leaving target keeps running to refuse calls, in seconds.
LEAVING_GRACE_S = 3.0


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """The identity and address of a target."""

    name: str
    #: The pool that it serves.
    pool: PoolName
    #: Its availability zone.
    zone: str
    #: The address it listens on.
    address: Address
    #: The entry hosts that it announces itself to.
    entry_hosts: tuple[Address, ...]
    #: Age of the load that it reports, in seconds.
    load_delay_s: float = 0.2


class Target:
    """A target that runs its calls with a scheduler; subclassed by engines."""

    def __init__(
        self, settings: TargetSettings, scheduler: Scheduler, faults: FaultInjector
    ) -> None:
        self.settings = settings
        #: Identifies this run of the process: its start in milliseconds since 1970.
        self.incarnation = time.time_ns() // 1_000_000
        self.state = TargetState.SERVING
        self._scheduler = scheduler
        self._fault_injector = faults
        self._history = AttemptHistory()
        self._waiters: dict[AttemptId, set[curio.Event]] = defaultdict(set)
        self._load = DelayedLoad(settings.load_delay_s)
        self._run_admitted = curio.Event()
        self._open_exchanges = 0
        self._stop_requested = False

    def make_announcement(self, sequence: int) -> Announcement:
        """Make an announcement.

        :param sequence: its sequence number.
        """
        settings = self.settings
        return Announcement(
            target=TargetName(settings.name),
            incarnation=self.incarnation,
            sequence=sequence,
            pool=settings.pool,
            address=settings.address,
            zone=ZoneName(settings.zone),
            state=self.state,
            load=self._load.report(time.monotonic()),
        )

    def advance(self, _now: float) -> None:
        """Update state that the scheduler doesn't cover; called periodically."""

    async def handle_other(self, _request: HttpRequest, exchange: Exchange) -> None:
        """Handle a request that only some kinds of targets support."""
        await exchange.reply(404)

    async def run(self) -> None:
        """Serve until SIGTERM, then announce leaving and finish requests in flight."""
        signal.signal(signal.SIGTERM, self._request_stop)
        self._sample_load()
        address = self.settings.address
        announcer = Announcer(self.settings.entry_hosts, self.make_announcement)
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(serve_http, address.ip, address.port, self._handle)
            await group.spawn(self._run_scheduler)
            await group.spawn(self._sample_load_periodically)
            await group.spawn(announcer.run)
            await self._wait_for_stop()
            await self._leave(announcer)

    def _request_stop(self, *_: object) -> None:
        self._stop_requested = True

    async def _wait_for_stop(self) -> None:
        while not self._stop_requested:
            await curio.sleep(STOP_POLL_INTERVAL_S)

    async def _leave(self, announcer: Announcer) -> None:
        self.state = TargetState.LEAVING
        started_at = time.monotonic()
        await announcer.announce_leaving()
        while self._open_exchanges or time.monotonic() - started_at < LEAVING_GRACE_S:
            await curio.sleep(STOP_POLL_INTERVAL_S)

    def _sample_load(self) -> None:
        now = time.monotonic()
        self._load.add_sample(self._scheduler.measure_load(), now)
        self.advance(now)

    async def _sample_load_periodically(self) -> None:
        while True:
            await curio.sleep(LOAD_SAMPLE_INTERVAL_S)
            self._sample_load()

    async def _run_scheduler(self) -> None:
        while True:
            due = self._scheduler.next_due()
            if due is None:
                await self._run_admitted.wait()
                self._run_admitted.clear()
                continue
            await curio.sleep(max(0.0, due - time.monotonic()))
            for run in self._scheduler.advance(time.monotonic()):
                await self._notify_waiters(run.call.attempt)

    async def _notify_waiters(self, attempt: AttemptId) -> None:
        for event in self._waiters.get(attempt, ()):
            await event.set()

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        self._open_exchanges += 1
        try:
            await self._route(request, exchange)
        except MessageError as error:
            await exchange.reply(400, encode_json({"why": str(error)}))
        finally:
            self._open_exchanges -= 1

    async def _route(self, request: HttpRequest, exchange: Exchange) -> None:
        route = (request.method, request.path)
        if route == ("POST", "/v1/calls"):
            call: TargetCall = decode_json(request.body, TargetCall)
            await self._handle_call(call, exchange)
        elif route == ("POST", "/v1/cancels"):
            cancel: CancelCall = decode_json(request.body, CancelCall)
            await self._cancel(cancel.attempt)
            await exchange.reply(200)
        else:
            await self.handle_other(request, exchange)

    async def _handle_call(self, call: TargetCall, exchange: Exchange) -> None:
        run = await self._accept_call(call)
        if isinstance(run, TargetRefusal):
            await exchange.reply(503, encode_json(run))
            return
        await self._fault_injector.delay(time.monotonic())
        waiter = curio.Event()
        self._waiters[call.attempt].add(waiter)
        try:
            await self._send_result(run, call, exchange, waiter)
        finally:
            self._waiters[call.attempt].discard(waiter)
            if not self._waiters[call.attempt]:
                del self._waiters[call.attempt]

    async def _accept_call(self, call: TargetCall) -> Run | TargetRefusal:
        earlier_run = self._history.find(call.attempt)
        if earlier_run is not None:
            return earlier_run
        if self._history.was_cancelled_early(call.attempt):
            return TargetRefusal(call.attempt, "cancelled before it came")
        if self.state is TargetState.LEAVING:
            return TargetRefusal(call.attempt, "this target is leaving")
        if self._fault_injector.should_refuse():
            return TargetRefusal(call.attempt, "refused by its settings", 100)
        payload = parse_payload(call)
        if isinstance(payload, InvalidPayload):
            return TargetRefusal(call.attempt, payload.reason)
        now = time.monotonic()
        run = Run(call, payload, now)
        self._history.add(run)
        self._scheduler.admit(run, now)
        await self._run_admitted.set()
        return run

    async def _cancel(self, attempt: AttemptId) -> None:
        run = self._history.find(attempt)
        if run is None:
            self._history.record_early_cancel(attempt)
        elif run.result is None:
            self._scheduler.cancel(run)
            await self._notify_waiters(attempt)

    async def _send_result(
        self, run: Run, call: TargetCall, exchange: Exchange, waiter: curio.Event
    ) -> None:
        sent = len(call.continue_after)
        streaming = False
        while run.result is None or (call.stream and sent < len(run.tokens)):
            if call.stream and len(run.tokens) > sent and not streaming:
                await exchange.begin_stream()
                streaming = True
            while call.stream and sent < len(run.tokens):
                token = StreamToken(call.attempt, sent, run.tokens[sent])
                sent += 1
                await exchange.send_event(encode_json(token))
            if run.result is None:
                await waiter.wait()
                waiter.clear()
        await _send_end(run, streaming, exchange)


async def _send_end(run: Run, streaming: bool, exchange: Exchange) -> None:
    if isinstance(run.result, TargetAnswer):
        if streaming:
            await exchange.send_event(encode_json(run.result), "end")
            await exchange.end_stream()
        else:
            await exchange.reply(200, encode_json(run.result))
    elif isinstance(run.result, TargetRefusal) and not streaming:
        await exchange.reply(503, encode_json(run.result))
    elif streaming:
        await exchange.abort()
    else:
        await exchange.reply(500, encode_json({"why": "stopped after it had begun"}))
