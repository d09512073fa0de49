"""Tests of the deployment document in the replicated log, and of joining hosts."""

from __future__ import annotations

import msgspec
import pytest

from bramleyspread_control import ControlMember, ControlTimings, MemoryDisk
from bramleyspread_control._messages import Envelope, Hello, HostAddress
from bramleyspread_control.tests._cluster import Cluster
from bramleyspread_core import (
    Address,
    CommandResult,
    ConfirmDeployment,
    Deployment,
    DeploymentAccepted,
    DeploymentDiffers,
    DeploymentRead,
    HostName,
    PeerMessage,
    PutDeployment,
    ZoneName,
    encode_json,
)


def make_put(version: int, text: str = "") -> PutDeployment:
    return PutDeployment(Deployment(version=version), text or f"text {version}")


@pytest.mark.parametrize(
    ("commands", "results", "read"),
    [
        ([make_put(3)], [DeploymentAccepted(3)], DeploymentRead(3, "text 3")),
        # Versions may skip numbers; a lower one is acknowledged but not applied.
        (
            [make_put(3), make_put(9), make_put(4)],
            [DeploymentAccepted(3), DeploymentAccepted(9), DeploymentAccepted(9)],
            DeploymentRead(9, "text 9"),
        ),
        # A repeated change is acknowledged again.
        (
            [make_put(3), make_put(3)],
            [DeploymentAccepted(3), DeploymentAccepted(3)],
            DeploymentRead(3, "text 3"),
        ),
        # Different content under the current version is refused.
        (
            [make_put(3), make_put(3, "other")],
            [DeploymentAccepted(3), DeploymentDiffers(3)],
            DeploymentRead(3, "text 3"),
        ),
    ],
)
def test_highest_version_is_in_force(
    commands: list[PutDeployment], results: list[CommandResult], read: DeploymentRead
) -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert [cluster.call(each) for each in commands] == results
    assert cluster.call(ConfirmDeployment()) == read


def test_read_without_deployment_document_returns_version_zero() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(0, "")


def test_concurrent_documents_of_one_version_accept_only_the_first() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    tickets = [
        cluster.propose(leader, make_put(5, text)) for text in ("ana's", "luz's")
    ]
    cluster.run(1.0)
    first, second = (cluster.replies[each] for each in tickets)
    assert (first, second) == (DeploymentAccepted(5), DeploymentDiffers(5))
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(5, "ana's")


def test_document_survives_power_cut_of_all_hosts_and_loss_of_one_disk() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert cluster.call(make_put(8), leader) == DeploymentAccepted(8)
    for name in "abc":
        cluster.kill(name, power_cut=True)
    cluster.lose_disk(leader)
    for name in "abc":
        cluster.start(name, trust_folder=True)
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(8, "text 8")


def test_isolated_leader_does_not_confirm_the_deployment() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert cluster.call(make_put(8), leader) == DeploymentAccepted(8)
    cluster.isolate(leader)
    cluster.run(3.0)
    assert not cluster.nodes[leader].is_deployment_confirmed(cluster.now)
    assert cluster.nodes[leader].deployment == Deployment(version=8)


def start_open_cluster(
    names: str, size: int = 4, zones: str = "", timings: ControlTimings | None = None
) -> Cluster:
    """Start hosts that admit unlisted ones; only ``names`` are in all settings."""
    cluster = Cluster(size, timings=timings)
    for name in "abcdefg"[:size]:
        cluster.kill(name)
        cluster.lose_disk(name)
    cluster.members = all_members = tuple(
        msgspec.structs.replace(each, zone=ZoneName(zone))
        for each, zone in zip(cluster.members, zones or "abcdefg", strict=False)
    )
    for own in all_members:
        named = tuple(each for each in all_members if each.host in names)
        cluster.members = tuple(dict.fromkeys((*named, own)))
        cluster.start(
            own.host, may_found_deployment=own.host in names, admits_unlisted_hosts=True
        )
    cluster.members = all_members
    return cluster


def list_voters(cluster: Cluster, name: str) -> set[str]:
    return set(cluster.nodes[name].report_status(cluster.now).voters["0"])


def test_unlisted_host_joins_and_becomes_a_voter() -> None:
    cluster = start_open_cluster("abc")
    cluster.run_until_leader()
    assert cluster.call(make_put(2)) == DeploymentAccepted(2)
    cluster.run(10.0)
    assert list_voters(cluster, "d") == set("abcd")
    assert cluster.nodes["d"].deployment == Deployment(version=2)


def test_host_without_permission_founds_no_deployment() -> None:
    cluster = start_open_cluster("abc")
    for name in "abc":
        cluster.kill(name)
    cluster.run(10.0)
    assert cluster.find_leader() is None


def test_members_are_found_from_the_log_after_settings_changed() -> None:
    cluster = start_open_cluster("abc")
    cluster.run_until_leader()
    cluster.call(make_put(2))
    cluster.run(10.0)
    all_members = cluster.members
    for name in "abcd":
        cluster.kill(name)
        cluster.members = (all_members[3], all_members["abcd".index(name)])
        own = next(each for each in all_members if each.host == name)
        cluster.members = tuple(dict.fromkeys((all_members[3], own)))
        cluster.start(name, may_found_deployment=False, admits_unlisted_hosts=True)
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(2, "text 2")


def test_hello_with_invalid_address_is_refused() -> None:
    cluster = start_open_cluster("abc")
    cluster.run_until_leader()
    envelope = Envelope("", "i", "s", "", "", (Hello(True, "zx", "nowhere"),))
    body = msgspec.Raw(encode_json(envelope))
    message = PeerMessage(HostName("x"), HostName("a"), body)
    cluster.nodes["a"].receive(message, cluster.now)
    cluster.step()
    assert any("nowhere" in event.detail for _, _, event in cluster.events)
    assert len(cluster.nodes["a"].list_control_addresses()) == 4


