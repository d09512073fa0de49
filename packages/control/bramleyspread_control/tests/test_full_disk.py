"""Control hosts whose disks are full, and have space again later."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from bramleyspread_control import (
    ControlTimings,
    MemoryDisk,
)
from bramleyspread_control.tests._cluster import SuspendingCluster, submit
from bramleyspread_core import Accepted, NotLeader, Undecided

#: Time in which a cluster elects a leader, in seconds.
ELECTION_S = 5.0
#: Time in which a host takes part again once its disk has space, in seconds.
RECOVERY_S = 3.0
#: Checkpoints are written after few records, so that a test reaches them.
SHORT_JOURNALS = ControlTimings(checkpoint_min_records=8)


class DiskCluster(SuspendingCluster):
    """A cluster whose hosts are suspended while their disks fail."""

    def find_leader(self, group: str = "0") -> str | None:
        leaders = [
            name
            for name, node in self.nodes.items()
            if node.report_status(self.now).roles[group] == "leader"
        ]
        return leaders[0] if len(leaders) == 1 else None

    def fill(self, *names: str, free_bytes: int = 0) -> None:
        for name in names:
            self.disks[name].free_bytes = free_bytes

    def make_space(self) -> None:
        for disk in self.disks.values():
            disk.free_bytes = None

    def list_roles(self) -> dict[str, str]:
        return {
            name: node.report_status(self.now).roles["0"]
            for name, node in self.nodes.items()
        }

    def list_versions(self) -> dict[str, int]:
        return {
            name: max((x.version for x in node.list_documents()), default=0)
            for name, node in self.nodes.items()
        }

    def submit(self, version: int, seconds: float = 10.0) -> bool:
        """Send a change again until it is accepted, as an operator does."""
        command = submit(f"c{version}", version=version)
        until = self.now + seconds
        while self.now < until:
            if isinstance(self.call(command, seconds=until - self.now), Accepted):
                return True
            self.step()
        return False

    def count_events(self, kind: str) -> int:
        return sum(event.kind == kind for _, _, event in self.events)


def start_cluster(size: int = 3, **options: Any) -> tuple[DiskCluster, str]:
    cluster = DiskCluster(size, **options)
    leader = cluster.run_until_leader()
    assert cluster.submit(1)
    return cluster, leader


def keep_running(cluster: DiskCluster, name: str) -> None:
    """Leave the host as it is."""


def kill_and_restart(cluster: DiskCluster, name: str) -> None:
    """Kill a host and start it again while its disk is still full."""
    cluster.kill(name)
    cluster.run(0.5)
    cluster.start(name)


def cut_power_and_restart(cluster: DiskCluster, name: str) -> None:
    """Cut a host's power and start it again while its disk is still full."""
    cluster.kill(name, power_cut=True)
    cluster.run(0.5)
    cluster.start(name)


DISTURBANCES = (keep_running, kill_and_restart, cut_power_and_restart)


@pytest.mark.parametrize("disturb", DISTURBANCES)
@pytest.mark.parametrize("free_bytes", [0, 7, 150])
def test_leader_whose_disk_fills_up_is_replaced_and_takes_part_again(
    free_bytes: int, disturb: Callable[[DiskCluster, str], None]
) -> None:
    cluster, leader = start_cluster()
    cluster.fill(leader, free_bytes=free_bytes)
    for version in range(2, 6):
        assert cluster.submit(version)
    assert cluster.list_roles()[leader] == "suspended"
    disturb(cluster, leader)
    cluster.run(1.0)
    assert cluster.list_roles()[leader] == "suspended"
    assert cluster.submit(6)
    cluster.make_space()
    cluster.run(RECOVERY_S)
    assert cluster.list_roles()[leader] != "suspended"
    assert cluster.list_versions() == dict.fromkeys(cluster.nodes, 6)


@pytest.mark.parametrize("disturb", DISTURBANCES)
def test_nothing_is_acknowledged_while_all_disks_are_full(
    disturb: Callable[[DiskCluster, str], None],
) -> None:
    cluster, leader = start_cluster()
    cluster.fill(*cluster.nodes)
    ticket = cluster.propose(leader, submit("c2", version=2))
    cluster.run(0.2)
    assert isinstance(cluster.replies[ticket], Undecided)
    assert not cluster.submit(2, seconds=3.0)
    for name in tuple(cluster.nodes):
        disturb(cluster, name)
    cluster.run(1.0)
    assert set(cluster.list_roles().values()) <= {"suspended", "follower", "candidate"}
    cluster.make_space()
    cluster.run(RECOVERY_S + ELECTION_S)
    assert cluster.submit(2)
    cluster.run(1.0)
    assert cluster.list_versions() == dict.fromkeys(cluster.nodes, 2)


@pytest.mark.parametrize("disturb", DISTURBANCES)
def test_host_whose_disk_fills_up_during_a_checkpoint_loses_nothing(
    disturb: Callable[[DiskCluster, str], None],
) -> None:
    cluster, leader = start_cluster(timings=SHORT_JOURNALS)
    version = 1
    # Space for some records and a part of a checkpoint.
    cluster.fill(leader, free_bytes=2_000)
    while cluster.list_roles()[leader] != "suspended":
        version += 1
        assert cluster.submit(version)
    disturb(cluster, leader)
    cluster.make_space()
    cluster.run(RECOVERY_S)
    assert cluster.submit(version + 1)
    cluster.run(1.0)
    assert cluster.list_versions() == dict.fromkeys(cluster.nodes, version + 1)


