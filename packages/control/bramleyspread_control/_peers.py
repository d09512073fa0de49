"""The other control hosts as this one last heard them."""

from __future__ import annotations

import math

import msgspec
import xxhash

from bramleyspread_control._config import ControlConfig, ControlMember
from bramleyspread_control._members import Member, Members
from bramleyspread_control._messages import Envelope, Hello
from bramleyspread_core import ZoneName

#: Between two greetings of each other control host, in seconds.
HELLO_INTERVAL_S = 1.0
#: How long a greeting counts, in seconds.
HELLO_TIMEOUT_S = 4.0
#: How long a greeting counts of a host that would join: two may be missed.
JOIN_HELLO_TIMEOUT_S = 2.2


class Peer:
    """One other control host."""

    __slots__ = (
        "incarnation",
        "is_uninitialised",
        "last_hello_at",
        "session",
        "settings",
    )

    def __init__(self, settings: ControlMember) -> None:
        #: Its name, zone and address.
        self.settings = settings
        #: Identity of its data folder; empty before it was heard.
        self.incarnation = ""
        #: Identity of its process; empty before it was heard.
        self.session = ""
        #: Whether its data folder has never belonged to a deployment.
        self.is_uninitialised = False
        #: When it last greeted this host.
        self.last_hello_at = -math.inf

    def as_member(self, voter: bool) -> Member:
        """Describe it as a member."""
        settings = self.settings
        return Member(
            settings.host, self.incarnation, settings.zone, settings.address, voter
        )


class PeerTable:
    """All other control hosts that the settings name."""

    def __init__(self, config: ControlConfig) -> None:
        self._config = config
        self._peers = {
            member.host: Peer(member)
            for member in config.members
            if member.host != config.host
        }
        self._hello_due_at = -math.inf

    def add_unlisted(self, member: ControlMember) -> None:
        """Take note of a control host that the settings don't name."""
        if member.host != self._config.host:
            self._peers.setdefault(member.host, Peer(member))

    def find(self, host: str) -> Peer | None:
        """Find a control host by name."""
        return self._peers.get(host)  # type: ignore[call-overload, no-any-return]

    def list_all(self) -> list[Peer]:
        """List the other control hosts."""
        return list(self._peers.values())

    def update_identity(self, peer: Peer, envelope: Envelope) -> bool:
        """Take note of who sent a message.

        :param peer: the host that sent it.
        :param envelope: what it sent.
        :returns: True when it is another process than before.
        """
        changed = peer.session != envelope.session
        peer.incarnation = envelope.incarnation
        peer.session = envelope.session
        return changed

    def record_hello(self, peer: Peer, hello: Hello, now: float) -> None:
        """Take note of a greeting."""
        peer.is_uninitialised = hello.is_uninitialised
        peer.last_hello_at = now
        if hello.zone:
            zone = ZoneName(hello.zone)
            peer.settings = msgspec.structs.replace(peer.settings, zone=zone)

    def is_hello_due(self, now: float) -> bool:
        """Whether to greet all of them now; asks at most once per interval."""
        if now < self._hello_due_at:
            return False
        self._hello_due_at = now + HELLO_INTERVAL_S
        return True

    def find_joining_replicas(self, members: Members, now: float) -> list[Member]:
        """Find hosts whose data folder is not a member.

        :param members: the members of a group.
        :param now: monotonic seconds.
        :returns: those heard lately.
        """
        return [
            peer.as_member(voter=False)
            for peer in self._peers.values()
            if now < peer.last_hello_at + JOIN_HELLO_TIMEOUT_S
            and not members.has_replica(peer.settings.host, peer.incarnation)
        ]

    def find_founders(self, incarnation: str, now: float) -> Members | None:
        """Find the members of a new deployment, if this host may found it.

        All hosts of the settings must be there and none may belong to a
        deployment: an empty folder must never outvote one that holds state.

        :param incarnation: identity of this host's data folder.
        :param now: monotonic seconds.
        :returns: the members; None while they are not all there.
        """
        config = self._config
        if not config.founds or config.founder != config.host:
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
    """Name a deployment by its founders' data folders.

    :param founders: its first members.
    :returns: a name that no other deployment has.
    """
    text = ",".join(sorted(member.incarnation for member in founders.listed))
    return xxhash.xxh3_64_hexdigest(text)
