"""One host's replica of one group: the rules of consensus, without I/O."""

from __future__ import annotations

import random
from typing import Protocol

from bramleyspread_control._config import ControlTimings
from bramleyspread_control._election import Candidacy
from bramleyspread_control._entries import Change, Entry
from bramleyspread_control._following import Following
from bramleyspread_control._leading import Leading
from bramleyspread_control._log import Log
from bramleyspread_control._members import Member
from bramleyspread_control._messages import (
    Append,
    Appended,
    AskVote,
    GiveVote,
    GroupMessage,
    SnapshotPiece,
    SnapshotWanted,
    StandNow,
)
from bramleyspread_control._standing import Role, Standing
from bramleyspread_core import CommandResult, HostName


class Machine(Protocol):
    """The state that a group's committed entries build, and nothing else does."""

    def apply(self, change: Change) -> CommandResult | None:
        """Apply a committed change; equal changes give equal results."""

    def encode(self) -> bytes:
        """Write the whole state as JSON."""

    def restore(self, data: bytes) -> None:
        """Replace the state; raises ``MessageError`` and changes nothing."""


class Applied:
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
        machine: Machine,
        timings: ControlTimings,
        rng: random.Random,
        now: float,
    ) -> None:
        #: Term, vote, role and log.
        self.standing = Standing(group, host, incarnation, log, timings, rng, now)
        #: The state.
        self.machine = machine
        #: The work of a follower.
        self.following = Following(self.standing, machine.restore)
        #: The work of a leader, while it is one.
        self.leading: Leading | None = None
        self._candidacy = Candidacy(self.standing)

    @property
    def log(self) -> Log:
        """The log."""
        return self.standing.log

    def observe(self, now: float) -> None:
        """Stop leading when a quorum has not been heard for too long.

        To be called before anything else is decided: the process may have
        stood still since the last call.
        """
        leading = self.leading
        if leading is None:
            return
        if not leading.has_quorum(now) or leading.gave_up(now):
            self._step_down(now)

    def tick(self, now: float) -> None:
        """Let time pass."""
        self.observe(now)
        standing = self.standing
        if self.leading is not None:
            self.leading.tick(now)
            return
        if not standing.has_vote:
            standing.role = Role.LEARNER
            return
        if standing.role is Role.LEARNER:
            standing.role = Role.FOLLOWER
        due = standing.may_stand and now >= standing.election_due
        if due and self._candidacy.stand(now, trial=True):
            self._lead(now)

    def receive(
        self, sender: HostName, message: GroupMessage, now: float, current: bool
    ) -> None:
        """Take a message.

        :param sender: the host that sent it.
        :param message: the message.
        :param now: monotonic seconds.
        :param current: whether the sender knows this process, not only its folder.
        """
        self.observe(now)
        match message:
            case Append():
                self.following.take_append(sender, message, now, current)
            case SnapshotPiece():
                self.following.take_piece(sender, message, now)
            case AskVote():
                self._answer_candidate(sender, message, now)
            case GiveVote():
                if self._candidacy.take_vote(sender, message, now):
                    self._lead(now)
            case StandNow():
                self._stand_now(message, now)
            case Appended() | SnapshotWanted():
                self._take_answer(sender, message, now)
        if self.leading is not None and self.leading.term != self.standing.term:
            self._step_down(now)

    def propose(self, change: Change, now: float) -> int | None:
        """Add a change to the log.

        :param change: the change.
        :param now: monotonic seconds.
        :returns: its position, or None when this replica may not accept it.
        """
        self.observe(now)
        if self.leading is None or not self.leading.may_accept(now):
            return None
        return self.leading.append(change, None)

    def replicate(self, now: float) -> None:
        """Send out what was added."""
        if self.leading is not None:
            self.leading.tick(now)

    def change_members(self, newcomers: list[Member], now: float) -> None:
        """Make the next change of members, when this replica leads."""
        if self.leading is not None:
            self.leading.change_members(newcomers, now)

    def mark_synced(self) -> list[Applied]:
        """Take note that everything so far is durable.

        :returns: the entries that are now committed, applied in order.
        """
        log = self.log
        log.mark_synced()
        if self.leading is not None:
            self.leading.advance_commit()
        return self.apply_committed()

    def apply_committed(self) -> list[Applied]:
        """Apply what is committed.

        :returns: the entries applied, in order.
        """
        log = self.log
        done = []
        while log.applied < log.commit:
            entry = log.get(log.applied + 1)
            done.append(Applied(entry, self.machine.apply(entry.read_change())))
            log.applied += 1
        return done

    def hand_over(self, now: float) -> None:
        """Stand no more, and pass leadership on when this replica has it."""
        self.standing.may_stand = False
        if self.leading is not None:
            self.leading.hand_over(now)

    def has_lease(self, now: float) -> bool:
        """Whether this replica leads and no other one can by now."""
        self.observe(now)
        return self.leading is not None and self.leading.has_lease(now)

    def _answer_candidate(self, sender: HostName, asked: AskVote, now: float) -> None:
        standing = self.standing
        if self.leading is not None:
            led = not self.leading.handed_over
        else:
            led = now < standing.heard + standing.timings.election_min
        self._candidacy.answer(sender, asked, now, led)

    def _take_answer(
        self, sender: HostName, answer: Appended | SnapshotWanted, now: float
    ) -> None:
        standing = self.standing
        if answer.term > standing.term:
            standing.follow(answer.term, None, now)
            return
        leading = self.leading
        if leading is None or answer.term != standing.term:
            return
        if isinstance(answer, Appended):
            leading.take_appended(sender, answer, now)
        else:
            leading.take_snapshot_wanted(sender, answer, now)

    def _stand_now(self, message: StandNow, now: float) -> None:
        standing = self.standing
        fits = message.term == standing.term and self.leading is None
        if not fits or not standing.has_vote or not standing.may_stand:
            return
        if self._candidacy.stand(now, trial=False, handed_over=True):
            self._lead(now)

    def _lead(self, now: float) -> None:
        self.standing.role = Role.LEADER
        self.standing.confirmed = True
        self.leading = Leading(self.standing, self.machine.encode, now)
        self.leading.tick(now)

    def _step_down(self, now: float) -> None:
        leading = self.leading
        if leading is None:
            return
        standing = self.standing
        standing.in_touch = max(standing.in_touch, leading.find_contact(now))
        self.leading = None
        if standing.role is Role.LEADER:
            standing.follow(standing.term, None, now)
