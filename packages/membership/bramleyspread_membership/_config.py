"""Settings of an entry host's directory."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import Address, HostName, ZoneName


class SeedHost(Struct, frozen=True):
    """An entry host from the settings, contacted before others are discovered."""

    #: The host's name.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: The address that it listens on.
    address: Address


class DirectoryConfig(Struct, frozen=True):
    """Configuration of an entry host's directory; times are in seconds.

    A target that stops without announcing it is unusable after at most ``lease_s``.
    """

    #: The name of this host.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: The address that this host listens on.
    address: Address
    #: Number that rises each time this host's process starts.
    incarnation: int
    #: Entry hosts to contact first; the others are discovered through them.
    seed_hosts: tuple[SeedHost, ...] = ()
    #: A target stays usable for this long after any host received its announcement.
    lease_s: float = 2.5
    #: Expected interval between two announcements of a target.
    announce_interval_s: float = 0.5
    #: Shortest interval between two gossip rounds.
    gossip_interval_s: float = 0.5
    #: Highest mean message rate; rounds with more peers are spaced further apart.
    messages_per_second: float = 14.0
    #: Up to this many other hosts, gossip goes to all of them. With more, it goes to
    #: hosts of this zone and to partners in some other zones.
    max_peers: int = 13
    #: Number of hosts of its zone that a host sends gossip to if the zone has too many
    #: to send to all of them. The hosts of such a zone form a ring.
    ring_peers: int = 4
    #: Shortest interval between two gossip rounds on a ring.
    ring_interval_s: float = 1.1
    #: Maximum number of other zones to send to when gossip does not go to all hosts.
    max_partner_zones: int = 4
    #: An entry host expires when no newer heartbeat of it has arrived for this long.
    host_lease_s: float = 10.0
    #: The host lease is at least this long for each known host, because rows about
    #: hosts are sent in rotation.
    host_lease_per_host_s: float = 1.0
    #: How long the incarnation of a leaving target is remembered.
    leaving_retention_s: float = 60.0
    #: Approximate number of targets of other zones that a host gets from its partners.
    sample_targets: int = 16
    #: Highest mean byte rate of gossip, including HTTP overhead.
    bytes_per_second: int = 12_000
    #: Bytes that gossip may send in one burst after a quiet period.
    burst_bytes: int = 256_000
