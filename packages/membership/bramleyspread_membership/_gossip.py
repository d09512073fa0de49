"""Gossip rounds: when to send messages to which peers, and with which rows."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

from msgspec import Raw

from bramleyspread_core import (
    Address,
    HostName,
    PeerMessage,
    PeerSend,
    encode_json,
)
from bramleyspread_membership._budget import (
    ENVELOPE_BYTES,
    ByteBudget,
    TargetShareLimiter,
)
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._documents import DocumentTable
from bramleyspread_membership._hosts import HostTable
from bramleyspread_membership._messages import (
    DirectoryMessage,
    Gossip,
    HostRow,
    LeavingRow,
    PoolSummary,
)
from bramleyspread_membership._peers import (
    GossipTopology,
    Peer,
    PeerState,
    choose_topology,
)
from bramleyspread_membership._record import DISTANT_PAST, TargetRecord
from bramleyspread_membership._rows import TargetRows, build_rows, should_relay
from bramleyspread_membership._sampling import PoolSizeEstimator, is_in_sample
from bramleyspread_membership._summaries import summarise_zone
from bramleyspread_membership._targets import TargetTable

#: Mean number of hosts per round that relay updates to a peer that their source does
#: not reach.
RELAYING_PEERS = 3
#: One in this many messages to a partner includes pool summaries.
SUMMARY_EVERY_MESSAGES = 4
#: Each round's interval is varied randomly by up to this ratio.
JITTER_RATIO = 0.1
#: A host is reported as unheard after this many intervals without a message from it.
UNHEARD_INTERVALS = 1.6


class GossipWriter:
    """Writes messages to other directories and tracks what each peer was sent."""

    __slots__ = (
        "_budget",
        "_config",
        "_documents",
        "_heartbeat",
        "_hosts",
        "_interval_s",
        "_next_round_at",
        "_peer_states",
        "_pool_sizes",
        "_rng",
        "_target_share_limiter",
        "_targets",
        "_topology",
        "_topology_epoch",
        "bytes_sent",
    )

    def __init__(
        self,
        config: DirectoryConfig,
        rng: random.Random,
        now: float,
        targets: TargetTable,
        hosts: HostTable,
        documents: DocumentTable,
        pool_sizes: PoolSizeEstimator,
    ) -> None:
        self._config = config
        self._rng = rng
        self._targets = targets
        self._hosts = hosts
        self._documents = documents
        self._pool_sizes = pool_sizes
        self._topology: GossipTopology | None = None
        self._topology_epoch = -1
        self._target_share_limiter = TargetShareLimiter(config.bytes_per_second)
        self._budget = ByteBudget(config.bytes_per_second, config.burst_bytes, now)
        self._peer_states: dict[HostName, PeerState] = {}
        self._interval_s = config.gossip_interval_s
        self._next_round_at = now + rng.random() * config.gossip_interval_s
        self._heartbeat = 0
        #: Total size of the bodies of all messages written.
        self.bytes_sent = 0

    def expedite_round(self, now: float) -> None:
        """Make the next round due now, unless the hosts of this zone form a ring.

        With so many hosts, additional rounds would cost too many messages. New
        documents then wait for the next regular round; each host also polls the
        control hosts for documents.

        :param now: monotonic seconds.
        """
        if not self._get_topology().is_ring:
            self._next_round_at = now

    def record_unheard(self, row: HostRow, unheard: frozenset[HostName]) -> None:
        """Record which hosts a peer does not receive messages from.

        :param row: the peer's row about itself.
        :param unheard: hosts whose messages do not reach the peer directly.
        """
        self._get_state(row.host, row.incarnation).unheard = unheard

    def forget(self, host: HostName) -> None:
        """Discard the state kept for an expired host.

        :param host: the host.
        """
        self._peer_states.pop(host, None)

    def write_to(
        self, host: HostName, body: DirectoryMessage, now: float
    ) -> Sequence[PeerSend]:
        """Write a message to one host.

        :param host: the receiver.
        :param body: the message.
        :param now: monotonic seconds.
        :returns: the message to send, or nothing if the host's address is unknown.
        """
        address = self._hosts.find_address(host)
        if address is None:
            return ()
        return (self._write(host, address, encode_json(body), now),)

    def broadcast(self, body: DirectoryMessage, now: float) -> Sequence[PeerSend]:
        """Write the same message to every host of this zone and to every peer.

        :param body: the message.
        :param now: monotonic seconds.
        :returns: the messages to send.
        """
        data = encode_json(body)
        own_zone = self._config.zone
        receivers = {
            host: address
            for host, zone, address in self._hosts.list_peers()
            if zone == own_zone
        }
        receivers |= {peer.host: peer.address for peer in self._get_topology().peers}
        return [
            self._write(host, address, data, now) for host, address in receivers.items()
        ]

    def write_round(self, now: float) -> Sequence[PeerSend]:
        """Write the messages of a gossip round if one is due.

        :param now: monotonic seconds.
        :returns: one message to each peer, or nothing.
        """
        if now < self._next_round_at:
            return ()
        self._heartbeat += 1
        topology = self._get_topology()
        peers = list(topology.peers)
        rate = self._config.messages_per_second
        self._interval_s = max(topology.min_interval_s, len(peers) / rate)
        jitter = 1 + JITTER_RATIO * (2 * self._rng.random() - 1)
        self._next_round_at = now + self._interval_s * jitter
        received_since = now - self._interval_s * UNHEARD_INTERVALS
        unheard = tuple(
            self._hosts.list_unheard(topology.expected_senders, received_since)
        )
        leaving = tuple(
            LeavingRow(*row)
            for row in self._targets.list_leaving(now - self._config.lease_s)
        )
        target_share = self._target_share_limiter.start_round(
            len(peers), self._interval_s
        )
        # Shuffle the peers so that a short byte budget affects all of them equally.
        self._rng.shuffle(peers)
        sends = []
        for position, peer in enumerate(peers):
            budget_bytes = self._budget.available(now) / (len(peers) - position)
            body = self._build_gossip(
                peer, unheard, leaving, budget_bytes, target_share, now
            )
            sends.append(self._write(peer.host, peer.address, encode_json(body), now))
        return sends

    def _build_gossip(
        self,
        peer: Peer,
        unheard: tuple[HostName, ...],
        leaving: tuple[LeavingRow, ...],
        budget_bytes: float,
        target_share: float,
        now: float,
    ) -> Gossip:
        state = self._get_state(peer.host, self._hosts.find_incarnation(peer.host))
        rows = self._select_target_rows(peer, state, budget_bytes, target_share, now)
        state.last_change_sent = rows.last_change
        state.rotation_index += 1
        has_summaries = (
            peer.is_partner and state.rotation_index % SUMMARY_EVERY_MESSAGES == 0
        )
        return Gossip(
            (
                self._build_own_row(),
                *self._pick_host_rows(peer, state.rotation_index, now),
            ),
            int(now * 1000),
            self._documents.digest,
            unheard,
            leaving,
            rows.details,
            rows.renewals,
            self._summarise(now) if has_summaries else (),
        )

    def _pick_host_rows(
        self, peer: Peer, rotation_index: int, now: float
    ) -> Iterator[HostRow]:
        """Pick rows about other hosts.

        Messages alternate between a row about a host of this zone and one about a host
        of another zone. On a ring, each message has both, since with so many hosts the
        rows about each of them would otherwise be too rare.
        """
        sends_both = self._get_topology().is_ring
        divisor = 1 if sends_both else 2
        for same_zone in (True, False):
            if sends_both or same_zone == (rotation_index % 2 == 0):
                row = self._hosts.pick_row(
                    rotation_index // divisor, same_zone, peer.host, now
                )
                if row is not None:
                    yield row

    def _select_target_rows(
        self,
        peer: Peer,
        state: PeerState,
        budget_bytes: float,
        target_share: float,
        now: float,
    ) -> TargetRows:
        """Build rows about targets that changed since the last message to a peer."""
        last_change = self._targets.last_change
        # A new peer is sent all details at once, so that it need not request them.
        details_since = (
            DISTANT_PAST if state.last_change_sent == 0 else now - 2 * self._interval_s
        )
        is_relaying = (
            self._rng.random() * len(self._get_topology().peers) < RELAYING_PEERS
        )
        unheard = state.unheard if is_relaying else frozenset()
        changed = [
            record
            for record in self._targets.list_changed_since(state.last_change_sent)
            if self._should_send(peer, record, unheard)
        ]
        if peer.is_partner:
            target_share = min(target_share, self._compute_sample_share())
        else:
            # Rows relayed during a network fault are not counted: the byte budget's
            # burst allowance covers them.
            own_host = self._config.host
            self._target_share_limiter.count_rows(
                sum(each.source == own_host for each in changed)
            )
        sampled = [
            record
            for record in changed
            if is_in_sample(peer.host, record.announcement.target, target_share)
        ]
        return build_rows(sampled, last_change, details_since, budget_bytes, now)

    def _should_send(
        self, peer: Peer, record: TargetRecord, unheard: frozenset[HostName]
    ) -> bool:
        """Return whether a record is to be sent to a peer, before sampling."""
        if peer.is_partner:
            return record.announcement.zone == self._config.zone
        return should_relay(record, self._config.host, unheard)

    def _compute_sample_share(self) -> float:
        """Compute the share of targets whose rows go to each partner."""
        partners = sum(peer.is_partner for peer in self._get_topology().peers)
        targets_per_partner = self._config.sample_targets / partners
        return targets_per_partner / max(len(self._targets), 1)

    def _get_topology(self) -> GossipTopology:
        if self._topology is None or self._topology_epoch != self._hosts.epoch:
            self._topology = choose_topology(self._config, self._hosts)
            self._topology_epoch = self._hosts.epoch
        return self._topology

    def _summarise(self, now: float) -> tuple[PoolSummary, ...]:
        zone = self._config.zone
        hosts = self._hosts.count_zone_hosts(zone) + 1
        return summarise_zone(self._targets, self._pool_sizes, zone, hosts, now)

    def _build_own_row(self) -> HostRow:
        config = self._config
        return HostRow(
            config.host,
            config.zone,
            config.address.ip,
            config.address.port,
            config.incarnation,
            self._heartbeat,
            self._documents.revision,
            0,
        )

    def _get_state(self, host: HostName, incarnation: int) -> PeerState:
        state = self._peer_states.get(host)
        if state is None or state.incarnation < incarnation:
            rotation_index = self._rng.randrange(1_000_000)
            state = self._peer_states[host] = PeerState(incarnation, rotation_index)
        return state

    def _write(
        self, host: HostName, address: Address, data: bytes, now: float
    ) -> PeerSend:
        self._budget.spend(len(data) + ENVELOPE_BYTES, now)
        self.bytes_sent += len(data)
        return PeerSend(address, PeerMessage(self._config.host, host, Raw(data)))