def start_cluster_with_spares(zones: str) -> Cluster:
    """Start three hosts that found a deployment; the others are spares, not running."""
    timings = ControlTimings(voter_replacement_timeout_s=2.5)
    cluster = start_open_cluster("abc", len(zones), zones, timings)
    for name in "defg"[: len(zones) - 3]:
        cluster.kill(name)
    cluster.run_until_leader()
    assert cluster.call(make_put(2)) == DeploymentAccepted(2)
    return cluster


def start_and_join(cluster: Cluster, name: str) -> None:
    cluster.start(name, may_found_deployment=False, admits_unlisted_hosts=True)
    cluster.run(1.5)


def test_silent_voter_is_replaced_by_a_later_voter_of_its_zone() -> None:
    cluster = start_cluster_with_spares("xyzz")
    cluster.kill("c")
    start_and_join(cluster, "d")
    cluster.run(4.0)
    assert list_voters(cluster, "d") == set("abd")


def test_silent_voter_without_replacement_keeps_its_vote() -> None:
    cluster = start_cluster_with_spares("xyzw")
    start_and_join(cluster, "d")
    cluster.kill("c")
    cluster.run(10.0)
    assert list_voters(cluster, "d") == set("abcd")


def test_replaced_voter_that_returns_becomes_a_voter_again() -> None:
    cluster = start_cluster_with_spares("xyzz")
    cluster.kill("c")
    start_and_join(cluster, "d")
    cluster.run(4.0)
    cluster.call(make_put(3))
    start_and_join(cluster, "c")
    cluster.run(4.0)
    assert list_voters(cluster, "d") == set("abcd")
    assert cluster.nodes["c"].deployment == Deployment(version=3)


def test_document_survives_two_replacements_and_a_lost_disk() -> None:
    cluster = start_cluster_with_spares("xyzzy")
    cluster.kill("c")
    start_and_join(cluster, "d")
    cluster.run(4.0)
    cluster.kill("b")
    start_and_join(cluster, "e")
    cluster.run(4.0)
    assert cluster.call(make_put(7)) == DeploymentAccepted(7)
    for name in "ade":
        cluster.kill(name, power_cut=True)
    cluster.lose_disk("a")
    for name in "ade":
        cluster.start(
            name,
            may_found_deployment=False,
            admits_unlisted_hosts=True,
            trust_folder=True,
        )
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(7, "text 7")


@pytest.mark.parametrize("size", [5, 6])
@pytest.mark.parametrize("other_at", [0, 1, 2, 3])
def test_document_survives_loss_of_two_disks_while_all_others_lose_power(
    size: int, other_at: int
) -> None:
    names = "abcdef"[:size]
    cluster = start_open_cluster("abc", size)
    cluster.run(10.0)
    leader = cluster.run_until_leader()
    assert list_voters(cluster, leader) == set(names)
    assert cluster.call(make_put(8), leader) == DeploymentAccepted(8)
    wiped = (leader, [each for each in names if each != leader][other_at])
    for name in names:
        cluster.kill(name, power_cut=True)
    for name in wiped:
        cluster.lose_disk(name)
    for name in names:
        cluster.start(name, trust_folder=True, admits_unlisted_hosts=True)
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(8, "text 8")
    cluster.run(10.0)
    assert list_voters(cluster, cluster.run_until_leader()) == set(names)


# A new host stayed out while no host that its settings name was a leader.
def test_host_joins_though_its_settings_name_no_leader() -> None:
    cluster = start_open_cluster("abc", 4)
    cluster.run(10.0)
    leader = cluster.run_until_leader()
    assert list_voters(cluster, leader) == set("abcd")
    cluster.kill("d")
    cluster.lose_disk("d")
    leaders = {leader, cluster.run_until_leader("1")}
    named = next(each for each in "abc" if each not in leaders)
    all_members = cluster.members
    address = Address("127.0.0.1", 7_100)
    added = ControlMember(HostName("e"), ZoneName("e"), address)
    cluster.disks["e"] = MemoryDisk()
    cluster.members = (next(x for x in all_members if x.host == named), added)
    cluster.start("e", may_found_deployment=False, admits_unlisted_hosts=True)
    cluster.members = (*all_members, added)
    cluster.run(4.0)
    assert cluster.find_leader() == leader
    assert "e" in list_voters(cluster, leader)


# A voter that had been away for a while counted for good after it was replaced.
def test_voter_that_returned_once_is_replaced_by_an_earlier_voter_of_its_zone() -> None:
    cluster = start_cluster_with_spares("xyzz")
    start_and_join(cluster, "d")
    cluster.kill("c")
    cluster.run(5.0)
    assert list_voters(cluster, "d") == set("abd")
    start_and_join(cluster, "c")
    cluster.run(4.0)
    assert list_voters(cluster, "d") == set("abcd")
    cluster.kill("c")
    cluster.run(8.0)
    assert list_voters(cluster, "d") == set("abd")


# Guards against hosts that are admitted where the settings admit none but those named.
def test_host_of_which_a_member_tells_is_unknown_where_none_are_admitted() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    sender = next(name for name in cluster.nodes if name != leader)
    told = HostAddress(HostName("x"), "zx", "127.0.0.1:9999")
    protocol = cluster.nodes[sender]._peer_protocol
    protocol._host_messages.append(
        (HostName(leader), Hello(is_uninitialised=False, members=(told,)))
    )
    cluster.run(0.5)
    assert cluster.nodes[leader]._peer_protocol._peers.find("x") is None
