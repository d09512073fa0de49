"""Entry hosts of which some are partitioned from all targets, in virtual time."""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum
from types import SimpleNamespace
from typing import Any, cast

import curio
import msgspec

from bramleyspread_core import Address, EngineLimits
from bramleyspread_daemon._client import (
    ConnectionClosedError,
    RequestNotSentError,
    TargetRefusedError,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._relay import ASK_TIMEOUT_S, CONNECT_TIMEOUT_S
from bramleyspread_daemon.forward._target_connector import (
    TICK_INTERVAL_S,
    RelayUnavailableError,
    TargetConnector,
)
from bramleyspread_daemon.forward._upstream import UNACKNOWLEDGED_TIMEOUT_MS
from bramleyspread_daemon.forward.tests.connected_hosts import DELAY_S
from bramleyspread_daemon.forward.tests.crashing_site import CrashingSite
from bramleyspread_daemon.forward.tests.crashing_target import CrashingTarget, work
from bramleyspread_daemon.forward.tests.forwarding_site import (
    ENGINE,
    HostUpstream,
)
from bramleyspread_daemon.forward.tests.uncounted import UncountedConnection
from bramleyspread_forwarding import EntryHost, ForwardRequest, RelayChoice

#: Time in which unacknowledged bytes close a connection, in seconds.
HANG_S = UNACKNOWLEDGED_TIMEOUT_MS / 1_000
#: How long a kept connection may be idle, in seconds.
KEPT_S = 2.0
#: Time after the beginning of a partition from which requests count, in seconds.
CONTACT_S = 3.0
#: Time until a target begins to answer, and for which it goes on, in seconds.
BEGIN_S, EVENTS, EVENT_S = (0.05, 0.2), 4, 0.05


class Manner(Enum):
    """What happens to the connections of a host that is partitioned."""

    #: All hang.
    HANG = "hang"
    #: Open ones are reset, new ones are refused.
    RESET = "reset"
    #: Open ones are reset, new ones hang.
    RESET_THEN_HANG = "reset-then-hang"
    #: Open ones go on, new ones are refused.
    REFUSE_NEW = "refuse-new"


class _Connection(UncountedConnection):
    """Connection of one host to a target, by which path ever."""

    ends_by_closing = False
    was_used = False

    def __init__(self, site: PartitionedSite, via: Address, at: CrashingTarget) -> None:
        self._site, self.via, self._target = site, via, at
        self._life: Any = at.connect()
        self._request = ""
        self._events = 0
        #: When its last answer ended, in seconds.
        self.idle_since = read_monotonic()
        #: Address of the target.
        self.address = at.address

    async def send(
        self, method: str, path: str, headers: tuple[Any, ...], body: bytes
    ) -> None:
        self._request, self._events = headers[0][1].decode(), 0
        await self._pass_path()
        arrival = (read_monotonic(), self._site.names[self.via], self._request)
        self._target.arrivals.append(cast("Any", arrival))

    async def _pass_path(self) -> None:
        manner = self._site.partitioned.get(self.via)
        if manner is Manner.HANG:
            await curio.sleep(HANG_S)
        if manner not in (None, Manner.REFUSE_NEW):
            raise ConnectionClosedError("reset")
        await curio.sleep(DELAY_S)

    async def read_head(self) -> SimpleNamespace:
        await work(self._life, self._site.rng.uniform(*BEGIN_S))
        await self._pass_path()
        return SimpleNamespace(status_code=200, headers=self._request)

    async def read_chunk(self) -> bytes:
        await work(self._life, EVENT_S)
        await self._pass_path()
        self._events += 1
        return b"id: %d\ndata: a\n\n" % self._events if self._events <= EVENTS else b""

    async def read_body(self, max_bytes: int = 0) -> bytes:
        while chunk := await self.read_chunk():
            assert chunk
        return b"whole"

    async def close(self) -> None:
        pass


class _Upstream(HostUpstream):
    """Connections of one host to targets, some of which it keeps."""

    def __init__(self, site: PartitionedSite, own: Address) -> None:
        self._site, self._own = site, own
        self._idle: dict[Address, list[_Connection]] = {}
        context = site.contexts[own]
        self.connector: TargetConnector[_Connection] = TargetConnector(
            lambda address, timeout: site.open_direct(own, address, timeout),
            site.open_relayed,
            RelayChoice(context.own, site.rng),
            context.list_hosts,
            context.targets.list_addresses,
            self._close_idle_to,
        )

    async def _close_idle_to(self, address: Address) -> None:
        self._idle.pop(address, None)

    async def acquire(
        self, address: Address, timeout: float, *, max_idle_s: float = math.inf
    ) -> _Connection:
        idle = self._idle.get(address, [])
        while idle and max_idle_s > 0:
            connection = idle.pop()
            may_hang = connection.via == self._own and self.connector.paths.is_silent(
                address
            )
            idle_s = read_monotonic() - connection.idle_since
            if idle_s < min(KEPT_S, max_idle_s) and not may_hang:
                return connection
        return await self.connector.open(address, timeout)

    async def is_refused(self, address: Address) -> bool:
        return await self.connector.is_refused(address, CONNECT_TIMEOUT_S)

    async def release_connection(self, *released: Any) -> None:
        connection = released[0]
        connection.idle_since = read_monotonic()
        self._idle.setdefault(connection.address, []).append(connection)


class PartitionedSite(CrashingSite):
    """Entry and control hosts before targets that some of the hosts don't reach.

    :param hosts: number of entry hosts.
    :param targets: number of targets.
    :param engine: limits of the targets if they are model engines; None for others.
    :param zones: number of availability zones.
    :param contact_s: time after the beginning of a partition from which requests
        count, in seconds.
    :param deadline_s: the callers' deadline, in seconds; None for the route's timeout.
    :param seed: seed of the traffic and of the hosts' choices.
    """

    def __init__(
        self,
        hosts: int,
        targets: int,
        *,
        engine: EngineLimits | None = ENGINE,
        zones: int = 1,
        contact_s: float = CONTACT_S,
        deadline_s: float | None = None,
        seed: int = 1,
    ) -> None:
        self._zones = zones
        self._contact_s = contact_s
        self._deadline_s = deadline_s
        #: Entry hosts that reach no target, and what happens to their connections.
        self.partitioned: dict[Address, Manner] = {}
        #: Names of the entry hosts by address.
        self.names: dict[Address, str] = {}
        #: Number of first attempts, and of those that were served, by whether the host
        #: was partitioned for some time then.
        self.counts: Counter[tuple[bool, bool]] = Counter()
        #: How long requests were held that were refused, in seconds.
        self.refused_after_s: list[float] = []
        #: How long requests took that were served at partitioned hosts, in seconds.
        self.served_in_s: list[float] = []
        self._partitioned_at = math.inf
        super().__init__(hosts, targets, engine=engine, seed=seed)

    def start_host(self, name: str, address: Address, started: int = 1) -> None:
        """Start an entry host, or start it anew with nothing that it knew."""
        super().start_host(name, address, started)
        self.names[address] = name
        self.contexts[address].upstream = cast("Any", _Upstream(self, address))

    async def open_direct(
        self, host: Address, address: Address, timeout: float
    ) -> _Connection:
        """Open a connection of a host to a target."""
        manner = self.partitioned.get(host)
        if manner in (Manner.HANG, Manner.RESET_THEN_HANG):
            await curio.sleep(timeout)
            raise RequestNotSentError("not connected in time")
        await curio.sleep(DELAY_S)
        if manner is not None or not self.targets[address].is_running:
            raise TargetRefusedError("not connected: Connection refused")
        return _Connection(self, host, self.targets[address])

    async def open_relayed(self, relay: EntryHost, address: Address) -> _Connection:
        """Open a connection to a target through another host."""
        # A relay goes on trying when the host that asked has given up.
        task = await curio.spawn(self._relay, relay.address, address, daemon=True)
        try:
            answer = await curio.timeout_after(ASK_TIMEOUT_S, task.join)
        except curio.TaskTimeout:
            raise RelayUnavailableError("no answer from the relay") from None
        if isinstance(answer, RequestNotSentError):
            raise answer
        return cast("_Connection", answer)

    async def _relay(
        self, relay: Address, address: Address
    ) -> _Connection | RequestNotSentError:
        await curio.sleep(2 * DELAY_S)
        if relay in self.silent:
            await curio.sleep(ASK_TIMEOUT_S)
        connector = cast("Any", self.contexts[relay].upstream).connector
        try:
            connection: _Connection = await connector.open_for_other_host(
                address, CONNECT_TIMEOUT_S
            )
        except RequestNotSentError as error:
            return error
        return connection

    async def _tick_paths(self) -> None:
        while True:
            for context in tuple(self.contexts.values()):
                connector = cast("Any", context.upstream).connector
                await curio.spawn(connector.tick, daemon=True)
            await curio.sleep(TICK_INTERVAL_S)

    async def run(self) -> None:
        """Start all that runs besides the traffic, and wait until hosts are ready."""
        await curio.spawn(self._tick_paths, daemon=True)
        await super().run()

    def find_zone(self, address: Address) -> str:
        """Find the availability zone of a host or target."""
        return f"z{int(address.ip.rpartition('.')[2]) % self._zones}"

    def list_zone(self, *zones: str) -> list[Address]:
        """List the entry hosts of some zones."""
        return [x for x in self.contexts if self.find_zone(x) in zones]

    def make_request(self) -> ForwardRequest:
        """Make a request with the callers' deadline."""
        request = super().make_request()
        if self._deadline_s is None:
            return request
        deadline_ms = self._deadline_s * 1_000
        return msgspec.structs.replace(request, deadline_ms=deadline_ms)

    def partition(self, hosts: list[Address], manner: Manner) -> None:
        """Partition entry hosts from all targets."""
        self._partitioned_at = read_monotonic()
        self.partitioned = dict.fromkeys(hosts, manner)

    def heal(self) -> None:
        """Let all hosts reach the targets again."""
        self.partitioned = {}
        self._partitioned_at = math.inf

    async def forward(
        self,
        address: Address,
        request: ForwardRequest,
        is_fatal: bool = False,
        ends: Counter[str] | None = None,
    ) -> None:
        """Forward a request at a host, and count how its first attempt ends."""
        sent_at = read_monotonic()
        is_counted = sent_at >= self._partitioned_at + self._contact_s
        is_partitioned = address in self.partitioned
        own_ends: Counter[str] = Counter()
        await super().forward(address, request, is_fatal, own_ends)
        self.ends[is_fatal] += own_ends
        elapsed_s = read_monotonic() - sent_at
        if own_ends["503"]:
            self.refused_after_s.append(elapsed_s)
        if is_counted:
            is_served = own_ends["whole"] > 0
            self.counts[is_partitioned, is_served] += 1
            if is_served and is_partitioned:
                self.served_in_s.append(elapsed_s)

    def find_served_share(self, *, is_partitioned: bool) -> float:
        """Find the share of first attempts that were served at some hosts."""
        served = self.counts[is_partitioned, True]
        return served / max(served + self.counts[is_partitioned, False], 1)
