"""Entry hosts that forward requests to targets which signal, in virtual time."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import curio
import msgspec

from bramleyspread_core import (
    Address,
    Deployment,
    EngineLimits,
    ForwardRoute,
    ForwardService,
    PieceLimits,
    RequestKind,
    ServiceShare,
    ZoneDrains,
)
from bramleyspread_daemon._client import (
    ConnectionClosedError,
    TargetRefusedError,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._request_forwarder import RequestForwarder
from bramleyspread_daemon.forward._wire import (
    CallMetadata,
    Refusal,
    TargetHead,
    WireReply,
)
from bramleyspread_daemon.forward.tests.connected_hosts import DELAY_S, make_host
from bramleyspread_daemon.forward.tests.signalling_target import SignallingTarget
from bramleyspread_forwarding import (
    EntryHost,
    FeedPage,
    ForwardRequest,
    Prompt,
    Readiness,
    ResponseSignals,
    TargetChange,
    TargetHeartbeat,
)

#: Interval between two pages of a control host, in seconds.
PAGE_INTERVAL_S = 0.4
#: Interval between two ticks of a host, in seconds.
TICK_S = 0.05
#: Longer than any test, in seconds.
FOREVER_S = 1e6
#: The requests' deadline, and their latency goal, in milliseconds.
TIMEOUT_MS, AIM_MS = 6_000, 1_000.0

ENGINE = EngineLimits(slots=64, memory_tokens=300_000)
ROUTE = ForwardRoute(
    name="r",
    host="h",
    prefix="/",
    kind=RequestKind.STREAM,
    timeout_ms=TIMEOUT_MS,
    aim_ms=AIM_MS,
    shares=(ServiceShare("llm", 1.0),),
    attempts=2,
    public=True,
)
REQUEST = ForwardRequest(
    request_id="1",
    method="POST",
    path_and_query="/",
    path="/",
    host="h",
    headers=(),
    body=b"",
    deadline_ms=float(TIMEOUT_MS),
)


class Wire:
    """Wire format whose headers are the values themselves."""

    def write_refusal(self, refusal: Refusal) -> WireReply:
        headers = (("retry-after", str(refusal.retry_after_s)),)
        return WireReply(refusal.status, refusal.why.encode(), headers)

    def write_head(
        self, request: ForwardRequest, metadata: CallMetadata
    ) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"id", request.request_id.encode()),)

    def read_head(self, status: int, headers: Any) -> TargetHead:
        request, signals = headers
        return make_head(status, request, signals)


def make_head(status: int, request: str, signals: ResponseSignals) -> TargetHead:
    """Build the head of a target's response."""
    return TargetHead(
        status=status,
        request=request,
        sealed=True,
        not_run=status == 503,
        is_stream=False,
        load=None,
        signals=signals,
        keep_alive_s=None,
        headers=(),
    )


class _Connection:
    """Connection of one host to a target."""

    ends_by_closing = False
    was_used = False

    def __init__(self, site: ForwardingSite, host: str, at: SignallingTarget) -> None:
        self._site, self._host, self._target = site, host, at
        self._request = ""

    async def send(
        self, method: str, path: str, headers: tuple[Any, ...], body: bytes
    ) -> None:
        self._request = headers[0][1].decode()
        await curio.sleep(DELAY_S)
        self._target.arrivals.append((read_monotonic(), self._host))

    async def read_head(self) -> SimpleNamespace:
        target = self._target
        status = target.begin(read_monotonic())
        try:
            await curio.sleep(target.run_s if status == 200 else 0.0)
        finally:
            target.end(status)
        if not target.is_running(read_monotonic()):
            raise ConnectionClosedError("reset")
        signals = target.respond(read_monotonic())
        if status == 503:
            signals = msgspec.structs.replace(signals, is_rejection=True)
        if status != 503:
            signals = msgspec.structs.replace(signals, pause_s=None)
        if signals.pause_s is not None:
            pause = (read_monotonic(), self._host, signals.pause_s)
            target.pauses.append(pause)
        await curio.sleep(DELAY_S)
        if signals.is_leaving:
            target.left_at.setdefault(self._host, read_monotonic())
        if signals.rate_limit is not None:
            target.told_at.setdefault(self._host, read_monotonic())
        return SimpleNamespace(status_code=status, headers=(self._request, signals))

    async def read_body(self, max_bytes: int = 0) -> bytes:
        return b"done"

    async def close(self) -> None:
        pass


class HostUpstream:
    """Connections of one host to all targets of a site."""

    async def is_refused(self, address: Address) -> bool:
        return False

    async def release_connection(self, *_: object) -> None:
        pass

    def record_traffic(self, *_: object) -> None:
        pass


class _Upstream(HostUpstream):
    """Connections of one host to targets that always run."""

    def __init__(self, site: ForwardingSite, host: str) -> None:
        self._site, self._host = site, host

    async def acquire(
        self, address: Address, timeout: float, *, max_idle_s: float = math.inf
    ) -> _Connection:
        if self._site.connect_s:
            await curio.sleep(self._site.connect_s)
        target = self._site.targets[address]
        if not target.is_running(read_monotonic()):
            raise TargetRefusedError("not connected: Connection refused")
        return _Connection(self._site, self._host, target)


