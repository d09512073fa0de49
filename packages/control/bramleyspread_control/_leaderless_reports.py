"""Reports that a group has no leader, and what is lacking for one."""

from __future__ import annotations

from bramleyspread_control._consensus_state import ConsensusState
from bramleyspread_control._election import VoterAnswer
from bramleyspread_control._report_schedule import MAX_NAMED_HOSTS, ReportSchedule


class LeaderlessReports:
    """Reports that a replica has heard no leader for long, and of whom it lacks what.

    :param consensus: the replica's state.
    :param answers: the voters' newest answers to this replica's vote requests.
    :param now: monotonic seconds.
    """

    __slots__ = ("_answers", "_consensus", "_led_at", "_schedule")

    def __init__(
        self,
        consensus: ConsensusState,
        answers: dict[str, VoterAnswer],
        now: float,
    ) -> None:
        self._consensus = consensus
        self._answers = answers
        self._led_at = now
        self._schedule = ReportSchedule()

    def tick(self, now: float, leads: bool) -> None:
        """Report what is due.

        :param now: monotonic seconds.
        :param leads: whether this replica is the leader.
        """
        consensus = self._consensus
        if leads:
            self._led_at = now
        since = max(consensus.last_leader_contact_at, self._led_at)
        if leads or not consensus.log.members.listed:
            self._schedule.end()
        elif self._schedule.is_due(since, now):
            consensus.report_event("leaderless", "", self._describe(since, now))

    def _describe(self, since: float, now: float) -> str:
        consensus = self._consensus
        log = consensus.log
        voters = log.members.voters
        others = [each.host for each in voters if each.host != consensus.host]
        lacking = "; ".join(
            f"{host}: {self._describe_voter(host, now)}"
            for host in others[:MAX_NAMED_HOSTS]
        )
        trust = "trusted" if consensus.log_complete else "not trusted"
        vote = "own vote" if consensus.is_voter else "not a voter, own log"
        return (
            f"no leader for {now - since:.1f} s; term {consensus.term}, last entry "
            f"{log.last_index} of term {log.last_term}, {vote} {trust}; "
            f"{log.members.quorum} of {len(voters)} voters needed; {lacking}"
        )

    def _describe_voter(self, host: str, now: float) -> str:
        consensus = self._consensus
        answer = self._answers.get(host)
        limit_s = 2 * consensus.timings.election_timeout_max_s
        if host in consensus.hosts_with_lost_folder:
            return "has lost its folder"
        if answer is None:
            return "silent"
        if now - answer.at > limit_s:
            return f"silent for {now - answer.at:.1f} s"
        if not answer.granted:
            return f"denies its vote ({answer.denial or 'no reason given'})"
        return "grants its vote" + ("" if answer.trusted else ", which isn't trusted")
