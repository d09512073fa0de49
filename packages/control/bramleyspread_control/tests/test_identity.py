"""Tests of data folders that are lost, older, or somebody else's."""

from __future__ import annotations

import pytest

from bramleyspread_control import ControlMember, MemoryDisk
from bramleyspread_control.tests._cluster import Cluster, submit
from bramleyspread_core import Accepted, Address, HostName, ZoneName


def list_voters(cluster: Cluster, name: str) -> tuple[str, ...]:
    return cluster.nodes[name].report_status(cluster.now).voters["0"]


def part_one(cluster: Cluster) -> tuple[str, str, str]:
    """Cut one host off, and have a change accepted by the two others."""
    leader = cluster.run_until_leader()
    follower, behind = sorted(set(cluster.nodes) - {leader})
    cluster.cut(behind)
    assert cluster.call(submit("c1"), leader) == Accepted("photos", 1, 1)  # type: ignore[arg-type]
    return leader, follower, behind


def assert_kept(cluster: Cluster) -> None:
    again = cluster.call(submit("c1"), seconds=30.0)
    assert isinstance(again, Accepted), again
    assert (again.version, again.revision, again.resent) == (1, 1, True)


@pytest.mark.parametrize("older", [False, True])
def test_a_returned_host_is_not_its_former_self(older: bool) -> None:
    """An empty or older folder and a lagging host never outvote a change."""
    cluster = Cluster(3)
    cluster.run_until_leader()
    copies = {name: disk.copy() for name, disk in cluster.disks.items()}
    leader, follower, _ = part_one(cluster)
    former = cluster.disks[follower]
    cluster.lose_disk(follower)
    if older:
        cluster.disks[follower] = former.restore(copies[follower])
    cluster.kill(leader)
    cluster.start(follower)
    cluster.heal()
    cluster.run(20.0)
    assert cluster.find_leader() is None
    cluster.kill(follower)
    cluster.start(follower)
    cluster.run(20.0)
    assert cluster.find_leader() is None
    cluster.start(leader)
    assert_kept(cluster)
    cluster.run(3.0)
    assert list_voters(cluster, cluster.run_until_leader()) != ()
    assert len(list_voters(cluster, cluster.run_until_leader())) == 3


@pytest.mark.parametrize("delay", [0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 5.0])
def test_a_second_loss_right_after_a_repair_costs_no_change(delay: float) -> None:
    cluster = Cluster(3)
    leader, follower, _ = part_one(cluster)
    cluster.lose_disk(follower)
    cluster.heal()
    cluster.start(follower)
    cluster.run(delay)
    cluster.kill(leader)
    cluster.run(10.0)
    if cluster.find_leader() is None:
        cluster.start(leader)
    assert_kept(cluster)


def test_a_learner_counts_only_with_the_whole_state_synced() -> None:
    """While it catches up the newcomer is no part of any quorum."""
    cluster = Cluster(3)
    leader, follower, behind = part_one(cluster)
    cluster.lose_disk(follower)
    cluster.heal()
    cluster.start(follower)
    seen: set[tuple[str, ...]] = set()
    while len(seen) < 2 or follower not in list_voters(cluster, leader):
        cluster.step()
        voters = list_voters(cluster, leader)
        seen.add(voters)
        if follower in voters and len(seen) > 1:
            applied = cluster.nodes[follower].report_status(cluster.now).applied["0"]
            assert applied > 0
            assert cluster.nodes[follower].list_documents()
    assert tuple(sorted((leader, behind))) in {tuple(sorted(each)) for each in seen}


def test_empty_folders_found_nothing_while_a_host_may_hold_state() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    cluster.run(1.0)
    for name in "ab":
        cluster.lose_disk(name)
    cluster.kill("c")
    for name in "ab":
        cluster.start(name)
    cluster.run(30.0)
    assert cluster.find_leader() is None
    cluster.start("c")
    cluster.run(30.0)
    assert cluster.find_leader() is None
    assert [each.version for each in cluster.nodes["c"].list_documents()] == [1]


