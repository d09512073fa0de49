"""Settings of an entry host's directory."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import Address, HostName, ZoneName


class Neighbour(Struct, frozen=True):
    """Another entry host that settings name, to be asked first."""

    #: The other host.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: Where it listens.
    address: Address


class DirectoryConfig(Struct, frozen=True):
    """What an entry host's directory is told at its start; times in seconds.

    A target that leaves unheard is unusable after at most ``lease``.
    """

    #: This host.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: Where it listens.
    address: Address
    #: Rises each time this host's process starts.
    incarnation: int
    #: Other entry hosts; the rest are learned from them.
    neighbours: tuple[Neighbour, ...] = ()
    #: A target is usable for this long after it was heard by any host.
    lease_s: float = 2.5
    #: How often targets are expected to announce themselves.
    announce_every: float = 0.5
    #: Shortest time between two rounds of gossip.
    gossip_interval_s: float = 0.5
    #: Most messages a second on average; rounds to many hosts are further apart.
    messages_per_second: float = 14.0
    #: Up to this many other hosts, all are sent to; with more, those of this zone
    #: and one of each of some other zones.
    max_peers: int = 13
    #: Hosts that each sends to on the ring of a zone whose hosts are too many for that.
    ring_peers: int = 4
    #: Shortest time between two rounds on such a ring.
    ring_interval_s: float = 1.1
    #: Other zones that a host sends to when not all hosts are sent to.
    max_partner_zones: int = 4
    #: An entry host is forgotten when it was not heard of for this long,
    host_lease_s: float = 10.0
    #: or for this long for each host known, since rows about many take turns.
    host_lease_per_host_s: float = 1.0
    #: An incarnation that left is remembered for this long.
    leaving_retention_s: float = 60.0
    #: Targets of other zones that one host is told of, with partners, about.
    sample_targets: int = 16
    #: Most bytes a second that gossip may send on average, with HTTP around it.
    bytes_per_second: int = 12_000
    #: Bytes that gossip may send at once after a quiet time.
    burst_bytes: int = 256_000
