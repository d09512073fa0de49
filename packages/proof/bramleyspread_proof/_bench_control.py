"""Benchmark of control hosts: restarts, claims, snapshots and idle hosts."""

from __future__ import annotations

import random
import tempfile
import time
import tracemalloc
from collections.abc import Iterable, Iterator
from pathlib import Path

import crc32c
from msgspec import Raw, Struct

from bramleyspread_control import (
    ControlConfig,
    ControlHost,
    ControlMember,
    ControlTimings,
    Disk,
    FileDisk,
    MemoryDisk,
)
from bramleyspread_core import (
    Address,
    Brand,
    Claim,
    ClaimKey,
    Command,
    CommandResult,
    HostName,
    RequestId,
    ServiceName,
    Settle,
    SubmitDocument,
    ZoneName,
    encode_json,
)
from bramleyspread_proof._figures import Figure

#: Interval between two calls of ``tick``, in seconds.
TICK_S = 0.01
#: Number of services among which the changes before a restart are spread.
SERVICES = 100
#: Number of restarts measured, of which the fastest counts.
RESTARTS = 5
#: Number of claims measured per batch size.
CLAIMS = 2_000
#: Virtual time for which idle hosts are measured, in seconds.
IDLE_S = 20.0

_BENCH = "control"
_HOSTS = tuple(
    ControlMember(HostName(name), ZoneName(name), Address("127.0.0.1", 7000 + number))
    for number, name in enumerate("abc")
)
_DOCUMENT = (
    "service: {service}\nversion: {version}\nteam: booths\n"
    "organisations:\n"
    + "".join(
        f"  - name: org-{number}\n    share: {number}\n    brands:\n"
        f"      - name: fast-{number}\n      - name: slow-{number}\n"
        for number in range(1, 6)
    )
    + "pools:\n  - name: checks\n    kind: plain\n"
    "pipelines:\n  - name: check\n    deadline_ms: 4000\n    stages:\n"
    + "".join(
        f"      - name: stage-{number}\n        pool: checks\n" for number in range(4)
    )
)


class SnapshotCost(Struct, frozen=True):
    """Bytes written and blocking time of one snapshot."""

    #: Number of bytes written.
    bytes_written: int
    #: Time during which the host is blocked, in seconds.
    pause_s: float


def run() -> Iterable[Figure]:
    """Run all measurements, which take about a minute."""
    yield from _measure_restarts()
    yield from _measure_claims()
    yield from _measure_finished_claims()
    yield from _measure_snapshots()
    yield from _measure_idle()


def _measure_restarts() -> Iterator[Figure]:
    seconds = {}
    sizes = {}
    for changes in (1_000, 10_000):
        with tempfile.TemporaryDirectory() as folder:
            disk = FileDisk.from_folder(folder)
            _submit(_start_single_host(disk), changes)
            disk.close()
            durations = [_time_restart(folder, changes) for _ in range(RESTARTS)]
            seconds[changes] = min(durations)
            sizes[changes] = sum(each.stat().st_size for each in Path(folder).iterdir())
        name = f"after {changes} changes"
        yield Figure.at_most(_BENCH, f"restart {name}", seconds[changes], "s", 2.0)
        yield Figure(_BENCH, f"data folder {name}", sizes[changes], "bytes")
    ratio = seconds[10_000] / seconds[1_000]
    yield Figure(_BENCH, "restart at 10 times the history", ratio, "times")
    ratio = sizes[10_000] / sizes[1_000]
    yield Figure(_BENCH, "data folder at 10 times the history", ratio, "times")


def _time_restart(folder: str, changes: int) -> float:
    began = time.perf_counter()
    disk = FileDisk.from_folder(folder)
    host = _start_single_host(disk)
    seconds = time.perf_counter() - began
    assert host.report_status(0.0).revision == changes
    disk.close()
    return seconds


def _measure_claims() -> Iterator[Figure]:
    for batch in (1, 10, 100):
        with tempfile.TemporaryDirectory() as folder:
            disk = FileDisk.from_folder(folder)
            host = _start_single_host(disk)
            began = time.perf_counter()
            for first in range(0, CLAIMS, batch):
                results = _propose(
                    host, [_make_claim(first + each) for each in range(batch)]
                )
                assert len(results) == batch
            seconds = time.perf_counter() - began
            disk.close()
        counted = MemoryDisk()
        host = _start_single_host(counted)
        before = counted.syncs
        _propose(host, [_make_claim(number) for number in range(batch)])
        syncs = (counted.syncs - before) / batch
        name = f"claims in batches of {batch}"
        yield Figure(_BENCH, f"{name}: claims", CLAIMS / seconds, "1/s")
        yield Figure(_BENCH, f"{name}: syncs a claim", syncs, "syncs")


def _measure_finished_claims() -> Iterator[Figure]:
    """Measure the memory and snapshot costs of finished claims by their number."""
    for kept in (3_000, 30_000):
        with tempfile.TemporaryDirectory() as folder:
            disk = FileDisk.from_folder(folder)
            host = _start_single_host(disk)
            tracemalloc.start()
            for first in range(0, kept, 1_000):
                numbers = range(first, first + 1_000)
                _propose(host, [_make_claim(number) for number in numbers])
                _propose(host, [_make_settle(number) for number in numbers])
            memory_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            cost = _measure_checkpoint(host)
            disk.close()
        name = f"{kept} finished claims"
        yield Figure(_BENCH, f"{name}: memory", memory_bytes, "bytes")
        yield Figure(_BENCH, f"{name}: snapshot written", cost.bytes_written, "bytes")
        yield Figure(_BENCH, f"{name}: snapshot pause", cost.pause_s * 1_000, "ms")


