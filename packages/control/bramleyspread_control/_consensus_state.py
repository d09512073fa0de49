"""Consensus state of a replica: its term, vote, role and log."""

from __future__ import annotations

import math
import random
from enum import Enum

from bramleyspread_control._config import ControlTimings
from bramleyspread_control._log import Log
from bramleyspread_control._messages import GroupMessage
from bramleyspread_core import HostName, UnstampedEvent


class Role(str, Enum):
    """Role of a replica in its group."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEARNER = "learner"


class ConsensusState:
    """Term, vote, role and log of a replica, shared by its leader and follower code."""

    def __init__(
        self,
        group: int,
        host: HostName,
        incarnation: str,
        log: Log,
        timings: ControlTimings,
        rng: random.Random,
        now: float,
    ) -> None:
        #: Id of the group.
        self.group = group
        #: Name of this host.
        self.host = host
        #: Random id of this host's data folder, which tells it from one that was lost.
        self.incarnation = incarnation
        self.log = log
        #: Timeouts and limits.
        self.timings = timings
        #: The highest known term.
        self.term = 0
        #: The candidate that received this replica's vote in the term; empty if none
        #: did.
        self.vote = ""
        #: True when the term or the vote has not been written to the journal yet.
        self.vote_unwritten = False
        self.role = Role.FOLLOWER
        #: The leader of the term, if known.
        self.leader: HostName | None = None
        #: Time of the last message from a leader. The start of the process counts as
        #: one, since a leader from before a restart may still rely on this voter for
        #: its lease.
        self.last_leader_contact_at = now
        #: Whether the log is known to be complete, and not an older copy that lacks
        #: entries: the data folder is unchanged since this host's last write, or a
        #: leader has confirmed since the start that the log contains all committed
        #: entries.
        self.log_complete = False
        #: The last time at which a leader confirmed that this log is complete, or at
        #: which this replica as leader was in contact with a quorum.
        self.last_confirmed_at = -math.inf
        #: Smoothed duration of this host's syncs, in seconds; 0 before the first.
        self.sync_s = 0.0
        #: Start time of this process, in monotonic seconds.
        self.started_at = now
        #: Hosts of voters that are known to have lost their data folders.
        self.hosts_with_lost_folder: set[str] = set()
        #: False once this replica has been asked to give up leadership for a planned
        #: stop.
        self.may_start_election = True
        #: Messages to send once all changes are synced.
        self.outbox: list[tuple[HostName, GroupMessage]] = []
        #: Pending events for the time line.
        self.events: list[UnstampedEvent] = []
        #: Time at which this replica starts an election unless it hears from a leader
        #: before.
        self.election_due_at = 0.0
        self._rng = rng
        self.reset_election_timer(now)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        return self.log.members.has_voter(self.host, self.incarnation)

    def was_confirmed_since(self, time: float) -> bool:
        """Whether the log is complete and was confirmed as such at or after a time.

        The log then contains every committed entry that a voter which restarted at
        that time may have lost.

        :param time: monotonic seconds.
        """
        return self.log_complete and self.last_confirmed_at >= time

    def send(self, host: HostName, message: GroupMessage) -> None:
        """Queue a message to another host's replica."""
        self.outbox.append((host, message))

    def report_event(self, kind: str, peer: str = "", detail: str = "") -> None:
        """Queue an event for the time line."""
        step = f"group-{self.group}"
        self.events.append(UnstampedEvent(kind, step=step, peer=peer, detail=detail))

    def reset_election_timer(self, now: float) -> None:
        """Choose a new random time for the next election."""
        timings = self.timings
        self.election_due_at = now + self._rng.uniform(
            timings.election_timeout_min_s, timings.election_timeout_max_s
        )

    def set_term_and_vote(self, term: int, vote: str = "") -> None:
        """Set the term, and the vote in it; both are journaled before the next send."""
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self.vote_unwritten = True

    def become_follower(self, term: int, leader: HostName | None, now: float) -> None:
        """Become a follower of a leader, or of none if the leader is not known yet."""
        if self.role is Role.LEADER:
            self.report_event("leadership-lost", leader or "", f"term {term}")
        if term > self.term:
            self.set_term_and_vote(term)
            self.leader = None
        if leader is not None and leader != self.leader:
            self.report_event("leader-found", leader, f"term {term}")
        if leader is not None or self.role is Role.LEADER:
            self.leader = leader
        self.role = Role.FOLLOWER if self.is_voter else Role.LEARNER
        self.reset_election_timer(now)