class _CallerReply:
    """Reply that counts how requests end."""

    unsent_bytes = 0
    begun = False

    def __init__(self, site: ForwardingSite) -> None:
        self._site = site
        self._started_at = read_monotonic()

    def send(
        self, status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        self._site.ends[status] += 1
        elapsed_s = read_monotonic() - self._started_at
        if status == 503:
            self._site.refused_after_s.append(elapsed_s)
            now = read_monotonic()
            self._site.retries_at += [now + float(x) for _, x in headers]

    def abort(self) -> None:
        self._site.ends[0] += 1


class ForwardingSite:
    """Entry hosts with one service, and its targets.

    :param hosts: number of entry hosts.
    :param targets: number of targets.
    :param engine: limits of the targets if they are model engines; None for others.
    :param run_s: how long a target takes for a request, in seconds.
    :param slots: number of requests that a target runs at once.
    :param pieces: limits of the targets if they compute pieces; None for others.
    :param seed: seed of the traffic and of the hosts' choices.
    :param zones: zones of the targets, by turns.
    """

    service = "llm"

    def __init__(
        self,
        hosts: int,
        targets: int,
        *,
        engine: EngineLimits | None = ENGINE,
        run_s: float = 0.3,
        slots: int = 64,
        pieces: PieceLimits | None = None,
        seed: int = 1,
        zones: Sequence[str] = ("z",),
    ) -> None:
        self.rng = Random(seed)
        self.zones = zones
        #: The zone drains that control hosts name, but not to these hosts.
        self.drains = ZoneDrains()
        self.late: set[Address] = set()
        #: How long a connection to a target takes, in seconds.
        self.connect_s = 0.0
        self._pieces = pieces
        self._slots = slots
        self._engine = engine
        self._number = 0
        #: Hosts that neither answer nor get an answer from other hosts.
        self.silent: set[Address] = set()
        #: Pairs of hosts that can't reach each other.
        self.cut_pairs: set[frozenset[Address]] = set()
        #: Whether control hosts answer.
        self.has_control = True
        #: Bytes of messages between hosts, by path.
        self.message_bytes: Counter[str] = Counter()
        #: Number of answers by status; 0 for those that were cut off.
        self.ends: Counter[int] = Counter()
        #: How long requests were held that were refused, in seconds.
        self.refused_after_s: list[float] = []
        #: When callers were told to come back that were refused.
        self.retries_at: list[float] = []
        self._control_starts = 1
        #: None: the site gives its hosts pages of its own.
        self.controls: dict[Address, ForwardControl] = {}
        self.targets: dict[Address, SignallingTarget] = {}
        for at in range(targets):
            address = Address(f"10.1.64.{at}", 8200)
            self.targets[address] = SignallingTarget(f"i-{at:04x}", address, run_s)
        self.contexts: dict[Address, ForwardContext] = {}
        for at in range(hosts):
            self.start_host(f"entry-{at}", Address(f"10.1.{at // 200}.{at % 200}", 7))

    def start_host(self, name: str, address: Address, started: int = 1) -> None:
        """Start a host, or start it anew with nothing that it knew."""
        context = make_host(self, name, address, Wire(), started)
        context.upstream = cast("Any", _Upstream(self, name))
        self.contexts[address] = context

    def restart_control(self) -> None:
        """Restart the control host, which knows targets only by their heartbeats."""
        self._control_starts += 1

    def list_hosts(self) -> tuple[EntryHost, ...]:
        """List the hosts that run, by name."""
        return tuple(each.own for each in self.contexts.values())

    def find_zone(self, target: Address) -> str:
        """Find the zone of a target."""
        return self.zones[list(self.targets).index(target) % len(self.zones)]

    def _make_page(self) -> FeedPage:
        targets = [
            TargetHeartbeat(
                target=each.name,
                sequence=1,
                service=self.service,
                address=each.address,
                zone=self.find_zone(each.address),
                slots=self._slots,
                readiness=Readiness.READY,
            )
            for each in self.targets.values()
        ]
        service = ForwardService(
            name=self.service,
            max_connections=400,
            engine=self._engine if self._pieces is None else None,
            pieces=self._pieces,
        )
        return FeedPage(
            incarnation=str(self._control_starts),
            position=1,
            changes=tuple(TargetChange(each) for each in targets),
            deployment=Deployment(version=1, routes=(ROUTE,), services=(service,)),
            version=1,
            confirmed=True,
            entries=tuple(
                each for each in self.list_hosts() if each.address not in self.silent
            ),
            entries_revision=1,
        )

    async def run_hosts(self) -> None:
        """Tick all hosts and give them pages of a control host, for ever."""
        control = Address("10.9.0.1", 1)
        next_page_at = 0.0
        while True:
            now = read_monotonic()
            if self.has_control and now >= next_page_at:
                next_page_at = now + PAGE_INTERVAL_S
                page = self._make_page()
                newest = msgspec.structs.replace(page, zone_drains=self.drains)
                for address, context in tuple(self.contexts.items()):
                    if address not in self.silent:
                        shown = page if address in self.late else newest
                        await context.handle_page(control, shown, now)
            for context in self.contexts.values():
                await curio.spawn(self._tick, context, daemon=True)
            await curio.sleep(TICK_S)

    async def _tick(self, context: ForwardContext) -> None:
        await context.placement.tick()
        await context.stream_keepers.tick()
        await context.tick()

    async def send_traffic(self, per_s: float, seconds: float) -> None:
        """Send requests to random hosts at random times.

        :param per_s: requests a second in the mean.
        :param seconds: for how long.
        """
        until = read_monotonic() + seconds
        while read_monotonic() < until:
            await curio.sleep(self.rng.expovariate(per_s))
            context = self.rng.choice(list(self.contexts.values()))
            await curio.spawn(self._forward, context, daemon=True)

    async def _forward(self, context: ForwardContext) -> None:
        self._number += 1
        tokens_in = self.rng.randrange(500, 4_000)
        request = msgspec.structs.replace(
            REQUEST,
            request_id=str(self._number),
            prompt=Prompt(tokens_in=tokens_in, tokens_out=100),
        )
        reply = cast("Any", _CallerReply(self))
        wire = cast("Any", Wire())
        forwarder = RequestForwarder(context, wire, request, ROUTE, None, reply)
        await forwarder.run()
