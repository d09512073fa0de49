"""Messages between this control host and the others, and founding of deployments."""

from __future__ import annotations

import msgspec

from bramleyspread_control._admission_reports import AdmissionReports
from bramleyspread_control._config import ControlConfig, ControlMember
from bramleyspread_control._members import Members
from bramleyspread_control._messages import (
    AppendRequest,
    AppendResponse,
    CreateDeployment,
    Envelope,
    GroupMessage,
    Hello,
    HostAddress,
    Message,
    SnapshotChunk,
    SnapshotChunkRequest,
    VoteResponse,
)
from bramleyspread_control._peers import Peer, PeerTable, derive_deployment_id
from bramleyspread_control._replica import Replica
from bramleyspread_control._store import DOCUMENTS_GROUP, Store
from bramleyspread_core import (
    Address,
    HostName,
    MessageError,
    PeerMessage,
    PeerSend,
    UnstampedEvent,
    ZoneName,
    decode_json,
    encode_json,
)


class PeerProtocol:
    """Opens received envelopes, builds outgoing ones, and founds deployments."""

    def __init__(
        self, config: ControlConfig, store: Store, session: str, now: float
    ) -> None:
        self._config = config
        self._store = store
        self._session = session
        self._peers = PeerTable(config)
        self._admission_reports = AdmissionReports(now)
        self._events: list[UnstampedEvent] = []
        self._host_messages: list[tuple[HostName, Hello | CreateDeployment]] = []

    @property
    def is_uninitialised(self) -> bool:
        """Whether the data folder does not belong to a deployment yet."""
        return not self._store.header.deployment

    @property
    def _hello_message(self) -> Hello:
        if not self._config.admits_unlisted_hosts:
            return Hello(self.is_uninitialised)
        return Hello(
            self.is_uninitialised, self._config.zone, str(self._config.address)
        )

    def _add_log_members(self) -> None:
        """Add the members that the logs list, which the settings may no longer name."""
        for replica in self._store.replicas.values():
            for each in replica.log.members.listed:
                self._peers.add_unlisted(
                    ControlMember(each.host, each.zone, each.address)
                )

    def _add_unlisted_host(self, sender: HostName, envelope: Envelope) -> None:
        """Add the sender of a hello message if the settings do not name it."""
        if self._peers.find(sender) is not None:
            return
        for each in envelope.messages:
            if not isinstance(each, Hello) or not each.address:
                continue
            try:
                address = Address.from_text(each.address)
            except ValueError as error:
                self._report_refused(sender, str(error))
                return
            self._peers.add_unlisted(
                ControlMember(sender, ZoneName(each.zone), address)
            )

    def receive(self, message: PeerMessage, now: float) -> None:
        """Handle an envelope from another control host.

        :param message: the message that contains the envelope.
        :param now: monotonic seconds.
        """
        try:
            envelope: Envelope = decode_json(bytes(message.body), Envelope)
        except MessageError as error:
            self._report_refused(message.sender, str(error))
            return
        if self._config.admits_unlisted_hosts:
            self._add_unlisted_host(message.sender, envelope)
        peer = self._peers.find(message.sender)
        if peer is None or message.receiver != self._config.host:
            self._report_refused(
                message.sender,
                "envelope dropped: other receiver, or unknown sender",
            )
            return
        header = self._store.header
        if header.deployment and envelope.deployment not in ("", header.deployment):
            self._report_refused(
                message.sender,
                f"sender belongs to another deployment: {envelope.deployment}",
            )
            return
        self._update_peer(peer, envelope)
        if envelope.to_incarnation not in ("", header.incarnation):
            return
        for each in envelope.messages:
            self._dispatch(peer, envelope, each, now)

    def tick(self, now: float) -> None:
        """Send due hello messages, and found the deployment once all hosts are up."""
        if self.is_uninitialised:
            founders = self._peers.find_founders(self._store.header.incarnation, now)
            if founders is not None:
                self._create_deployment(founders)
                create = CreateDeployment(founders, self._config.groups)
                for peer in self._peers.list_all():
                    self._host_messages.append((peer.settings.host, create))
        if self.is_uninitialised:
            self._events += self._admission_reports.list_due(
                self._peers.list_all(), now
            )
        if self._peers.is_hello_due(now):
            self._add_log_members()
            for peer in self._peers.list_all():
                self._host_messages.append((peer.settings.host, self._hello_message))

    def change_members(self, replica: Replica, now: float) -> None:
        """If the replica leads, let it admit the hosts that are up but not members."""
        if replica.leader_state is not None:
            members = replica.log.members
            replica.change_members(self._peers.find_joining_replicas(members, now), now)

    def pop_peer_sends(self) -> tuple[PeerSend, ...]:
        """Remove and return the messages to send, in one envelope for each host."""
        by_host: dict[HostName, list[Message]] = {}
        for host, host_message in self._host_messages:
            by_host.setdefault(host, []).append(host_message)
        self._host_messages.clear()
        for replica in self._store.replicas.values():
            for host, message in replica.consensus.outbox:
                if self._may_send(replica.log.members, host, message):
                    by_host.setdefault(host, []).append(message)
            replica.consensus.outbox.clear()
        peer_sends = []
        for host, messages in by_host.items():
            peer = self._peers.find(host)
            if peer is not None:
                peer_sends.append(self._make_peer_send(peer, messages))
        return tuple(peer_sends)

    def list_addresses(self) -> list[Address]:
        """List the addresses of the other control hosts."""
        return [peer.settings.address for peer in self._peers.list_all()]

    def pop_events(self) -> list[UnstampedEvent]:
        """Remove and return the pending events for the time line."""
        events = self._events
        self._events = []
        return events

    def _update_peer(self, peer: Peer, envelope: Envelope) -> None:
        host = peer.settings.host
        if self._peers.update_identity(peer, envelope):
            self._host_messages.append((host, self._hello_message))
        for replica in self._store.replicas.values():
            member = replica.log.members.find(host)
            if member is None:
                continue
            if member.incarnation != envelope.incarnation:
                replica.consensus.hosts_with_lost_folder.add(host)
                continue
            replica.consensus.hosts_with_lost_folder.discard(host)
            if replica.leader_state is not None:
                replica.leader_state.record_session(host, envelope.session)

    def _dispatch(
        self, peer: Peer, envelope: Envelope, message: Message, now: float
    ) -> None:
        if isinstance(message, Hello):
            self._handle_hello(peer, message, now)
        elif isinstance(message, CreateDeployment):
            self._handle_create_deployment(message)
        elif envelope.to_incarnation:
            self._handle_group_message(peer, envelope, message, now)

    def _handle_hello(self, peer: Peer, hello: Hello, now: float) -> None:
        self._peers.record_hello(peer, hello, now)
        if self._config.admits_unlisted_hosts:
            if hello.members:
                self._add_told_members(peer, hello)
            else:
                self._tell_members(peer)
        header = self._store.header
        host = peer.settings.host
        if hello.is_uninitialised and header.founders.has_replica(
            host, peer.incarnation
        ):
            self._host_messages.append(
                (host, CreateDeployment(header.founders, header.groups))
            )

    def _tell_members(self, peer: Peer) -> None:
        """Tell a host that isn't a member whom it may ask to be admitted.

        Only a leader admits it, and its settings may name none.
        """
        members = self._store.replicas[DOCUMENTS_GROUP].log.members
        host = peer.settings.host
        if members.listed and not members.has_replica(host, peer.incarnation):
            told = tuple(
                HostAddress(each.host, each.zone, str(each.address))
                for each in members.listed
            )
            hello = msgspec.structs.replace(self._hello_message, members=told)
            self._host_messages.append((host, hello))

    def _add_told_members(self, peer: Peer, hello: Hello) -> None:
        for each in hello.members:
            try:
                address = Address.from_text(each.address)
            except ValueError as error:
                self._report_refused(peer.settings.host, str(error))
                return
            self._peers.add_unlisted(
                ControlMember(each.host, ZoneName(each.zone), address)
            )

    def _handle_create_deployment(self, create: CreateDeployment) -> None:
        is_founder = create.members.has_replica(
            self._config.host, self._store.header.incarnation
        )
        if not self.is_uninitialised or not is_founder:
            return
        if create.groups != self._config.groups:
            self._report_refused(
                "-",
                f"deployment has {create.groups} groups; set groups to {create.groups}",
            )
            return
        self._create_deployment(create.members)

    def _handle_group_message(
        self, peer: Peer, envelope: Envelope, message: GroupMessage, now: float
    ) -> None:
        host = peer.settings.host
        replica = self._store.replicas.get(message.group)
        if replica is None:
            self._report_refused(
                host, f"message for unknown group {message.group} dropped"
            )
            return
        if not envelope.deployment:
            return
        if self.is_uninitialised:
            if not isinstance(message, AppendRequest | SnapshotChunk):
                return
            self._store.join(envelope.deployment, Members())
        is_response = isinstance(
            message, AppendResponse | VoteResponse | SnapshotChunkRequest
        )
        if is_response and not replica.log.members.has_replica(
            host, envelope.incarnation
        ):
            return
        sender_knows_session = envelope.to_session == self._session
        replica.receive(host, message, now, sender_knows_session)

    def _create_deployment(self, founders: Members) -> None:
        deployment = derive_deployment_id(founders)
        self._store.join(deployment, founders)
        self._events.append(UnstampedEvent("deployment-founded", detail=deployment))

    def _may_send(
        self, members: Members, host: HostName, message: GroupMessage
    ) -> bool:
        """Whether the host still runs the replica that the message is meant for."""
        peer = self._peers.find(host)
        if peer is None or not peer.incarnation:
            return False
        if isinstance(message, AppendResponse | VoteResponse | SnapshotChunkRequest):
            return True
        return members.has_replica(host, peer.incarnation)

    def _make_peer_send(self, peer: Peer, messages: list[Message]) -> PeerSend:
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

    def _report_refused(self, sender: str, detail: str) -> None:
        self._events.append(
            UnstampedEvent(
                "message-refused", step="receive", peer=sender, detail=detail
            )
        )
