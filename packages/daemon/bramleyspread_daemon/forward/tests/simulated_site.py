"""Entry hosts that batch pieces over links of a limited rate, in virtual time."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Any, cast

import curio

from bramleyspread_core import Address, PieceLimits, encode_json
from bramleyspread_daemon._client import ConnectionClosedError, Response
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import Headers, HttpRequest, Reply
from bramleyspread_daemon.forward._batching_hosts import PIECES_PATH, RELEASE_PATH
from bramleyspread_daemon.forward._host_watch import LIVE_PATH
from bramleyspread_daemon.forward._piece_service import PieceService
from bramleyspread_daemon.forward._service_directory import ServiceDirectory
from bramleyspread_forwarding import (
    BatchedCall,
    EntryHost,
    ForwardTarget,
    PieceJob,
    PieceRelease,
    PieceResult,
    ServiceShards,
    Shards,
)
from bramleyspread_forwarding.tests.builders import make_access

#: Approximate size of the head of an HTTP message, in bytes.
HEAD_BYTES = 130
#: Time that a message takes in addition to its transmission, in seconds.
DELAY_S = 0.0005
#: Longer than any test, in seconds.
FOREVER_S = 1e6
#: Interval between two ticks of a host, in seconds.
TICK_S = 0.05


class Link:
    """One host's link, which carries one message at a time in each direction."""

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * 1e6 / 8
        self._free_at = {"sent": 0.0, "received": 0.0}
        #: Bytes carried, by direction.
        self.bytes = {"sent": 0, "received": 0}

    async def carry(self, direction: str, size: int) -> None:
        """Wait until a message has passed the link."""
        size += HEAD_BYTES
        self.bytes[direction] += size
        now = read_monotonic()
        starts_at = max(now, self._free_at[direction])
        self._free_at[direction] = starts_at + size / self._bytes_per_s
        await curio.sleep(self._free_at[direction] - now + DELAY_S)


class KeptReply:
    """Keeps a complete response for the simulated connection to send."""

    unsent_bytes = 0

    def __init__(self) -> None:
        self.response: Response | None = None

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        self.response = Response(status, body)


class SimulatedPeers:
    """Connections of one host to the others, over both hosts' links."""

    def __init__(self, site: SimulatedSite, own: Address) -> None:
        self._site = site
        self._own = own

    async def request(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: float,
        method: str = "POST",
        connect_timeout: float = 1.0,
    ) -> Response:
        try:
            response: Response = await curio.timeout_after(
                timeout, self._exchange, address, path, body, method
            )
        except curio.TaskTimeout:
            raise ConnectionClosedError("no whole answer in time") from None
        return response

    async def _exchange(
        self, address: Address, path: str, body: bytes, method: str
    ) -> Response:
        own_link, peer_link = self._site.links[self._own], self._site.links[address]
        if address in self._site.silent_hosts:
            await curio.sleep(FOREVER_S)
        await own_link.carry("sent", len(body))
        await peer_link.carry("received", len(body))
        connection = KeptReply()
        reply = Reply(cast("Any", connection))
        service = self._site.services[address]
        request = HttpRequest(method, path, "", {}, body)
        if path == LIVE_PATH:
            reply.send(200, b"")
        elif path == PIECES_PATH:
            await service.serve(request, reply)
        else:
            assert path == RELEASE_PATH, path
            await service.releases.serve(request, reply)
        while connection.response is None:
            await curio.sleep(0.001)
        response = connection.response
        await peer_link.carry("sent", len(response.body))
        await own_link.carry("received", len(response.body))
        return response


class SimulatedCalls:
    """Calls of one host to targets, which take as long as the limits say."""

    def __init__(self, site: SimulatedSite, own: Address) -> None:
        self._site = site
        self._link = site.links[own]

    async def send(self, call: BatchedCall) -> tuple[PieceResult, ...]:
        await self._link.carry("sent", len(encode_json(call.items)))
        site, target = self._site, call.target
        now = read_monotonic()
        starts_at = max(now, site.target_free_at.get(target.target, 0.0))
        limits = site.limits
        ends_at = starts_at + (limits.call_ms + len(call.items) * limits.piece_ms) / 1e3
        site.target_free_at[target.target] = ends_at
        site.add_busy_time(ends_at - starts_at)
        await curio.sleep(ends_at - now)
        results = tuple(
            PieceResult(f"{target.address}/{next_handle(site)}", None, target.zone)
            for _ in call.items
        )
        await self._link.carry("received", sum(len(x.handle) + 14 for x in results))
        return results

    async def release(self, handles: Iterable[str], share: float) -> tuple[str, ...]:
        by_target: dict[str, list[str]] = {}
        for handle in handles:
            by_target.setdefault(handle.partition("/")[0], []).append(handle)
        for own_handles in by_target.values():
            await self._link.carry("sent", len(encode_json(own_handles)))
        return ()


