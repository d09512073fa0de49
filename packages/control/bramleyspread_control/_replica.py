"""One host's replica of one group: the rules of consensus, without I/O."""

from __future__ import annotations

import random
from typing import Protocol

from bramleyspread_control._config import ControlTimings
from bramleyspread_control._consensus_state import ConsensusState, Role
from bramleyspread_control._election import Election
from bramleyspread_control._entries import Change, Entry
from bramleyspread_control._follower_state import FollowerState
from bramleyspread_control._leader_state import LeaderState
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
    """The state that a group's committed entries build, and nothing else does."""

    def apply(self, change: Change) -> CommandResult | None:
        """Apply a committed change; equal changes give equal results."""

    def encode(self) -> bytes:
        """Write the whole state as JSON."""

    def restore(self, data: bytes) -> None:
        """Replace the state; raises ``MessageError`` and changes nothing."""


class AppliedEntry:
    """A committed entry that was applied, and its result."""

    __slots__ = ("entry", "result")

    def __init__(self, entry: Entry, result: CommandResult | None) -> None:
        #: The entry.
        self.entry = entry
        #: What it gave; None for entries that no command made.
        self.result = result


class Replica:
    """Takes messages, time and commands of one group.

    What it changes must be synced before its messages leave; then
    :meth:`mark_synced` tells it so.
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
        #: The state.
        self.state_machine = state_machine
        #: The work of a follower.
        self.follower_state = FollowerState(self.consensus, state_machine.restore)
        #: The work of a leader, while it is one.
        self.leader_state: LeaderState | None = None
        self._election = Election(self.consensus)

    @property
    def log(self) -> Log:
        """The log."""
        return self.consensus.log

    def check_leadership(self, now: float) -> None:
        """Stop leading when a quorum has not been heard for too long.

        To be called before anything else is decided: the process may have
        stood still since the last call.
        """
        leader_state = self.leader_state
        if leader_state is None:
            return
        if not leader_state.has_quorum(now) or leader_state.transfer_timed_out(now):
            self._step_down(now)

    def tick(self, now: float) -> None:
        """Let time pass."""
        self.check_leadership(now)
        consensus = self.consensus
        if self.leader_state is not None:
            self.leader_state.tick(now)
            return
        if not consensus.has_vote:
            consensus.role = Role.LEARNER
            return
        if consensus.role is Role.LEARNER:
            consensus.role = Role.FOLLOWER
        due = consensus.may_start_election and now >= consensus.election_due_at
        if due and self._election.start_election(now, is_pre_vote=True):
            self._become_leader(now)

    def receive(
        self, sender: HostName, message: GroupMessage, now: float, knows_session: bool
    ) -> None:
        """Take a message.

        :param sender: the host that sent it.
        :param message: the message.
        :param now: monotonic seconds.
        :param current: whether the sender knows this process, not only its folder.
        """
        self.check_leadership(now)
        match message:
            case AppendRequest():
                self.follower_state.handle_append(sender, message, now, knows_session)
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

    def propose(self, change: Change, now: float) -> int | None:
        """Add a change to the log.

        :param change: the change.
        :param now: monotonic seconds.
        :returns: its position, or None when this replica may not accept it.
        """
        self.check_leadership(now)
        if self.leader_state is None or not self.leader_state.may_accept_commands(now):
            return None
        return self.leader_state.append(change, None)

    def replicate(self, now: float) -> None:
        """Send out what was added."""
        if self.leader_state is not None:
            self.leader_state.tick(now)

    def change_members(self, newcomers: list[Member], now: float) -> None:
        """Make the next change of members, when this replica leads."""
        if self.leader_state is not None:
            self.leader_state.change_members(newcomers, now)

    def mark_synced(self) -> list[AppliedEntry]:
        """Take note that everything so far is durable.

        :returns: the entries that are now committed, applied in order.
        """
        log = self.log
        log.mark_synced()
        if self.leader_state is not None:
            self.leader_state.advance_commit_index()
        return self.apply_committed()

    def apply_committed(self) -> list[AppliedEntry]:
        """Apply what is committed.

        :returns: the entries applied, in order.
        """
        log = self.log
        done = []
        while log.applied_index < log.commit_index:
            entry = log.get(log.applied_index + 1)
            done.append(
                AppliedEntry(entry, self.state_machine.apply(entry.read_change()))
            )
            log.applied_index += 1
        return done

    def transfer_leadership(self, now: float) -> None:
        """Stand no more, and pass leadership on when this replica has it."""
        self.consensus.may_start_election = False
        if self.leader_state is not None:
            self.leader_state.transfer_leadership(now)

    def has_lease(self, now: float) -> bool:
        """Whether this replica leads and no other one can by now."""
        self.check_leadership(now)
        return self.leader_state is not None and self.leader_state.has_lease(now)

    def _handle_vote_request(
        self, sender: HostName, request: VoteRequest, now: float
    ) -> None:
        consensus = self.consensus
        if self.leader_state is not None:
            has_live_leader = not self.leader_state.transfer_requested
        else:
            has_live_leader = (
                now < consensus.leader_heard_at + consensus.timings.election_min
            )
        self._election.handle_vote_request(sender, request, now, has_live_leader)

    def _handle_response(
        self,
        sender: HostName,
        answer: AppendResponse | SnapshotChunkRequest,
        now: float,
    ) -> None:
        consensus = self.consensus
        if answer.term > consensus.term:
            consensus.become_follower(answer.term, None, now)
            return
        leader_state = self.leader_state
        if leader_state is None or answer.term != consensus.term:
            return
        if isinstance(answer, AppendResponse):
            leader_state.handle_append_response(sender, answer, now)
        else:
            leader_state.handle_snapshot_chunk_request(sender, answer, now)

    def _handle_start_election(self, message: StartElection, now: float) -> None:
        consensus = self.consensus
        fits = message.term == consensus.term and self.leader_state is None
        if not fits or not consensus.has_vote or not consensus.may_start_election:
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
        consensus.last_complete_at = max(
            consensus.last_complete_at, leader_state.find_quorum_contact(now)
        )
        self.leader_state = None
        if consensus.role is Role.LEADER:
            consensus.become_follower(consensus.term, None, now)
