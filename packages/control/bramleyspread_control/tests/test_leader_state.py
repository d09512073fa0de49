"""Tests of the leader's actions on one replica, message by message."""

from __future__ import annotations

import random

import pytest

from bramleyspread_control import MAX_CLOCK_DRIFT, ControlTimings
from bramleyspread_control._consensus_state import Role
from bramleyspread_control._documents import DocumentStateMachine
from bramleyspread_control._entries import Entry, Noop, SetMembers
from bramleyspread_control._log import Log
from bramleyspread_control._members import Member, Members
from bramleyspread_control._messages import (
    AppendRequest,
    AppendResponse,
    GroupMessage,
    VoteRequest,
    VoteResponse,
)
from bramleyspread_control._replica import Replica
from bramleyspread_core import Address, HostName, ZoneName

A, B, C = HostName("a"), HostName("b"), HostName("c")


def make_member(host: HostName, incarnation: str = "1") -> Member:
    return Member(host, incarnation, ZoneName("z"), Address("127.0.0.1", 1), True)


MEMBERS = Members(tuple(make_member(host) for host in (A, B, C)))


def make_replica(old_entries: int = 0) -> Replica:
    log = Log(0, 0, MEMBERS)
    for index in range(1, old_entries + 1):
        log.append(Entry.from_change(index, 2, Noop()))
    log.pop_unwritten()
    log.mark_synced()
    machine = DocumentStateMachine(10)
    timings = ControlTimings()
    replica = Replica(0, A, "1", log, machine, timings, random.Random(1), 0.0)
    replica.consensus.set_term_and_vote(3)
    replica.consensus.log_complete = True
    return replica


def elect(replica: Replica, now: float = 5.0) -> int:
    """Elect a replica as leader; returns its term."""
    replica.tick(now)
    term = replica.consensus.term + 1
    for is_pre_vote in (True, False):
        replica.receive(
            B, VoteResponse(0, term, is_pre_vote, True, True, 9.0), now, True
        )
    assert replica.leader_state is not None
    replica.log.pop_unwritten()
    replica.mark_synced()
    return term


def acknowledge(replica: Replica, host: HostName, index: int, now: float = 5.0) -> None:
    term = replica.consensus.term
    replica.receive(host, AppendResponse(0, term, True, index, now), now, True)


def test_entries_of_earlier_terms_are_committed_with_one_of_the_current_term() -> None:
    replica = make_replica(old_entries=2)
    elect(replica)
    acknowledge(replica, B, 2)
    assert replica.log.commit_index == 0
    acknowledge(replica, B, 3)
    assert replica.log.commit_index == 3


def test_leader_counts_its_own_entry_only_after_sync() -> None:
    replica = make_replica()
    elect(replica)
    index = replica.propose(Noop(), 5.0)
    assert index == 2
    acknowledge(replica, B, index)
    assert replica.log.commit_index == 1
    replica.log.pop_unwritten()
    replica.mark_synced()
    assert replica.log.commit_index == 2


def test_progress_of_a_restarted_replica_is_reset() -> None:
    replica = make_replica()
    elect(replica)
    leader_state = replica.leader_state
    assert leader_state is not None
    leader_state.record_session(B, "first")
    index = replica.propose(Noop(), 5.0)
    assert index == 2
    acknowledge(replica, B, index)
    leader_state.record_session(B, "second")
    replica.log.pop_unwritten()
    replica.mark_synced()
    assert replica.log.commit_index < index
    acknowledge(replica, B, index)
    assert replica.log.commit_index == index


def test_member_change_waits_for_commit_of_the_previous_one() -> None:
    replica = make_replica()
    elect(replica)
    acknowledge(replica, B, 1)
    joining = [make_member(C, "2"), make_member(B, "2")]
    replica.change_members(joining, 5.0)
    replica.change_members(joining[1:], 5.0)
    assert replica.log.last_index == 2
    assert replica.log.members.has_replica(C, "2")
    assert not replica.log.members.has_voter(C, "2")
    assert replica.log.members.has_replica(B, "1")
    replica.log.pop_unwritten()
    replica.mark_synced()
    acknowledge(replica, B, 2)
    replica.change_members(joining[1:], 5.0)
    assert replica.log.members.has_replica(B, "2")


def test_member_change_waits_for_commit_of_an_entry_of_the_term() -> None:
    replica = make_replica()
    elect(replica)
    replica.change_members([make_member(C, "2")], 5.0)
    assert replica.log.last_index == 1


