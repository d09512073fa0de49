"""Elections: trials first, then votes; a leader that is heard is left alone."""

from __future__ import annotations

from bramleyspread_control._messages import AskVote, GiveVote
from bramleyspread_control._standing import Role, Standing
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

    __slots__ = ("term", "trial", "_given", "_trusted")

    def __init__(self, term: int, trial: bool) -> None:
        #: The term stood for.
        self.term = term
        #: Whether it only asks what would be.
        self.trial = trial
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

    def wins(self, standing: Standing) -> bool:
        """Whether the votes are enough."""
        members = standing.log.members
        voters = {member.host for member in members.voters}
        if len(self._given & voters) < members.quorum:
            return False
        enough = len(self._trusted & voters) >= members.quorum
        return enough or voters <= self._given | standing.lost


class Candidacy:
    """A replica's part in elections, as a candidate and as a voter."""

    __slots__ = ("_ballot", "_standing")

    def __init__(self, standing: Standing) -> None:
        self._standing = standing
        self._ballot: Ballot | None = None

    def stand(self, now: float, trial: bool, handed_over: bool = False) -> bool:
        """Ask all voters.

        :param now: monotonic seconds.
        :param trial: True to ask only whether they would vote.
        :param handed_over: True when the leader asked this replica to stand.
        :returns: True when this replica's own vote wins already.
        """
        standing = self._standing
        standing.put_off_election(now)
        standing.role = Role.CANDIDATE
        standing.leader = None
        term = standing.term + 1
        if not trial:
            standing.enter_term(term, standing.host)
        self._ballot = Ballot(term, trial)
        self._ballot.add(standing.host, standing.confirmed)
        log = standing.log
        question = AskVote(
            standing.group, term, log.last_index, log.last_term, trial, handed_over
        )
        for member in log.members.voters:
            if member.host != standing.host:
                standing.send(member.host, question)
        return self._count(now)

    def answer(self, sender: HostName, asked: AskVote, now: float, led: bool) -> None:
        """Answer a candidate.

        :param sender: the candidate.
        :param asked: its question.
        :param now: monotonic seconds.
        :param led: whether this replica knows of a leader that may still act.
        """
        standing = self._standing
        if led and not asked.handed_over:
            self._reply(sender, asked, False, now)
            return
        if asked.term > standing.term and not asked.trial:
            standing.follow(asked.term, None, now)
        given = self._would_vote(sender, asked)
        if given and not asked.trial:
            standing.enter_term(asked.term, sender)
            standing.put_off_election(now)
        self._reply(sender, asked, given, now)

    def take_vote(self, sender: HostName, vote: GiveVote, now: float) -> bool:
        """Count a vote.

        :param sender: the voter.
        :param vote: its answer.
        :param now: monotonic seconds.
        :returns: True when this replica is elected.
        """
        standing = self._standing
        if not vote.given and vote.term > standing.term:
            standing.follow(vote.term, None, now)
            return False
        ballot = self._ballot
        if ballot is None or standing.role is not Role.CANDIDATE or not vote.given:
            return False
        if (vote.term, vote.trial) != (ballot.term, ballot.trial):
            return False
        trusted = vote.confirmed or standing.in_touch_since(now - vote.uptime)
        ballot.add(sender, trusted)
        return self._count(now)

    def _count(self, now: float) -> bool:
        ballot = self._ballot
        if ballot is None or not ballot.wins(self._standing):
            return False
        self._ballot = None
        return self.stand(now, trial=False) if ballot.trial else True

    def _would_vote(self, sender: HostName, asked: AskVote) -> bool:
        standing = self._standing
        log = standing.log
        if (asked.last_term, asked.last_index) < (log.last_term, log.last_index):
            return False
        if asked.trial:
            return asked.term > standing.term
        return asked.term == standing.term and standing.vote in ("", sender)

    def _reply(self, sender: HostName, asked: AskVote, given: bool, now: float) -> None:
        standing = self._standing
        vote = GiveVote(
            standing.group,
            asked.term if given else standing.term,
            asked.trial,
            given,
            standing.confirmed,
            now - standing.started,
        )
        standing.send(sender, vote)
