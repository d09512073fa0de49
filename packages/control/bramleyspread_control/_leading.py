"""A leader's work: replicate, commit, keep the lease, change members."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from bramleyspread_control._entries import Change, Entry, SetMembers
from bramleyspread_control._members import Member, Members
from bramleyspread_control._messages import (
    Append,
    Appended,
    SnapshotWanted,
    StandNow,
)
from bramleyspread_control._progress import Progress, SnapshotSend
from bramleyspread_control._standing import Standing
from bramleyspread_core import HostName


class Leading:
    """What a replica holds and does only while it leads, for one term."""

    def __init__(
        self,
        standing: Standing,
        encode_state: Callable[[], bytes],
        now: float,
    ) -> None:
        self._standing = standing
        self._encode_state = encode_state
        #: When it was elected.
        self.elected_at = now
        self._progress: dict[str, Progress] = {}
        self._heartbeat_due = now
        self._hand_over_until: float | None = None
        #: True once another replica was asked to take over.
        self.handed_over = False
        #: The term it leads.
        self.term = standing.term
        standing.leader = standing.host
        standing.report("leader-elected", standing.host, f"term {standing.term}")
        #: Position of the first entry of this term; it names the members, for
        #: replicas that never saw the log's beginning.
        self.first_index = self.append(SetMembers(), standing.log.members)

    @property
    def settled(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._standing.log.commit >= self.first_index

    @property
    def open(self) -> bool:
        """Whether new entries are taken."""
        return self._hand_over_until is None

    def append(self, change: Change, members: Members | None) -> int:
        """Add an entry.

        :param change: what it holds.
        :param members: the new members, where it changes them.
        :returns: its position.
        """
        standing = self._standing
        index = standing.log.last_index + 1
        entry = Entry.from_change(index, standing.term, change, members)
        standing.log.append(entry)
        return index

    def find_contact(self, now: float) -> float:
        """Find since when a quorum is known to have followed this leader."""
        standing = self._standing
        times = [
            now if member.host == standing.host else self._see(member).contact
            for member in standing.log.members.voters
        ]
        times.sort(reverse=True)
        quorum = standing.log.members.quorum
        return times[quorum - 1] if len(times) >= quorum else -math.inf

    def has_lease(self, now: float) -> bool:
        """Whether no other replica can have become leader by now."""
        if self.handed_over:
            return False
        return now < self.find_contact(now) + self._standing.timings.lease

    def may_accept(self, now: float) -> bool:
        """Whether to take commands: with the lease, or too new to have it."""
        fresh = now < self.elected_at + self._standing.timings.lease
        return self.open and (fresh or self.has_lease(now))

    def has_quorum(self, now: float) -> bool:
        """Whether to go on leading."""
        since = max(self.elected_at, self.find_contact(now))
        return now < since + self._standing.timings.election_min

    def tick(self, now: float) -> None:
        """Send signs of life, and what was lost again."""
        beat = now >= self._heartbeat_due
        if beat:
            self._heartbeat_due = now + self._standing.timings.heartbeat
        for member in self._list_others():
            self._replicate(member, now, beat)
        if self._hand_over_until is not None:
            self._go_on_handing_over(now)

    def take_appended(self, sender: HostName, answer: Appended, now: float) -> None:
        """Take note of how far a replica has the log."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.contact = max(progress.contact, answer.sent_at)
        if answer.matched:
            progress.match = max(progress.match, answer.index)
            if answer.index + 1 > progress.next:
                self._move_on(progress)
            self.advance_commit()
        elif answer.index + 1 < progress.next:
            progress.next = max(progress.match, answer.index) + 1
            progress.resend_at = 0.0
        member = self._standing.log.members.find(sender)
        if member is not None:
            self._replicate(member, now, beat=False)

    def take_snapshot_wanted(
        self, sender: HostName, wanted: SnapshotWanted, now: float
    ) -> None:
        """Send the next piece of a snapshot."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.contact = max(progress.contact, wanted.sent_at)
        sending = progress.snapshot
        member = self._standing.log.members.find(sender)
        if sending is None or sending.index != wanted.index or member is None:
            return
        if not 0 <= wanted.offset < len(sending.data):
            return
        progress.snapshot = msgspec.structs.replace(sending, offset=wanted.offset)
        progress.resend_at = 0.0
        self._replicate(member, now, beat=False)

    def advance_commit(self) -> None:
        """Commit what a quorum has synced, from the first own entry on."""
        log = self._standing.log
        marks = [
            log.synced
            if member.host == self._standing.host
            else self._see(member).match
            for member in log.members.voters
        ]
        marks.sort(reverse=True)
        quorum = log.members.quorum
        if len(marks) >= quorum and marks[quorum - 1] >= self.first_index:
            log.commit = max(log.commit, marks[quorum - 1])

    def hear_session(self, host: HostName, session: str) -> None:
        """Take note of the process that a member runs as."""
        member = self._standing.log.members.find(host)
        if member is None:
            return
        progress = self._see(member)
        if progress.session != session:
            progress.forget(session, self._standing.log.last_index + 1)

    def find_session(self, host: HostName) -> str:
        """Find the process that what is known of a member is about."""
        progress = self._progress.get(host)
        return progress.session if progress is not None else ""

    def change_members(self, newcomers: list[Member], now: float) -> None:
        """Make the next change of members, if one is due and none is pending.

        :param newcomers: replicas heard of that are not members.
        :param now: monotonic seconds.
        """
        log = self._standing.log
        if not self.settled or not self.open or log.members_index > log.commit:
            return
        for newcomer in newcomers:
            if newcomer.incarnation not in log.members.gone:
                self._standing.report("learner-admitted", newcomer.host)
                self._progress.pop(newcomer.host, None)
                self.append(SetMembers(), log.members.admit(newcomer))
                return
        for member in log.members.listed:
            if not member.voter and self._is_complete(member, now):
                self._standing.report("learner-promoted", member.host)
                self.append(SetMembers(), log.members.promote(member.host))
                return
        replaced = self._find_replaced(now)
        if replaced is not None:
            self._standing.report("member-replaced", replaced.host)
            self._progress.pop(replaced.host, None)
            self.append(SetMembers(), log.members.dismiss(replaced.host))

    def _find_replaced(self, now: float) -> Member | None:
        """Find a voter that fell silent and whose successor has a vote by now.

        Its successor came later, into the same zone. While the silent one counts, a
        majority takes one replica more, and one loss more stops all.
        """
        patience = self._standing.timings.replaced_after
        voters = self._standing.log.members.voters
        silent = [
            member.host != self._standing.host
            and max(self._see(member).contact, self.elected_at) + patience < now
            for member in voters
        ]
        for number, member in enumerate(voters):
            follows = (
                each.zone == member.zone and not silent[number + 1 + at]
                for at, each in enumerate(voters[number + 1 :])
            )
            if silent[number] and any(follows):
                return member
        return None

    def hand_over(self, now: float) -> None:
        """Take no more entries, and let the replica that has all take over."""
        if self._hand_over_until is None:
            self._hand_over_until = now + self._standing.timings.hand_over
        self._go_on_handing_over(now)

    def gave_up(self, now: float) -> bool:
        """Whether the time to hand leadership over has run out."""
        return self._hand_over_until is not None and now >= self._hand_over_until

    def _go_on_handing_over(self, now: float) -> None:
        standing = self._standing
        if self.handed_over or self.gave_up(now):
            return
        ready = [
            member
            for member in self._list_others()
            if member.voter and self._see(member).match == standing.log.last_index
        ]
        if ready and self.settled:
            best = max(ready, key=lambda member: self._see(member).contact)
            self.handed_over = True
            standing.report("leadership-handed-over", best.host)
            standing.send(best.host, StandNow(standing.group, standing.term))

    def _is_complete(self, member: Member, now: float) -> bool:
        """Whether a learner has synced all that is committed, and lives."""
        progress = self._see(member)
        lives = now < progress.contact + self._standing.timings.election_min
        return lives and progress.match >= self._standing.log.commit

    def _list_others(self) -> list[Member]:
        members = self._standing.log.members.listed
        return [member for member in members if member.host != self._standing.host]

    def _see(self, member: Member) -> Progress:
        progress = self._progress.get(member.host)
        if progress is None:
            progress = Progress(self._standing.log.last_index + 1)
            self._progress[member.host] = progress
        return progress

    def _move_on(self, progress: Progress) -> None:
        progress.next = max(progress.next, progress.match + 1)
        progress.resend_at = 0.0
        progress.snapshot = None

    def _replicate(self, member: Member, now: float, beat: bool) -> None:
        """Send a replica what it lacks, or at a beat a sign of life."""
        progress = self._see(member)
        log = self._standing.log
        waits = now < progress.resend_at
        if waits and not beat:
            return
        if progress.next <= log.base_index:
            if not waits:
                self._send_piece(member, progress, now)
            return
        lacks = progress.next <= log.last_index and not waits
        if not lacks and not beat:
            return
        entries = log.take_batch(progress.next) if lacks else ()
        if entries:
            progress.resend_at = now + self._standing.timings.resend
        self._send_entries(member, progress.next - 1, entries, now)

    def _send_entries(
        self, member: Member, prev: int, entries: tuple[Entry, ...], now: float
    ) -> None:
        standing = self._standing
        prev_term = standing.log.find_term(prev)
        assert prev_term is not None, "the entry before the batch must be known"
        append = Append(
            standing.group,
            standing.term,
            prev,
            prev_term,
            entries,
            standing.log.commit,
            self.settled,
            now,
        )
        standing.send(member.host, append)

    def _send_piece(self, member: Member, progress: Progress, now: float) -> None:
        standing = self._standing
        log = standing.log
        sending = progress.snapshot
        if sending is None:
            term = log.find_term(log.applied)
            assert term is not None, "the applied entry must be in the log"
            members = log.find_members_at(log.applied)
            state = self._encode_state()
            sending = SnapshotSend.from_state(log.applied, term, members, state)
            progress.snapshot = sending
        progress.resend_at = now + standing.timings.resend
        piece = sending.make_piece(standing.group, standing.term, now)
        standing.send(member.host, piece)
