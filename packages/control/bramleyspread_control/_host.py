"""A control host: its replicas of all groups behind one interface."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec
import xxhash

from bramleyspread_control._claim_timers import ClaimTimers
from bramleyspread_control._config import ControlConfig
from bramleyspread_control._consensus_state import Role
from bramleyspread_control._disk import Disk
from bramleyspread_control._drain_decisions import DrainDecisions
from bramleyspread_control._entries import Change, PutDocument, encode_change
from bramleyspread_control._folder_report import describe_folder
from bramleyspread_control._peer_protocol import PeerProtocol
from bramleyspread_control._replica import Replica, SyncedState
from bramleyspread_control._store import DOCUMENTS_GROUP, Store
from bramleyspread_control._tickets import PendingCommands
from bramleyspread_core import (
    Address,
    Claim,
    ClaimKey,
    Command,
    CommandResult,
    ConfirmDeployment,
    ControlOutput,
    ControlStatus,
    Deployment,
    DeploymentRead,
    DocumentInForce,
    DocumentsPage,
    DocumentsQuery,
    DocumentText,
    EntryHostStatus,
    IntendOrders,
    InvalidFileError,
    NotLeader,
    Order,
    PeerMessage,
    PutDeployment,
    ReadZoneDrains,
    Rejected,
    ServiceDocument,
    Settle,
    SetZoneDrain,
    SubmitDocument,
    Undecided,
    ZoneDrains,
    ZoneDrainsRead,
    encode_json,
    find_size_fault,
)

#: Commands that become entries of a group's log.
StoredCommand = SubmitDocument | Claim | Settle | IntendOrders | PutDeployment

#: Time after which an entry host that sends no queries is no longer listed, in
#: seconds.
ENTRY_HOST_TIMEOUT_S = 60.0


class SyncedStates(msgspec.Struct, frozen=True):
    """What a host had made durable of all groups."""

    #: Identity of the data folder.
    incarnation: str
    #: The replicas' states, by group.
    states: dict[int, SyncedState]


class ControlHost:
    """All decisions of one control host; implements ``ControlNode``.

    Call ``receive``, ``propose`` and ``tick`` for events, then ``flush``, and send the
    messages and replies that it returns. It must not be used after a ``DiskError``.
    """

    def __init__(
        self,
        config: ControlConfig,
        disk: Disk,
        rng: random.Random,
        now: float,
    ) -> None:
        self._config = config
        self._store = Store(config, disk, rng, now)
        self._peer_protocol = PeerProtocol(
            config, self._store, f"{rng.getrandbits(64):016x}", now
        )
        self._pending_commands = PendingCommands()
        self._drain_decisions = DrainDecisions(
            self._store.documents, self._pending_commands
        )
        self._events = describe_folder(self._store)
        # By group: the term for which the timers were started, and the timers.
        self._claim_timers: dict[int, tuple[int, ClaimTimers]] = {}
        # By entry host: its last query, and the time at which it arrived.
        self._entry_hosts: dict[str, tuple[DocumentsQuery, float]] = {}

    @classmethod
    def from_config(
        cls,
        config: ControlConfig,
        disk: Disk,
        rng: random.Random,
        now: float,
    ) -> ControlHost:
        """Start a control host on a data folder.

        :param config: the host's configuration.
        :param disk: the data folder.
        :param rng: source of randomness, also for the identity of a new data folder.
        :param now: monotonic seconds.
        :returns: the host.
        :raises CorruptFileError: when a file is damaged.
        :raises DiskError: when an operation on the data folder fails.
        :raises SettingsError: when the settings do not fit the data folder.
        """
        return cls(config, disk, rng, now)

    def receive(self, message: PeerMessage, now: float) -> None:
        """Handle a message from another control host."""
        self._peer_protocol.receive(message, now)

    def propose(self, ticket: int, command: Command, now: float) -> None:
        """Handle a command; at most one reply with this ticket follows."""
        replica = self._store.replicas[self._find_group(command)]
        replica.check_leadership(now)
        leader_state = replica.leader_state
        if leader_state is None or not leader_state.may_accept_commands(now):
            self._pending_commands.add_reply(
                ticket, NotLeader(self._find_leader(replica))
            )
            return
        if isinstance(command, ConfirmDeployment):
            self._pending_commands.add_reply(ticket, self._read_deployment(now))
            return
        if isinstance(command, ReadZoneDrains):
            read = self._read_zone_drains(replica, now)
            self._pending_commands.add_reply(ticket, read)
            return
        if isinstance(command, SetZoneDrain):
            self._drain_decisions.propose(ticket, command, replica, now)
            return
        change = self._make_change(command, now)
        if isinstance(change, Rejected):
            self._pending_commands.add_reply(ticket, change)
            return
        result = self._find_repeat_result(change, now)
        if result is not None:
            self._pending_commands.add_reply(ticket, result)
            return
        self._propose_change(ticket, replica, change, now)

    def _find_repeat_result(self, change: Change, now: float) -> CommandResult | None:
        """Find the result of a deployment document that needs no entry any more."""
        if isinstance(change, PutDeployment) and self.is_deployment_confirmed(now):
            return self._store.documents.find_repeat_result(change)
        return None

    def _propose_change(
        self, ticket: int, replica: Replica, change: Change, now: float
    ) -> None:
        """Append a change, or wait for the entry that has the same document."""
        encoded = encode_change(change)
        fault = find_size_fault(len(memoryview(encoded)))
        if fault:
            self._pending_commands.add_reply(ticket, Rejected((fault,)))
            return
        index = None
        if isinstance(change, PutDeployment):
            index = replica.log.find_unapplied(encoded, replica.consensus.term)
        if index is None:
            index = replica.propose(encoded, now)
        if index is None:
            self._pending_commands.add_reply(ticket, NotLeader(None))
        else:
            self._pending_commands.add(ticket, replica, index)

    def tick(self, now: float) -> None:
        """Run everything that is due; call at least every 10 ms."""
        for group, replica in self._store.replicas.items():
            replica.tick(now)
            self._peer_protocol.change_members(replica, now)
            if group != DOCUMENTS_GROUP:
                self._propose_claim_changes(group, replica, now)
        self._peer_protocol.tick(now)

    def flush(self, now: float) -> ControlOutput:
        """Write and sync all changes, then return what is to be sent."""
        replicas = self._store.replicas
        for replica in replicas.values():
            replica.check_leadership(now)
            replica.replicate(now)
        self._store.write()
        events, self._events = self._events, []
        for group, replica in replicas.items():
            for applied in replica.mark_synced():
                self._pending_commands.resolve(group, applied)
            self._pending_commands.abandon_after_leadership_loss(group, replica)
            events += replica.consensus.events
            replica.consensus.events.clear()
        self._drain_decisions.resume(replicas[DOCUMENTS_GROUP], now)
        self._store.write_commits()
        events += self._peer_protocol.pop_events()
        return ControlOutput(
            self._peer_protocol.pop_peer_sends(),
            self._pending_commands.pop_replies(),
            tuple(events),
        )

    def list_synced_states(self) -> SyncedStates:
        """List what this host has made durable, for :meth:`trust_as_before`."""
        replicas = self._store.replicas
        return SyncedStates(
            self._store.header.incarnation,
            {group: each.synced_state for group, each in replicas.items()},
        )

    def trust_as_before(self, former: SyncedStates) -> None:
        """Trust the loaded logs as far as this process did before its disk failed.

        :param former: what the process had made durable then.
        """
        if former.incarnation != self._store.header.incarnation:
            return
        for group, replica in self._store.replicas.items():
            replica.trust_as_before(former.states[group])

    def rewrite_folder(self) -> None:
        """Write the whole state to new files, and sync them.

        :raises DiskError: when an operation on the data folder fails.
        """
        self._store.checkpoint_due = True
        self._store.write()

    def answer_query(self, query: DocumentsQuery, now: float) -> DocumentsPage:
        """Return the committed documents that are newer than the query's revision."""
        self._entry_hosts[query.host] = (query, now)
        return self._store.documents.find_page(query.revision)

    def report_status(self, now: float) -> ControlStatus:
        """Describe this host: its roles, terms, members, documents and entry hosts."""
        replicas = {str(group): each for group, each in self._store.replicas.items()}
        for replica in replicas.values():
            replica.check_leadership(now)
        return ControlStatus(
            host=self._config.host,
            roles={
                group: each.consensus.role.value for group, each in replicas.items()
            },
            leaders={
                group: each.consensus.leader or "" for group, each in replicas.items()
            },
            terms={group: each.consensus.term for group, each in replicas.items()},
            applied={group: each.log.applied_index for group, each in replicas.items()},
            voters={
                group: tuple(member.host for member in each.log.members.voters)
                for group, each in replicas.items()
            },
            revision=self._store.documents.revision,
            entry_hosts=self._list_entry_hosts(now),
        )

    def transfer_leadership(self, now: float) -> None:
        """Transfer leadership of all groups to other hosts, before a planned stop."""
        for replica in self._store.replicas.values():
            replica.transfer_leadership(now)

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List the newest committed version of each document."""
        records = self._store.documents.documents
        return [records[service].in_force for service in sorted(records)]

    def list_texts(self) -> Sequence[DocumentText]:
        """List the committed documents as submitted."""
        records = self._store.documents.documents
        return [
            DocumentText(
                each.in_force.service,
                each.in_force.version,
                each.in_force.revision,
                each.in_force.author,
                each.text,
            )
            for _, each in sorted(records.items())
        ]

    def list_intended_orders(self) -> Sequence[Order]:
        """List the newest committed order of each target."""
        orders = self._store.documents.orders
        return [orders[target] for target in sorted(orders)]

    @property
    def deployment(self) -> Deployment | None:
        """The newest committed deployment document on this host, or None."""
        change = self._store.documents.deployment_change
        return change.deployment if change is not None else None

    @property
    def zone_drains(self) -> ZoneDrains:
        """The newest committed zone drains on this host."""
        return self._store.documents.zone_drains

    def list_control_addresses(self) -> tuple[Address, ...]:
        """List the addresses of all known control hosts."""
        listed = self._store.replicas[DOCUMENTS_GROUP].log.members.listed
        addresses = [each.address for each in listed]
        addresses += self._peer_protocol.list_addresses()
        return tuple(sorted({self._config.address, *addresses}))

    def is_deployment_confirmed(self, now: float) -> bool:
        """Whether no host can have accepted a newer deployment document."""
        replica = self._store.replicas[DOCUMENTS_GROUP]
        leader_state = replica.leader_state if replica.has_lease(now) else None
        return leader_state is not None and leader_state.term_committed

    def _read_deployment(self, now: float) -> DeploymentRead | Undecided:
        if not self.is_deployment_confirmed(now):
            return Undecided("the newest version is not confirmed yet; ask again")
        change = self._store.documents.deployment_change
        if change is None:
            return DeploymentRead(0, "")
        return DeploymentRead(change.deployment.version, change.text)

    def _read_zone_drains(
        self, replica: Replica, now: float
    ) -> ZoneDrainsRead | Undecided:
        if not replica.has_newest_state(now):
            return Undecided("the newest drains are not confirmed yet; ask again")
        return ZoneDrainsRead(self.zone_drains)

    def get_fencing_number(self, now: float) -> int | None:
        """Return the fencing number for new orders; None if this host may give none."""
        replica = self._store.replicas[DOCUMENTS_GROUP]
        if not replica.has_lease(now) or replica.leader_state is None:
            return None
        leader_state = replica.leader_state
        delay_passed = (
            now >= leader_state.elected_at + self._config.timings.order_delay_s
        )
        may_order = (
            leader_state.term_committed
            and leader_state.accepts_entries
            and delay_passed
        )
        return replica.consensus.term if may_order else None

    def _find_group(self, command: Command) -> int:
        match command:
            case Claim() | Settle():
                return find_claim_group(command.key, self._config.groups)
        return DOCUMENTS_GROUP

    def _find_leader(self, replica: Replica) -> Address | None:
        consensus = replica.consensus
        if consensus.leader is None or consensus.role is Role.LEADER:
            return None
        member = consensus.log.members.find(consensus.leader)
        return member.address if member is not None else None

    def _make_change(self, command: StoredCommand, now: float) -> Change | Rejected:
        match command:
            case SubmitDocument():
                return _parse_document(command)
            case IntendOrders():
                fence = self.get_fencing_number(now)
                if any(order.fence != fence for order in command.orders):
                    return Rejected((f"orders must carry fencing number {fence}",))
        return command

    def _propose_claim_changes(self, group: int, replica: Replica, now: float) -> None:
        leader_state = replica.leader_state
        if leader_state is None or not leader_state.term_committed:
            return
        term = replica.consensus.term
        timers = self._claim_timers.get(group)
        if timers is None or timers[0] != term:
            machine = self._store.claims[group]
            timers = (term, ClaimTimers(machine, self._config.timings, now))
            self._claim_timers[group] = timers
        for change in timers[1].collect_due_changes(now):
            replica.propose(change, now)

    def _list_entry_hosts(self, now: float) -> tuple[EntryHostStatus, ...]:
        hosts = []
        for host, (query, last_query_at) in sorted(self._entry_hosts.items()):
            age = now - last_query_at
            if age > ENTRY_HOST_TIMEOUT_S:
                del self._entry_hosts[host]
                continue
            hosts.append(EntryHostStatus(query.host, query.zone, query.revision, age))
        return tuple(hosts)


def find_claim_group(key: ClaimKey, groups: int) -> int:
    """Find the group that is responsible for a claim key.

    :param key: the key.
    :param groups: number of groups that the claims are divided among.
    :returns: id of the group; it is the same on every host and never changes.
    """
    return 1 + int(xxhash.xxh3_64_intdigest(encode_json(key)) % groups)


def _parse_document(submit: SubmitDocument) -> PutDocument | Rejected:
    try:
        document = ServiceDocument.from_yaml(submit.text.encode(), "document")
    except InvalidFileError as error:
        return Rejected(error.faults)
    if not submit.change:
        return Rejected(("change: give the change an id",))
    return PutDocument(submit.change, submit.author, submit.text, document)
