"""Entry hosts and control hosts with targets that warm up, in virtual time."""

from __future__ import annotations

import math
from bisect import bisect_left
from typing import Any, cast

import curio

from bramleyspread_containment import CrashTable
from bramleyspread_core import Address, Deployment, EngineLimits, ForwardService
from bramleyspread_daemon._client import TargetRefusedError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward.tests.connected_hosts import DELAY_S, make_host
from bramleyspread_daemon.forward.tests.forwarding_site import (
    FOREVER_S,
    ROUTE,
    TICK_S,
    ForwardingSite,
    HostUpstream,
    Wire,
    _Connection,
)
from bramleyspread_daemon.forward.tests.signalling_target import SignallingTarget
from bramleyspread_forwarding import (
    EntryHost,
    FeedPage,
    LiveHosts,
    Readiness,
    ResponseSignals,
    TargetHeartbeat,
    TargetRegistry,
    WarmUpBound,
)

#: Requests a second to a warming target, and how long a warm-up takes, in seconds.
RATE, WARM_UP_S = 16.0, 3.0
#: What a warming target bears in any second.
BOUND = WarmUpBound(1.5, 5.0)
#: How long a control host holds a query without news, in seconds.
HOLD_S = 0.4
#: Interval at which control hosts look for news, in seconds.
CONTROL_TICK_S = 0.02
#: How long an entry host is listed after its last query, in seconds.
HOST_EXPIRY_S = 1.5


class WarmingTarget(SignallingTarget):
    """A target that warms up after its start, and says so."""

    def __init__(self, name: str, address: Address, control: int) -> None:
        super().__init__(name, address, run_s=0.05)
        #: Number of the control host that gets its heartbeats.
        self.control = control
        #: When its process started, and is warm, in seconds.
        self.started_at = self.warm_at = math.inf
        #: When the warm-ups began and ended of which the arrivals are judged.
        self.warm_ups: list[tuple[float, float]] = []
        self.sequence = 0

    def start(self, now: float) -> None:
        """Start the process, or start it anew."""
        self.started_at, self.sequence = now, 0
        self.warm_up(now)

    def warm_up(self, now: float, reaction_s: float = 0.0) -> None:
        """Begin a warm-up.

        :param now: the current time, in seconds.
        :param reaction_s: time in which hosts can't know of it, in seconds.
        """
        self.warm_at = now + WARM_UP_S
        self.warm_ups.append((now + reaction_s, self.warm_at))

    def is_running(self, now: float) -> bool:
        return now >= self.started_at

    def respond(self, now: float) -> ResponseSignals:
        return ResponseSignals(warm_up_s=max(self.warm_at - now, 0.0))

    def beat(self, now: float) -> TargetHeartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        return TargetHeartbeat(
            target=self.name,
            born=int(self.started_at * 1000),
            sequence=self.sequence,
            service=ForwardingSite.service,
            address=self.address,
            zone="z",
            slots=64,
            readiness=Readiness.READY,
            warm_up_left_ms=max(self.warm_at - now, 0.0) * 1000,
        )

    def find_largest_second(self) -> int:
        """Return the most requests that arrived in one second of a warm-up."""
        arrivals = sorted(at for at, _ in self.arrivals)
        most = 0
        for begun_at, warm_at in self.warm_ups:
            judged = arrivals[bisect_left(arrivals, begun_at) :]
            judged = judged[: bisect_left(judged, warm_at)]
            for first, at in enumerate(judged):
                most = max(most, bisect_left(judged, at + 1.0) - first)
        return most

    def measure_use(self, since: float, until: float) -> float:
        """Return the share of the warm-up rate that was used in a period."""
        used = sum(since <= at < until for at, _ in self.arrivals)
        return used / (RATE * (until - since))


class SimulatedControl:
    """A control host: its targets, and the entry hosts that poll it."""

    def __init__(self, number: int) -> None:
        self.address = Address(f"10.9.0.{number}", 1)
        self.registry = TargetRegistry(heartbeat_s=1.0)
        self.live = LiveHosts(HOST_EXPIRY_S)
        self.crashes = CrashTable()
        #: When each entry host's query is answered without news, in seconds.
        self.answer_at: dict[Address, float] = {}


class _GatedConnection(_Connection):
    """Connection whose host may be suspended, or gone, before it sends."""

    is_given_up = False

    async def send(
        self, method: str, path: str, headers: tuple[Any, ...], body: bytes
    ) -> None:
        await cast("WarmingSite", self._site).wait_until_awake(self._host)
        await super().send(method, path, headers, body)


class _GatedUpstream(HostUpstream):
    """Connections of one host to targets that start and end."""

    def __init__(self, site: WarmingSite, host: str) -> None:
        self._site, self._host = site, host

    async def is_refused(self, address: Address) -> bool:
        return not self._site.targets[address].is_running(read_monotonic())

    async def acquire(
        self, address: Address, timeout: float, *, max_idle_s: float = math.inf
    ) -> _GatedConnection:
        target = self._site.targets[address]
        if not target.is_running(read_monotonic()):
            raise TargetRefusedError("not connected: Connection refused")
        return _GatedConnection(self._site, self._host, target)


