"""The deployment document through the replicated log, and hosts that join."""

from __future__ import annotations

import msgspec
import pytest

from bramleyspread_control import ControlTimings
from bramleyspread_control._messages import Envelope, Hello
from bramleyspread_control.tests._cluster import Cluster
from bramleyspread_core import (
    CommandResult,
    ConfirmDeployment,
    Deployment,
    DeploymentDiffers,
    DeploymentRead,
    DeploymentTaken,
    HostName,
    PeerMessage,
    PutDeployment,
    ZoneName,
    encode_json,
)


def put(version: int, text: str = "") -> PutDeployment:
    return PutDeployment(Deployment(version=version), text or f"text {version}")


@pytest.mark.parametrize(
    ("commands", "results", "read"),
    [
        ([put(3)], [DeploymentTaken(3)], DeploymentRead(3, "text 3")),
        # Versions rise in uneven steps; a lower one is acknowledged, not obeyed.
        (
            [put(3), put(9), put(4)],
            [DeploymentTaken(3), DeploymentTaken(9), DeploymentTaken(9)],
            DeploymentRead(9, "text 9"),
        ),
        # The same change again is acknowledged again.
        (
            [put(3), put(3)],
            [DeploymentTaken(3), DeploymentTaken(3)],
            DeploymentRead(3, "text 3"),
        ),
        # Other content under the version held is refused and never in force.
        (
            [put(3), put(3, "other")],
            [DeploymentTaken(3), DeploymentDiffers(3)],
            DeploymentRead(3, "text 3"),
        ),
    ],
)
def test_the_highest_version_is_in_force(
    commands: list[PutDeployment], results: list[CommandResult], read: DeploymentRead
) -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert [cluster.call(each) for each in commands] == results
    assert cluster.call(ConfirmDeployment()) == read


def test_nothing_is_read_before_there_is_something() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(0, "")


def test_two_operators_with_one_version_get_one_winner() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    tickets = [cluster.ask(leader, put(5, text)) for text in ("ana's", "luz's")]
    cluster.run(1.0)
    first, second = (cluster.replies[each] for each in tickets)
    assert (first, second) == (DeploymentTaken(5), DeploymentDiffers(5))
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(5, "ana's")


def test_it_survives_a_power_cut_of_all_with_one_disk_lost() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert cluster.call(put(8), leader) == DeploymentTaken(8)
    for name in "abc":
        cluster.kill(name, power=True)
    cluster.lose_disk(leader)
    for name in "abc":
        cluster.start(name, trust_folder=True)
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(8, "text 8")


def test_a_leader_cut_off_confirms_nothing() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert cluster.call(put(8), leader) == DeploymentTaken(8)
    cluster.cut(leader)
    cluster.run(3.0)
    assert not cluster.nodes[leader].confirms_deployment(cluster.now)
    assert cluster.nodes[leader].deployment == Deployment(version=8)


def start_open_cluster(
    names: str, size: int = 4, zones: str = "", timings: ControlTimings | None = None
) -> Cluster:
    """Start hosts that admit others; the settings of all name only the first ones."""
    cluster = Cluster(size, timings=timings)
    for name in "abcdefg"[:size]:
        cluster.kill(name)
        cluster.lose_disk(name)
    cluster.members = everyone = tuple(
        msgspec.structs.replace(each, zone=ZoneName(zone))
        for each, zone in zip(cluster.members, zones or "abcdefg", strict=False)
    )
    for own in everyone:
        named = tuple(each for each in everyone if each.host in names)
        cluster.members = tuple(dict.fromkeys((*named, own)))
        cluster.start(own.host, founds=own.host in names, admits=True)
    cluster.members = everyone
    return cluster


def list_voters(cluster: Cluster, name: str) -> set[str]:
    return set(cluster.nodes[name].report_status(cluster.now).voters["0"])


