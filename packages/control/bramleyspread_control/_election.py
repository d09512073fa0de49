"""Leader elections: a pre-vote, then the vote; live leaders are not challenged."""

from __future__ import annotations

import msgspec

from bramleyspread_control._consensus_state import ConsensusState, Role
from bramleyspread_control._messages import VoteRequest, VoteResponse
from bramleyspread_core import HostName


class VoterAnswer(msgspec.Struct, frozen=True):
    """A voter's newest answer to this replica's vote requests."""

    #: When it arrived, in monotonic seconds.
    at: float
    #: Whether the vote was granted, in a pre-vote or in the vote.
    granted: bool
    #: Whether the voter's log was known to be complete.
    trusted: bool
    #: Why the vote was denied, as the voter says; empty if it doesn't say.
    denial: str


class VoteTally:
    """Tally of the votes that a candidate has received, and of those that are trusted.

    A voter that restarted may have done so on an older copy of its data folder without
    noticing. Its vote is trusted once a leader has confirmed that its log is complete,
    or when the candidate's own log was complete after that restart. Votes that are not
    trusted count only if every voter has either voted or is known to have lost its
    folder: then at least one of the voters holds every accepted change.
    """

    __slots__ = ("is_pre_vote", "term", "_granted_by", "_trusted")

    def __init__(self, term: int, is_pre_vote: bool) -> None:
        #: The term of the election.
        self.term = term
        #: Whether the candidate only asks if it would receive the votes.
        self.is_pre_vote = is_pre_vote
        self._granted_by: set[str] = set()
        self._trusted: set[str] = set()

    def add(self, host: str, trusted: bool) -> None:
        """Count a voter's vote, once.

        :param host: the voter.
        :param trusted: whether the voter's log is known to be complete.
        """
        self._granted_by.add(host)
        if trusted:
            self._trusted.add(host)

    def has_won(self, consensus: ConsensusState) -> bool:
        """Whether the votes are enough to win the election."""
        members = consensus.log.members
        voters = {member.host for member in members.voters}
        if len(self._granted_by & voters) < members.quorum:
            return False
        enough_trusted = len(self._trusted & voters) >= members.quorum
        return (
            enough_trusted
            or voters <= self._granted_by | consensus.hosts_with_lost_folder
        )


class Election:
    """A replica's part in elections, as a candidate and as a voter."""

    __slots__ = ("_consensus", "_vote_tally", "answers")

    def __init__(self, consensus: ConsensusState) -> None:
        self._consensus = consensus
        self._vote_tally: VoteTally | None = None
        #: The voters' newest answers, by host.
        self.answers: dict[str, VoterAnswer] = {}

    def start_election(
        self, now: float, is_pre_vote: bool, transfer_requested: bool = False
    ) -> bool:
        """Become a candidate and request the votes of all voters.

        :param now: monotonic seconds.
        :param is_pre_vote: True to ask only whether the voters would grant their votes.
        :param transfer_requested: True when the leader requested this election in order
            to transfer its leadership.
        :returns: True when this replica's own vote is enough to be elected.
        """
        consensus = self._consensus
        consensus.reset_election_timer(now)
        consensus.role = Role.CANDIDATE
        consensus.leader = None
        term = consensus.term + 1
        if not is_pre_vote:
            consensus.set_term_and_vote(term, consensus.host)
        self._vote_tally = VoteTally(term, is_pre_vote)
        self._vote_tally.add(consensus.host, consensus.log_complete)
        log = consensus.log
        vote_request = VoteRequest(
            consensus.group,
            term,
            log.last_index,
            log.last_term,
            is_pre_vote,
            transfer_requested,
        )
        for member in log.members.voters:
            if member.host != consensus.host:
                consensus.send(member.host, vote_request)
        return self._check_result(now)

    def handle_vote_request(
        self, sender: HostName, request: VoteRequest, now: float, has_live_leader: bool
    ) -> None:
        """Respond to a candidate's vote request.

        :param sender: the candidate.
        :param request: the request.
        :param now: monotonic seconds.
        :param has_live_leader: whether this replica knows a leader that may still act.
            The vote is then denied unless that leader requested the election.
        """
        consensus = self._consensus
        if has_live_leader and not request.transfer_requested:
            self._send_response(sender, request, "hears a leader", now)
            return
        if request.term > consensus.term and not request.is_pre_vote:
            consensus.become_follower(request.term, None, now)
        denial = self._find_denial(sender, request)
        if not denial and not request.is_pre_vote:
            consensus.set_term_and_vote(request.term, sender)
            consensus.reset_election_timer(now)
        self._send_response(sender, request, denial, now)

    def handle_vote_response(
        self, sender: HostName, response: VoteResponse, now: float
    ) -> bool:
        """Count a voter's response.

        :param sender: the voter.
        :param response: the response.
        :param now: monotonic seconds.
        :returns: True when this replica is elected.
        """
        consensus = self._consensus
        trusted = response.log_complete or consensus.was_confirmed_since(
            now - response.uptime_s
        )
        self._record_answer(sender, response, trusted, now)
        if not response.granted and response.term > consensus.term:
            consensus.become_follower(response.term, None, now)
            return False
        vote_tally = self._vote_tally
        if (
            vote_tally is None
            or consensus.role is not Role.CANDIDATE
            or not response.granted
        ):
            return False
        if (response.term, response.is_pre_vote) != (
            vote_tally.term,
            vote_tally.is_pre_vote,
        ):
            return False
        vote_tally.add(sender, trusted)
        return self._check_result(now)

    def _check_result(self, now: float) -> bool:
        vote_tally = self._vote_tally
        if vote_tally is None or not vote_tally.has_won(self._consensus):
            return False
        self._vote_tally = None
        return (
            self.start_election(now, is_pre_vote=False)
            if vote_tally.is_pre_vote
            else True
        )

    def _record_answer(
        self, sender: HostName, response: VoteResponse, trusted: bool, now: float
    ) -> None:
        voters = {each.host for each in self._consensus.log.members.voters}
        self.answers[sender] = VoterAnswer(
            now, response.granted, trusted, response.denial
        )
        for host in self.answers.keys() - voters:
            del self.answers[host]

    def _find_denial(self, sender: HostName, request: VoteRequest) -> str:
        """Find why a vote can't be granted; empty if it can."""
        consensus = self._consensus
        log = consensus.log
        if (request.last_term, request.last_index) < (log.last_term, log.last_index):
            return f"has entry {log.last_index} of term {log.last_term}"
        if request.is_pre_vote:
            is_newer = request.term > consensus.term
            return "" if is_newer else f"is in term {consensus.term}"
        if request.term != consensus.term:
            return f"is in term {consensus.term}"
        if consensus.vote not in ("", sender):
            return f"has voted for {consensus.vote}"
        return ""

    def _send_response(
        self, sender: HostName, request: VoteRequest, denial: str, now: float
    ) -> None:
        consensus = self._consensus
        granted = not denial
        response = VoteResponse(
            consensus.group,
            request.term if granted else consensus.term,
            request.is_pre_vote,
            granted,
            consensus.log_complete,
            now - consensus.started_at,
            denial,
        )
        consensus.send(sender, response)
