"""A simulated network of directories in virtual time, for tests."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable

from bramleyspread_core import (
    Address,
    Announcement,
    ContractWatch,
    HostName,
    PeerMessage,
    PeerSend,
    PoolName,
    ServiceName,
    TargetName,
    TargetState,
    ZoneName,
)
from bramleyspread_membership import DirectoryConfig, EntryDirectory, SeedHost

POOL = PoolName(ServiceName("language-model"), "engines")
TICK_S = 0.1
ANNOUNCE_INTERVAL_S = 0.5


class Network:
    """Directories with separate clocks, connected by links that can fail."""

    def __init__(self, zones: dict[str, int], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        #: Probability that a message is lost.
        self.loss = 0.0
        #: Probability that a message is sent twice.
        self.duplication = 0.0
        #: Pairs of sender and receiver between which all messages are lost.
        self.blocked_links: set[tuple[str, str]] = set()
        #: Hosts whose processes are suspended; messages to them are delivered once they
        #: resume.
        self.suspended_hosts: set[str] = set()
        self.hosts: dict[str, EntryDirectory] = {}
        #: Difference between the clock of each host and virtual time, in seconds.
        self.clock_offsets_s: dict[str, float] = {}
        #: The zone of each host, running or not.
        self.zones = {f"{z}-{n}": z for z, count in zones.items() for n in range(count)}
        #: The newest announcement of each target.
        self.targets: dict[str, Announcement] = {}
        #: The hosts that each target announces itself to, one at a time at random.
        self.announce_hosts: dict[str, list[str]] = {}
        self.bytes_sent = 0
        #: Additional delay of all messages of a sender.
        self.extra_delay_s: dict[str, float] = {}
        self._incarnations = 0
        self._events: list[tuple[float, int, str, PeerMessage]] = []
        self._event_count = 0
        for host in self.zones:
            self.start(host)

    def address(self, host: str) -> Address:
        return Address("10.0.0.1", 1000 + list(self.zones).index(host))

    def start(self, host: str, seeds: Iterable[str] | None = None) -> None:
        self._incarnations += 1
        self.clock_offsets_s[host] = self.rng.uniform(0, 1e6)
        names = [name for name in (seeds or self.zones) if name != host]
        seed_hosts = tuple(
            SeedHost(HostName(n), ZoneName(self.zones[n]), self.address(n))
            for n in names
        )
        config = DirectoryConfig(
            HostName(host),
            ZoneName(self.zones[host]),
            self.address(host),
            self._incarnations,
            seed_hosts,
        )
        rng = random.Random(self.rng.random())
        watch = ContractWatch(strict=True)
        self.hosts[host] = EntryDirectory.from_config(
            config, rng, self.clock(host), watch
        )

    def kill(self, host: str) -> None:
        del self.hosts[host]

    def clock(self, host: str) -> float:
        return self.clock_offsets_s[host] + self.now

    def block_links(self, sender_prefix: str, receiver_prefix: str) -> None:
        """Drop all messages from hosts with one name prefix to hosts with another."""
        for sender in self.zones:
            for receiver in self.zones:
                if (
                    sender != receiver
                    and sender.startswith(sender_prefix)
                    and receiver.startswith(receiver_prefix)
                ):
                    self.blocked_links.add((sender, receiver))

    def add_target(
        self, name: str, zone: str, announce_hosts: list[str] | None = None
    ) -> None:
        """Add a target that announces itself to the given hosts, by default to all."""
        self.targets[name] = Announcement(
            TargetName(name),
            1,
            0,
            POOL,
            Address("10.0.1.1", 2000 + len(self.targets)),
            ZoneName(zone),
        )
        self.announce_hosts[name] = announce_hosts or list(self.zones)

    def announce(self, name: str, host: str | None = None) -> None:
        """Send a target's next announcement to a host, by default a random one."""
        old = self.targets[name]
        fields = {f: getattr(old, f) for f in old.__struct_fields__}
        fields["sequence"] += 1
        self.targets[name] = Announcement(**fields)
        host = host or self.rng.choice(self.announce_hosts[name])
        if host in self.hosts and host not in self.suspended_hosts:
            directory = self.hosts[host]
            self.enqueue(
                host,
                directory.handle_announcement(self.targets[name], self.clock(host)),
            )

    def mark_leaving(self, name: str) -> None:
        self.change_target(name, state=TargetState.LEAVING)

    def change_target(self, name: str, **changes: object) -> None:
        old = self.targets[name]
        fields = {f: getattr(old, f) for f in old.__struct_fields__} | changes
        self.targets[name] = Announcement(**fields)

    def enqueue(self, sender: str, sends: Iterable[PeerSend]) -> None:
        for send in sends:
            receiver = send.message.receiver
            self.bytes_sent += len(bytes(send.message.body))
            for _ in range(2 if self.rng.random() < self.duplication else 1):
                if (
                    sender,
                    receiver,
                ) in self.blocked_links or self.rng.random() < self.loss:
                    continue
                self._event_count += 1
                delay = self.rng.uniform(0.001, 0.01) + self.extra_delay_s.get(
                    sender, 0.0
                )
                event = (self.now + delay, self._event_count, receiver, send.message)
                heapq.heappush(self._events, event)

    def run(self, seconds: float, announcing: bool = True) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self._deliver(min(end, self.now + TICK_S))
            for host in list(self.hosts):
                if host not in self.suspended_hosts:
                    self.enqueue(host, self.hosts[host].tick(self.clock(host)))
            if (
                announcing
                and round(self.now / TICK_S) % round(ANNOUNCE_INTERVAL_S / TICK_S) == 0
            ):
                for name in self.rng.sample(list(self.targets), len(self.targets)):
                    self.announce(name)

    def usable_targets(self, host: str, pool: PoolName = POOL) -> set[str]:
        views = self.hosts[host].list_usable(pool, self.clock(host))
        return {view.announcement.target for view in views}

    def hosts_where_usable(self, name: str) -> set[str]:
        """List the hosts on which a target is usable."""
        return {host for host in self.hosts if name in self.usable_targets(host)}

    def _deliver(self, until: float) -> None:
        deferred = []
        while self._events and self._events[0][0] <= until:
            at, _, receiver, message = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if receiver in self.suspended_hosts:
                deferred.append((until + TICK_S, self._event_count, receiver, message))
                self._event_count += 1
            elif receiver in self.hosts:
                directory = self.hosts[receiver]
                self.enqueue(
                    receiver, directory.handle_message(message, self.clock(receiver))
                )
        for event in deferred:
            heapq.heappush(self._events, event)
        self.now = until
