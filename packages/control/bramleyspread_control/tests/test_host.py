"""Tests of a control host through its public interface."""

from __future__ import annotations

import pytest

from bramleyspread_control.tests._cluster import (
    Cluster,
    claim,
    document,
    settle,
    submit,
)
from bramleyspread_core import (
    Accepted,
    Address,
    ClaimDone,
    Claimed,
    ClaimMismatch,
    ClaimRunning,
    ClaimUnknown,
    Conflict,
    DocumentsQuery,
    HostName,
    NotLeader,
    Rejected,
    ServiceName,
    Settled,
    SubmitDocument,
)

PHOTOS = ServiceName("photos")


@pytest.mark.parametrize("size", [1, 3, 5])
def test_submissions_are_checked_by_version_and_change_id(size: int) -> None:
    cluster = Cluster(size)
    cluster.run_until_leader()
    assert cluster.call(submit("c1")) == Accepted(PHOTOS, 1, 1)
    assert cluster.call(submit("c1")) == Accepted(PHOTOS, 1, 1, resent=True)
    assert cluster.call(submit("c2", author="bo")) == Conflict(PHOTOS, 1, "ana")
    assert cluster.call(submit("c3", version=2)) == Accepted(PHOTOS, 2, 2)
    assert cluster.call(submit("c1")) == Accepted(PHOTOS, 1, 1, resent=True)
    cluster.run(1.0)
    query = DocumentsQuery(HostName("e"), "z", Address("127.0.0.1", 1), 1)
    for node in cluster.nodes.values():
        page = node.answer_query(query, cluster.now)
        assert (page.revision, [each.version for each in page.documents]) == (2, [2])
        assert node.report_status(cluster.now).entry_hosts[0].revision == 1


def test_concurrent_submissions_of_one_version_accept_only_the_first() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    tickets = [
        cluster.propose(leader, submit(f"c{number}", author=f"a{number}"))
        for number in range(50)
    ]
    cluster.run(0.5)
    results = [cluster.replies[ticket] for ticket in tickets]
    assert results[0] == Accepted(PHOTOS, 1, 1)
    assert set(results[1:]) == {Conflict(PHOTOS, 1, "a0")}


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("service: [", "line 1"),
        (document(extra="colour: red\n"), "colour"),
        (
            document(
                extra="organisations: [{name: o, brands: [{name: b}]}]\n"
                "pipelines: [{name: p, deadline_ms: 10, stages:"
                " [{name: s, pool: other.p}]}]\n"
            ),
            "no service 'other' in force",
        ),
    ],
)
def test_invalid_documents_are_rejected(text: str, fault: str) -> None:
    cluster = Cluster(1)
    cluster.run_until_leader()
    result = cluster.call(SubmitDocument("c1", "ana", text))
    assert isinstance(result, Rejected)
    assert fault in result.faults[0]


def test_document_cannot_remove_a_pool_used_by_another_service() -> None:
    cluster = Cluster(1)
    cluster.run_until_leader()
    pools = "pools: [{name: p, kind: plain}]\n"
    user = (
        "organisations: [{name: o, brands: [{name: b}]}]\n"
        "pipelines: [{name: p, deadline_ms: 10, stages: [{name: s, pool: owner.p}]}]\n"
    )
    owner = SubmitDocument("c1", "ana", document("owner", extra=pools))
    assert isinstance(cluster.call(owner), Accepted)
    uses = SubmitDocument("c2", "ana", document("user", extra=user))
    assert isinstance(cluster.call(uses), Accepted)
    for change, extra in (("c3", ""), ("c4", f"retired: true\n{pools}")):
        drop = SubmitDocument(change, "ana", document("owner", 2, extra))
        result = cluster.call(drop)
        assert isinstance(result, Rejected)
        assert "service 'user' would break" in result.faults[0]


def test_reused_change_id_with_another_document_is_rejected() -> None:
    cluster = Cluster(1)
    cluster.run_until_leader()
    cluster.call(submit("c1"))
    result = cluster.call(submit("c1", version=2))
    assert isinstance(result, Rejected)
    assert "use a new id" in result.faults[0]


def test_key_is_granted_to_one_request_only() -> None:
    cluster = Cluster(3, groups=2)
    assert cluster.call(claim("r1")) == Claimed()
    assert cluster.call(claim("r1")) == Claimed()
    assert cluster.call(claim("r2")) == ClaimRunning(claim("r1").request, 500)
    assert cluster.call(claim("r2", digest="x")) == ClaimMismatch()
    assert isinstance(cluster.call(settle("r2", "done")), Rejected)
    assert cluster.call(settle("r1", "done")) == Settled()
    assert cluster.call(settle("r1", "done")) == Settled()
    assert isinstance(cluster.call(settle("r1", "not-run")), Rejected)
    done = cluster.call(claim("r3"))
    assert isinstance(done, ClaimDone)
    assert bytes(done.answer) == b'{"paid":true}'


def test_settling_as_not_run_frees_the_key_and_withdraws_the_request() -> None:
    cluster = Cluster(1)
    assert cluster.call(claim("r1")) == Claimed()
    assert cluster.call(settle("r2", "not-run")) == Settled()
    assert isinstance(cluster.call(claim("r3")), ClaimRunning)
    assert cluster.call(settle("r1", "not-run")) == Settled()
    assert isinstance(cluster.call(claim("r1")), Rejected)
    assert isinstance(cluster.call(claim("r2")), Rejected)
    assert cluster.call(claim("r3")) == Claimed()


@pytest.mark.parametrize("change_leader", [False, True])
def test_claim_is_unknown_after_its_owner_exceeds_the_time_budget(
    change_leader: bool,
) -> None:
    cluster = Cluster(3)
    assert cluster.call(claim("r1", remaining_ms=500)) == Claimed()
    if change_leader:
        cluster.kill(cluster.run_until_leader("1"))
    cluster.run(6.0)
    assert cluster.call(claim("r2")) == ClaimUnknown(claim("r1").request)
    assert cluster.call(settle("r1", "done")) == Settled()
    assert isinstance(cluster.call(claim("r2")), ClaimDone)


def test_commands_need_the_leader_and_a_quorum() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    other = next(name for name in cluster.nodes if name != leader)
    address = next(each.address for each in cluster.members if each.host == leader)
    assert cluster.call(submit("c1"), other) == NotLeader(address)
    for name in [name for name in cluster.nodes if name != leader]:
        cluster.kill(name)
    cluster.run(2.0)
    assert cluster.call(submit("c1"), leader) == NotLeader(None)
    assert cluster.call(claim("r1"), leader) == NotLeader(None)
