"""Benchmark of the cost of gossip for an entry host, measured in one process.

Each host is a real directory; only the network between them is simulated by a queue.
"""

from __future__ import annotations

import random
import resource
import time
from collections import deque
from collections.abc import Iterable, Iterator

from msgspec import Struct
from msgspec.structs import replace

from bramleyspread_core import (
    Address,
    Announcement,
    HostName,
    Load,
    LoadedModel,
    PeerMessage,
    PeerSend,
    PoolName,
    ServiceName,
    TargetName,
    ZoneName,
    encode_json,
)
from bramleyspread_membership import DirectoryConfig, EntryDirectory, SeedHost
from bramleyspread_proof._figures import Figure

#: Interval between two calls of ``tick``, in seconds.
TICK_S = 0.1
#: Approximate size of the start lines and headers of an HTTP exchange, in bytes.
HTTP_BYTES = 160
#: Time for which the directories run before the measurement, in seconds.
WARM_UP_S = 20.0
#: Numbers of zones, hosts and targets at the target size.
TARGET_SIZE = (10, 480, 11_000)

_BENCH = "membership"


class MembershipCost(Struct, frozen=True):
    """The mean cost of membership for one entry host."""

    #: Number of availability zones.
    zones: int
    #: Number of entry hosts.
    hosts: int
    #: Number of targets, spread evenly over the zones.
    targets: int
    #: Interval between two announcements of a target, in seconds.
    announce_interval_s: float
    #: Whether all announcements of a target reach the same host.
    sticky: bool
    #: Messages sent to other entry hosts per second.
    messages: float
    #: Bytes of these messages sent per second, without HTTP start lines and headers.
    bytes_sent: float
    #: Bytes of these messages sent per second, with HTTP start lines and headers.
    wire_bytes_sent: float
    #: Bytes of announcements received from targets per second, without HTTP headers.
    announcement_bytes_received: float
    #: Processor time, as a share of one core.
    core_share: float
    #: Memory used by a directory, in bytes.
    memory: float
    #: Minimum over all hosts of the number of usable targets in the host's own zone.
    min_usable_own_zone: int
    #: Mean number of usable targets in the host's own zone.
    mean_usable_own_zone: float
    #: Mean number of usable targets in other zones.
    mean_usable_other_zones: float


