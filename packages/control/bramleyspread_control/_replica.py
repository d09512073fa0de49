"""One host's replica of one group: the consensus protocol, without I/O."""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

from bramleyspread_control._config import ControlTimings
from bramleyspread_control._consensus_state import ConsensusState, Role
from bramleyspread_control._election import Election
from bramleyspread_control._entries import Change, Entry
from bramleyspread_control._following import FollowerState
from bramleyspread_control._leaderless_reports import LeaderlessReports
from bramleyspread_control._leading import LeaderState
from bramleyspread_control._log import Log
from bramleyspread_control._members import Member
from bramleyspread_control._messages import (
    AppendRequest,
    AppendResponse,
    GroupMessage,
    SnapshotChunk,
    SnapshotChunkRequest,
    StartElection,
    VoteRequest,
    VoteResponse,
)
from bramleyspread_core import CommandResult, HostName


class StateMachine(Protocol):
    """State of a group, which is built from committed entries only."""

    def apply(self, change: Change) -> CommandResult | None:
        """Apply a committed change; the result must be the same on every replica."""

    def encode(self) -> bytes:
        """Encode the complete state as JSON."""

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one; on ``MessageError`` it is unchanged."""


class AppliedEntry:
    """A committed entry that has been applied, and its result."""

    __slots__ = ("entry", "result")

    def __init__(self, entry: Entry, result: CommandResult | None) -> None:
        self.entry = entry
        #: Result for the command that proposed the entry; None for entries that no
        #: command proposed.
        self.result = result


class SyncedState(msgspec.Struct, frozen=True):
    """What a replica had made durable, and so may have told other hosts."""

    #: The term, and the candidate that received the replica's vote in it.
    term: int
    vote: str
    #: Index and term of the last log entry.
    index: int
    index_term: int
    #: Whether the log up to there was known to be complete.
    log_complete: bool


class Replica:
    """One host's copy of one group: handles its messages, timers and commands.

    A group is a set of control hosts that replicate one log and the state built from
    it.

    All changes must be synced before the queued messages are sent; :meth:`mark_synced`
    must then be called.
    """

    def __init__(
        self,
        group: int,
        host: HostName,
        incarnation: str,
        log: Log,
        state_machine: StateMachine,
        timings: ControlTimings,
        rng: random.Random,
        now: float,
    ) -> None:
        #: Term, vote, role and log.
        self.consensus = ConsensusState(
            group, host, incarnation, log, timings, rng, now
        )
        #: The replicated state.
        self.state_machine = state_machine
        #: Handling of the leader's messages.
        self.follower_state = FollowerState(self.consensus, state_machine.restore)
        #: State and actions as leader; None while this replica is not the leader.
        self.leader_state: LeaderState | None = None
        self._election = Election(self.consensus)
        self._leaderless_reports = LeaderlessReports(
            self.consensus, self._election.answers, now
        )
        #: What is durable; a loaded folder is rewritten before it counts as that.
        self.synced_state = self._read_state()

    @property
    def log(self) -> Log:
        """The replica's log."""
        return self.consensus.log

    def check_leadership(self, now: float) -> None:
        """Step down as leader if the quorum is lost or a leadership transfer timed out.

        It must be called before any other decision, since the process may have been
        suspended since the last call.
        """
        leader_state = self.leader_state
        if leader_state is None:
            return
        if not leader_state.has_quorum(now) or leader_state.transfer_timed_out(now):
            self._step_down(now)

    def tick(self, now: float) -> None:
        """Run everything that is due: heartbeats, retransmissions and elections."""
        self.check_leadership(now)
        consensus = self.consensus
        self._leaderless_reports.tick(now, self.leader_state is not None)
        if self.leader_state is not None:
            self.leader_state.tick(now)
            return
        if not consensus.is_voter:
            consensus.role = Role.LEARNER
            return
        if consensus.role is Role.LEARNER:
            consensus.role = Role.FOLLOWER
        election_due = consensus.may_start_election and now >= consensus.election_due_at
        if election_due and self._election.start_election(now, is_pre_vote=True):
            self._become_leader(now)

    def receive(
        self,
        sender: HostName,
        message: GroupMessage,
        now: float,
        sender_knows_session: bool,
    ) -> None:
        """Handle a message from another host's replica.

        :param sender: the host that sent the message.
        :param message: the message.
        :param now: monotonic seconds.
        :param sender_knows_session: whether the sender addressed this process, rather
            than an earlier process on the same data folder.
        """
        self.check_leadership(now)
        match message:
            case AppendRequest():
                self.follower_state.handle_append_request(
                    sender, message, now, sender_knows_session
                )
            case SnapshotChunk():
                self.follower_state.handle_snapshot_chunk(sender, message, now)
            case VoteRequest():
                self._handle_vote_request(sender, message, now)
            case VoteResponse():
                if self._election.handle_vote_response(sender, message, now):
                    self._become_leader(now)
            case StartElection():
                self._handle_start_election(message, now)
            case AppendResponse() | SnapshotChunkRequest():
                self._handle_response(sender, message, now)
        if (
            self.leader_state is not None
            and self.leader_state.term != self.consensus.term
        ):
            self._step_down(now)

    def propose(self, change: Change | msgspec.Raw, now: float) -> int | None:
        """Append a change to the log.

        :param change: the change, which may be encoded already.
        :param now: monotonic seconds.
        :returns: log index of the entry, or None when this replica may not accept
            commands.
        """
        self.check_leadership(now)
        if self.leader_state is None or not self.leader_state.may_accept_commands(now):
            return None
        return self.leader_state.append(change, None)

    def replicate(self, now: float) -> None:
        """Send new entries to the other replicas, if this replica is the leader."""
        if self.leader_state is not None:
            self.leader_state.tick(now)

    def change_members(self, joining: list[Member], now: float) -> None:
        """Append the next change of members, if this replica is the leader."""
        if self.leader_state is not None:
            self.leader_state.change_members(joining, now)

    def mark_synced(self) -> list[AppliedEntry]:
        """Record that all changes are durable, and apply newly committed entries.

        :returns: the applied entries, in order.
        """
        log = self.log
        log.mark_synced()
        self.synced_state = self._read_state()
        if self.leader_state is not None:
            self.leader_state.advance_commit_index()
        return self.apply_committed()

    def trust_as_before(self, former: SyncedState) -> None:
        """Take over from this process's former replica that the log is complete.

        That holds only if the loaded folder contains all that the former replica had
        made durable; otherwise a leader has to confirm the log, as after a restart.

        :param former: what the former replica had made durable.
        """
        consensus, log = self.consensus, self.log
        has_vote = consensus.term > former.term or (
            consensus.term == former.term and former.vote in ("", consensus.vote)
        )
        has_entries = (
            former.index <= log.base_index
            or log.find_term(former.index) == former.index_term
        )
        if former.log_complete and has_vote and has_entries:
            consensus.log_complete = True
        self.synced_state = self._read_state()

    def _read_state(self) -> SyncedState:
        consensus, log = self.consensus, self.log
        return SyncedState(
            consensus.term,
            consensus.vote,
            log.last_index,
            log.last_term,
            consensus.log_complete,
        )

    def apply_committed(self) -> list[AppliedEntry]:
        """Apply all committed entries that have not been applied yet.

        :returns: the applied entries, in order.
        """
        log = self.log
        applied = []
        while log.applied_index < log.commit_index:
            entry = log.get(log.applied_index + 1)
            applied.append(
                AppliedEntry(entry, self.state_machine.apply(entry.read_change()))
            )
            log.applied_index += 1
        return applied

    def transfer_leadership(self, now: float) -> None:
        """Start no more elections, and transfer leadership if this replica has it."""
        self.consensus.may_start_election = False
        if self.leader_state is not None:
            self.leader_state.transfer_leadership(now)

    def has_lease(self, now: float) -> bool:
        """Whether this replica leads and no other one can have become leader."""
        self.check_leadership(now)
        return self.leader_state is not None and self.leader_state.has_lease(now)

    def has_newest_state(self, now: float) -> bool:
        """Whether all that any leader has committed so far is applied here."""
        leader_state = self.leader_state if self.has_lease(now) else None
        return (
            leader_state is not None
            and self.log.applied_index >= leader_state.first_index
        )

    def _handle_vote_request(
        self, sender: HostName, request: VoteRequest, now: float
    ) -> None:
        consensus = self.consensus
        if self.leader_state is not None:
            has_live_leader = not self.leader_state.transfer_requested
        else:
            has_live_leader = (
                now
                < consensus.last_leader_contact_at
                + consensus.timings.election_timeout_min_s
            )
        self._election.handle_vote_request(sender, request, now, has_live_leader)

    def _handle_response(
        self,
        sender: HostName,
        response: AppendResponse | SnapshotChunkRequest,
        now: float,
    ) -> None:
        consensus = self.consensus
        if response.term > consensus.term:
            consensus.become_follower(response.term, None, now)
            return
        leader_state = self.leader_state
        if leader_state is None or response.term != consensus.term:
            return
        if isinstance(response, AppendResponse):
            leader_state.handle_append_response(sender, response, now)
        else:
            leader_state.handle_snapshot_chunk_request(sender, response, now)

    def _handle_start_election(self, message: StartElection, now: float) -> None:
        consensus = self.consensus
        is_valid = message.term == consensus.term and self.leader_state is None
        if not is_valid or not consensus.is_voter or not consensus.may_start_election:
            return
        if self._election.start_election(
            now, is_pre_vote=False, transfer_requested=True
        ):
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.consensus.role = Role.LEADER
        self.consensus.log_complete = True
        self.leader_state = LeaderState(self.consensus, self.state_machine.encode, now)
        self.leader_state.tick(now)

    def _step_down(self, now: float) -> None:
        leader_state = self.leader_state
        if leader_state is None:
            return
        consensus = self.consensus
        consensus.last_confirmed_at = max(
            consensus.last_confirmed_at, leader_state.find_quorum_contact_time(now)
        )
        self.leader_state = None
        if consensus.role is Role.LEADER:
            consensus.become_follower(consensus.term, None, now)
