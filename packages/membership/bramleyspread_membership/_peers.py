"""Which entry hosts to send to, and what each has been sent."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from bramleyspread_core import Address, HostName, ZoneName
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._hosts import HostTable


class Peer(Struct, frozen=True):
    """An entry host that this one sends gossip to."""

    #: The host.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: Where it listens.
    address: Address
    #: True when this host speaks to it for a whole other zone.
    is_partner: bool


class PeerState:
    """What was exchanged with one peer."""

    __slots__ = ("incarnation", "last_change_sent", "rotation_index", "unheard")

    def __init__(self, incarnation: int, rotation_index: int) -> None:
        #: The peer's incarnation; a new one has forgotten everything.
        self.incarnation = incarnation
        #: Number of the newest change of targets that it was sent; 0 for none.
        self.last_change_sent = 0
        #: Whose row about hosts it is sent next.
        self.rotation_index = rotation_index
        #: Hosts that it should hear directly and does not.
        self.unheard: frozenset[HostName] = frozenset()


class GossipTopology(Struct, frozen=True):
    """Whom a host sends to, and whom it should hear, until hosts come or go."""

    #: The peers to send to.
    peers: tuple[Peer, ...]
    #: The hosts that choose this one by the same rule.
    expected_senders: frozenset[HostName]
    #: Shortest time between two rounds, in seconds.
    min_interval_s: float
    #: True when there are too many hosts for rows about each to come often.
    is_ring: bool


def choose_topology(config: DirectoryConfig, hosts: HostTable) -> GossipTopology:
    """Choose whom to send to: everybody, or some of this zone and partners.

    With many hosts, those of a zone form a ring, and each sends to the ones at
    fixed distances, so that each is sent to by equally many and news crosses
    the zone in few rounds. To each other zone it sends through one partner.

    :param config: this host's settings.
    :param hosts: the entry hosts known.
    :returns: the circle.
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
    own = zones[config.zone]
    rank = sum(peer.host < config.host for peer in own)
    partners = _choose_partners(config, zones, rank)
    is_ring = len(own) + len(partners) > config.max_peers
    distances = list_distances(len(own) + 1, config.ring_peers if is_ring else len(own))
    # The list leaves this host itself out, hence the step of one ahead.
    ahead = [own[(rank + distance - 1) % len(own)] for distance in distances]
    behind = [own[(rank - distance) % len(own)] for distance in distances]
    return GossipTopology(
        (*ahead, *partners),
        frozenset(peer.host for peer in behind),
        config.ring_interval_s if is_ring else config.gossip_interval_s,
        is_ring,
    )


def list_distances(hosts: int, count: int) -> list[int]:
    """List the distances on a ring at which a host sends to others.

    :param hosts: hosts on the ring.
    :param count: most distances wanted.
    :returns: powers of two first, since they cross the ring in fewest rounds.

    >>> list_distances(44, 4)
    [1, 2, 4, 8]
    >>> list_distances(4, 4)
    [1, 2, 3]
    """
    farthest_first = sorted(
        range(1, hosts), key=lambda distance: (distance.bit_count(), distance)
    )
    return sorted(farthest_first[:count])


def _choose_partners(
    config: DirectoryConfig, zones: Mapping[ZoneName, list[Peer]], rank: int
) -> list[Peer]:
    """Choose one host each of the zones at fixed distances on a ring of zones."""
    names = sorted(zones)
    position = names.index(config.zone)
    hosts = len(zones[config.zone]) + 1
    partners = []
    for distance in list_distances(len(names), config.max_partner_zones):
        others = zones[names[(position + distance) % len(names)]]
        partners += others[rank::hosts] or [others[rank % len(others)]]
    return partners
