"""The other control hosts, and what their last messages said about them."""

from __future__ import annotations

import math

import msgspec
import xxhash

from bramleyspread_control._config import ControlConfig, ControlMember
from bramleyspread_control._members import Member, Members
from bramleyspread_control._messages import Envelope, Hello
from bramleyspread_core import ZoneName

#: Interval between two hello messages to each other control host, in seconds.
HELLO_INTERVAL_S = 1.0
#: Time for which a hello message counts as a sign that the host is up, in seconds.
HELLO_TIMEOUT_S = 4.0
#: Shorter hello timeout for hosts that want to join, in seconds; it passes when two
#: consecutive hello messages are missing.
JOIN_HELLO_TIMEOUT_S = 2.2


class Peer:
    """Another control host."""

    __slots__ = (
        "incarnation",
        "is_uninitialised",
        "last_hello_at",
        "session",
        "settings",
    )

    def __init__(self, settings: ControlMember) -> None:
        #: Name, availability zone and address of the host.
        self.settings = settings
        #: Identity of the host's data folder; empty before its first message.
        self.incarnation = ""
        #: Identity of the host's process; empty before its first message.
        self.session = ""
        #: Whether the host's data folder has never belonged to a deployment.
        self.is_uninitialised = False
        #: Time of the last hello message, in monotonic seconds.
        self.last_hello_at = -math.inf

    def as_member(self, voter: bool) -> Member:
        """Describe the host as a member of a group."""
        settings = self.settings
        return Member(
            settings.host, self.incarnation, settings.zone, settings.address, voter
        )


class PeerTable:
    """All other control hosts that the settings or other hosts have named."""

    def __init__(self, config: ControlConfig) -> None:
        self._config = config
        self._peers = {
            member.host: Peer(member)
            for member in config.members
            if member.host != config.host
        }
        self._hello_due_at = -math.inf

    def add_unlisted(self, member: ControlMember) -> None:
        """Add a control host that the settings do not name, unless it is known."""
        if member.host != self._config.host:
            self._peers.setdefault(member.host, Peer(member))

    def find(self, host: str) -> Peer | None:
        """Find a control host by name."""
        return self._peers.get(host)  # type: ignore[call-overload, no-any-return]

    def list_all(self) -> list[Peer]:
        """List the other control hosts."""
        return list(self._peers.values())

    def update_identity(self, peer: Peer, envelope: Envelope) -> bool:
        """Record the data folder and the process that an envelope was sent from.

        :param peer: the sender.
        :param envelope: the envelope.
        :returns: True when the process has changed.
        """
        changed = peer.session != envelope.session
        peer.incarnation = envelope.incarnation
        peer.session = envelope.session
        return changed

    def record_hello(self, peer: Peer, hello: Hello, now: float) -> None:
        """Record a hello message from a host."""
        peer.is_uninitialised = hello.is_uninitialised
        peer.last_hello_at = now
        if hello.zone:
            zone = ZoneName(hello.zone)
            peer.settings = msgspec.structs.replace(peer.settings, zone=zone)

    def is_hello_due(self, now: float) -> bool:
        """Whether hello messages are due; returns True at most once per interval."""
        if now < self._hello_due_at:
            return False
        self._hello_due_at = now + HELLO_INTERVAL_S
        return True

    def find_joining_replicas(self, members: Members, now: float) -> list[Member]:
        """Find the hosts that are up and whose data folders are not members of a group.

        :param members: the members of the group.
        :param now: monotonic seconds.
        :returns: the replicas to admit.
        """
        return [
            peer.as_member(voter=False)
            for peer in self._peers.values()
            if now < peer.last_hello_at + JOIN_HELLO_TIMEOUT_S
            and not members.has_replica(peer.settings.host, peer.incarnation)
        ]

    def find_founders(self, incarnation: str, now: float) -> Members | None:
        """Find the founding members of a new deployment, if this host may found it.

        All hosts in the settings must be up, and none may belong to a deployment
        already: empty data folders must never outvote one that holds state.

        :param incarnation: identity of this host's data folder.
        :param now: monotonic seconds.
        :returns: the members; None while the conditions are not met.
        """
        config = self._config
        if not config.may_found_deployment or config.founder != config.host:
            return None
        own = Member(config.host, incarnation, config.zone, config.address, True)
        listed = [own]
        peers = [
            self._peers[each.host]
            for each in config.members
            if each.host != config.host
        ]
        for peer in peers:
            if not peer.is_uninitialised or now >= peer.last_hello_at + HELLO_TIMEOUT_S:
                return None
            listed.append(peer.as_member(voter=True))
        return Members(tuple(listed))


def derive_deployment_id(founders: Members) -> str:
    """Derive the id of a deployment from its founders' data folders.

    :param founders: the founding members.
    :returns: an id that no other deployment has.
    """
    text = ",".join(sorted(member.incarnation for member in founders.listed))
    return xxhash.xxh3_64_hexdigest(text)
