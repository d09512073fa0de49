"""Tests of zone drains in the replicated log: orders, repeats, faults and restarts."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from bramleyspread_control import MemoryDisk
from bramleyspread_control._documents import DocumentStateMachine
from bramleyspread_control._drain_decisions import (
    MAX_WAITING_COMMANDS,
    DrainDecisions,
)
from bramleyspread_control._messages import AppendResponse
from bramleyspread_control._tickets import PendingCommands
from bramleyspread_control.tests._chaos_drains import DrainChaos, order
from bramleyspread_control.tests._cluster import Cluster, SuspendingCluster, submit
from bramleyspread_control.tests.test_deployment import make_put
from bramleyspread_control.tests.test_leader_state import (
    acknowledge,
    elect,
    make_replica,
)
from bramleyspread_core import (
    MAX_DRAINED_ZONES,
    Accepted,
    Command,
    CommandResult,
    DeploymentAccepted,
    HostName,
    NotLeader,
    ReadZoneDrains,
    Rejected,
    SetZoneDrain,
    Undecided,
    ZoneDrain,
    ZoneDrainAccepted,
    ZoneDrains,
    ZoneDrainsChanged,
    ZoneDrainsRead,
    decode_json,
    encode_json,
)


def start_cluster() -> tuple[Cluster, str]:
    """Start three hosts; return them and the leader."""
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    cluster.run(1.0)
    return cluster, leader


def read_drained(cluster: Cluster) -> list[str]:
    """List the drained zones by a confirmed read."""
    read = cluster.call(ReadZoneDrains())
    assert isinstance(read, ZoneDrainsRead)
    return [each.zone for each in read.drains.drained]


def count_entries(cluster: Cluster, leader: str) -> int:
    """Count the entries in the log of group 0."""
    return cluster.nodes[leader]._store.replicas[0].log.last_index


def make_current(
    cluster: Cluster, leader: str, zone: str, drained: bool
) -> SetZoneDrain:
    """Make a command on the newest revision and marker; the leader names them."""
    command = SetZoneDrain(zone, drained, 0, 0)
    changed = cluster.call(command, leader)
    assert isinstance(changed, ZoneDrainsChanged)
    return msgspec.structs.replace(
        command, revision=changed.revision, marker=changed.marker
    )


def test_orders_change_the_state_on_all_hosts() -> None:
    cluster, leader = start_cluster()
    assert order(cluster, "north", True, leader) == ZoneDrainAccepted(1)
    assert order(cluster, "south", True, leader) == ZoneDrainAccepted(2)
    assert order(cluster, "north", False, leader) == ZoneDrainAccepted(3)
    assert read_drained(cluster) == ["south"]
    cluster.run(0.5)
    states = [node.zone_drains for node in cluster.nodes.values()]
    assert [each.revision for each in states] == [3, 3, 3]


# Guards against a state of which the last acknowledged order is not the one that holds.
def test_start_stop_and_start_in_a_row_end_drained() -> None:
    cluster, _ = start_cluster()
    results = [order(cluster, "north", drained) for drained in (True, False, True)]
    assert results == [ZoneDrainAccepted(each) for each in (1, 2, 3)]
    assert read_drained(cluster) == ["north"]


@pytest.mark.parametrize("drained", [True, False])
def test_repeat_is_acknowledged_without_a_new_entry(drained: bool) -> None:
    cluster, leader = start_cluster()
    if drained:
        order(cluster, "north", True, leader)
    before = count_entries(cluster, leader)
    result = cluster.call(SetZoneDrain("north", drained, 0, 0), leader)
    assert result == ZoneDrainAccepted(int(drained), is_repeat=True)
    assert count_entries(cluster, leader) == before


# Guards against an order that two hosts forward at the same time and that is refused to
# one of them, or changes the state twice.
def test_same_order_at_two_hosts_is_acknowledged_to_both() -> None:
    cluster, leader = start_cluster()
    command = make_current(cluster, leader, "north", True)
    tickets = [cluster.propose(leader, command) for _ in range(2)]
    cluster.run(0.5)
    assert [cluster.replies[each] for each in tickets] == [
        ZoneDrainAccepted(1),
        ZoneDrainAccepted(1, is_repeat=True),
    ]


# Guards against an order that was delayed inside the system and undoes a later one.
def test_delayed_command_does_not_undo_a_later_order() -> None:
    cluster, leader = start_cluster()
    delayed = make_current(cluster, leader, "north", True)
    order(cluster, "north", True, leader)
    order(cluster, "north", False, leader)
    assert isinstance(cluster.call(delayed, leader), ZoneDrainsChanged)
    assert read_drained(cluster) == []


# Guards against a delayed command whose revision is still the newest one, since the
# later order repeated the state in force and made no entry.
def test_delayed_command_does_not_undo_a_later_repeat() -> None:
    cluster, leader = start_cluster()
    order(cluster, "north", True, leader)
    delayed = make_current(cluster, leader, "north", False)
    repeat = order(cluster, "north", True, leader)
    assert repeat == ZoneDrainAccepted(1, is_repeat=True)
    assert isinstance(cluster.call(delayed, leader), ZoneDrainsChanged)
    assert read_drained(cluster) == ["north"]


# Guards against the same when the repeat was acknowledged by another leader, which the
# counter of the first one doesn't show.
def test_delayed_command_of_an_earlier_leader_changes_nothing() -> None:
    cluster, leader = start_cluster()
    order(cluster, "north", True, leader)
    delayed = make_current(cluster, leader, "north", False)
    cluster.nodes[leader].transfer_leadership(cluster.now)
    cluster.run(3.0)
    successor = cluster.run_until_leader()
    assert successor != leader
    cluster.call(SetZoneDrain("north", True, 0, 0), successor)
    assert isinstance(cluster.call(delayed, successor), ZoneDrainsChanged)
    assert read_drained(cluster) == ["north"]


# Guards against a repeat that is acknowledged while the opposite change is being
# committed, and so doesn't hold.
def test_order_waits_for_the_change_before_it() -> None:
    cluster, leader = start_cluster()
    order(cluster, "north", True, leader)
    undrain = make_current(cluster, leader, "north", False)
    tickets = [
        cluster.propose(leader, undrain),
        cluster.propose(leader, SetZoneDrain("north", True, 1, 0)),
    ]
    cluster.run(0.5)
    undrained, drained = (cluster.replies[each] for each in tickets)
    assert undrained == ZoneDrainAccepted(2)
    assert isinstance(drained, ZoneDrainsChanged)


def test_waiting_commands_are_bounded_and_all_answered() -> None:
    cluster, leader = start_cluster()
    command = make_current(cluster, leader, "north", True)
    tickets = [
        cluster.propose(leader, command) for _ in range(MAX_WAITING_COMMANDS + 11)
    ]
    cluster.run(0.5)
    results = [cluster.replies[each] for each in tickets]
    assert results[0] == ZoneDrainAccepted(1)
    assert sum(isinstance(each, ZoneDrainAccepted) for each in results) == 1_001
    assert sum(isinstance(each, Undecided) for each in results) == 10


# Guards against commands that wait for ever at a leader that lost its office.
def test_waiting_commands_are_answered_after_loss_of_the_leadership() -> None:
    cluster, leader = start_cluster()
    command = make_current(cluster, leader, "north", True)
    cluster.isolate(leader)
    tickets = [cluster.propose(leader, command) for _ in range(3)]
    cluster.run(5.0)
    results = [cluster.replies[each] for each in tickets]
    assert isinstance(results[0], Undecided)
    assert results[1:] == [NotLeader(), NotLeader()]


def test_host_without_quorum_decides_nothing() -> None:
    cluster, leader = start_cluster()
    order(cluster, "north", True, leader)
    cluster.isolate(leader)
    cluster.run(3.0)
    for command in (SetZoneDrain("north", True, 1, 0), ReadZoneDrains()):
        assert isinstance(cluster.call(command, leader), NotLeader)


# Guards against an acknowledgement that a cut of all power takes back.
def test_acknowledged_order_survives_power_loss_of_all_hosts() -> None:
    cluster, leader = start_cluster()
    assert order(cluster, "north", True, leader) == ZoneDrainAccepted(1)
    for name in "abc":
        cluster.kill(name, power_cut=True)
    for name in "abc":
        cluster.start(name)
    cluster.run_until_leader()
    assert read_drained(cluster) == ["north"]
    assert order(cluster, "north", True) == ZoneDrainAccepted(1, is_repeat=True)


# Guards against a resend after a lost answer that is refused, or counts twice, because
# another host leads now.
def test_resend_after_change_of_leader_is_acknowledged() -> None:
    cluster, leader = start_cluster()
    command = make_current(cluster, leader, "north", True)
    ticket = cluster.propose(leader, command)
    while ticket not in cluster.replies:
        cluster.step()
    cluster.kill(leader)
    cluster.run_until_leader()
    cluster.run(1.0)
    assert order(cluster, "north", True) == ZoneDrainAccepted(1, is_repeat=True)


def test_orders_and_documents_at_the_same_time_are_all_decided() -> None:
    cluster, leader = start_cluster()
    drain = make_current(cluster, leader, "north", True)
    commands: list[Command] = [
        make_put(3),
        drain,
        submit("c1"),
        make_put(3),
        drain,
        submit("c2", "ledger"),
        make_put(4),
        SetZoneDrain("south", False, 0, 0),
    ]
    tickets = [cluster.propose(leader, each) for each in commands]
    cluster.run(0.5)
    results = [cluster.replies[each] for each in tickets]
    assert [type(each) for each in results] == [
        DeploymentAccepted,
        ZoneDrainAccepted,
        Accepted,
        DeploymentAccepted,
        ZoneDrainAccepted,
        Accepted,
        DeploymentAccepted,
        ZoneDrainAccepted,
    ]


@pytest.mark.parametrize("zone", ["", "n" * 256, "nor\x00th", "a\nb", "a\x85b"])
def test_invalid_names_are_refused(zone: str) -> None:
    cluster, leader = start_cluster()
    result = cluster.call(SetZoneDrain(zone, True, 0, 0), leader)
    assert isinstance(result, Rejected)


# Guards against state that grows with each new name, and is sent to every entry host.
def test_number_of_drained_zones_is_bounded() -> None:
    cluster, leader = start_cluster()
    for number in range(MAX_DRAINED_ZONES):
        order(cluster, f"zone-{number}", True, leader)
    assert isinstance(order(cluster, "one-more", True, leader), Rejected)
    assert order(cluster, "zone-7", False, leader) == ZoneDrainAccepted(101)
    assert order(cluster, "one-more", True, leader) == ZoneDrainAccepted(102)


def test_entry_on_another_revision_changes_nothing() -> None:
    machine = DocumentStateMachine(10)
    assert machine.apply(SetZoneDrain("north", True, 0, 7)) == ZoneDrainAccepted(1)
    stale = machine.apply(SetZoneDrain("north", False, 0, 8))
    assert stale == ZoneDrainsChanged(1)
    assert machine.zone_drains == ZoneDrains(1, (ZoneDrain("north", 7),))


def test_snapshot_contains_the_drains() -> None:
    machine = DocumentStateMachine(10)
    machine.apply(SetZoneDrain("north", True, 0, 7))
    restored = DocumentStateMachine(10)
    restored.restore(machine.encode())
    assert restored.zone_drains == machine.zone_drains


# Guards against a host that doesn't start on the folder of an earlier build, or keeps
# drains that a restored state doesn't have.
def test_snapshot_of_an_earlier_build_restores_without_drains() -> None:
    machine = DocumentStateMachine(10)
    machine.apply(make_put(3))
    earlier: dict[str, Any] = decode_json(machine.encode(), dict)
    del earlier["zone_drains"]
    restored = DocumentStateMachine(10)
    restored.apply(SetZoneDrain("north", True, 0, 7))
    restored.restore(encode_json(earlier))
    assert restored.zone_drains == ZoneDrains()
    assert restored.deployment_change == make_put(3)


# Guards against an entry that hosts of an earlier build refuse, with all entries behind
# it, while hosts are being upgraded.
def test_drains_wait_until_all_hosts_in_contact_can_read_them() -> None:
    replica, pending = make_replica(), PendingCommands()
    decisions = DrainDecisions(DocumentStateMachine(10), pending)
    elect(replica)
    acknowledge(replica, HostName("b"), 1)
    replica.mark_synced()

    def propose() -> CommandResult | None:
        command = SetZoneDrain("north", True, 0, 0, f"{replica.consensus.term}.0")
        decisions.propose(1, command, replica, 5.0)
        return next((each.result for each in pending.pop_replies()), None)

    assert isinstance(propose(), Undecided)
    assert replica.log.last_index == 1
    response = AppendResponse(
        0, replica.consensus.term, True, 1, 5.0, knows_drains=True
    )
    replica.receive(HostName("b"), response, 5.0, True)
    assert propose() is None
    assert replica.log.last_index == 2


def test_host_that_lost_its_disk_gets_the_drains_back() -> None:
    cluster, leader = start_cluster()
    order(cluster, "north", True, leader)
    follower = next(each for each in "abc" if each != leader)
    cluster.lose_disk(follower)
    cluster.start(follower)
    cluster.run(5.0)
    assert cluster.nodes[follower].zone_drains.is_drained("north")


# Guards against a host whose drains go back to an earlier revision when it loads its
# folder again after a failure of its disk.
def test_suspended_host_keeps_the_drains_that_it_knew() -> None:
    cluster = SuspendingCluster(3)
    cluster.run(5.0)
    nodes = cluster.nodes
    leader = next(x for x in nodes if nodes[x].is_deployment_confirmed(cluster.now))
    order(cluster, "north", True, leader)
    cluster.run(0.5)
    follower = next(each for each in "abc" if each != leader)
    disk = cluster.disks[follower]
    assert isinstance(disk, MemoryDisk)
    disk.failing = frozenset({"sync"})
    for drained in (False, True, False):
        assert isinstance(order(cluster, "north", drained, leader), ZoneDrainAccepted)
        cluster.run(1.0)
        assert cluster.nodes[follower].zone_drains.revision >= 1
    disk.failing = frozenset()
    cluster.run(5.0)
    assert cluster.nodes[follower].zone_drains.revision == 4


@pytest.mark.parametrize(("size", "seed"), [(3, 5), (3, 7), (5, 3)])
def test_last_acknowledged_order_holds_under_random_faults(
    size: int, seed: int
) -> None:
    chaos = DrainChaos(size, seed)
    chaos.run(60.0)
    assert chaos.accepted_count > 20
