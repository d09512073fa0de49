"""Leader: replication, commits, the leader lease, and changes of members."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from bramleyspread_control._consensus_state import ConsensusState
from bramleyspread_control._entries import Change, Entry, SetMembers
from bramleyspread_control._members import Member, Members
from bramleyspread_control._messages import (
    AppendRequest,
    AppendResponse,
    SnapshotChunkRequest,
    StartElection,
)
from bramleyspread_control._progress import OutgoingSnapshot, ReplicaProgress
from bramleyspread_core import HostName

#: How many times as long a voter must be silent to be replaced by one of its zone that
#: came before it.
EARLIER_VOTER_FACTOR = 2
#: Rate at which a replica is expected to receive and sync entries at least, in bytes a
#: second. Unanswered ones are sent again only after the time that this takes besides.
MIN_REPLICATION_RATE = 8_000_000
#: A leader hands over when its syncs take at least this many times as long as those of
#: a quorum of others.
SLOW_SYNC_FACTOR = 5.0
#: Duration of a sync below which no disk counts as slow, in seconds.
MIN_SLOW_SYNC_S = 0.01
#: Time after its election in which a leader does not hand over for a slow disk, in
#: seconds.
MIN_LEADERSHIP_S = 5.0


class LeaderState:
    """State and actions of a replica during one term as leader."""

    def __init__(
        self,
        consensus: ConsensusState,
        encode_state: Callable[[], bytes],
        now: float,
    ) -> None:
        self._consensus = consensus
        self._encode_state = encode_state
        #: Time of the election, in monotonic seconds.
        self.elected_at = now
        # Progress of the other replicas by host.
        self._progress: dict[str, ReplicaProgress] = {}
        self._heartbeat_due_at = now
        self._transfer_deadline: float | None = None
        #: True once another replica has been requested to take over the leadership.
        self.transfer_requested = False
        #: The term that this replica leads.
        self.term = consensus.term
        consensus.leader = consensus.host
        consensus.report_event(
            "leader-elected", consensus.host, f"term {consensus.term}"
        )
        #: Index of the first entry of this term. The entry lists the members, for
        #: replicas that never received the beginning of the log.
        self.first_index = self.append(SetMembers(), consensus.log.members)

    @property
    def term_committed(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._consensus.log.commit_index >= self.first_index

    @property
    def accepts_entries(self) -> bool:
        """Whether entries may be appended; a leadership transfer stops that."""
        return self._transfer_deadline is None

    def append(self, change: Change | msgspec.Raw, members: Members | None) -> int:
        """Append an entry to the log.

        :param change: the entry's change.
        :param members: the new members, if the entry changes them.
        :returns: log index of the entry.
        """
        consensus = self._consensus
        index = consensus.log.last_index + 1
        entry = Entry.from_change(index, consensus.term, change, members)
        consensus.log.append(entry)
        return index

    def find_quorum_contact_time(self, now: float) -> float:
        """Find the latest time since which a quorum has been in contact.

        :param now: monotonic seconds; the leader itself counts as in contact now.
        :returns: the oldest last contact among the voters of the quorum with the newest
            contacts, in monotonic seconds; minus infinity if no quorum has responded.
        """
        consensus = self._consensus
        contact_times = [
            now
            if member.host == consensus.host
            else self._get_progress(member).last_contact_at
            for member in consensus.log.members.voters
        ]
        contact_times.sort(reverse=True)
        quorum = consensus.log.members.quorum
        return contact_times[quorum - 1] if len(contact_times) >= quorum else -math.inf

    def has_lease(self, now: float) -> bool:
        """Whether no other replica can have become leader yet."""
        if self.transfer_requested:
            return False
        return (
            now < self.find_quorum_contact_time(now) + self._consensus.timings.lease_s
        )

    def may_accept_commands(self, now: float) -> bool:
        """Whether commands may be accepted.

        A leader needs the lease for that, except for the first lease period after its
        election.
        """
        newly_elected = now < self.elected_at + self._consensus.timings.lease_s
        return self.accepts_entries and (newly_elected or self.has_lease(now))

    def has_quorum(self, now: float) -> bool:
        """Whether a quorum has responded recently enough to go on as leader."""
        since = max(self.elected_at, self.find_quorum_contact_time(now))
        return now < since + self._consensus.timings.election_timeout_min_s

    def tick(self, now: float) -> None:
        """Send due heartbeats, and send unanswered messages again."""
        send_heartbeat = now >= self._heartbeat_due_at
        if send_heartbeat:
            self._heartbeat_due_at = now + self._consensus.timings.heartbeat_interval_s
        for member in self._list_other_members():
            self._replicate(member, now, send_heartbeat)
        if self._transfer_deadline is None and self._is_disk_slow(now):
            self._consensus.report_event(
                "slow-disk", detail=f"syncs take {self._consensus.sync_s:.3f} s"
            )
            self.transfer_leadership(now)
        elif self._transfer_deadline is not None:
            self._continue_transfer(now)

    def _is_disk_slow(self, now: float) -> bool:
        """Whether most other voters in contact sync many times as fast as this host.

        A new leader stays for a while, so that leadership doesn't move back and forth.
        """
        own_s = self._consensus.sync_s
        if own_s < MIN_SLOW_SYNC_S or now < self.elected_at + MIN_LEADERSHIP_S:
            return False
        if not self.term_committed:
            return False
        contact_since = now - self._consensus.timings.election_timeout_min_s
        others = [
            self._get_progress(member)
            for member in self._list_other_members()
            if member.voter
        ]
        is_faster = [
            0.0 < each.sync_s * SLOW_SYNC_FACTOR <= own_s
            and each.last_contact_at >= contact_since
            for each in others
        ]
        return sum(is_faster) >= self._consensus.log.members.quorum

    def has_earlier_build(self, now: float) -> bool:
        """Whether a replica in contact refuses entries with zone drains.

        A majority of such replicas would refuse all later entries, too.
        """
        contact_since = now - self._consensus.timings.election_timeout_min_s
        others = [self._get_progress(each) for each in self._list_other_members()]
        return any(
            each.last_contact_at >= contact_since and not each.knows_drains
            for each in others
        )

    def handle_append_response(
        self, sender: HostName, response: AppendResponse, now: float
    ) -> None:
        """Record how far a replica's log matches, and send it the next entries."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.last_contact_at = max(progress.last_contact_at, response.sent_at)
        progress.sync_s = response.sync_s
        progress.knows_drains = response.knows_drains
        if response.matched:
            progress.match_index = max(progress.match_index, response.index)
            if response.index + 1 > progress.next_index:
                self._advance_progress(progress)
            self.advance_commit_index()
        elif response.index + 1 < progress.next_index:
            progress.next_index = max(progress.match_index, response.index) + 1
            progress.retransmit_due_at = 0.0
        member = self._consensus.log.members.find(sender)
        if member is not None:
            self._replicate(member, now, send_heartbeat=False)

    def handle_snapshot_chunk_request(
        self, sender: HostName, request: SnapshotChunkRequest, now: float
    ) -> None:
        """Send the requested chunk of a snapshot."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.last_contact_at = max(progress.last_contact_at, request.sent_at)
        snapshot = progress.snapshot
        member = self._consensus.log.members.find(sender)
        if snapshot is None or snapshot.index != request.index or member is None:
            return
        if not 0 <= request.offset < len(snapshot.data):
            return
        progress.snapshot = msgspec.structs.replace(snapshot, offset=request.offset)
        progress.retransmit_due_at = 0.0
        self._replicate(member, now, send_heartbeat=False)

    def advance_commit_index(self) -> None:
        """Commit the entries that a quorum has synced.

        Entries of earlier terms are committed only together with one of this term.
        """
        log = self._consensus.log
        synced_indexes = [
            log.synced_index
            if member.host == self._consensus.host
            else self._get_progress(member).match_index
            for member in log.members.voters
        ]
        synced_indexes.sort(reverse=True)
        quorum = log.members.quorum
        if (
            len(synced_indexes) >= quorum
            and synced_indexes[quorum - 1] >= self.first_index
        ):
            log.commit_index = max(log.commit_index, synced_indexes[quorum - 1])

    def record_session(self, host: HostName, session: str) -> None:
        """Record a member's process, and reset the member's progress if it is new."""
        member = self._consensus.log.members.find(host)
        if member is None:
            return
        progress = self._get_progress(member)
        if progress.session != session:
            progress.reset(session, self._consensus.log.last_index + 1)

    def find_session(self, host: HostName) -> str:
        """Find the process that a member's recorded progress belongs to."""
        progress = self._progress.get(host)
        return progress.session if progress is not None else ""

    def change_members(self, joining: list[Member], now: float) -> None:
        """Append the next change of members, if one is due and none is pending.

        :param joining: replicas that have sent a hello message and are not members.
        :param now: monotonic seconds.
        """
        log = self._consensus.log
        if (
            not self.term_committed
            or not self.accepts_entries
            or log.members_index > log.commit_index
        ):
            return
        for replica in joining:
            if replica.incarnation not in log.members.gone:
                self._consensus.report_event("learner-admitted", replica.host)
                self._progress.pop(replica.host, None)
                self.append(SetMembers(), log.members.admit(replica))
                return
        for member in log.members.listed:
            if not member.voter and self._is_caught_up(member, now):
                self._consensus.report_event("learner-promoted", member.host)
                self.append(SetMembers(), log.members.promote(member.host))
                return
        replaced = self._find_replaceable_voter(now)
        if replaced is not None:
            self._consensus.report_event("member-replaced", replaced.host)
            self._progress.pop(replaced.host, None)
            self.append(SetMembers(), log.members.remove(replaced.host))

    def _find_replaceable_voter(self, now: float) -> Member | None:
        """Find a silent voter that another voter in its availability zone replaces.

        As long as the silent voter counts, a majority needs one more replica, and one
        further failure can stop the group. A voter that came earlier replaces it as
        well, only later: a voter that returns after it was replaced comes last again.
        """
        timeout = self._consensus.timings.voter_replacement_timeout_s
        voters = self._consensus.log.members.voters
        silences = [self._find_silence(member, now) for member in voters]
        for number, member in enumerate(voters):
            for other, successor in enumerate(voters):
                if successor.zone != member.zone or silences[other] > timeout:
                    continue
                factor = 1 if other > number else EARLIER_VOTER_FACTOR
                if silences[number] > factor * timeout:
                    return member
        return None

    def _find_silence(self, member: Member, now: float) -> float:
        """Find for how long a member has been silent, in seconds; 0 for this host."""
        if member.host == self._consensus.host:
            return 0.0
        return now - max(self._get_progress(member).last_contact_at, self.elected_at)

    def transfer_leadership(self, now: float) -> None:
        """Stop accepting entries, and request an up-to-date replica to take over."""
        if self._transfer_deadline is None:
            self._transfer_deadline = (
                now + self._consensus.timings.leadership_transfer_s
            )
        self._continue_transfer(now)

    def transfer_timed_out(self, now: float) -> bool:
        """Whether the leadership transfer has exceeded its time limit."""
        return self._transfer_deadline is not None and now >= self._transfer_deadline

    def _continue_transfer(self, now: float) -> None:
        consensus = self._consensus
        if self.transfer_requested or self.transfer_timed_out(now):
            return
        candidates = [
            member
            for member in self._list_other_members()
            if member.voter
            and self._get_progress(member).match_index == consensus.log.last_index
        ]
        if candidates and self.term_committed:
            successor = max(candidates, key=self._rate_successor)
            self.transfer_requested = True
            consensus.report_event("leadership-handed-over", successor.host)
            consensus.send(
                successor.host, StartElection(consensus.group, consensus.term)
            )

    def _rate_successor(self, member: Member) -> tuple[bool, float]:
        """Prefer successors that sync quickly, then those heard from most lately."""
        progress = self._get_progress(member)
        return progress.sync_s < MIN_SLOW_SYNC_S, progress.last_contact_at

    def _is_caught_up(self, member: Member, now: float) -> bool:
        """Whether a learner is reachable and has synced all committed entries."""
        progress = self._get_progress(member)
        is_reachable = (
            now
            < progress.last_contact_at + self._consensus.timings.election_timeout_min_s
        )
        return is_reachable and progress.match_index >= self._consensus.log.commit_index

    def _list_other_members(self) -> list[Member]:
        members = self._consensus.log.members.listed
        return [member for member in members if member.host != self._consensus.host]

    def _get_progress(self, member: Member) -> ReplicaProgress:
        progress = self._progress.get(member.host)
        if progress is None:
            progress = ReplicaProgress(self._consensus.log.last_index + 1)
            self._progress[member.host] = progress
        return progress

    def _advance_progress(self, progress: ReplicaProgress) -> None:
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.retransmit_due_at = 0.0
        progress.snapshot = None

    def _replicate(self, member: Member, now: float, send_heartbeat: bool) -> None:
        """Send a replica the data that it lacks, or a heartbeat if one is due."""
        progress = self._get_progress(member)
        log = self._consensus.log
        awaits_response = now < progress.retransmit_due_at
        if awaits_response and not send_heartbeat:
            return
        if progress.next_index <= log.base_index:
            if not awaits_response:
                self._send_snapshot_chunk(member, progress, now)
            return
        has_entries = progress.next_index <= log.last_index and not awaits_response
        if not has_entries and not send_heartbeat:
            return
        entries = log.get_batch(progress.next_index) if has_entries else ()
        if entries:
            size = sum(entry.size for entry in entries)
            timeout_s = self._consensus.timings.retransmit_timeout_s
            progress.retransmit_due_at = now + timeout_s + size / MIN_REPLICATION_RATE
        self._send_entries(member, progress.next_index - 1, entries, now)

    def _send_entries(
        self, member: Member, prev_index: int, entries: tuple[Entry, ...], now: float
    ) -> None:
        consensus = self._consensus
        prev_term = consensus.log.find_term(prev_index)
        assert prev_term is not None, "the log must contain the entry before the batch"
        append = AppendRequest(
            consensus.group,
            consensus.term,
            prev_index,
            prev_term,
            entries,
            consensus.log.commit_index,
            self.term_committed,
            now,
        )
        consensus.send(member.host, append)

    def _send_snapshot_chunk(
        self, member: Member, progress: ReplicaProgress, now: float
    ) -> None:
        consensus = self._consensus
        log = consensus.log
        snapshot = progress.snapshot
        if snapshot is None:
            term = log.find_term(log.applied_index)
            assert term is not None, "the log must contain the last applied entry"
            members = log.find_members_at(log.applied_index)
            state = self._encode_state()
            snapshot = OutgoingSnapshot.from_state(
                log.applied_index, term, members, state
            )
            progress.snapshot = snapshot
        progress.retransmit_due_at = now + consensus.timings.retransmit_timeout_s
        chunk = snapshot.make_chunk(consensus.group, consensus.term, now)
        consensus.send(member.host, chunk)
