"""Selects the entry hosts to send gossip to, and tracks what each was sent."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from bramleyspread_core import Address, HostName, ZoneName
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._hosts import HostTable


class Peer(Struct, frozen=True):
    """An entry host that this host sends gossip to."""

    #: The peer's name.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: The address that the peer listens on.
    address: Address
    #: Whether it is a partner in another zone, sent a sample of this zone's targets.
    is_partner: bool


class PeerState:
    """What one peer was sent, and which hosts it receives no messages from."""

    __slots__ = ("incarnation", "last_change_sent", "rotation_index", "unheard")

    def __init__(self, incarnation: int, rotation_index: int) -> None:
        #: The peer's incarnation; a restarted peer has lost all state.
        self.incarnation = incarnation
        #: Change number up to which the peer was sent targets; 0 for none.
        self.last_change_sent = 0
        #: Rotation position for rows about hosts; rises with each message.
        self.rotation_index = rotation_index
        #: Hosts that the peer reported as unheard.
        self.unheard: frozenset[HostName] = frozenset()


class GossipTopology(Struct, frozen=True):
    """The peers of a host, valid until :attr:`HostTable.epoch` rises."""

    #: The hosts that this host sends gossip to.
    peers: tuple[Peer, ...]
    #: The hosts that send gossip to this host by the same rule, without partners.
    expected_senders: frozenset[HostName]
    #: Shortest interval between two gossip rounds, in seconds.
    min_interval_s: float
    #: Whether this zone has too many hosts to send gossip to each of them.
    is_ring: bool


def choose_topology(config: DirectoryConfig, hosts: HostTable) -> GossipTopology:
    """Select the peers: all hosts, or some of this zone and partners in others.

    With many hosts, those of a zone form a ring, and each sends to the hosts at
    fixed distances. So each host has equally many senders, and an update crosses
    the zone in few rounds. Other zones are reached through partners, of which a
    host has one per zone where zones have equally many hosts.

    :param config: the configuration of this host.
    :param hosts: the known entry hosts.
    :returns: the topology.
    """
    known = sorted(hosts.list_peers())
    if len(known) <= config.max_peers:
        peers = tuple(Peer(*each, is_partner=False) for each in known)
        expected_senders = frozenset(peer.host for peer in peers)
        return GossipTopology(
            peers, expected_senders, config.gossip_interval_s, is_ring=False
        )
    zones: dict[ZoneName, list[Peer]] = {config.zone: []}
    for host, zone, address in known:
        peer = Peer(host, zone, address, is_partner=zone != config.zone)
        zones.setdefault(zone, []).append(peer)
    own_zone = zones[config.zone]
    rank = sum(peer.host < config.host for peer in own_zone)
    partners = _choose_partners(config, zones, rank)
    is_ring = len(own_zone) + len(partners) > config.max_peers
    distances = list_distances(
        len(own_zone) + 1, config.ring_peers if is_ring else len(own_zone)
    )
    # ``own_zone`` lacks this host, so the host at distance 1 ahead has index ``rank``.
    ahead = [own_zone[(rank + distance - 1) % len(own_zone)] for distance in distances]
    behind = [own_zone[(rank - distance) % len(own_zone)] for distance in distances]
    return GossipTopology(
        (*ahead, *partners),
        frozenset(peer.host for peer in behind),
        config.ring_interval_s if is_ring else config.gossip_interval_s,
        is_ring,
    )


def list_distances(hosts: int, count: int) -> list[int]:
    """List the distances on a ring at which each host has its peers.

    :param hosts: number of hosts on the ring.
    :param count: maximum number of distances.
    :returns: sorted distances; powers of two are preferred, since updates then
        cross the ring in the fewest rounds.

    >>> list_distances(44, 4)
    [1, 2, 4, 8]
    >>> list_distances(4, 4)
    [1, 2, 3]
    """
    fewest_bits_first = sorted(
        range(1, hosts), key=lambda distance: (distance.bit_count(), distance)
    )
    return sorted(fewest_bits_first[:count])


def _choose_partners(
    config: DirectoryConfig, zones: Mapping[ZoneName, list[Peer]], rank: int
) -> list[Peer]:
    """Select partners in the zones at fixed distances on a ring of zones.

    If the other zone has more hosts, they are divided among this zone's hosts; if
    it has fewer, several hosts of this zone share a partner.
    """
    names = sorted(zones)
    position = names.index(config.zone)
    hosts = len(zones[config.zone]) + 1
    partners = []
    for distance in list_distances(len(names), config.max_partner_zones):
        others = zones[names[(position + distance) % len(names)]]
        partners += others[rank::hosts] or [others[rank % len(others)]]
    return partners
