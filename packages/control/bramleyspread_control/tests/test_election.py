"""Tests of leader elections, leases and leadership transfers."""

from __future__ import annotations

import pytest

from bramleyspread_control.tests._cluster import Cluster, claim, submit
from bramleyspread_core import (
    Accepted,
    IntendOrders,
    NotLeader,
    Order,
    Rejected,
    TargetName,
    Undecided,
)


def list_others(cluster: Cluster, name: str) -> list[str]:
    return [other for other in sorted(cluster.nodes) if other != name]


@pytest.mark.parametrize(("inward", "outward"), [(True, True), (True, False)])
def test_isolated_follower_does_not_depose_the_leader(
    inward: bool, outward: bool
) -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    isolated = list_others(cluster, leader)[0]
    cluster.isolate(isolated, inward, outward)
    term_before = cluster.nodes[leader].report_status(cluster.now).terms["0"]
    for _ in range(60):
        cluster.run(1.0)
        assert cluster.find_leader() == leader
    cluster.heal()
    cluster.run(5.0)
    assert cluster.find_leader() == leader
    assert cluster.nodes[leader].report_status(cluster.now).terms["0"] == term_before


@pytest.mark.parametrize(("inward", "outward"), [(True, True), (True, False)])
def test_leader_without_quorum_refuses_commands_and_is_replaced(
    inward: bool, outward: bool
) -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    cluster.isolate(leader, inward, outward)
    while cluster.find_leader() == leader:
        replica = cluster.nodes[leader]._store.replicas[0]
        assert replica.has_lease(cluster.now)
        cluster.step()
    assert cluster.call(submit("c1"), leader) in (
        NotLeader(None),
        Undecided("leadership was lost; resend it"),
    )
    assert cluster.run_until_leader() != leader


def test_suspended_leader_steps_down_when_it_resumes() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    cluster.run(3.0)
    node = cluster.nodes[leader]
    fence = node.get_fencing_number(cluster.now)
    assert fence is not None
    cluster.suspended_hosts.add(leader)
    cluster.run(6.0)
    other = cluster.run_until_leader()
    assert other != leader
    cluster.suspended_hosts.clear()
    assert node.report_status(cluster.now).roles["0"] == "follower"
    assert node.get_fencing_number(cluster.now) is None
    order = Order(TargetName("t"), 1, fence, 1, ())
    tickets = [
        cluster.propose(leader, command)
        for command in (submit("c1"), claim("r1"), IntendOrders((order,)))
    ]
    cluster.flush(leader)
    assert all(isinstance(cluster.replies[each], NotLeader) for each in tickets)
    newer = cluster.nodes[other].get_fencing_number(cluster.now)
    assert newer is not None
    assert newer > fence


def test_change_retried_after_a_leader_change_is_applied_once() -> None:
    cluster = Cluster(3)
    first = cluster.run_until_leader()
    cluster.nodes[first].propose(99, submit("c1"), cluster.now)
    cluster.flush(first)
    cluster.run(0.02)
    cluster.kill(first)
    cluster.replies.clear()
    accepted = cluster.call(submit("c1"))
    assert isinstance(accepted, Accepted)
    cluster.start(first)
    cluster.run(3.0)
    second = cluster.run_until_leader()
    cluster.kill(second, power_cut=True)
    cluster.start(second)
    assert cluster.call(submit("c1")) == Accepted(
        accepted.service, 1, accepted.revision, resent=True
    )


def test_leadership_transfer_loses_no_accepted_change() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    cluster.run(3.0)
    fence = cluster.nodes[leader].get_fencing_number(cluster.now)
    ticket = cluster.propose(leader, submit("c1"))
    cluster.nodes[leader].transfer_leadership(cluster.now)
    assert cluster.nodes[leader].get_fencing_number(cluster.now) is None
    started_at = cluster.now
    successor = cluster.run_until_leader()
    assert successor != leader
    assert cluster.now - started_at < cluster.timings.election_timeout_min_s
    cluster.run(0.2)
    assert isinstance(cluster.replies[ticket], Accepted)
    assert cluster.nodes[successor].get_fencing_number(cluster.now) is None
    cluster.run(3.0)
    assert cluster.find_leader() == successor
    newer = cluster.nodes[successor].get_fencing_number(cluster.now)
    assert fence is not None
    assert newer is not None
    assert newer > fence


def test_orders_with_an_old_fencing_number_are_rejected() -> None:
    cluster = Cluster(1)
    cluster.run_until_leader()
    cluster.run(3.0)
    fence = cluster.nodes["a"].get_fencing_number(cluster.now)
    assert fence is not None
    order = Order(TargetName("t"), 1, fence - 1, 1, ())
    assert isinstance(cluster.call(IntendOrders((order,))), Rejected)
    assert not cluster.nodes["a"].list_intended_orders()
