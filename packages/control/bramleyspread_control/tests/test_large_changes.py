"""Many changes of a large document: what they leave on the disk and in memory."""

from __future__ import annotations

import random
import tracemalloc
from pathlib import Path

import pytest

from bramleyspread_control import ControlConfig, ControlHost, ControlTimings, MemoryDisk
from bramleyspread_control._disk import FileDisk
from bramleyspread_control.tests._cluster import Cluster
from bramleyspread_core import (
    CommandReply,
    ConfirmDeployment,
    Deployment,
    DeploymentAccepted,
    DeploymentRead,
    PutDeployment,
)

#: Size of a control host's disk, in bytes.
DISK_BYTES = 128_000_000
#: Memory of a control process, in bytes.
MEMORY_BYTES = 296_000_000
#: Share of it for a folder that is loaded.
LOADING_SHARE = 0.25
#: Size of one change, and how many there are in a day.
CHANGE_BYTES, CHANGES = 400_000, 400
#: Limits of builds whose journals were bounded by the number of their records.
EARLIER = ControlTimings(max_journal_bytes=2**60, retained_log_bytes=2**60)


def make_change(version: int, size: int = CHANGE_BYTES) -> PutDeployment:
    return PutDeployment(
        Deployment(version=version, routes=(), services=()), f"{version}:" + "x" * size
    )


def start_limited_cluster() -> Cluster:
    cluster = Cluster(3)
    for disk in cluster.disks.values():
        disk.capacity_bytes = DISK_BYTES
    cluster.run_until_leader()
    return cluster


def put_all(cluster: Cluster, first: int, last: int) -> None:
    for version in range(first, last + 1):
        result = cluster.call(make_change(version))
        assert result == DeploymentAccepted(version)


def measure_folder(disk: MemoryDisk) -> int:
    return sum(len(disk.read(name)) for name in disk.list_names())


# Guards against a journal that is bounded by its records alone and fills the disk.
def test_many_large_changes_leave_room_on_the_disk() -> None:
    cluster = start_limited_cluster()
    put_all(cluster, 1, CHANGES)
    for disk in cluster.disks.values():
        assert measure_folder(disk) < DISK_BYTES / 4
    for name in tuple(cluster.nodes):
        cluster.kill(name, power_cut=True)
        cluster.start(name)
    cluster.run_until_leader()
    read = cluster.call(ConfirmDeployment())
    assert isinstance(read, DeploymentRead)
    assert read.version == CHANGES


# Guards against replicas that lag behind and make others keep all changes in memory.
def test_many_large_changes_leave_room_in_memory() -> None:
    cluster = start_limited_cluster()
    cluster.kill("c")
    tracemalloc.start()
    try:
        put_all(cluster, 1, CHANGES // 2)
        cluster.run(1.0)
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # The disks of all hosts are in memory here, and hold less than this (see above).
    assert kept < 3 * DISK_BYTES / 4 + 2 * MEMORY_BYTES * LOADING_SHARE
    cluster.start("c")
    cluster.run(3.0)
    assert cluster.nodes["c"].deployment == make_change(CHANGES // 2).deployment


def fill_as_earlier_builds(config: ControlConfig, disk: FileDisk) -> int:
    """Write a journal that takes most of the disk; return the newest version."""
    rng = random.Random(1)
    host = ControlHost.from_config(config, disk, rng, 0.0)
    now, version, written = 0.0, 0, 0
    accepted: list[CommandReply] = []
    while written < DISK_BYTES * 0.9:
        now += 0.01
        host.tick(now)
        if len(accepted) == version and host._store.replicas[0].has_lease(now):
            version += 1
            written += CHANGE_BYTES
            host.propose(version, make_change(version), now)
        replies = host.flush(now).replies
        accepted += [x for x in replies if isinstance(x.result, DeploymentAccepted)]
    return len(accepted)


# Guards against hosts that run out of memory while they load their folder again.
@pytest.mark.parametrize("is_torn", [False, True])
def test_folder_of_an_earlier_build_is_loaded_within_the_memory(
    tmp_path: Path, is_torn: bool
) -> None:
    cluster = Cluster(1, timings=EARLIER)
    earlier = cluster.config("a")
    disk = FileDisk.from_folder(tmp_path)
    version = fill_as_earlier_builds(earlier, disk)
    journal = next(x for x in disk.list_names() if x.startswith("journal"))
    if is_torn:
        disk.append(journal, b"torn" * 1_000)
    disk.close()
    cluster.timings = ControlTimings()
    disk = FileDisk.from_folder(tmp_path)
    share = 2 * LOADING_SHARE if is_torn else LOADING_SHARE
    tracemalloc.start()
    try:
        host = ControlHost.from_config(
            cluster.config("a"), disk, random.Random(2), 100.0
        )
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert host.deployment == make_change(version).deployment
    assert peak < MEMORY_BYTES * share
    host.rewrite_folder()
    sizes = [(tmp_path / name).stat().st_size for name in disk.list_names()]
    assert sum(sizes) < DISK_BYTES / 4
    disk.close()
