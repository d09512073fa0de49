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


class Standing:
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
        self.unwritten = False
        #: What it does.
        self.role = Role.FOLLOWER
        #: The leader of the term, when known.
        self.leader: HostName | None = None
        #: When the leader was last heard; a start counts as hearing one, since
        #: the promise made to it before may still hold.
        self.heard = now
        #: Whether its log is surely complete: the folder is as this host left it,
        #: or a leader has found the log complete since the start.
        self.confirmed = False
        #: When a leader last found this replica complete, or a quorum followed it.
        self.in_touch = -math.inf
        #: When this process started.
        self.started = now
        #: Hosts of voters that are known to have lost their data folder.
        self.lost: set[str] = set()
        #: Whether it may stand for election.
        self.may_stand = True
        #: Messages to send once everything is synced.
        self.outbox: list[tuple[HostName, GroupMessage]] = []
        #: Events for the time line.
        self.happenings: list[Happening] = []
        #: When it stands for election at the latest.
        self.election_due = 0.0
        self._rng = rng
        self.put_off_election(now)

    @property
    def has_vote(self) -> bool:
        """Whether this replica is a voter."""
        return self.log.members.has_voter(self.host, self.incarnation)

    def in_touch_since(self, moment: float) -> bool:
        """Whether this replica was complete, or led a quorum, at or after a moment.

        What a voter lost in a restart before that moment is in this log.
        """
        return self.confirmed and self.in_touch >= moment

    def send(self, host: HostName, message: GroupMessage) -> None:
        """Queue a message to another host's replica."""
        self.outbox.append((host, message))

    def report(self, kind: str, peer: str = "", detail: str = "") -> None:
        """Queue an event for the time line."""
        step = f"group-{self.group}"
        self.happenings.append(Happening(kind, step=step, peer=peer, detail=detail))

    def put_off_election(self, now: float) -> None:
        """Draw a new time to stand for election."""
        timings = self.timings
        self.election_due = now + self._rng.uniform(
            timings.election_min, timings.election_max
        )

    def enter_term(self, term: int, vote: str = "") -> None:
        """Take note of a newer term, or of a vote in this one."""
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self.unwritten = True

    def follow(self, term: int, leader: HostName | None, now: float) -> None:
        """Be a follower, of a known leader or of none yet."""
        if self.role is Role.LEADER:
            self.report("leadership-lost", leader or "", f"term {term}")
        if term > self.term:
            self.enter_term(term)
            self.leader = None
        if leader is not None and leader != self.leader:
            self.report("leader-found", leader, f"term {term}")
        if leader is not None or self.role is Role.LEADER:
            self.leader = leader
        self.role = Role.FOLLOWER if self.has_vote else Role.LEARNER
        self.put_off_election(now)
