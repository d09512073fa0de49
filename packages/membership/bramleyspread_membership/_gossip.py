"""Rounds of gossip: what each peer is sent, and when."""

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
from bramleyspread_membership._budget import ENVELOPE_BYTES, ByteBudget, Ration
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._documents import DocumentShelf
from bramleyspread_membership._hosts import HostTable
from bramleyspread_membership._interest import PoolSizes, is_interested
from bramleyspread_membership._messages import (
    DirectoryMessage,
    Gossip,
    HostRow,
    LeftRow,
    PoolSummary,
)
from bramleyspread_membership._peers import Circle, Peer, PeerState, choose_circle
from bramleyspread_membership._record import NEVER, TargetRecord
from bramleyspread_membership._rows import Rows, make_rows, pick_relayed
from bramleyspread_membership._summaries import summarise
from bramleyspread_membership._targets import TargetTable

#: Hosts that pass news on, in each round, to one that does not hear its source.
RELAYS = 3
#: One in this many messages to a partner carries summaries of pools.
SUMMARY_ROUNDS = 4
#: Rounds are drawn apart by this share of their interval.
JITTER = 0.1
#: A host silent for this many intervals is reported unheard.
UNHEARD_ROUNDS = 1.6


class GossipWriter:
    """Writes messages to other directories and remembers what was sent."""

    __slots__ = (
        "_budget",
        "_circle",
        "_circle_epoch",
        "_config",
        "_heartbeat",
        "_hosts",
        "_interval",
        "_next_round",
        "_ration",
        "_rng",
        "_shelf",
        "_sizes",
        "_states",
        "_targets",
        "bytes_sent",
    )

    def __init__(
        self,
        config: DirectoryConfig,
        rng: random.Random,
        now: float,
        targets: TargetTable,
        hosts: HostTable,
        shelf: DocumentShelf,
        sizes: PoolSizes,
    ) -> None:
        self._config = config
        self._rng = rng
        self._targets = targets
        self._hosts = hosts
        self._shelf = shelf
        self._sizes = sizes
        self._circle: Circle | None = None
        self._circle_epoch = -1
        self._ration = Ration(config.bytes_per_second)
        self._budget = ByteBudget(config.bytes_per_second, config.burst_bytes, now)
        self._states: dict[HostName, PeerState] = {}
        self._interval = config.gossip_every
        self._next_round = now + rng.random() * config.gossip_every
        self._heartbeat = 0
        #: Bytes of the bodies of all messages written so far.
        self.bytes_sent = 0

    def hasten(self, now: float) -> None:
        """Hold the next round at once, unless that costs too much.

        Where there are too many hosts for all to be sent to, news of documents
        keeps to the rounds: each host also asks control for it.

        :param now: monotonic seconds.
        """
        if not self._find_circle().is_ring:
            self._next_round = now

    def note_peer(self, row: HostRow, unheard: frozenset[HostName]) -> None:
        """Note what a peer said of itself.

        :param row: its own row.
        :param unheard: the hosts that it does not hear directly.
        """
        self._find_state(row.host, row.incarnation).unheard = unheard

    def forget(self, host: HostName) -> None:
        """Drop what was exchanged with a host that is gone.

        :param host: the host.
        """
        self._states.pop(host, None)

    def answer(
        self, host: HostName, body: DirectoryMessage, now: float
    ) -> Sequence[PeerSend]:
        """Write one message to one host.

        :param host: the receiver.
        :param body: what to send.
        :param now: monotonic seconds.
        :returns: the message, or nothing when nobody knows where the host is.
        """
        address = self._hosts.find_address(host)
        if address is None:
            return ()
        return (self._write(host, address, encode_json(body), now),)

    def broadcast(self, body: DirectoryMessage, now: float) -> Sequence[PeerSend]:
        """Write the same message to every host of this zone and every peer.

        :param body: what to send.
        :param now: monotonic seconds.
        :returns: the messages.
        """
        data = encode_json(body)
        own = self._config.zone
        receivers = {
            host: address
            for host, zone, address in self._hosts.list_peers()
            if zone == own
        }
        receivers |= {peer.host: peer.address for peer in self._find_circle().peers}
        return [self._write(host, to, data, now) for host, to in receivers.items()]

    def write_round(self, now: float) -> Sequence[PeerSend]:
        """Write a round of gossip when one is due.

        :param now: monotonic seconds.
        :returns: a message to each peer.
        """
        if now < self._next_round:
            return ()
        self._heartbeat += 1
        circle = self._find_circle()
        peers = list(circle.peers)
        rate = self._config.messages_per_second
        self._interval = max(circle.every, len(peers) / rate)
        jitter = 1 + JITTER * (2 * self._rng.random() - 1)
        self._next_round = now + self._interval * jitter
        heard_since = now - self._interval * UNHEARD_ROUNDS
        unheard = tuple(self._hosts.list_unheard(circle.senders, heard_since))
        left = tuple(
            LeftRow(*row) for row in self._targets.list_left(now - self._config.lease)
        )
        share = self._ration.start_round(len(peers), self._interval)
        # The order is drawn anew, so that a short budget is short for all alike.
        self._rng.shuffle(peers)
        sends = []
        for turn, peer in enumerate(peers):
            room = self._budget.left(now) / (len(peers) - turn)
            body = self._compose(peer, unheard, left, room, share, now)
            sends.append(self._write(peer.host, peer.address, encode_json(body), now))
        return sends

    def _compose(
        self,
        peer: Peer,
        unheard: tuple[HostName, ...],
        left: tuple[LeftRow, ...],
        room: float,
        share: float,
        now: float,
    ) -> Gossip:
        state = self._find_state(peer.host, self._hosts.find_incarnation(peer.host))
        rows = self._select(peer, state, room, share, now)
        state.reached = rows.reached
        state.turn += 1
        is_summed = peer.is_partner and state.turn % SUMMARY_ROUNDS == 0
        return Gossip(
            (self._make_own_row(), *self._pick_rows(peer, state.turn, now)),
            int(now * 1000),
            self._shelf.digest,
            unheard,
            left,
            rows.details,
            rows.renewals,
            self._summarise(now) if is_summed else (),
        )

    def _pick_rows(self, peer: Peer, turn: int, now: float) -> Iterator[HostRow]:
        """Pick rows about others: of this zone and of others, by turns or both."""
        both = self._find_circle().is_ring
        step = 1 if both else 2
        for near in (True, False):
            if both or near == (turn % 2 == 0):
                row = self._hosts.pick_row(turn // step, near, peer.host, now)
                if row is not None:
                    yield row

    def _select(
        self, peer: Peer, state: PeerState, room: float, share: float, now: float
    ) -> Rows:
        newest = self._targets.newest
        # A peer that is new gets everything in full, and need not ask.
        since = NEVER if state.reached == 0 else now - 2 * self._interval
        relays = self._rng.random() * len(self._find_circle().peers) < RELAYS
        unheard = state.unheard if relays else frozenset()
        changed = [
            record
            for record in self._targets.list_changed(state.reached)
            if self._is_for(peer, record, unheard)
        ]
        if peer.is_partner:
            share = min(share, self._find_sample_share())
        else:
            # What is relayed during a fault is paid out of the burst.
            own = self._config.host
            self._ration.count(sum(each.source == own for each in changed))
        chosen = [
            record
            for record in changed
            if is_interested(peer.host, record.announcement.target, share)
        ]
        return make_rows(chosen, newest, since, room, now)

    def _is_for(
        self, peer: Peer, record: TargetRecord, unheard: frozenset[HostName]
    ) -> bool:
        if peer.is_partner:
            return record.announcement.zone == self._config.zone
        return pick_relayed(record, self._config.host, unheard)

    def _find_sample_share(self) -> float:
        partners = sum(peer.is_partner for peer in self._find_circle().peers)
        sample = self._config.sample / partners
        return sample / max(len(self._targets), 1)

    def _find_circle(self) -> Circle:
        if self._circle is None or self._circle_epoch != self._hosts.epoch:
            self._circle = choose_circle(self._config, self._hosts)
            self._circle_epoch = self._hosts.epoch
        return self._circle

    def _summarise(self, now: float) -> tuple[PoolSummary, ...]:
        zone = self._config.zone
        hosts = self._hosts.count_zone(zone) + 1
        return summarise(self._targets, self._sizes, zone, hosts, now)

    def _make_own_row(self) -> HostRow:
        config = self._config
        return HostRow(
            config.host,
            config.zone,
            config.address.ip,
            config.address.port,
            config.incarnation,
            self._heartbeat,
            self._shelf.revision,
            0,
        )

    def _find_state(self, host: HostName, incarnation: int) -> PeerState:
        state = self._states.get(host)
        if state is None or state.incarnation < incarnation:
            turn = self._rng.randrange(1_000_000)
            state = self._states[host] = PeerState(incarnation, turn)
        return state

    def _write(
        self, host: HostName, address: Address, data: bytes, now: float
    ) -> PeerSend:
        self._budget.spend(len(data) + ENVELOPE_BYTES, now)
        self.bytes_sent += len(data)
        return PeerSend(address, PeerMessage(self._config.host, host, Raw(data)))