class WarmingSite(ForwardingSite):
    """Entry hosts, three control hosts and targets that start at any time.

    :param hosts: number of entry hosts.
    :param targets: number of targets; none runs until it is started.
    :param engine: limits of the targets if they are model engines; None for others.
    :param seed: seed of the traffic and of the hosts' choices.
    :param rate: requests a second to a warming target by the document; None for no
        restriction.
    """

    def __init__(
        self,
        hosts: int,
        targets: int,
        *,
        engine: EngineLimits | None = None,
        seed: int = 1,
        rate: float | None = RATE,
    ) -> None:
        self._rate = rate
        #: Names of hosts that were killed.
        self.killed: set[str] = set()
        #: Until when hosts are suspended, by name, in seconds.
        self.suspended: dict[str, float] = {}
        #: Pairs of a host's and a control host's address that can't reach each other.
        self.unheard: set[tuple[Address, Address]] = set()
        self.simulated_controls = [SimulatedControl(at) for at in range(3)]
        super().__init__(hosts, 0, engine=engine, seed=seed)
        self.warming: list[WarmingTarget] = []
        for at in range(targets):
            address = Address(f"10.1.64.{at}", 8200)
            target = WarmingTarget(f"i-{at:04x}", address, at % 3)
            self.targets[address] = target
            self.warming.append(target)

    def start_host(self, name: str, address: Address, started: int = 1) -> None:
        context = make_host(
            self,
            name,
            address,
            Wire(),
            started,
            warm_up_overage=BOUND.overage,
            warm_up_slack=BOUND.slack,
        )
        context.upstream = cast("Any", _GatedUpstream(self, name))
        self.contexts[address] = context

    def is_awake(self, host: EntryHost) -> bool:
        """Whether a host runs and isn't suspended."""
        return host.host not in self.killed and host.address not in self.silent

    def kill(self, host: EntryHost) -> None:
        """End a host's process; connections to it are refused."""
        self.killed.add(host.host)
        self.contexts.pop(host.address, None)

    async def suspend(self, host: EntryHost, seconds: float) -> None:
        """Suspend a host for a time; then it goes on with what it knew."""
        self.suspended[host.host] = read_monotonic() + seconds
        self.silent.add(host.address)
        await curio.sleep(seconds)
        self.silent.discard(host.address)

    async def wait_until_awake(self, host: str) -> None:
        """Wait while a host is suspended; for ever if it was killed."""
        if host in self.killed:
            await curio.sleep(FOREVER_S)
        left_s = self.suspended.get(host, 0.0) - read_monotonic()
        if left_s > 0:
            await curio.sleep(left_s + self.rng.random() * DELAY_S)

    async def run_hosts(self) -> None:
        for control in self.simulated_controls:
            await curio.spawn(self._run_control, control, daemon=True)
        for target in self.warming:
            await curio.spawn(self._send_heartbeats, target, daemon=True)
        while True:
            for context in tuple(self.contexts.values()):
                if self.is_awake(context.own):
                    await curio.spawn(self._tick, context, daemon=True)
            await curio.sleep(TICK_S)

    async def _send_heartbeats(self, target: WarmingTarget) -> None:
        control = self.simulated_controls[target.control]
        while True:
            now = read_monotonic()
            if target.is_running(now):
                await curio.sleep(DELAY_S)
                beat = target.beat(read_monotonic())
                control.registry.handle_heartbeat(beat, read_monotonic())
                await curio.sleep(1.0)
            else:
                await curio.sleep(0.005)

    async def _run_control(self, control: SimulatedControl) -> None:
        await curio.sleep(self.rng.random() * CONTROL_TICK_S)
        while True:
            now = read_monotonic()
            control.registry.tick(now)
            for address, context in tuple(self.contexts.items()):
                if self.has_control and self._is_heard(control, context.own):
                    await self._answer(control, address, now)
            await curio.sleep(CONTROL_TICK_S)

    def _is_heard(self, control: SimulatedControl, host: EntryHost) -> bool:
        is_cut = (host.address, control.address) in self.unheard
        return self.is_awake(host) and not is_cut

    async def _answer(
        self, control: SimulatedControl, address: Address, now: float
    ) -> None:
        """Answer a host's query if there is news, or it was held for long enough."""
        context = self.contexts[address]
        incarnation, position = context.targets.find_position(control.address)
        if not incarnation:
            position = 0
        answer_at = control.answer_at.get(address, now - self.rng.random() * HOLD_S)
        known_crashes = context.crashes.find_known_revision(
            control.address, incarnation
        )
        has_news = (
            position < control.registry.position
            or known_crashes < control.crashes.revision
        )
        if now < answer_at and not has_news:
            control.answer_at[address] = answer_at
            return
        control.answer_at[address] = now + HOLD_S
        query = context.make_query(control.address)
        if query.crash_news is not None:
            control.crashes.apply(query.crash_news, now)
        control.live.record(context.own, now)
        service = ForwardService(
            name=self.service, max_connections=400, engine=self._engine
        )
        if self._rate is not None:
            service = ForwardService(
                name=self.service,
                max_connections=400,
                engine=self._engine,
                warm_up_rate=self._rate,
                warm_up_s=WARM_UP_S,
            )
        page = FeedPage(
            incarnation="1",
            position=control.registry.position,
            changes=control.registry.list_changes(position, now),
            deployment=Deployment(version=1, routes=(ROUTE,), services=(service,)),
            version=1,
            confirmed=True,
            control=tuple(each.address for each in self.simulated_controls),
            entries=control.live.list_live(now),
            entries_revision=control.live.revision,
            crash_news=control.crashes.list_news(known_crashes, now),
            heard_crash_revision=(
                query.crash_news.revision if query.crash_news is not None else 0
            ),
        )
        await context.handle_page(control.address, page, now)

    async def send_traffic(self, per_s: float, seconds: float) -> None:
        until = read_monotonic() + seconds
        while read_monotonic() < until:
            await curio.sleep(self.rng.expovariate(per_s))
            awake = [x for x in self.contexts.values() if self.is_awake(x.own)]
            if awake:
                context = self.rng.choice(awake)
                await curio.spawn(self._forward, context, daemon=True)