def next_handle(site: SimulatedSite) -> str:
    """Return a handle that no other result has."""
    site.made += 1
    return f"{zlib.crc32(str(site.made).encode()):08x}{site.made % 4096:03x}"


class SimulatedSite:
    """Entry hosts, their links, and the targets of one stage service.

    :param hosts: number of entry hosts.
    :param targets: number of targets.
    :param limits: limits of the targets.
    :param link_mbps: rate of each entry host's link, in Mbit/s.
    :param stated_mbps: rate that the hosts' settings state, if it is another one.
    """

    service = "mail"

    def __init__(
        self,
        hosts: int,
        targets: int,
        limits: PieceLimits,
        link_mbps: float,
        stated_mbps: float | None = None,
    ) -> None:
        self.limits = limits
        self.stated_mbps = link_mbps if stated_mbps is None else stated_mbps
        self.made = 0
        #: Addresses of hosts that answer nothing, although all hosts still list them.
        self.silent_hosts: set[Address] = set()
        self._busy_s = 0.0
        #: Longest time that a job took, whether it failed or not, in seconds.
        self.longest_s = 0.0
        self.target_free_at: dict[str, float] = {}
        #: The targets that accept work; tests may change them.
        self.targets = tuple(
            ForwardTarget(
                f"i-{at:08x}", Address(f"10.1.64.{at}", 8080), f"zone-{at % 5}", 1
            )
            for at in range(targets)
        )
        self.hosts = tuple(
            EntryHost(f"entry-{at}", f"zone-{at % 5}", Address(f"10.1.0.{at}", 7740), 1)
            for at in range(hosts)
        )
        self.links = {each.address: Link(link_mbps) for each in self.hosts}
        self.services = {each.address: self._make_service(each) for each in self.hosts}

    def _make_service(self, host: EntryHost) -> PieceService:
        directory = ServiceDirectory(
            lambda _: self.targets,
            lambda _: self.limits,
            lambda: self.hosts,
            self.stated_mbps,
        )
        calls = cast("Any", self.make_calls(host))
        peers = cast("Any", SimulatedPeers(self, host.address))
        return PieceService(host.host, directory, calls, peers, make_access())

    def make_calls(self, host: EntryHost) -> SimulatedCalls:
        """Make what sends a host's calls to targets."""
        return SimulatedCalls(self, host.address)

    def list_shards(self) -> Shards:
        """Return the targets of each shard, as the hosts see them."""
        shards = ServiceShards(self.stated_mbps)
        return shards.divide(self.service, self.targets, self.limits)

    def add_busy_time(self, seconds: float) -> None:
        """Count the work of one call."""
        self._busy_s += seconds

    def measure_busy_time(self) -> float:
        """Return for how long targets were at work so far, summed, in seconds."""
        now = read_monotonic()
        ahead = sum(max(0.0, each - now) for each in self.target_free_at.values())
        return self._busy_s - ahead

    async def run_ticks(self) -> None:
        """Tick all hosts for ever."""
        while True:
            for service in self.services.values():
                await service.tick()
            await curio.sleep(TICK_S)

    async def run_job(self, host: EntryHost, job: PieceJob) -> float | None:
        """Run a job for a host, and release its results.

        :returns: the time it took, in seconds; None if it failed.
        """
        started_at = read_monotonic()
        service = self.services[host.address]
        results = await service.run_job(job)
        elapsed_s = read_monotonic() - started_at
        self.longest_s = max(self.longest_s, elapsed_s)
        await self._release(service, results)
        return elapsed_s if all(each.handle for each in results) else None

    async def _release(
        self, service: PieceService, results: tuple[PieceResult, ...]
    ) -> None:
        handles = tuple(each.handle for each in results if each.handle)
        if handles:
            await service.releases.release(PieceRelease(self.service, handles))
