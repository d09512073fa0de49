"""Tests of data folders that are lost, older, or from another deployment."""

from __future__ import annotations

import pytest

from bramleyspread_control import ControlMember, MemoryDisk
from bramleyspread_control.tests._cluster import Cluster, submit
from bramleyspread_core import Accepted, Address, HostName, ZoneName


def list_voters(cluster: Cluster, name: str) -> tuple[str, ...]:
    return cluster.nodes[name].report_status(cluster.now).voters["0"]


def commit_without_one_host(cluster: Cluster) -> tuple[str, str, str]:
    """Isolate one host, and have a change accepted by the two others."""
    leader = cluster.run_until_leader()
    follower, isolated = sorted(set(cluster.nodes) - {leader})
    cluster.isolate(isolated)
    assert cluster.call(submit("c1"), leader) == Accepted("photos", 1, 1)  # type: ignore[arg-type]
    return leader, follower, isolated


def assert_change_survived(cluster: Cluster) -> None:
    retried = cluster.call(submit("c1"), seconds=30.0)
    assert isinstance(retried, Accepted), retried
    assert (retried.version, retried.revision, retried.resent) == (1, 1, True)


@pytest.mark.parametrize("older", [False, True])
def test_host_with_lost_or_older_folder_cannot_outvote_a_change(older: bool) -> None:
    """A host with an empty or older folder and a lagging one must not elect a leader.

    The accepted change would be lost, since only the killed leader holds it.
    """
    cluster = Cluster(3)
    cluster.run_until_leader()
    copies = {name: disk.copy() for name, disk in cluster.disks.items()}
    leader, follower, _ = commit_without_one_host(cluster)
    lost_disk = cluster.disks[follower]
    cluster.lose_disk(follower)
    if older:
        cluster.disks[follower] = lost_disk.restore(copies[follower])
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
    assert_change_survived(cluster)
    cluster.run(3.0)
    assert list_voters(cluster, cluster.run_until_leader()) != ()
    assert len(list_voters(cluster, cluster.run_until_leader())) == 3


@pytest.mark.parametrize("delay", [0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 5.0])
def test_change_survives_leader_loss_shortly_after_a_disk_loss(delay: float) -> None:
    cluster = Cluster(3)
    leader, follower, _ = commit_without_one_host(cluster)
    cluster.lose_disk(follower)
    cluster.heal()
    cluster.start(follower)
    cluster.run(delay)
    cluster.kill(leader)
    cluster.run(10.0)
    if cluster.find_leader() is None:
        cluster.start(leader)
    assert_change_survived(cluster)


def test_learner_becomes_a_voter_only_with_the_whole_state() -> None:
    """A replica that is still catching up must not count towards any quorum."""
    cluster = Cluster(3)
    leader, follower, isolated = commit_without_one_host(cluster)
    cluster.lose_disk(follower)
    cluster.heal()
    cluster.start(follower)
    seen_voters: set[tuple[str, ...]] = set()
    while len(seen_voters) < 2 or follower not in list_voters(cluster, leader):
        cluster.step()
        voters = list_voters(cluster, leader)
        seen_voters.add(voters)
        if follower in voters and len(seen_voters) > 1:
            applied = cluster.nodes[follower].report_status(cluster.now).applied["0"]
            assert applied > 0
            assert cluster.nodes[follower].list_documents()
    assert tuple(sorted((leader, isolated))) in {
        tuple(sorted(each)) for each in seen_voters
    }


def test_empty_folders_found_no_deployment_while_a_host_may_hold_state() -> None:
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


def test_members_are_found_from_the_log_if_the_founding_message_is_lost() -> None:
    cluster = Cluster(3)
    protocol = cluster.nodes["c"]._peer_protocol
    protocol._handle_create_deployment = lambda create: None  # type: ignore[method-assign]
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
    assert_change_survived(cluster)


def test_deployment_is_founded_only_once_all_hosts_are_up() -> None:
    cluster = Cluster(3)
    cluster.kill("c")
    cluster.run(20.0)
    assert cluster.find_leader() is None
    cluster.start("c")
    cluster.run_until_leader()


def test_cluster_recovers_from_power_cut_and_lost_disk_without_an_operator() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    for name in "abc":
        cluster.kill(name, power_cut=True)
    cluster.lose_disk("b")
    for name in "abc":
        cluster.start(name)
    assert_change_survived(cluster)
    cluster.run(3.0)
    assert len(list_voters(cluster, cluster.run_until_leader())) == 3


def test_votes_are_trusted_after_a_kill_with_an_unchanged_folder() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    cluster.run(1.0)
    for name in "abc":
        cluster.kill(name)
    for name in sorted(set("abc") - {leader}):
        cluster.start(name)
    assert_change_survived(cluster)


def test_trust_folder_setting_allows_an_election() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    cluster.run(1.0)
    for name in "abc":
        cluster.kill(name, power_cut=True)
    others = sorted(set("abc") - {leader})
    for name in others:
        cluster.start(name)
    cluster.run(20.0)
    assert cluster.find_leader() is None
    for name in others:
        cluster.kill(name)
        cluster.start(name, trust_folder=True)
    assert_change_survived(cluster)


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


def test_host_of_another_deployment_is_not_admitted() -> None:
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
        each.peer for _, _, each in cluster.events if each.kind == "learner-admitted"
    ]
    assert admitted == []
    assert [each.version for each in cluster.nodes["b"].list_documents()] == [1]
    leader = cluster.run_until_leader()
    assert leader != "b"
    assert not cluster.nodes[leader].list_documents()


def test_host_added_to_the_settings_is_admitted() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    address = Address("127.0.0.1", 7009)
    added_host = ControlMember(HostName("d"), ZoneName("zd"), address)
    cluster.members = (*cluster.members, added_host)
    for name in "abc":
        cluster.kill(name)
        cluster.start(name)
        cluster.run(4.0)
    cluster.disks["d"] = MemoryDisk()
    cluster.start("d")
    cluster.run(5.0)
    assert len(list_voters(cluster, cluster.run_until_leader())) == 4
    assert [each.version for each in cluster.nodes["d"].list_documents()] == [1]
