"""Which entry hosts to send to, and what each has been sent."""

from __future__ import annotations

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
    #: True when this host alone speaks to it for a whole other zone.
    is_partner: bool


class PeerState:
    """What was exchanged with one peer."""

    __slots__ = ("incarnation", "reached", "turn", "unheard")

    def __init__(self, incarnation: int, turn: int) -> None:
        #: The peer's incarnation; a new one has forgotten everything.
        self.incarnation = incarnation
        #: Number of the newest change of targets that it was sent; 0 for none.
        self.reached = 0
        #: Whose row about hosts it is sent next.
        self.turn = turn
        #: Hosts that it does not hear directly.
        self.unheard: frozenset[HostName] = frozenset()


def choose_peers(config: DirectoryConfig, hosts: HostTable) -> list[Peer]:
    """Choose whom to send to: everybody, or this zone and one of each other.

    :param config: this host's settings.
    :param hosts: the entry hosts known.
    :returns: the peers.
    """
    known = list(hosts.list_peers())
    if len(known) <= config.send_to_all_up_to:
        return [Peer(host, zone, address, False) for host, zone, address in known]
    zones: dict[ZoneName, list[Peer]] = {}
    for host, zone, address in sorted(known):
        is_partner = zone != config.zone
        zones.setdefault(zone, []).append(Peer(host, zone, address, is_partner))
    own = zones.pop(config.zone, [])
    rank = sum(peer.host < config.host for peer in own)
    peers = own
    for others in zones.values():
        peers += others[rank :: len(own) + 1] or [others[rank % len(others)]]
    return peers
