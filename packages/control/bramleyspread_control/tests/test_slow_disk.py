"""Control hosts whose disks are slow."""

from __future__ import annotations

import pytest

from bramleyspread_control.tests._cluster import Cluster, submit
from bramleyspread_core import Accepted

#: Duration of a sync of a sound disk and of a slow one, in seconds.
FAST_S, SLOW_S = 0.001, 0.04
#: Time in which a leader with a slow disk hands over, in seconds.
HANDED_OVER_WITHIN_S = 8.0


def run_changes(cluster: Cluster, seconds: float, first: int) -> int:
    """Submit a change each half second; return the number of the next one."""
    until = cluster.now + seconds
    version = first
    while cluster.now < until:
        command = submit(f"c{version}", version=version)
        if isinstance(cluster.call(command, seconds=5.0), Accepted):
            version += 1
        cluster.run(0.5)
    return version


def start_cluster(size: int = 3) -> tuple[Cluster, str]:
    cluster = Cluster(size)
    leader = cluster.run_until_leader()
    assert run_changes(cluster, 3.0, 1) > 1
    return cluster, leader


def slow_down(cluster: Cluster, *names: str) -> None:
    for name in names:
        cluster.disks[name].sync_s = SLOW_S


def list_leaders(cluster: Cluster) -> list[str]:
    return [
        name
        for _, name, event in cluster.events
        if event.kind == "leader-elected" and event.step == "group-0"
    ]


def count_next_version(cluster: Cluster) -> int:
    node = next(iter(cluster.nodes.values()))
    return 1 + max(each.version for each in node.list_documents())


@pytest.mark.parametrize("size", [3, 5])
def test_leader_with_a_slow_disk_hands_over_once(size: int) -> None:
    cluster, leader = start_cluster(size)
    slow_down(cluster, leader)
    version = run_changes(cluster, HANDED_OVER_WITHIN_S, count_next_version(cluster))
    successor = cluster.find_leader()
    assert successor not in (None, leader)
    run_changes(cluster, 20.0, version)
    assert cluster.find_leader() == successor
    assert len(list_leaders(cluster)) == 2
    assert sum(event.kind == "slow-disk" for _, _, event in cluster.events) == 1


def test_leadership_stays_while_all_disks_are_slow() -> None:
    cluster, leader = start_cluster()
    slow_down(cluster, *cluster.nodes)
    run_changes(cluster, 20.0, count_next_version(cluster))
    assert list_leaders(cluster) == [leader]


def test_leadership_stays_while_most_disks_are_slow() -> None:
    cluster, leader = start_cluster()
    slow_follower = next(name for name in cluster.nodes if name != leader)
    slow_down(cluster, leader, slow_follower)
    run_changes(cluster, 20.0, count_next_version(cluster))
    assert list_leaders(cluster) == [leader]


def test_follower_with_a_slow_disk_changes_nothing() -> None:
    cluster, leader = start_cluster()
    slow_down(cluster, next(name for name in cluster.nodes if name != leader))
    run_changes(cluster, 20.0, count_next_version(cluster))
    assert list_leaders(cluster) == [leader]


def test_leader_keeps_its_place_if_the_fast_hosts_are_not_heard() -> None:
    cluster, leader = start_cluster(5)
    fast = [name for name in cluster.nodes if name != leader][:2]
    slow_down(cluster, *(name for name in cluster.nodes if name not in fast))
    run_changes(cluster, 6.0, count_next_version(cluster))
    for name in fast:
        cluster.isolate(name)
    version = run_changes(cluster, 10.0, count_next_version(cluster))
    assert cluster.find_leader() == leader
    assert version > count_next_version(cluster) - 2


def test_killed_successor_is_replaced_although_the_other_disk_is_slow() -> None:
    cluster, leader = start_cluster()
    slow_down(cluster, leader)
    run_changes(cluster, HANDED_OVER_WITHIN_S, count_next_version(cluster))
    successor = cluster.find_leader()
    assert successor is not None
    cluster.kill(successor)
    cluster.run_until_leader()
    next_version = count_next_version(cluster)
    assert run_changes(cluster, 10.0, next_version) > next_version


def test_two_disks_that_turn_slow_by_turns_move_leadership_seldom() -> None:
    cluster, _ = start_cluster()
    for _ in range(10):
        leader = cluster.find_leader() or cluster.run_until_leader()
        for disk in cluster.disks.values():
            disk.sync_s = FAST_S
        slow_down(cluster, leader)
        run_changes(cluster, 2.0, count_next_version(cluster))
    # Ten times two seconds, and a leader stays for five at least.
    assert len(list_leaders(cluster)) <= 5