class _Deployment:
    """Directories connected by a message queue."""

    def __init__(
        self,
        zones: int,
        hosts: int,
        targets: int,
        announce_interval_s: float,
        sticky: bool,
        seed: int,
    ) -> None:
        self.sticky = sticky
        self.rng = random.Random(seed)
        self.now = 0.0
        self.announce_interval_s = announce_interval_s
        self.zones = [ZoneName(f"zone-{number % zones}") for number in range(hosts)]
        self.names = [HostName(f"entry-{number}") for number in range(hosts)]
        self.nodes = [self._start(number) for number in range(hosts)]
        self.index_by_host = {name: number for number, name in enumerate(self.names)}
        self.targets = [_make_target(n, zones) for n in range(targets)]
        self.hosts_by_zone = {
            zone: [n for n in range(hosts) if self.zones[n] == zone]
            for zone in set(self.zones)
        }
        self.queue: deque[PeerMessage] = deque()
        self.messages = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.processor_s = 0.0

    def _start(self, number: int) -> EntryDirectory:
        # Settings list the hosts of the own zone and the first of each other zone.
        zone = self.zones[number]
        firsts = {self.zones.index(each) for each in self.zones}
        seed_hosts = tuple(
            SeedHost(self.names[other], self.zones[other], _make_address(other))
            for other in range(len(self.zones))
            if other != number and (self.zones[other] == zone or other in firsts)
        )
        config = DirectoryConfig(
            self.names[number],
            zone,
            _make_address(number),
            1,
            seed_hosts,
            announce_interval_s=self.announce_interval_s,
        )
        rng = random.Random(self.rng.random())
        return EntryDirectory.from_config(config, rng, self.now)

    def run(self, seconds: float) -> None:
        """Run all directories for some virtual time."""
        steps = round(seconds / TICK_S)
        every = round(self.announce_interval_s / TICK_S)
        for _ in range(steps):
            step = round(self.now / TICK_S)
            began = time.process_time()
            for number in range(step % every, len(self.targets), every):
                self._announce(number)
            for node in self.nodes:
                self._enqueue(node.tick(self.now))
            while self.queue:
                message = self.queue.popleft()
                node = self.nodes[self.index_by_host[message.receiver]]
                self._enqueue(node.handle_message(message, self.now))
            self.processor_s += time.process_time() - began
            self.now += TICK_S

    def _announce(self, number: int) -> None:
        target = self.targets[number]
        load = Load(self.rng.randrange(8), self.rng.randrange(3), 8, 0.5, 40)
        target = replace(target, sequence=target.sequence + 1, load=load)
        self.targets[number] = target
        choices = self.hosts_by_zone[target.zone]
        zone_number = number // len(self.hosts_by_zone)
        host = choices[zone_number % len(choices)]
        if not self.sticky:
            host = self.rng.choice(choices)
        self._enqueue(self.nodes[host].handle_announcement(target, self.now))

    def _enqueue(self, sends: Iterable[PeerSend]) -> None:
        for send in sends:
            self.messages += 1
            self.bytes_sent += len(bytes(send.message.body)) + ENVELOPE_BYTES
            self.queue.append(send.message)

    def reset_counters(self) -> None:
        """Reset the counts of messages, bytes and processor time."""
        self.messages = self.bytes_sent = 0
        self.processor_s = 0.0

    def count_usable(self) -> tuple[int, float, float]:
        """Count the usable targets that the hosts know.

        :returns: minimum and mean over all hosts of those in the host's own zone, and
            mean of those in other zones.
        """
        own_zone, others = [], []
        for node, zone in zip(self.nodes, self.zones, strict=True):
            views = node.list_usable(_POOL, self.now)
            own_count = sum(view.announcement.zone == zone for view in views)
            own_zone.append(own_count)
            others.append(len(views) - own_count)
        return min(own_zone), sum(own_zone) / len(own_zone), sum(others) / len(others)


_POOL = PoolName(ServiceName("language-model"), "engines")
#: Size of the JSON around the body of a message, in bytes.
ENVELOPE_BYTES = len('{"sender":"entry-100","receiver":"entry-100","body":}')


def _make_address(number: int) -> Address:
    return Address(f"10.0.{number // 250}.{number % 250 + 1}", 7000)


def _make_target(number: int, zones: int) -> Announcement:
    return Announcement(
        TargetName(f"engine-{number}"),
        1_700_000_000_000 + number,
        0,
        _POOL,
        _make_address(number),
        ZoneName(f"zone-{number % zones}"),
        models=(LoadedModel("reviewer", "2026-11", ("feedback", "summary")),),
        role="generate",
        checks_fencing=True,
    )


def measure_membership(
    zones: int,
    hosts: int,
    targets: int,
    seconds: float = 10.0,
    announce_interval_s: float = 0.5,
    sticky: bool = True,
    seed: int = 1,
) -> MembershipCost:
    """Measure the cost of membership for one entry host.

    :param zones: number of availability zones.
    :param hosts: number of entry hosts in all zones.
    :param targets: number of targets in all zones, all of one pool.
    :param seconds: virtual time of the measurement, after the warm-up.
    :param announce_interval_s: interval between two announcements of a target, in
        seconds.
    :param sticky: whether the load balancer keeps each target on one host.
    :param seed: random seed of the loads and of the balancer's choices.
    :returns: means per host.
    """
    before = _read_memory()
    deployment = _Deployment(zones, hosts, targets, announce_interval_s, sticky, seed)
    deployment.run(WARM_UP_S)
    memory = (_read_memory() - before) / hosts
    deployment.reset_counters()
    deployment.run(seconds)
    least, own_zone, others = deployment.count_usable()
    share = 1 / hosts / seconds
    messages, sent = deployment.messages * share, deployment.bytes_sent * share
    size = len(encode_json(deployment.targets[0]))
    return MembershipCost(
        zones,
        hosts,
        targets,
        announce_interval_s,
        sticky,
        round(messages, 1),
        round(sent),
        round(sent + messages * HTTP_BYTES),
        round(size * targets / announce_interval_s / hosts),
        round(deployment.processor_s * share, 5),
        round(memory),
        least,
        round(own_zone, 1),
        round(others, 1),
    )


