"""Directories of whole deployments under loss, cuts and restarts."""

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
def test_every_host_learns_every_target_and_host(seed: int) -> None:
    net = make_network(seed)
    net.run(3)
    assert all(len(net.usable_targets(host)) == 40 for host in net.hosts)
    node = net.hosts["a-0"]
    assert {each.host for each in node.list_hosts(net.clock("a-0"))} == set(net.zones)
    zones = [v.announcement.zone for v in node.list_usable(POOL, net.clock("a-0"))]
    assert set(zones[:14]) == {"a"}
    assert set(zones[14:]) == {"b", "c"}


@pytest.mark.parametrize("seed", range(5))
def test_nothing_flaps_under_loss_and_doubling(seed: int) -> None:
    net = make_network(seed)
    net.run(3)
    net.loss_rate, net.duplication_rate = 0.1, 0.1
    for _ in range(100):
        net.run(0.1)
        assert min(len(net.usable_targets(host)) for host in net.hosts) >= 39


def test_usable_is_the_same_object_while_nothing_changed() -> None:
    net = make_network()
    net.run(3)
    node, now = net.hosts["b-0"], net.clock("b-0")
    assert node.list_usable(POOL, now) is node.list_usable(POOL, now + 0.2)


def test_leaving_is_obeyed_at_once() -> None:
    net = make_network()
    net.run(3)
    net.leave("t-1")
    net.announce("t-1")
    net.run(0.1, announcing=False)
    assert not net.hosts_with("t-1")


def test_leaving_reaches_hosts_that_its_news_missed() -> None:
    net = make_network()
    net.run(3)
    net.leave("t-1")
    net.loss_rate = 1.0
    net.announce("t-1", "a-0")
    net.loss_rate = 0.0
    net.run(1.2, announcing=False)
    assert not net.hosts_with("t-1")


@pytest.mark.parametrize("seed", range(5))
def test_leaving_unheard_is_unusable_within_3_s(seed: int) -> None:
    net = make_network(seed)
    net.run(3)
    net.targets.pop("t-1")
    net.extra_delay_s = {"a-0": 0.8, "b-1": 1.5}
    net.run(3)
    assert not net.hosts_with("t-1")


def test_old_news_does_not_revive_what_left() -> None:
    net = make_network()
    net.run(3)
    old = net.targets["t-1"]
    net.leave("t-1")
    net.announce("t-1")
    net.run(1, announcing=False)
    for host, node in net.hosts.items():
        node.hear(old, net.clock(host))
    assert not net.hosts_with("t-1")
    net.change("t-1", incarnation=2, sequence=0, state=old.state)
    net.run(1.5)
    assert net.hosts_with("t-1") == set(net.hosts)


def test_messages_that_waited_renew_no_lease() -> None:
    net = make_network()
    net.run(3)
    net.frozen = {"b-0"}
    net.run(1)
    del net.targets["t-1"]
    net.run(10)
    net.frozen = set()
    for _ in range(20):
        net.run(0.1)
        assert "t-1" not in net.usable_targets("b-0")


def test_host_that_wakes_trusts_no_old_lease() -> None:
    net = make_network()
    net.run(3)
    assert net.usable_targets("b-0")
    net.frozen = {"b-0"}
    net.now += 60
    assert not net.usable_targets("b-0")


def test_one_way_cut_is_bridged_by_other_hosts() -> None:
    net = Network(ZONES, 1)
    net.add_target("t-1", "a", ["a-0"])
    net.run(3)
    net.cut("a-0", "b-0")
    net.run(3)
    for _ in range(100):
        net.run(0.1)
        assert "t-1" in net.usable_targets("b-0")


def test_cut_zone_goes_on_with_its_own_and_heals() -> None:
    net = make_network()
    for name, target in net.targets.items():
        net.announce_hosts[name] = [
            h for h, zone in net.zones.items() if zone == target.zone
        ]
    net.hosts["a-0"].apply_documents(make_page(1, 1), net.clock("a-0"))
    net.run(3)
    for other in "bc":
        net.cut("a", other)
        net.cut(other, "a")
    net.run(30)
    own = {name for name, target in net.targets.items() if target.zone == "a"}
    assert net.usable_targets("a-1") == own
    assert net.hosts["a-1"].revision == 1
    net.cuts.clear()
    net.run(3)
    assert all(len(net.usable_targets(host)) == 40 for host in net.hosts)


def test_host_restarted_in_a_cut_zone_learns_from_its_neighbours() -> None:
    net = make_network()
    net.hosts["c-0"].apply_documents(make_page(4, 9), net.clock("c-0"))
    net.run(2)
    net.cut("a", "b")
    net.cut("a", "c")
    net.cut("b", "a")
    net.cut("c", "a")
    net.kill("a-2")
    net.run(1)
    net.start("a-2", ["a-0"])
    net.run(1.5)
    node = net.hosts["a-2"]
    assert node.revision == 9
    assert node.find_document("mail") is not None
    assert len(net.usable_targets("a-2")) > 0


