"""Tests directories of a deployment under message loss, partitions and restarts."""

from __future__ import annotations

import pytest
from msgspec import Raw
from msgspec.structs import replace

from bramleyspread_core import (
    BrandShare,
    DocumentInForce,
    DocumentsPage,
    HostName,
    OrganisationShare,
    PeerMessage,
    Pool,
    ServiceDocument,
    ServiceName,
    StageKind,
)
from bramleyspread_membership.tests.network import POOL, Network

ZONES = {"a": 3, "b": 3, "c": 2}


def make_network(seed: int = 1, targets: int = 40) -> Network:
    net = Network(ZONES, seed)
    for number in range(targets):
        net.add_target(f"t-{number}", "abc"[number % 3])
    return net


def make_document(
    version: int, revision: int, service: str = "mail"
) -> DocumentInForce:
    document = ServiceDocument(service=service, version=version, team="post")
    return DocumentInForce(ServiceName(service), version, revision, "ana", document)


def make_page(version: int, revision: int) -> DocumentsPage:
    return DocumentsPage(revision, (make_document(version, revision),))


@pytest.mark.parametrize("seed", range(3))
def test_every_host_lists_all_targets_and_hosts(seed: int) -> None:
    net = make_network(seed)
    net.run(3)
    assert all(len(net.usable_targets(host)) == 40 for host in net.hosts)
    directory = net.hosts["a-0"]
    assert {each.host for each in directory.list_hosts(net.clock("a-0"))} == set(
        net.zones
    )
    zones = [v.announcement.zone for v in directory.list_usable(POOL, net.clock("a-0"))]
    assert set(zones[:14]) == {"a"}
    assert set(zones[14:]) == {"b", "c"}


@pytest.mark.parametrize("seed", range(5))
def test_targets_stay_usable_under_message_loss_and_duplication(seed: int) -> None:
    net = make_network(seed)
    net.run(3)
    net.loss, net.duplication = 0.1, 0.1
    for _ in range(100):
        net.run(0.1)
        assert min(len(net.usable_targets(host)) for host in net.hosts) >= 39


def test_list_usable_returns_the_same_object_while_nothing_changes() -> None:
    net = make_network()
    net.run(3)
    directory, now = net.hosts["b-0"], net.clock("b-0")
    assert directory.list_usable(POOL, now) is directory.list_usable(POOL, now + 0.2)


def test_leaving_target_is_unusable_everywhere_within_one_tick() -> None:
    net = make_network()
    net.run(3)
    net.mark_leaving("t-1")
    net.announce("t-1")
    net.run(0.1, announcing=False)
    assert not net.hosts_where_usable("t-1")


def test_gossip_spreads_leaving_when_the_notice_is_lost() -> None:
    net = make_network()
    net.run(3)
    net.mark_leaving("t-1")
    net.loss = 1.0
    net.announce("t-1", "a-0")
    net.loss = 0.0
    net.run(1.2, announcing=False)
    assert not net.hosts_where_usable("t-1")


@pytest.mark.parametrize("seed", range(5))
def test_target_that_stops_unannounced_is_unusable_within_3_s(seed: int) -> None:
    net = make_network(seed)
    net.run(3)
    net.targets.pop("t-1")
    net.extra_delay_s = {"a-0": 0.8, "b-1": 1.5}
    net.run(3)
    assert not net.hosts_where_usable("t-1")


def test_stale_announcement_does_not_make_a_leaving_target_usable() -> None:
    net = make_network()
    net.run(3)
    stale = net.targets["t-1"]
    net.mark_leaving("t-1")
    net.announce("t-1")
    net.run(1, announcing=False)
    for host, directory in net.hosts.items():
        directory.handle_announcement(stale, net.clock(host))
    assert not net.hosts_where_usable("t-1")
    net.change_target("t-1", incarnation=2, sequence=0, state=stale.state)
    net.run(1.5)
    assert net.hosts_where_usable("t-1") == set(net.hosts)


