"""What a replica is at the moment: its term, vote, role and log."""

from __future__ import annotations

import math
import random
from enum import Enum

from bramleyspread_control._config import ControlTimings
from bramleyspread_control._log import Log
from bramleyspread_control._messages import GroupMessage
from bramleyspread_core import Happening, HostName


class Role(str, Enum):
    """What a replica does in its group."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEARNER = "learner"


class ConsensusState:
    """The part of a replica that all its decisions share."""

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
        #: The group.
        self.group = group
        #: This host.
        self.host = host
        #: Identity of its data folder.
        self.incarnation = incarnation
        #: The log.
        self.log = log
        #: Times and bounds.
        self.timings = timings
        #: The newest term seen.
        self.term = 0
        #: Who got this replica's vote in that term; empty for nobody.
        self.vote = ""
        #: True when term or vote are not written yet.
        self.vote_unwritten = False
        #: What it does.
        self.role = Role.FOLLOWER
        #: The leader of the term, when known.
        self.leader: HostName | None = None
        #: When the leader was last heard; a start counts as hearing one, since
        #: the promise made to it before may still hold.
        self.leader_heard_at = now
        #: Whether its log is surely complete: the folder is as this host left it,
        #: or a leader has found the log complete since the start.
        self.log_complete = False
        #: When a leader last found this replica complete, or a quorum followed it.
        self.last_complete_at = -math.inf
        #: When this process started.
        self.started_at = now
        #: Hosts of voters that are known to have lost their data folder.
        self.hosts_with_lost_folder: set[str] = set()
        #: Whether it may stand for election.
        self.may_start_election = True
        #: Messages to send once everything is synced.
        self.outbox: list[tuple[HostName, GroupMessage]] = []
        #: Events for the time line.
        self.happenings: list[Happening] = []
        #: When it stands for election at the latest.
        self.election_due_at = 0.0
        self._rng = rng
        self.reset_election_timer(now)

    @property
    def has_vote(self) -> bool:
        """Whether this replica is a voter."""
        return self.log.members.has_voter(self.host, self.incarnation)

    def was_complete_since(self, moment: float) -> bool:
        """Whether this replica was complete, or led a quorum, at or after a moment.

        What a voter lost in a restart before that moment is in this log.
        """
        return self.log_complete and self.last_complete_at >= moment

    def send(self, host: HostName, message: GroupMessage) -> None:
        """Queue a message to another host's replica."""
        self.outbox.append((host, message))

    def report_event(self, kind: str, peer: str = "", detail: str = "") -> None:
        """Queue an event for the time line."""
        step = f"group-{self.group}"
        self.happenings.append(Happening(kind, step=step, peer=peer, detail=detail))

    def reset_election_timer(self, now: float) -> None:
        """Draw a new time to stand for election."""
        timings = self.timings
        self.election_due_at = now + self._rng.uniform(
            timings.election_min, timings.election_max
        )

    def enter_term(self, term: int, vote: str = "") -> None:
        """Take note of a newer term, or of a vote in this one."""
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self.vote_unwritten = True

    def become_follower(self, term: int, leader: HostName | None, now: float) -> None:
        """Be a follower, of a known leader or of none yet."""
        if self.role is Role.LEADER:
            self.report_event("leadership-lost", leader or "", f"term {term}")
        if term > self.term:
            self.enter_term(term)
            self.leader = None
        if leader is not None and leader != self.leader:
            self.report_event("leader-found", leader, f"term {term}")
        if leader is not None or self.role is Role.LEADER:
            self.leader = leader
        self.role = Role.FOLLOWER if self.has_vote else Role.LEARNER
        self.reset_election_timer(now)