def test_documents_spread_and_never_go_back() -> None:
    net = make_network()
    net.hosts["a-0"].apply_documents(make_page(2, 5), net.clock("a-0"))
    net.run(1)
    for host, node in net.hosts.items():
        assert node.revision == 5
        happenings = node.apply_documents(make_page(1, 4), net.clock(host))
        assert not happenings
        assert node.list_documents()[0].version == 2
        assert node.revision == 5
    net.run(1)
    in_force = net.hosts["b-0"].list_hosts(net.clock("b-0"))
    assert {each.revision for each in in_force} == {5}


def test_document_with_faults_is_refused_and_not_counted() -> None:
    net = make_network()
    twins = (Pool(name="p", kind=StageKind.PLAIN),) * 2
    faulty = ServiceDocument(service="mail", version=3, team="post", pools=twins)
    bad = DocumentInForce(ServiceName("mail"), 3, 7, "ana", faulty)
    happenings = net.hosts["a-0"].apply_documents(DocumentsPage(7, (bad,)), 0.0)
    assert [each.kind for each in happenings] == ["document-refused"]
    assert net.hosts["a-0"].revision == 0


def test_many_documents_come_over_several_pages() -> None:
    net = make_network()
    documents = []
    for number in range(30):
        each = make_document(1, number + 1, f"s-{number}")
        brands = (BrandShare(name="b"),)
        many = tuple(
            OrganisationShare(name=f"organisation-{number}", brands=brands)
            for number in range(400)
        )
        large = replace(each.document, organisations=many)
        documents.append(replace(each, document=large))
    page = DocumentsPage(30, tuple(documents))
    net.hosts["a-0"].apply_documents(page, net.clock("a-0"))
    for _ in range(60):
        net.run(0.1)
        for node in net.hosts.values():
            assert node.revision < 30 or len(node.list_documents()) == 30
    assert {node.revision for node in net.hosts.values()} == {30}


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
def test_foreign_and_malformed_messages_are_dropped(receiver: str, body: bytes) -> None:
    net = make_network()
    net.run(2)
    message = PeerMessage(HostName("b-0"), HostName(receiver), Raw(body))
    assert not net.hosts["a-0"].receive(message, net.clock("a-0"))
    assert net.hosts["a-0"].messages_dropped == 1
    assert "t-1" in net.usable_targets("a-0")


def test_host_that_died_is_forgotten() -> None:
    net = make_network()
    net.run(3)
    net.kill("c-1")
    net.run(15)
    hosts = net.hosts["a-0"].list_hosts(net.clock("a-0"))
    assert "c-1" not in {each.host for each in hosts}


def test_report_holds_what_was_heard_here() -> None:
    net = Network(ZONES, 1)
    net.add_target("t-1", "a", ["a-0"])
    net.run(2)
    reports = {h: n.report_targets(net.clock(h)).targets for h, n in net.hosts.items()}
    assert [h for h, targets in reports.items() if targets] == ["a-0"]


def test_short_budget_drops_the_same_targets_always() -> None:
    net = Network(ZONES, 1)
    hosts = list(net.zones)
    for number in range(400):
        net.add_target(f"t-{number}", "a", [hosts[number % len(hosts)]])
    net.run(12)
    seen = [net.usable_targets("b-0")]
    for _ in range(30):
        net.run(0.1)
        seen.append(net.usable_targets("b-0"))
    assert 60 < len(seen[0]) < 390
    changing = {name for names in seen for name in names ^ seen[0]}
    assert len(changing) < 0.1 * len(seen[0])


def test_large_zones_tell_a_bounded_share_and_all_of_leaving() -> None:
    net = Network({"a": 20, "b": 20}, 1)
    for number in range(60):
        zone = "ab"[number % 2]
        net.add_target(f"t-{number}", zone, [f"{zone}-{number // 2 % 20}"])
    net.hosts["a-0"].apply_documents(make_page(1, 1), net.clock("a-0"))
    net.run(30)
    assert {node.revision for node in net.hosts.values()} == {1}
    assert all(len(net.hosts[h].list_hosts(net.clock(h))) == 40 for h in net.hosts)
    # Each host knows what it hears itself, and what four others of its ring hear.
    ring = sorted(host for host, zone in net.zones.items() if zone == "a")
    for place, host in enumerate(ring):
        heard = {ring[(place - far) % 20] for far in (0, 1, 2, 4, 8)}
        near = {
            name for name in net.usable_targets(host) if net.targets[name].zone == "a"
        }
        assert near == {
            name for name in net.targets if net.announce_hosts[name][0] in heard
        }
    assert net.hosts["a-0"].list_summaries(net.clock("a-0"))
    net.leave("t-0")
    net.announce("t-0")
    net.run(1.5, announcing=False)
    assert not net.hosts_with("t-0")