def measure_lists(targets: int) -> tuple[float, float]:
    """Measure the processor time of listing the usable targets.

    :param targets: number of targets of one pool that the host knows.
    :returns: microseconds if nothing has changed, and if loads have.
    """
    deployment = _Deployment(1, 1, targets, 0.5, True, 1)
    deployment.run(1.0)
    node, now = deployment.nodes[0], deployment.now
    node.list_usable(_POOL, now)
    began = time.process_time()
    for _ in range(10_000):
        node.list_usable(_POOL, now)
    same = (time.process_time() - began) / 10_000
    spent = 0.0
    for number in range(100):
        now += 0.1 / 100
        target = deployment.targets[0]
        deployment.targets[0] = replace(target, sequence=target.sequence + 1)
        node.handle_announcement(deployment.targets[0], now)
        began = time.process_time()
        # Let the cached list expire, which is kept while only loads change.
        node.list_usable(_POOL, now + 0.1 * (number + 1))
        spent += time.process_time() - began
    return same * 1e6, spent / 100 * 1e6


def run() -> Iterator[Figure]:
    """Measure the present-day deployments, an additional target and the target size."""
    yield from _make_figures("lima", measure_membership(3, 8, 22))
    yield from _make_figures("hcm-south", measure_membership(4, 8, 21))
    few, many = measure_membership(4, 8, 20), measure_membership(4, 8, 80)
    each_target = (many.wire_bytes_sent - few.wire_bytes_sent) / 60
    yield Figure(_BENCH, "bytes a target, 8 hosts", round(each_target, 1), "B/s")
    each_target = (many.core_share - few.core_share) / 60
    yield Figure(
        _BENCH, "core a target, 8 hosts", round(each_target * 1e6, 1), "millionths"
    )
    each_target = (many.memory - few.memory) / 60
    yield Figure(_BENCH, "memory a target, 8 hosts", round(each_target), "B")
    same, changed = measure_lists(1_150)
    yield Figure(_BENCH, "list of 1150 targets, unchanged", round(same, 2), "us")
    yield Figure(_BENCH, "list of 1150 targets, newer loads", round(changed), "us")
    for size in ((10, 60, 1_375), (10, 120, 2_750), TARGET_SIZE):
        yield from _make_figures(
            f"{size[1]} hosts {size[2]} targets", measure_membership(*size)
        )


def _make_figures(name: str, cost: MembershipCost) -> Iterator[Figure]:
    kilobytes = round(cost.wire_bytes_sent / 1000, 2)
    yield Figure.at_most(_BENCH, f"{name}: sent with HTTP", kilobytes, "KB/s", 10.0)
    core = round(100 * cost.core_share, 2)
    yield Figure.at_most(_BENCH, f"{name}: processor", core, "% of a core", 2.4)
    memory = round(cost.memory / 1e6, 2)
    yield Figure.at_most(_BENCH, f"{name}: memory", memory, "MB", 128)
    yield Figure(
        _BENCH, f"{name}: own zone's targets known", cost.mean_usable_own_zone, ""
    )
    yield Figure(
        _BENCH, f"{name}: other zones' targets known", cost.mean_usable_other_zones, ""
    )


def _read_memory() -> int:
    """Return the peak memory of this process in bytes.

    The peak never decreases, so that small sizes must be measured first.
    """
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