def _measure_snapshots() -> Iterator[Figure]:
    """Compare a full snapshot with one that refers to a primary file.

    The figures call them plain and referring. For a referring snapshot, the changed
    documents are appended to the primary file, which is synced, and its length and
    checksum are written to a small file.
    """
    for documents in (100, 1_000):
        changed = documents // 10
        with tempfile.TemporaryDirectory() as folder:
            disk = FileDisk.from_folder(folder)
            plain = _take_full_snapshot(disk, documents)
            referring = _take_referring_snapshot(disk, documents, changed)
            disk.close()
        for name, cost in (("plain", plain), ("referring", referring)):
            label = f"{name} snapshot of {documents} documents, {changed} changed"
            yield Figure(_BENCH, f"{label}: written", cost.bytes_written, "bytes")
            yield Figure(_BENCH, f"{label}: pause", cost.pause_s * 1_000, "ms")


def _take_full_snapshot(disk: Disk, documents: int) -> SnapshotCost:
    host = _start_single_host(disk)
    _submit(host, documents, services=documents)
    return _measure_checkpoint(host)


def _measure_checkpoint(host: ControlHost) -> SnapshotCost:
    store = host._store
    store.checkpoint_due = True
    began = time.perf_counter()
    store.write()
    pause = time.perf_counter() - began
    return SnapshotCost(store.journal.checkpoint_bytes, pause)


def _take_referring_snapshot(disk: Disk, documents: int, changed: int) -> SnapshotCost:
    texts = [_make_text(f"s{number}", 1).encode() for number in range(documents)]
    disk.append("primary", b"".join(texts))
    disk.sync("primary")
    update = b"".join(texts[:changed])
    began = time.perf_counter()
    disk.append("primary", update)
    disk.sync("primary")
    content = disk.read("primary")
    record = encode_json([len(content), crc32c.crc32c(content)])
    disk.append("checksum.new", record)
    disk.sync("checksum.new")
    disk.rename("checksum.new", "checksum")
    disk.sync_folder()
    pause = time.perf_counter() - began
    return SnapshotCost(len(update) + len(record), pause)


def _measure_idle() -> Iterator[Figure]:
    for groups in (1, 4):
        seconds, sent = _run_idle_hosts(groups)
        name = f"busiest of 3 hosts standing still with {groups} claim groups"
        share = max(seconds.values()) / IDLE_S * 100
        rate = max(sent.values()) / IDLE_S
        yield Figure.at_most(_BENCH, f"{name}: core", share, "%", 2.4)
        yield Figure.at_most(_BENCH, f"{name}: sent", rate, "bytes/s", 10_000)


def _run_idle_hosts(groups: int) -> tuple[dict[str, float], dict[str, int]]:
    """Run three hosts without load.

    :param groups: number of consensus groups among which the claims are split.
    :returns: processor seconds and bytes sent, each by host.
    """
    hosts = {
        member.host: ControlHost.from_config(
            _configure(member, _HOSTS, groups), MemoryDisk(), random.Random(number), 0.0
        )
        for number, member in enumerate(_HOSTS)
    }
    seconds = dict.fromkeys(map(str, hosts), 0.0)
    sent = dict.fromkeys(map(str, hosts), 0)
    warm_up = 10.0
    now = 0.0
    while now < warm_up + IDLE_S:
        now += TICK_S
        for name, host in hosts.items():
            began = time.process_time()
            host.tick(now)
            output = host.flush(now)
            if now >= warm_up:
                seconds[name] += time.process_time() - began
            for send in output.sends:
                if now >= warm_up:
                    sent[name] += len(encode_json(send.message))
                receiver = send.message.receiver
                began = time.process_time()
                hosts[receiver].receive(send.message, now)
                if now >= warm_up:
                    seconds[receiver] += time.process_time() - began
    return seconds, sent


def _configure(
    member: ControlMember, members: tuple[ControlMember, ...], groups: int = 1
) -> ControlConfig:
    return ControlConfig(
        member.host,
        member.zone,
        member.address,
        members,
        groups,
        timings=ControlTimings(),
    )


def _start_single_host(disk: Disk) -> ControlHost:
    config = _configure(_HOSTS[0], _HOSTS[:1])
    host = ControlHost.from_config(config, disk, random.Random(1), 0.0)
    for step in range(30):
        host.tick(step * 0.1)
        host.flush(step * 0.1)
    return host


def _propose(host: ControlHost, commands: list[Command]) -> list[CommandResult]:
    for ticket, command in enumerate(commands):
        host.propose(ticket, command, 3.0)
    return [reply.result for reply in host.flush(3.0).replies]


def _submit(host: ControlHost, changes: int, services: int = SERVICES) -> None:
    for number in range(changes):
        service, version = f"s{number % services}", 1 + number // services
        command = SubmitDocument(f"c{number}", "ana", _make_text(service, version))
        assert len(_propose(host, [command])) == 1


def _make_text(service: str, version: int) -> str:
    return _DOCUMENT.format(service=service, version=version)


def _make_claim(number: int) -> Claim:
    request = RequestId(f"r-{number}")
    return Claim(_make_key(number), request, "digest", HostName("e"), 4_000)


def _make_settle(number: int) -> Settle:
    answer = Raw(b'{"paid":true,"receipt":"0123456789"}')
    return Settle(_make_key(number), RequestId(f"r-{number}"), "done", answer)


def _make_key(number: int) -> ClaimKey:
    return ClaimKey(Brand("org", "fast"), ServiceName("ledger"), f"key-{number}")