def test_a_host_that_no_settings_name_joins_and_gets_a_vote() -> None:
    cluster = start_open_cluster("abc")
    cluster.run_until_leader()
    assert cluster.call(put(2)) == DeploymentTaken(2)
    cluster.run(10.0)
    assert list_voters(cluster, "d") == set("abcd")
    assert cluster.nodes["d"].deployment == Deployment(version=2)


def test_a_host_that_may_not_found_waits_for_those_that_may() -> None:
    cluster = start_open_cluster("abc")
    for name in "abc":
        cluster.kill(name)
    cluster.run(10.0)
    assert cluster.find_leader() is None


def test_members_find_each_other_though_their_settings_changed() -> None:
    cluster = start_open_cluster("abc")
    cluster.run_until_leader()
    cluster.call(put(2))
    cluster.run(10.0)
    everyone = cluster.members
    for name in "abcd":
        cluster.kill(name)
        cluster.members = (everyone[3], everyone["abcd".index(name)])
        own = next(each for each in everyone if each.host == name)
        cluster.members = tuple(dict.fromkeys((everyone[3], own)))
        cluster.start(name, founds=False, admits=True)
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(2, "text 2")


def test_a_greeting_without_a_sound_address_is_refused() -> None:
    cluster = start_open_cluster("abc")
    cluster.run_until_leader()
    envelope = Envelope("", "i", "s", "", "", (Hello(True, "zx", "nowhere"),))
    body = msgspec.Raw(encode_json(envelope))
    stranger = PeerMessage(HostName("x"), HostName("a"), body)
    cluster.nodes["a"].receive(stranger, cluster.now)
    cluster.step()
    assert any("nowhere" in happening.detail for _, _, happening in cluster.happenings)
    assert len(cluster.nodes["a"].list_members()) == 4


def start_replaceable(zones: str) -> Cluster:
    """Start hosts whose first three found a deployment; the rest wait, dead."""
    timings = ControlTimings(replaced_after=2.5)
    cluster = start_open_cluster("abc", len(zones), zones, timings)
    for name in "defg"[: len(zones) - 3]:
        cluster.kill(name)
    cluster.run_until_leader()
    assert cluster.call(put(2)) == DeploymentTaken(2)
    return cluster


def join(cluster: Cluster, name: str) -> None:
    cluster.start(name, founds=False, admits=True)
    cluster.run(1.5)


def test_a_host_that_is_gone_loses_its_vote_to_its_successor() -> None:
    cluster = start_replaceable("xyzz")
    cluster.kill("c")
    join(cluster, "d")
    cluster.run(4.0)
    assert list_voters(cluster, "d") == set("abd")


def test_a_host_that_is_only_away_keeps_its_vote() -> None:
    cluster = start_replaceable("xyzw")
    join(cluster, "d")
    cluster.kill("c")
    cluster.run(10.0)
    assert list_voters(cluster, "d") == set("abcd")


def test_a_host_that_lost_its_vote_and_comes_back_gets_one_again() -> None:
    cluster = start_replaceable("xyzz")
    cluster.kill("c")
    join(cluster, "d")
    cluster.run(4.0)
    cluster.call(put(3))
    join(cluster, "c")
    cluster.run(4.0)
    assert list_voters(cluster, "d") == set("abcd")
    assert cluster.nodes["c"].deployment == Deployment(version=3)


def test_two_replaced_hosts_and_a_lost_disk_behind_them_cost_nothing() -> None:
    cluster = start_replaceable("xyzzy")
    cluster.kill("c")
    join(cluster, "d")
    cluster.run(4.0)
    cluster.kill("b")
    join(cluster, "e")
    cluster.run(4.0)
    assert cluster.call(put(7)) == DeploymentTaken(7)
    for name in "ade":
        cluster.kill(name, power=True)
    cluster.lose_disk("a")
    for name in "ade":
        cluster.start(name, founds=False, admits=True, trust_folder=True)
    cluster.run_until_leader()
    assert cluster.call(ConfirmDeployment()) == DeploymentRead(7, "text 7")
