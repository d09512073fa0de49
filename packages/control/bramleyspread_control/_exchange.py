"""What passes between this control host and the others."""

from __future__ import annotations

import msgspec

from bramleyspread_control._config import ControlConfig, ControlMember
from bramleyspread_control._members import Members
from bramleyspread_control._messages import (
    Append,
    Appended,
    Envelope,
    Found,
    GiveVote,
    GroupMessage,
    Hello,
    Message,
    SnapshotPiece,
    SnapshotWanted,
)
from bramleyspread_control._peers import Peer, Peers, name_deployment
from bramleyspread_control._replica import Replica
from bramleyspread_control._store import Store
from bramleyspread_core import (
    Address,
    Happening,
    HostName,
    MessageError,
    PeerMessage,
    PeerSend,
    ZoneName,
    decode_json,
    encode_json,
)


class Exchange:
    """Takes envelopes apart, makes them up, and founds deployments."""

    def __init__(self, config: ControlConfig, store: Store, session: str) -> None:
        self._config = config
        self._store = store
        self._session = session
        self._peers = Peers(config)
        self._happenings: list[Happening] = []
        self._direct: list[tuple[HostName, Hello | Found]] = []

    @property
    def fresh(self) -> bool:
        """Whether the data folder does not belong to a deployment yet."""
        return not self._store.header.deployment

    @property
    def _greeting(self) -> Hello:
        if not self._config.admits:
            return Hello(self.fresh)
        return Hello(self.fresh, self._config.zone, str(self._config.address))

    def _learn_members(self) -> None:
        """Know the members of the log, whatever the settings name by now."""
        for replica in self._store.replicas.values():
            for each in replica.log.members.listed:
                self._peers.learn(ControlMember(each.host, each.zone, each.address))

    def _meet(self, sender: HostName, envelope: Envelope) -> None:
        """Take note of a host that greets and that no settings name."""
        if self._peers.find(sender) is not None:
            return
        for each in envelope.messages:
            if not isinstance(each, Hello) or not each.address:
                continue
            try:
                address = Address.from_text(each.address)
            except ValueError as error:
                self._refuse(sender, str(error))
                return
            self._peers.learn(ControlMember(sender, ZoneName(each.zone), address))

    def receive(self, message: PeerMessage, now: float) -> None:
        """Take an envelope.

        :param message: the message that holds it.
        :param now: monotonic seconds.
        """
        try:
            envelope: Envelope = decode_json(bytes(message.body), Envelope)
        except MessageError as error:
            self._refuse(message.sender, str(error))
            return
        if self._config.admits:
            self._meet(message.sender, envelope)
        peer = self._peers.find(message.sender)
        if peer is None or message.receiver != self._config.host:
            self._refuse(message.sender, "not for this host, or from a host unknown")
            return
        header = self._store.header
        if header.deployment and envelope.deployment not in ("", header.deployment):
            self._refuse(message.sender, f"of deployment {envelope.deployment}")
            return
        self._hear(peer, envelope)
        if envelope.to_incarnation not in ("", header.incarnation):
            return
        for each in envelope.messages:
            self._take(peer, envelope, each, now)

    def tick(self, now: float) -> None:
        """Greet the others, and found the deployment when all are there."""
        if self.fresh:
            founders = self._peers.find_founders(self._store.header.incarnation, now)
            if founders is not None:
                self._found(founders)
                found = Found(founders, self._config.groups)
                for peer in self._peers.list_all():
                    self._direct.append((peer.settings.host, found))
        if self._peers.is_hello_due(now):
            self._learn_members()
            for peer in self._peers.list_all():
                self._direct.append((peer.settings.host, self._greeting))

    def change_members(self, replica: Replica, now: float) -> None:
        """Let a leader admit the hosts that are there but no members."""
        if replica.leading is not None:
            members = replica.log.members
            replica.change_members(self._peers.find_newcomers(members, now), now)

    def take_sends(self) -> tuple[PeerSend, ...]:
        """Take the messages that may leave, one envelope for each host."""
        by_host: dict[HostName, list[Message]] = {}
        for host, direct in self._direct:
            by_host.setdefault(host, []).append(direct)
        self._direct.clear()
        for replica in self._store.replicas.values():
            for host, message in replica.standing.outbox:
                if self._may_send(replica.log.members, host, message):
                    by_host.setdefault(host, []).append(message)
            replica.standing.outbox.clear()
        sends = []
        for host, messages in by_host.items():
            peer = self._peers.find(host)
            if peer is not None:
                sends.append(self._seal(peer, messages))
        return tuple(sends)

    def list_addresses(self) -> list[Address]:
        """List where the other control hosts listen."""
        return [peer.settings.address for peer in self._peers.list_all()]

    def take_happenings(self) -> list[Happening]:
        """Take the events for the time line."""
        happenings = self._happenings
        self._happenings = []
        return happenings

    def _hear(self, peer: Peer, envelope: Envelope) -> None:
        host = peer.settings.host
        if self._peers.hear(peer, envelope):
            self._direct.append((host, self._greeting))
        for replica in self._store.replicas.values():
            member = replica.log.members.find(host)
            if member is None:
                continue
            if member.incarnation != envelope.incarnation:
                replica.standing.lost.add(host)
                continue
            replica.standing.lost.discard(host)
            if replica.leading is not None:
                replica.leading.hear_session(host, envelope.session)

    def _take(
        self, peer: Peer, envelope: Envelope, message: Message, now: float
    ) -> None:
        if isinstance(message, Hello):
            self._take_hello(peer, message, now)
        elif isinstance(message, Found):
            self._take_found(message)
        elif envelope.to_incarnation:
            self._take_group(peer, envelope, message, now)

    def _take_hello(self, peer: Peer, hello: Hello, now: float) -> None:
        self._peers.greet(peer, hello, now)
        header = self._store.header
        host = peer.settings.host
        if hello.fresh and header.founders.has(host, peer.incarnation):
            self._direct.append((host, Found(header.founders, header.groups)))

    def _take_found(self, found: Found) -> None:
        here = found.members.has(self._config.host, self._store.header.incarnation)
        if not self.fresh or not here:
            return
        if found.groups != self._config.groups:
            self._refuse("-", f"founded with {found.groups} groups; set groups to that")
            return
        self._found(found.members)

    def _take_group(
        self, peer: Peer, envelope: Envelope, message: GroupMessage, now: float
    ) -> None:
        host = peer.settings.host
        replica = self._store.replicas.get(message.group)
        if replica is None:
            self._refuse(host, f"group {message.group} is not known here")
            return
        if not envelope.deployment:
            return
        if self.fresh:
            if not isinstance(message, Append | SnapshotPiece):
                return
            self._store.join(envelope.deployment, Members())
        answers = isinstance(message, Appended | GiveVote | SnapshotWanted)
        if answers and not replica.log.members.has(host, envelope.incarnation):
            return
        current = envelope.to_session == self._session
        replica.receive(host, message, now, current)

    def _found(self, founders: Members) -> None:
        deployment = name_deployment(founders)
        self._store.join(deployment, founders)
        self._happenings.append(Happening("deployment-founded", detail=deployment))

    def _may_send(
        self, members: Members, host: HostName, message: GroupMessage
    ) -> bool:
        """Whether the receiver still is the replica that the message is for."""
        peer = self._peers.find(host)
        if peer is None or not peer.incarnation:
            return False
        if isinstance(message, Appended | GiveVote | SnapshotWanted):
            return True
        return members.has(host, peer.incarnation)

    def _seal(self, peer: Peer, messages: list[Message]) -> PeerSend:
        header = self._store.header
        envelope = Envelope(
            header.deployment,
            header.incarnation,
            self._session,
            peer.incarnation,
            peer.session,
            tuple(messages),
        )
        body = msgspec.Raw(encode_json(envelope))
        message = PeerMessage(self._config.host, peer.settings.host, body)
        return PeerSend(peer.settings.address, message)

    def _refuse(self, sender: str, why: str) -> None:
        self._happenings.append(
            Happening("message-refused", step="receive", peer=sender, detail=why)
        )