def test_suspended_host_knows_its_documents_and_confirms_none() -> None:
    cluster, leader = start_cluster()
    node: Any = cluster.nodes[leader]
    cluster.fill(leader)
    assert cluster.submit(2)
    assert node.is_suspended
    assert not node.is_deployment_confirmed(cluster.now)
    assert node.get_fencing_number(cluster.now) is None
    assert cluster.list_versions()[leader] >= 1
    ticket = cluster.propose(leader, submit("c3", version=3))
    cluster.flush(leader)
    assert isinstance(cluster.replies[ticket], NotLeader)


def test_suspended_host_sends_nothing() -> None:
    cluster, leader = start_cluster()
    cluster.fill(leader)
    cluster.propose(leader, submit("c2", version=2))
    assert cluster.nodes[leader].flush(cluster.now).sends == ()
    for _ in range(200):
        cluster.now += 0.01
        cluster.nodes[leader].tick(cluster.now)
        assert cluster.nodes[leader].flush(cluster.now).sends == ()


def test_one_event_is_recorded_for_each_failure_and_recovery() -> None:
    cluster, leader = start_cluster()
    for number in (1, 2):
        cluster.fill(leader)
        assert cluster.submit(2 * number)
        cluster.run(3.0)
        cluster.make_space()
        cluster.run(RECOVERY_S)
        assert cluster.submit(2 * number + 1)
        assert cluster.count_events("disk-failed") == number
        assert cluster.count_events("disk-recovered") == number
        leader = cluster.run_until_leader()


def test_full_disk_at_the_first_start_is_waited_for() -> None:
    cluster = DiskCluster(3)
    names = tuple(cluster.nodes)
    for name in names:
        cluster.lose_disk(name)
    cluster.fill(*names)
    for name in names:
        cluster.start(name)
    cluster.run(2.0)
    assert set(cluster.list_roles().values()) == {"suspended"}
    cluster.make_space()
    cluster.run_until_leader()
    assert cluster.submit(1)


def test_folder_is_rewritten_before_the_host_takes_part_again() -> None:
    cluster, leader = start_cluster()
    disk = cluster.disks[leader]
    cluster.fill(leader)
    assert cluster.submit(2)
    before = set(disk.list_names())
    cluster.make_space()
    cluster.run(RECOVERY_S)
    journals = {name for name in disk.list_names() if name.startswith("journal")}
    assert journals
    assert not journals & before


def test_answers_after_a_failed_sync_are_undecided() -> None:
    cluster, leader = start_cluster()
    tickets = [
        cluster.propose(leader, submit(f"c{version}", version=version))
        for version in (2,)
    ]
    cluster.fill(leader, free_bytes=20)
    cluster.flush(leader)
    assert all(isinstance(cluster.replies[x], Undecided) for x in tickets)
    cluster.make_space()
    assert cluster.submit(2)
    status = msgspec.structs.asdict(cluster.nodes[leader].report_status(cluster.now))
    assert status["host"] == leader


# No leader was elected any more after a disk had been full while one host was away.
@pytest.mark.parametrize("size", [3, 4])
@pytest.mark.parametrize("free_bytes", [0, 7, 150])
def test_leader_is_elected_after_a_full_disk_while_another_host_is_away(
    size: int, free_bytes: int
) -> None:
    cluster, leader = start_cluster(size)
    away = next(each for each in cluster.nodes if each != leader)
    cluster.kill(away)
    cluster.fill(leader, free_bytes=free_bytes)
    cluster.propose(leader, submit("c2", version=2))
    cluster.run(3.0)
    assert cluster.list_roles()[leader] == "suspended"
    cluster.make_space()
    assert cluster.submit(2, seconds=RECOVERY_S + ELECTION_S)


@pytest.mark.parametrize("is_lost", [False, True])
def test_folder_replaced_while_the_disk_is_full_is_not_trusted(is_lost: bool) -> None:
    """A host with an empty or older folder and a lagging one must not elect a leader.

    The accepted change would be lost, since only the killed leader holds it.
    """
    cluster, leader = start_cluster()
    lagging, suspended = (each for each in cluster.nodes if each != leader)
    older = cluster.disks[suspended].copy()
    cluster.isolate(lagging)
    assert isinstance(cluster.call(submit("c2", version=2), leader), Accepted)
    cluster.fill(suspended)
    cluster.propose(leader, submit("c3", version=3))
    cluster.run(0.1)
    assert cluster.list_roles()[suspended] == "suspended"
    disk = cluster.disks[suspended]
    cluster.disks[suspended] = MemoryDisk() if is_lost else disk.restore(older)
    cluster.kill(leader)
    cluster.heal()
    cluster.run(20.0)
    assert cluster.list_roles()[suspended] != "suspended"
    assert cluster.find_leader() is None
    cluster.start(leader)
    retried = cluster.call(submit("c2", version=2), seconds=30.0)
    assert isinstance(retried, Accepted)
    assert retried.resent


# Guards against a log that is no longer trusted since the operating system dropped
# bytes that were never durable, between two attempts to load the folder.
def test_log_is_trusted_if_only_bytes_that_were_not_durable_are_lost() -> None:
    cluster, leader = start_cluster(3)
    away, follower = [name for name in cluster.nodes if name != leader]
    cluster.kill(away)
    disk = cluster.disks[follower]
    disk.failing = frozenset({"sync"})
    cluster.propose(leader, submit("c2", version=2))
    cluster.run(RECOVERY_S)
    assert cluster.list_roles()[follower] == "suspended"
    for file in disk._files.values():
        file.content = bytearray(file.synced)
    disk.failing = frozenset()
    assert cluster.submit(2, seconds=RECOVERY_S + ELECTION_S)
