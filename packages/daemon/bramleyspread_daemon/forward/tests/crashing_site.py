"""Entry and control hosts before targets that some requests end, in virtual time."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
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
    OrganisationKeys,
    ZoneDrains,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import TargetRefusedError
from bramleyspread_daemon._clock import ProcessClock, read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._feed_link import FEED_PATH
from bramleyspread_daemon.forward._request_forwarder import RequestForwarder
from bramleyspread_daemon.forward._wire import TargetHead
from bramleyspread_daemon.forward.tests.connected_hosts import DELAY_S, make_host
from bramleyspread_daemon.forward.tests.crashing_target import (
    CrashingTarget,
    Fatal,
    work,
)
from bramleyspread_daemon.forward.tests.forwarding_site import (
    ENGINE,
    REQUEST,
    ROUTE,
    HostUpstream,
    Wire,
    make_head,
)
from bramleyspread_daemon.forward.tests.simulated_site import KeptReply
from bramleyspread_daemon.forward.tests.uncounted import UncountedConnection
from bramleyspread_forwarding import (
    FeedPage,
    ForwardRequest,
    Prompt,
    PromptPart,
    Readiness,
    ResponseSignals,
    TargetHeartbeat,
)

#: Interval between two ticks of an entry host and of a control host, in seconds.
TICK_S, CONTROL_TICK_S = 0.05, 0.02
#: Interval between two heartbeats of a target, in seconds.
HEARTBEAT_S = 1.2
#: Time until a target begins to answer, in seconds.
BEGIN_S = (0.05, 0.3)
#: Number of events of an answer, and the time between two, in seconds.
EVENTS, EVENT_S = 8, 0.05
#: Longest time after the beginning of an answer after which it ends its target.
FATAL_AFTER_S = 0.3
#: Number of parts among which the prompts' second parts are.
SUBJECTS = 40
#: Holder of all keys, unless a test names others.
HOLDER = OrganisationKeys(name="booths", keys=("k",))


class _Wire(Wire):
    """Wire format of targets that answer with streams, or as a whole."""

    def __init__(self, *, is_stream: bool) -> None:
        self._is_stream = is_stream

    def read_head(self, status: int, headers: Any) -> TargetHead:
        head = make_head(status, headers, ResponseSignals())
        return msgspec.structs.replace(head, is_stream=self._is_stream)


class _Connection(UncountedConnection):
    """Connection of one host to a target."""

    ends_by_closing = False
    was_used = False

    def __init__(self, site: CrashingSite, host: str, target: CrashingTarget) -> None:
        self._site, self._host, self._target = site, host, target
        self._life: Any = target.connect()
        self._request = REQUEST
        self._fatal = Fatal.NOT
        self._events = 0

    async def send(
        self, method: str, path: str, headers: tuple[Any, ...], body: bytes
    ) -> None:
        self._request = self._site.requests[headers[0][1].decode()]
        await curio.sleep(DELAY_S)
        if self._life.ended.is_set():
            return
        arrival = (read_monotonic(), self._host, self._request)
        self._target.arrivals.append(arrival)
        self._fatal = self._target.find_fatal(self._request)

    async def read_head(self) -> SimpleNamespace:
        await work(self._life, self._site.rng.uniform(*BEGIN_S))
        if self._fatal is Fatal.TO_RUN:
            await self._target.end(self._request)
        await work(self._life, DELAY_S)
        self._site.begun.add((self._request.request_id, self._target.address))
        return SimpleNamespace(status_code=200, headers=self._request.request_id)

    async def read_chunk(self) -> bytes:
        if self._fatal is Fatal.TO_WRITE:
            await work(self._life, self._site.rng.uniform(0.0, FATAL_AFTER_S))
            await self._target.end(self._request)
        await work(self._life, EVENT_S)
        self._events += 1
        return b"id: 1\ndata: a\n\n" if self._events <= EVENTS else b""

    async def read_body(self, max_bytes: int = 0) -> bytes:
        while chunk := await self.read_chunk():
            assert chunk
        return b"whole"

    async def close(self) -> None:
        pass


class _Upstream(HostUpstream):
    """Connections of one host to targets that may have ended."""

    def __init__(self, site: CrashingSite, host: str) -> None:
        self._site, self._host = site, host

    async def acquire(
        self, address: Address, timeout: float, *, max_idle_s: float = math.inf
    ) -> _Connection:
        target = self._site.targets[address]
        if not target.is_running:
            raise TargetRefusedError("not connected: Connection refused")
        return _Connection(self._site, self._host, target)

    async def is_refused(self, address: Address) -> bool:
        await curio.sleep(DELAY_S)
        return not self._site.targets[address].is_running


class _CallerReply:
    """Reply that counts how requests end."""

    unsent_bytes = 0

    def __init__(self, ends: Counter[str]) -> None:
        self._ends = ends
        self.begun = False

    def send(
        self, status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        self._ends["whole" if status == 200 else str(status)] += 1

    def begin_stream(self, status: int, headers: object) -> None:
        self.begun = True

    def send_chunk(self, chunk: bytes) -> None:
        pass

    def end(self) -> None:
        self._ends["whole"] += 1

    def abort(self) -> None:
        self._ends["cut off"] += 1


class _Node:
    """Replicated state of a control host."""

    def __init__(self, deployment: Deployment, controls: tuple[Address, ...]) -> None:
        self.deployment = deployment
        self.zone_drains = ZoneDrains()
        self._controls = controls

    def list_control_addresses(self) -> tuple[Address, ...]:
        return self._controls

    def is_deployment_confirmed(self, _: float) -> bool:
        return True


class CrashingSite:
    """Entry and control hosts with one service, whose targets some requests end.

    :param hosts: number of entry hosts.
    :param targets: number of targets.
    :param engine: limits of the targets if they are model engines; None for others.
    :param controls: number of control hosts.
    :param seed: seed of the traffic and of the hosts' choices.
    """

    service = "llm"

    def __init__(
        self,
        hosts: int,
        targets: int,
        *,
        engine: EngineLimits | None = ENGINE,
        controls: int = 3,
        route: ForwardRoute = ROUTE,
        seed: int = 1,
    ) -> None:
        self.rng = Random(seed)
        self.route = route
        self._is_streaming = engine is not None
        #: The organisations that send requests, in turn.
        self.holders: tuple[OrganisationKeys, ...] = (HOLDER,)
        self._number = 0
        #: Hosts that neither answer nor get an answer from other hosts.
        self.silent: set[Address] = set()
        #: Pairs of hosts that can't reach each other, control hosts included.
        self.cut_pairs: set[frozenset[Address]] = set()
        #: Bytes of messages between hosts, by path.
        self.message_bytes: Counter[str] = Counter()
        #: The requests by id.
        self.requests: dict[str, ForwardRequest] = {}
        #: Ids of the requests that a target began to answer, with its address.
        self.begun: set[tuple[str, Address]] = set()
        #: How requests ended that end targets, and how others did.
        self.ends: dict[bool, Counter[str]] = {True: Counter(), False: Counter()}
        #: When each request was sent, and whether it ends targets.
        self.sent: list[tuple[float, str, bool]] = []
        addresses = [Address(f"10.1.64.{at}", 8200) for at in range(targets)]
        self.targets = {
            x: CrashingTarget(f"i-{at:04x}", x) for at, x in enumerate(addresses)
        }
        self._deployment = Deployment(
            version=1,
            routes=(route,),
            services=(
                ForwardService(name=self.service, max_connections=400, engine=engine),
            ),
        )
        #: The control hosts by address.
        self.controls: dict[Address, ForwardControl] = {}
        self._control_addresses = tuple(
            Address(f"10.9.0.{at}", 1) for at in range(controls)
        )
        for address in self._control_addresses:
            self.start_control(address)
        #: The entry hosts by address.
        self.contexts: dict[Address, ForwardContext] = {}
        for at in range(hosts):
            self.start_host(f"entry-{at}", Address(f"10.1.{at // 200}.{at % 200}", 7))

    def start_control(self, address: Address, started: int = 1) -> None:
        """Start a control host, or start it anew with nothing in memory."""
        self.controls[address] = ForwardControl(
            cast("Any", _Node(self._deployment, self._control_addresses)),
            cast("Any", None),
            ConnectionPool(ProcessClock()),
            address,
            HEARTBEAT_S,
            f"{address}-{started}",
            is_first_start=started == 1,
        )

    def start_host(self, name: str, address: Address, started: int = 1) -> None:
        """Start an entry host, or start it anew with nothing that it knew."""
        wire = _Wire(is_stream=self._is_streaming)
        zone = self.find_zone(address)
        context = make_host(self, name, address, wire, started, zone)
        context.upstream = cast("Any", _Upstream(self, name))
        self.contexts[address] = context

    def find_zone(self, address: Address) -> str:
        """Find the availability zone of a host or target."""
        return "z"

    def restart_hosts(self, addresses: list[Address], started: int = 2) -> None:
        """Restart entry hosts at the same moment."""
        for address in addresses:
            self.start_host(self.contexts[address].own.host, address, started)

    async def run(self) -> None:
        """Start all that runs besides the traffic, and wait until hosts are ready."""
        await curio.spawn(self._send_heartbeats, daemon=True)
        await curio.spawn(self._tick_controls, daemon=True)
        await curio.spawn(self._tick_hosts, daemon=True)
        for control in self._control_addresses:
            for address in self.contexts:
                await curio.spawn(self._poll_forever, address, control, daemon=True)
        await curio.sleep(0.5)

    async def _send_heartbeats(self) -> None:
        sequence = 0
        controls = self._control_addresses
        while True:
            sequence += 1
            for at, target in enumerate(self.targets.values()):
                if not target.is_running:
                    continue
                heartbeat = self.make_heartbeat(target, sequence)
                control = self.controls[controls[(at + sequence) % len(controls)]]
                control.registry.handle_heartbeat(heartbeat, read_monotonic())
            await curio.sleep(HEARTBEAT_S / len(controls))

    def make_heartbeat(self, target: CrashingTarget, sequence: int) -> TargetHeartbeat:
        """Make a heartbeat of a target that runs."""
        return TargetHeartbeat(
            target=target.target,
            sequence=sequence,
            service=self.service,
            address=target.address,
            zone=self.find_zone(target.address),
            slots=64,
            readiness=Readiness.READY,
        )

    async def _tick_controls(self) -> None:
        while True:
            for control in tuple(self.controls.values()):
                await control.tick()
            await curio.sleep(CONTROL_TICK_S)

    async def _tick_hosts(self) -> None:
        while True:
            for address, context in tuple(self.contexts.items()):
                if address not in self.silent:
                    await curio.spawn(context.placement.tick, daemon=True)
                    await context.stream_keepers.tick()
                    await context.tick()
            await curio.sleep(TICK_S)

    async def _poll_forever(self, address: Address, control: Address) -> None:
        """Poll a control host for an entry host, whichever process runs there."""
        while True:
            await curio.sleep(0.001)
            pair = frozenset((address, control))
            if address in self.silent or pair in self.cut_pairs:
                await curio.sleep(TICK_S)
                continue
            context = self.contexts[address]
            requested_at = read_monotonic()
            body = encode_json(context.make_query(control))
            self.message_bytes[FEED_PATH] += len(body)
            kept = KeptReply()
            handle = self.controls[control].list_routes()["POST", FEED_PATH]
            await curio.sleep(DELAY_S)
            reply = Reply(cast("Any", kept))
            await handle(HttpRequest("POST", FEED_PATH, "", {}, body), reply)
            answer_by = read_monotonic() + 1.2
            while kept.response is None and read_monotonic() < answer_by:
                await curio.sleep(0.01)
            if kept.response is None or self.contexts[address] is not context:
                continue
            self.message_bytes[FEED_PATH] += len(kept.response.body)
            page: FeedPage = decode_json(kept.response.body, FeedPage)
            await context.handle_page(control, page, requested_at)

    async def send_traffic(
        self,
        per_s: float,
        seconds: float,
        fatal_share: float = 0.0,
        make_fatal: Callable[[ForwardRequest], ForwardRequest] | None = None,
    ) -> None:
        """Send requests to random hosts at random times.

        :param per_s: requests a second in the mean.
        :param seconds: for how long.
        :param fatal_share: share of requests that end targets.
        :param make_fatal: makes such a request from another one.
        """
        until = read_monotonic() + seconds
        while read_monotonic() < until:
            await curio.sleep(self.rng.expovariate(per_s))
            address = self.rng.choice(list(self.contexts))
            request = self.make_request()
            is_fatal = self.rng.random() < fatal_share
            if is_fatal and make_fatal is not None:
                request = make_fatal(request)
            await curio.spawn(self.forward, address, request, is_fatal, daemon=True)

    def make_request(self) -> ForwardRequest:
        """Make a request that ends no target."""
        self._number += 1
        subject = self.rng.randrange(SUBJECTS)
        parts = (
            PromptPart("all", 500),
            PromptPart(f"subject-{subject}", 900),
            PromptPart(f"own-{self._number}", 400),
        )
        return msgspec.structs.replace(
            REQUEST,
            request_id=str(self._number),
            path_and_query=f"/{self._number}",
            path=f"/{self._number}",
            prompt=Prompt(tokens_in=1_800, tokens_out=100, parts=parts),
        )

    async def forward(
        self,
        address: Address,
        request: ForwardRequest,
        is_fatal: bool = False,
        ends: Counter[str] | None = None,
    ) -> None:
        """Forward a request at a host.

        :param address: the host.
        :param request: the request.
        :param is_fatal: whether it ends targets.
        :param ends: counts how it ends; None for those of all requests of its kind.
        """
        self.requests[request.request_id] = request
        self.sent.append((read_monotonic(), request.request_id, is_fatal))
        reply = cast("Any", _CallerReply(self.ends[is_fatal] if ends is None else ends))
        wire = cast("Any", Wire())
        context = self.contexts[address]
        holder = self.holders[int(request.request_id) % len(self.holders)]
        forwarder = RequestForwarder(context, wire, request, self.route, holder, reply)
        await forwarder.run()

    def count_crashes(self) -> int:
        """Count the targets that ended."""
        return sum(len(each.crashes) for each in self.targets.values())

    def list_fatal_arrivals(self) -> list[float]:
        """List when requests that end targets reached one."""
        return sorted(
            at
            for target in self.targets.values()
            for at, _, request in target.arrivals
            if target.find_fatal(request) is not Fatal.NOT
        )

    def find_begun_share(self, since: float, until: float) -> float:
        """Find the share of sound requests that began at the first attempt."""
        first: dict[str, Address] = {}
        for target in self.targets.values():
            for _, _, request in target.arrivals:
                first.setdefault(request.request_id, target.address)
        sound = [x for at, x, fatal in self.sent if not fatal and since <= at < until]
        begun = [x for x in sound if x in first and (x, first[x]) in self.begun]
        return len(begun) / max(len(sound), 1)
