"""Events that tell why a group has no leader and a host isn't admitted."""

from __future__ import annotations

from bramleyspread_control import MemoryDisk
from bramleyspread_control.tests._cluster import Cluster, submit
from bramleyspread_control.tests.test_disks_in_turn import Schedule
from bramleyspread_core import Accepted, UnstampedEvent


def list_events(
    cluster: Cluster, kind: str, name: str, step: str
) -> list[tuple[float, UnstampedEvent]]:
    return [
        (at, event)
        for at, host, event in cluster.events
        if (event.kind, host, event.step) == (kind, name, step)
    ]


# Hosts that elected nobody to the end logged nothing, so that no cause could be found.
def test_host_without_a_leader_names_the_silent_voters_at_growing_intervals() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    cluster.run(8.0)
    assert list_events(cluster, "leaderless", "a", "group-0") == []
    cluster.kill("b")
    cluster.run(4.0)
    cluster.kill("c")
    lost_at = cluster.now
    cluster.run(100.0)
    for step in ("group-0", "group-1"):
        reports = list_events(cluster, "leaderless", "a", step)
        times = [at - lost_at for at, _ in reports]
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        assert 4.0 <= times[0] <= 7.5
        assert gaps == sorted(gaps)
        assert len(reports) == 4
        detail = reports[-1][1].detail
        assert "2 of 3 voters needed; b: silent" in detail
        assert "; c: silent" in detail
        assert "own vote trusted" in detail


# It couldn't be told whether voters were silent, not trusted, or ahead in their logs.
def test_report_tells_votes_that_are_not_trusted_and_newer_logs() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    older, lagging = sorted(set(cluster.nodes) - {leader})
    copy = cluster.disks[older].copy()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    cluster.run(1.0)
    cluster.isolate(lagging)
    assert isinstance(cluster.call(submit("c2", version=2), leader), Accepted)
    lost_disk = cluster.disks[older]
    cluster.lose_disk(older)
    cluster.disks[older] = lost_disk.restore(copy)
    cluster.kill(leader)
    cluster.start(older)
    cluster.heal()
    cluster.run(12.0)
    from_older = list_events(cluster, "leaderless", older, "group-0")[-1][1].detail
    assert f"{lagging}: denies its vote (has entry" in from_older
    assert f"{leader}: silent" in from_older
    assert "own vote not trusted" in from_older
    from_lagging = list_events(cluster, "leaderless", lagging, "group-0")[-1][1].detail
    assert f"{older}: grants its vote, which isn't trusted" in from_lagging
    assert "own vote trusted" in from_lagging


# It couldn't be told which hosts came back with an empty or an older folder.
def test_start_reports_what_the_folder_holds() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    assert isinstance(cluster.call(submit("c1")), Accepted)
    empty = list_events(cluster, "folder-loaded", "a", "folder")
    assert [event.detail.split(",")[0] for _, event in empty] == ["no deployment"]
    assert list_events(cluster, "folder-loaded", "a", "group-0") == []
    log = cluster.nodes["a"]._store.replicas[0].log
    cluster.events.clear()
    cluster.kill("a")
    cluster.start("a")
    cluster.step()
    ((_, folder),) = list_events(cluster, "folder-loaded", "a", "folder")
    assert folder.detail.startswith("deployment ")
    ((_, group),) = list_events(cluster, "folder-loaded", "a", "group-0")
    assert f"last entry {log.last_index} of term {log.last_term}" in group.detail
    assert "voters: a, b, c" in group.detail
    assert ", trusted;" in group.detail


# A new host that nobody admitted logged its start and nothing else.
def test_new_host_that_is_not_admitted_names_whom_it_asks() -> None:
    schedule = Schedule(1, 3, trust_folder=True)
    cluster = schedule.cluster
    cluster.run_until_leader()
    gone = cluster.members[0]
    new = cluster.members[3]
    cluster.named[new.host] = (gone,)
    cluster.nodes.pop(gone.host)
    cluster.disks[new.host] = MemoryDisk()
    cluster.start(new.host)
    started_at = cluster.now
    cluster.run(60.0)
    reports = list_events(cluster, "not-admitted", new.host, "join")
    assert 4.9 <= reports[0][0] - started_at <= 5.2
    assert len(reports) == 3
    assert f"asks {gone.host} at {gone.address}: silent" in reports[0][1].detail