def test_messages_delayed_at_a_suspended_host_renew_no_lease() -> None:
    net = make_network()
    net.run(3)
    net.suspended_hosts = {"b-0"}
    net.run(1)
    del net.targets["t-1"]
    net.run(10)
    net.suspended_hosts = set()
    for _ in range(20):
        net.run(0.1)
        assert "t-1" not in net.usable_targets("b-0")


def test_leases_expire_while_a_host_is_suspended() -> None:
    net = make_network()
    net.run(3)
    assert net.usable_targets("b-0")
    net.suspended_hosts = {"b-0"}
    net.now += 60
    assert not net.usable_targets("b-0")


def test_updates_are_relayed_around_a_one_way_link_failure() -> None:
    net = Network(ZONES, 1)
    net.add_target("t-1", "a", ["a-0"])
    net.run(3)
    net.block_links("a-0", "b-0")
    net.run(3)
    for _ in range(100):
        net.run(0.1)
        assert "t-1" in net.usable_targets("b-0")


def test_isolated_zone_keeps_its_own_targets_and_recovers() -> None:
    net = make_network()
    for name, target in net.targets.items():
        net.announce_hosts[name] = [
            h for h, zone in net.zones.items() if zone == target.zone
        ]
    net.hosts["a-0"].apply_documents(make_page(1, 1), net.clock("a-0"))
    net.run(3)
    for other in "bc":
        net.block_links("a", other)
        net.block_links(other, "a")
    net.run(30)
    own_targets = {name for name, target in net.targets.items() if target.zone == "a"}
    assert net.usable_targets("a-1") == own_targets
    assert net.hosts["a-1"].revision == 1
    net.blocked_links.clear()
    net.run(3)
    assert all(len(net.usable_targets(host)) == 40 for host in net.hosts)


def test_host_restarted_in_an_isolated_zone_gets_state_from_that_zone() -> None:
    net = make_network()
    net.hosts["c-0"].apply_documents(make_page(4, 9), net.clock("c-0"))
    net.run(2)
    net.block_links("a", "b")
    net.block_links("a", "c")
    net.block_links("b", "a")
    net.block_links("c", "a")
    net.kill("a-2")
    net.run(1)
    net.start("a-2", ["a-0"])
    net.run(1.5)
    directory = net.hosts["a-2"]
    assert directory.revision == 9
    assert directory.find_document("mail") is not None
    assert len(net.usable_targets("a-2")) > 0


def test_documents_spread_and_older_versions_are_ignored() -> None:
    net = make_network()
    net.hosts["a-0"].apply_documents(make_page(2, 5), net.clock("a-0"))
    net.run(1)
    for host, directory in net.hosts.items():
        assert directory.revision == 5
        events = directory.apply_documents(make_page(1, 4), net.clock(host))
        assert not events
        assert directory.list_documents()[0].version == 2
        assert directory.revision == 5
    net.run(1)
    in_force = net.hosts["b-0"].list_hosts(net.clock("b-0"))
    assert {each.revision for each in in_force} == {5}


def test_invalid_document_is_refused_without_raising_the_revision() -> None:
    net = make_network()
    duplicate_pools = (Pool(name="p", kind=StageKind.PLAIN),) * 2
    invalid_document = ServiceDocument(
        service="mail", version=3, team="post", pools=duplicate_pools
    )
    refused = DocumentInForce(ServiceName("mail"), 3, 7, "ana", invalid_document)
    events = net.hosts["a-0"].apply_documents(DocumentsPage(7, (refused,)), 0.0)
    assert [each.kind for each in events] == ["document-refused"]
    assert net.hosts["a-0"].revision == 0


