"""Control hosts on an in-memory network with virtual time, driven by one seed."""

from __future__ import annotations

import heapq
import random
from typing import Any

import msgspec

from bramleyspread_control import (
    ControlConfig,
    ControlHost,
    ControlMember,
    ControlTimings,
    MemoryDisk,
    RecoveringControlHost,
)
from bramleyspread_core import (
    Address,
    Brand,
    Claim,
    ClaimKey,
    Command,
    CommandResult,
    HostName,
    NotLeader,
    PeerSend,
    RequestId,
    ServiceName,
    Settle,
    SubmitDocument,
    UnstampedEvent,
    ZoneName,
)

#: Interval between two ticks, in seconds.
TICK_S = 0.01
#: Minimum one-way network delay, in seconds; the maximum is twice as long.
ONE_WAY_DELAY_S = 0.001


class Cluster:
    """Hosts ``a``, ``b``, ``c``…, their disks, and the network between them."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        groups: int = 1,
        timings: ControlTimings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.timings = timings or ControlTimings()
        names = "abcdefghij"[:size]
        self.members = tuple(
            ControlMember(
                HostName(name), ZoneName(f"z{name}"), Address("127.0.0.1", 7000 + i)
            )
            for i, name in enumerate(names)
        )
        self.groups = groups
        self.disks: dict[str, Any] = {name: MemoryDisk() for name in names}
        self.nodes: dict[str, ControlHost] = {}
        #: Pairs of sender and receiver whose messages are all lost.
        self.blocked: set[tuple[str, str]] = set()
        #: Hosts whose processes are suspended.
        self.suspended_hosts: set[str] = set()
        #: Default configuration of started hosts; arguments of ``start`` override it.
        self.start_options: dict[str, bool] = {}
        #: Probability that a message is lost.
        self.loss = 0.0
        self.replies: dict[int, CommandResult] = {}
        self.events: list[tuple[float, str, UnstampedEvent]] = []
        self._in_flight: list[tuple[float, int, PeerSend]] = []
        self._send_count = 0
        self._ticket = 0
        for name in names:
            self.start(name)

    def config(self, name: str, **changes: bool) -> ControlConfig:
        own = next(each for each in self.members if each.host == name)
        return ControlConfig(
            own.host,
            own.zone,
            own.address,
            self.members,
            self.groups,
            timings=self.timings,
            **{**self.start_options, **changes},
        )

    def start(self, name: str, **changes: bool) -> None:
        rng = random.Random(self.rng.getrandbits(64))
        self.nodes[name] = ControlHost.from_config(
            self.config(name, **changes), self.disks[name], rng, self.now
        )

    def kill(self, name: str, power_cut: bool = False) -> None:
        self.nodes.pop(name, None)
        disk = self.disks[name]
        self.disks[name] = disk.lose_power(self.rng) if power_cut else disk.copy()

    def lose_disk(self, name: str) -> None:
        self.nodes.pop(name, None)
        self.disks[name] = MemoryDisk()

    def isolate(self, name: str, inward: bool = True, outward: bool = True) -> None:
        for other in self.disks:
            if inward:
                self.blocked.add((other, name))
            if outward:
                self.blocked.add((name, other))

    def heal(self) -> None:
        self.blocked.clear()

    def step(self) -> None:
        self.now += TICK_S
        for name in list(self.nodes):
            if name not in self.suspended_hosts:
                self.nodes[name].tick(self.now)
                self.flush(name)
        self._deliver()

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.step()

    def run_until_leader(self, group: str = "0", seconds: float = 30.0) -> str:
        until = self.now + seconds
        while self.now < until:
            self.step()
            leader = self.find_leader(group)
            if leader is not None:
                return leader
        raise AssertionError("no leader elected in time")

    def find_leader(self, group: str = "0") -> str | None:
        newest: tuple[int, str] | None = None
        for name, node in self.nodes.items():
            status = node.report_status(self.now)
            replica = node._store.replicas[int(group)]
            if status.roles[group] == "leader" and replica.has_lease(self.now):
                newest = max(newest or (0, ""), (status.terms[group], name))
        return newest[1] if newest else None

    def flush(self, name: str) -> None:
        output = self.nodes[name].flush(self.now)
        for reply in output.replies:
            assert reply.ticket not in self.replies, (
                "received a second reply for a ticket"
            )
            self.replies[reply.ticket] = reply.result
        for event in output.events:
            self.events.append((self.now, name, event))
        for send in output.sends:
            self._send_count += 1
            due = self.now + ONE_WAY_DELAY_S * (1 + self.rng.random())
            heapq.heappush(self._in_flight, (due, self._send_count, send))

    def _deliver(self) -> None:
        """Deliver the messages due in this step, and the responses that they cause."""
        step_end = self.now + TICK_S
        while self._in_flight and self._in_flight[0][0] < step_end:
            _, _, send = heapq.heappop(self._in_flight)
            sender, receiver = send.message.sender, send.message.receiver
            lost = (sender, receiver) in self.blocked or self.rng.random() < self.loss
            if lost or receiver not in self.nodes or receiver in self.suspended_hosts:
                continue
            self.nodes[receiver].receive(send.message, self.now)
            self.flush(receiver)

    def propose(self, name: str, command: Command) -> int:
        self._ticket += 1
        self.nodes[name].propose(self._ticket, command, self.now)
        return self._ticket

    def call(
        self, command: Command, name: str | None = None, seconds: float = 10.0
    ) -> CommandResult | None:
        """Send a command to one host, or to random hosts until a leader answers."""
        until = self.now + seconds
        while self.now < until:
            target = name or self.rng.choice(sorted(self.nodes))
            ticket = self.propose(target, command)
            while ticket not in self.replies and self.now < until:
                self.step()
            result = self.replies.get(ticket)
            if name is not None or not isinstance(result, NotLeader | None):
                return result
            self.step()
        return None


def document(service: str = "photos", version: int = 1, extra: str = "") -> str:
    return f"service: {service}\nversion: {version}\nteam: booths\n{extra}"


def submit(
    change: str, service: str = "photos", version: int = 1, author: str = "ana"
) -> SubmitDocument:
    return SubmitDocument(change, author, document(service, version))


def key(name: str = "pay-1") -> ClaimKey:
    return ClaimKey(Brand("inkabooth", "fast"), ServiceName("ledger"), name)


def claim(
    request: str, name: str = "pay-1", digest: str = "d", remaining_ms: int = 4_000
) -> Claim:
    return Claim(
        key(name), RequestId(request), digest, HostName("entry-1"), remaining_ms
    )


def settle(request: str, ended: str, name: str = "pay-1") -> Settle:
    answer = msgspec.Raw(b'{"paid":true}') if ended == "done" else None
    return Settle(key(name), RequestId(request), ended, answer)


class SuspendingCluster(Cluster):
    """A cluster whose hosts are suspended while their disks fail."""

    def start(self, name: str, **changes: bool) -> None:
        config = self.config(name, **changes)

        def open_host(now: float) -> ControlHost:
            rng = random.Random(self.rng.getrandbits(64))
            return ControlHost.from_config(config, self.disks[name], rng, now)

        host: Any = RecoveringControlHost.from_config(config, open_host, self.now)
        self.nodes[name] = host