def test_members_are_known_where_the_news_of_the_founding_was_lost() -> None:
    cluster = Cluster(3)
    protocol = cluster.nodes["c"]._peer_protocol
    protocol._handle_found = lambda found: None  # type: ignore[method-assign]
    assert cluster.run_until_leader() == "a"
    cluster.run(1.0)
    assert list_voters(cluster, "c") == ("a", "b", "c")
    assert isinstance(cluster.call(submit("c1")), Accepted)
    cluster.run(1.0)
    cluster.lose_disk("a")
    for name in "bc":
        cluster.kill(name)
        cluster.start(name)
    cluster.start("a")
    assert_kept(cluster)


def test_all_hosts_must_be_there_to_found_a_deployment() -> None:
    cluster = Cluster(3)
    cluster.kill("c")
    cluster.run(20.0)
    assert cluster.find_leader() is None
    cluster.start("c")
    cluster.run_until_leader()


def test_a_power_cut_of_all_and_one_lost_disk_needs_nobody() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    for name in "abc":
        cluster.kill(name, power=True)
    cluster.lose_disk("b")
    for name in "abc":
        cluster.start(name)
    assert_kept(cluster)
    cluster.run(3.0)
    assert len(list_voters(cluster, cluster.run_until_leader())) == 3


def test_killed_processes_vote_again_at_once_on_an_untouched_folder() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    cluster.run(1.0)
    for name in "abc":
        cluster.kill(name)
    for name in sorted(set("abc") - {leader}):
        cluster.start(name)
    assert_kept(cluster)


def test_an_operator_can_vouch_for_a_folder() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    cluster.run(1.0)
    for name in "abc":
        cluster.kill(name, power=True)
    others = sorted(set("abc") - {leader})
    for name in others:
        cluster.start(name)
    cluster.run(20.0)
    assert cluster.find_leader() is None
    for name in others:
        cluster.kill(name)
        cluster.start(name, trust_folder=True)
    assert_kept(cluster)


def test_members_change_one_at_a_time() -> None:
    cluster = Cluster(5)
    leader = cluster.run_until_leader()
    others = sorted(set(cluster.nodes) - {leader})
    for name in others[:2]:
        cluster.lose_disk(name)
        cluster.start(name)
    sizes = [5]
    for _ in range(600):
        cluster.step()
        size = len(list_voters(cluster, leader))
        assert abs(size - sizes[-1]) <= 1
        sizes.append(size)
    assert sizes[-1] == 5
    assert min(sizes) < 5


def test_a_host_of_another_deployment_is_not_taken_in() -> None:
    cluster, other = Cluster(3), Cluster(3, seed=5)
    cluster.run_until_leader()
    other.run_until_leader()
    assert isinstance(other.call(submit("c1")), Accepted)
    other.run(1.0)
    cluster.kill("b")
    cluster.disks["b"] = other.disks["b"].copy()
    cluster.start("b")
    cluster.run(10.0)
    admitted = [
        each.peer
        for _, _, each in cluster.happenings
        if each.kind == "learner-admitted"
    ]
    assert admitted == []
    assert [each.version for each in cluster.nodes["b"].list_documents()] == [1]
    leader = cluster.run_until_leader()
    assert leader != "b"
    assert not cluster.nodes[leader].list_documents()


def test_a_host_of_a_new_name_is_taken_in_by_settings() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    address = Address("127.0.0.1", 7009)
    newcomer = ControlMember(HostName("d"), ZoneName("zd"), address)
    cluster.members = (*cluster.members, newcomer)
    for name in "abc":
        cluster.kill(name)
        cluster.start(name)
        cluster.run(4.0)
    cluster.disks["d"] = MemoryDisk()
    cluster.start("d")
    cluster.run(5.0)
    assert len(list_voters(cluster, cluster.run_until_leader())) == 4
    assert [each.version for each in cluster.nodes["d"].list_documents()] == [1]