def test_revision_rises_only_after_all_pages_of_documents_arrived() -> None:
    net = make_network()
    documents = []
    for number in range(30):
        each = make_document(1, number + 1, f"s-{number}")
        brands = (BrandShare(name="b"),)
        organisations = tuple(
            OrganisationShare(name=f"organisation-{number}", brands=brands)
            for number in range(400)
        )
        large = replace(each.document, organisations=organisations)
        documents.append(replace(each, document=large))
    page = DocumentsPage(30, tuple(documents))
    net.hosts["a-0"].apply_documents(page, net.clock("a-0"))
    for _ in range(60):
        net.run(0.1)
        for directory in net.hosts.values():
            assert directory.revision < 30 or len(directory.list_documents()) == 30
    assert {directory.revision for directory in net.hosts.values()} == {30}


@pytest.mark.parametrize(
    ("receiver", "body"),
    [
        ("a-1", b'{"type":"leaving","left":[["t-1",1]]}'),
        ("a-0", b'{"type":"gossip","hosts":[],"sent_ms":1,"documents":1}'),
        ("a-0", b'{"type":"gossip"}'),
        ("a-0", b"[[[["),
        ("a-0", b"\xff"),
    ],
)
def test_misdirected_and_malformed_messages_are_dropped(
    receiver: str, body: bytes
) -> None:
    net = make_network()
    net.run(2)
    message = PeerMessage(HostName("b-0"), HostName(receiver), Raw(body))
    assert not net.hosts["a-0"].handle_message(message, net.clock("a-0"))
    assert net.hosts["a-0"].messages_dropped == 1
    assert "t-1" in net.usable_targets("a-0")


def test_killed_host_is_removed_from_the_list_of_hosts() -> None:
    net = make_network()
    net.run(3)
    net.kill("c-1")
    net.run(15)
    hosts = net.hosts["a-0"].list_hosts(net.clock("a-0"))
    assert "c-1" not in {each.host for each in hosts}


def test_target_is_reported_only_by_the_host_that_it_announces_to() -> None:
    net = Network(ZONES, 1)
    net.add_target("t-1", "a", ["a-0"])
    net.run(2)
    reports = {h: n.report_targets(net.clock(h)).targets for h, n in net.hosts.items()}
    assert [h for h, targets in reports.items() if targets] == ["a-0"]


def test_short_byte_budget_omits_the_same_targets_in_every_round() -> None:
    net = Network(ZONES, 1)
    hosts = list(net.zones)
    for number in range(400):
        net.add_target(f"t-{number}", "a", [hosts[number % len(hosts)]])
    net.run(12)
    snapshots = [net.usable_targets("b-0")]
    for _ in range(30):
        net.run(0.1)
        snapshots.append(net.usable_targets("b-0"))
    assert 60 < len(snapshots[0]) < 390
    changing = {name for names in snapshots for name in names ^ snapshots[0]}
    assert len(changing) < 0.1 * len(snapshots[0])


def test_large_zones_send_targets_along_the_ring_and_leaving_to_all() -> None:
    net = Network({"a": 20, "b": 20}, 1)
    for number in range(60):
        zone = "ab"[number % 2]
        net.add_target(f"t-{number}", zone, [f"{zone}-{number // 2 % 20}"])
    net.hosts["a-0"].apply_documents(make_page(1, 1), net.clock("a-0"))
    net.run(30)
    assert {directory.revision for directory in net.hosts.values()} == {1}
    assert all(len(net.hosts[h].list_hosts(net.clock(h))) == 40 for h in net.hosts)
    # Of its own zone's targets, each host knows those that announce themselves to it or
    # to one of the four hosts that send to it on the ring.
    ring = sorted(host for host, zone in net.zones.items() if zone == "a")
    for rank, host in enumerate(ring):
        senders = {ring[(rank - distance) % 20] for distance in (0, 1, 2, 4, 8)}
        own_zone_targets = {
            name for name in net.usable_targets(host) if net.targets[name].zone == "a"
        }
        assert own_zone_targets == {
            name for name in net.targets if net.announce_hosts[name][0] in senders
        }
    assert net.hosts["a-0"].list_summaries(net.clock("a-0"))
    net.mark_leaving("t-0")
    net.announce("t-0")
    net.run(1.5, announcing=False)
    assert not net.hosts_where_usable("t-0")
