"""Elections: trials first, then votes; a leader that is heard is left alone."""

from __future__ import annotations

from bramleyspread_control._consensus_state import ConsensusState, Role
from bramleyspread_control._messages import VoteRequest, VoteResponse
from bramleyspread_core import HostName


class Ballot:
    """The votes that a candidate has got, by whether they can be trusted.

    A voter that restarted may have come back with an older data folder and
    not know it. Its vote is trusted once a leader has confirmed its log, or
    when the candidate's own log was complete after that restart. Untrusted
    votes count only where no voter is missing: each one votes or is known to
    have lost its folder. Then one that holds every accepted change is among
    them.
    """

    __slots__ = ("is_pre_vote", "term", "_given", "_trusted")

    def __init__(self, term: int, is_pre_vote: bool) -> None:
        #: The term stood for.
        self.term = term
        #: Whether it only asks what would be.
        self.is_pre_vote = is_pre_vote
        self._given: set[str] = set()
        self._trusted: set[str] = set()

    def add(self, host: str, trusted: bool) -> None:
        """Count a vote once.

        :param host: the voter.
        :param trusted: whether its log is surely complete.
        """
        self._given.add(host)
        if trusted:
            self._trusted.add(host)

    def wins(self, consensus: ConsensusState) -> bool:
        """Whether the votes are enough."""
        members = consensus.log.members
        voters = {member.host for member in members.voters}
        if len(self._given & voters) < members.quorum:
            return False
        enough = len(self._trusted & voters) >= members.quorum
        return enough or voters <= self._given | consensus.hosts_with_lost_folder


class Election:
    """A replica's part in elections, as a candidate and as a voter."""

    __slots__ = ("_ballot", "_consensus")

    def __init__(self, consensus: ConsensusState) -> None:
        self._consensus = consensus
        self._ballot: Ballot | None = None

    def start_election(
        self, now: float, is_pre_vote: bool, transfer_requested: bool = False
    ) -> bool:
        """Ask all voters.

        :param now: monotonic seconds.
        :param trial: True to ask only whether they would vote.
        :param handed_over: True when the leader asked this replica to stand.
        :returns: True when this replica's own vote wins already.
        """
        consensus = self._consensus
        consensus.reset_election_timer(now)
        consensus.role = Role.CANDIDATE
        consensus.leader = None
        term = consensus.term + 1
        if not is_pre_vote:
            consensus.enter_term(term, consensus.host)
        self._ballot = Ballot(term, is_pre_vote)
        self._ballot.add(consensus.host, consensus.log_complete)
        log = consensus.log
        question = VoteRequest(
            consensus.group,
            term,
            log.last_index,
            log.last_term,
            is_pre_vote,
            transfer_requested,
        )
        for member in log.members.voters:
            if member.host != consensus.host:
                consensus.send(member.host, question)
        return self._check_result(now)

    def handle_vote_request(
        self, sender: HostName, request: VoteRequest, now: float, has_live_leader: bool
    ) -> None:
        """Answer a candidate.

        :param sender: the candidate.
        :param asked: its question.
        :param now: monotonic seconds.
        :param led: whether this replica knows of a leader that may still act.
        """
        consensus = self._consensus
        if has_live_leader and not request.transfer_requested:
            self._send_response(sender, request, False, now)
            return
        if request.term > consensus.term and not request.is_pre_vote:
            consensus.become_follower(request.term, None, now)
        granted = self._may_grant(sender, request)
        if granted and not request.is_pre_vote:
            consensus.enter_term(request.term, sender)
            consensus.reset_election_timer(now)
        self._send_response(sender, request, granted, now)

    def handle_vote_response(
        self, sender: HostName, vote: VoteResponse, now: float
    ) -> bool:
        """Count a vote.

        :param sender: the voter.
        :param vote: its answer.
        :param now: monotonic seconds.
        :returns: True when this replica is elected.
        """
        consensus = self._consensus
        if not vote.granted and vote.term > consensus.term:
            consensus.become_follower(vote.term, None, now)
            return False
        ballot = self._ballot
        if ballot is None or consensus.role is not Role.CANDIDATE or not vote.granted:
            return False
        if (vote.term, vote.is_pre_vote) != (ballot.term, ballot.is_pre_vote):
            return False
        trusted = vote.log_complete or consensus.was_complete_since(now - vote.uptime_s)
        ballot.add(sender, trusted)
        return self._check_result(now)

    def _check_result(self, now: float) -> bool:
        ballot = self._ballot
        if ballot is None or not ballot.wins(self._consensus):
            return False
        self._ballot = None
        return (
            self.start_election(now, is_pre_vote=False) if ballot.is_pre_vote else True
        )

    def _may_grant(self, sender: HostName, request: VoteRequest) -> bool:
        consensus = self._consensus
        log = consensus.log
        if (request.last_term, request.last_index) < (log.last_term, log.last_index):
            return False
        if request.is_pre_vote:
            return request.term > consensus.term
        return request.term == consensus.term and consensus.vote in ("", sender)

    def _send_response(
        self, sender: HostName, request: VoteRequest, granted: bool, now: float
    ) -> None:
        consensus = self._consensus
        vote = VoteResponse(
            consensus.group,
            request.term if granted else consensus.term,
            request.is_pre_vote,
            granted,
            consensus.log_complete,
            now - consensus.started_at,
        )
        consensus.send(sender, vote)