@pytest.mark.parametrize(("match", "promoted"), [(1, False), (2, True)])
def test_learner_is_promoted_once_it_has_all_committed_entries(
    match: int, promoted: bool
) -> None:
    replica = make_replica()
    elect(replica)
    acknowledge(replica, B, 1)
    replica.change_members([make_member(C, "2")], 5.0)
    replica.log.pop_unwritten()
    replica.mark_synced()
    acknowledge(replica, B, 2)
    replica.tick(5.0)
    acknowledge(replica, C, match)
    replica.change_members([], 5.0)
    assert replica.log.members.has_voter(C, "2") == promoted


def test_retired_data_folder_is_not_admitted_again() -> None:
    replica = make_replica()
    elect(replica)
    acknowledge(replica, B, 1)
    replica.change_members([make_member(C, "2")], 5.0)
    replica.log.pop_unwritten()
    replica.mark_synced()
    acknowledge(replica, B, 2)
    replica.change_members([make_member(C, "1")], 5.0)
    assert replica.log.members.has_replica(C, "2")


def test_replacing_an_uncommitted_member_change_reverts_it() -> None:
    replica = make_replica()
    entry = Entry.from_change(1, 4, SetMembers(), MEMBERS.admit(make_member(C, "2")))
    replica.receive(B, AppendRequest(0, 4, 0, 0, (entry,), 0, False, 1.0), 1.0, True)
    assert replica.log.members.has_replica(C, "2")
    other = Entry.from_change(1, 5, Noop())
    replica.receive(C, AppendRequest(0, 5, 0, 0, (other,), 0, False, 1.0), 1.0, True)
    assert replica.log.members == MEMBERS


def test_lease_expires_before_voters_may_vote_on_any_clock() -> None:
    replica = make_replica()
    elect(replica)
    acknowledge(replica, B, 1, now=5.5)
    timings = ControlTimings()
    end = 5.5 + timings.lease_s
    assert replica.has_lease(end - 0.01)
    assert not replica.has_lease(end + 0.01)
    assert timings.lease_s * (1 + MAX_CLOCK_DRIFT) < timings.election_timeout_min_s * (
        1 - MAX_CLOCK_DRIFT
    )


@pytest.mark.parametrize("heard_leader", [True, False])
def test_voter_denies_votes_during_the_election_timeout(heard_leader: bool) -> None:
    replica = make_replica()
    since = 0.0
    if heard_leader:
        since = 5.0
        replica.receive(B, AppendRequest(0, 3, 0, 0, (), 0, False, 1.0), since, True)
    granted = []
    for now in (since + 0.99, since + 1.01):
        replica.consensus.outbox.clear()
        replica.receive(C, VoteRequest(0, 4, 9, 3, is_pre_vote=False), now, True)
        (_, vote) = replica.consensus.outbox[-1]
        assert isinstance(vote, VoteResponse)
        granted.append(vote.granted)
    assert granted == [False, True]
    assert replica.consensus.vote == C


@pytest.mark.parametrize(("last_index", "last_term"), [(1, 2), (9, 1)])
def test_vote_is_denied_to_a_shorter_or_older_log(
    last_index: int, last_term: int
) -> None:
    replica = make_replica(old_entries=2)
    request = VoteRequest(0, 4, last_index, last_term, is_pre_vote=False)
    replica.receive(C, request, 9.0, True)
    (_, vote) = replica.consensus.outbox[-1]
    assert isinstance(vote, VoteResponse)
    assert not vote.granted


@pytest.mark.parametrize(
    "message",
    [
        VoteRequest(0, 9, 9, 9, is_pre_vote=False, transfer_requested=True),
        VoteResponse(0, 9, False, False, True, 9.0),
        AppendRequest(0, 9, 0, 0, (), 0, False, 5.0),
        AppendResponse(0, 9, False, 0, 5.0),
    ],
)
def test_leader_steps_down_on_a_newer_term(message: GroupMessage) -> None:
    replica = make_replica()
    elect(replica)
    replica.receive(B, message, 5.0, True)
    assert replica.leader_state is None
    assert replica.consensus.role is Role.FOLLOWER
    assert replica.consensus.term == 9


def test_leader_in_transfer_steps_down_on_a_newer_vote_request() -> None:
    replica = make_replica()
    elect(replica)
    replica.tick(5.0)
    acknowledge(replica, B, 1)
    replica.transfer_leadership(5.0)
    replica.receive(C, VoteRequest(0, 9, 9, 9, is_pre_vote=False), 5.0, True)
    assert replica.leader_state is None
