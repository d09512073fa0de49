"""Tests of what survives kills, power cuts and damage on one host."""

from __future__ import annotations

import contextlib
import random

import pytest

from bramleyspread_control import (
    ControlConfig,
    ControlHost,
    ControlMember,
    ControlTimings,
    CorruptFileError,
    KilledError,
    MemoryDisk,
    SettingsError,
)
from bramleyspread_control.tests._cluster import claim, settle, submit
from bramleyspread_core import (
    Accepted,
    Address,
    ClaimDone,
    Claimed,
    Command,
    CommandResult,
    HostName,
    Settled,
    ZoneName,
)

ADDRESS = Address("127.0.0.1", 7000)
MEMBER = ControlMember(HostName("a"), ZoneName("za"), ADDRESS)
TIMINGS = ControlTimings(
    checkpoint_min_records=6, retained_log_entries=2, retained_change_ids=50
)
COMMANDS: tuple[Command, ...] = (
    submit("c1"),
    claim("r1"),
    submit("c2", version=2),
    settle("r1", "done"),
    submit("c3", version=3),
    claim("r2", "pay-2"),
)


def start(disk: MemoryDisk, groups: int = 1) -> ControlHost:
    config = ControlConfig(
        MEMBER.host, MEMBER.zone, ADDRESS, (MEMBER,), groups, timings=TIMINGS
    )
    return ControlHost.from_config(config, disk, random.Random(7), 0.0)


def run(host: ControlHost, commands: tuple[Command, ...]) -> list[CommandResult]:
    """Run commands one after another; ends early when the disk kills it."""
    results: list[CommandResult] = []
    now = 0.0
    try:
        while now < 3.0:
            now += 0.1
            host.tick(now)
            host.flush(now)
        for number, command in enumerate(commands):
            now += 0.1
            host.propose(number, command, now)
            results += [reply.result for reply in host.flush(now).replies]
    except KilledError:
        pass
    return results


def assert_kept(disk: MemoryDisk, promised: list[CommandResult]) -> None:
    """All that was answered holds after a restart, and the rest can follow."""
    host = start(disk)
    again = run(host, COMMANDS)
    for number, result in enumerate(promised):
        match result:
            case Accepted():
                expected = Accepted(
                    result.service, result.version, result.revision, resent=True
                )
                assert again[number] == expected
            case Claimed():
                assert isinstance(again[number], Claimed | ClaimDone)
            case _:
                assert again[number] == result
    assert [each.version for each in host.list_documents()] == [3]


def count_steps() -> int:
    disk = MemoryDisk()
    results = run(start(disk), COMMANDS)
    assert [type(each) for each in results] == [
        Accepted,
        Claimed,
        Accepted,
        Settled,
        Accepted,
        Claimed,
    ]
    return disk.steps


def test_kills_at_every_step_lose_nothing_that_was_answered() -> None:
    steps = count_steps()
    for step in range(steps):
        disk = MemoryDisk()
        disk.kill_at_step = step
        promised: list[CommandResult] = []
        with contextlib.suppress(KilledError):
            promised = run(start(disk), COMMANDS)
        assert_kept(disk.copy(), promised)
        for seed in range(4):
            assert_kept(disk.lose_power(random.Random(seed)), promised)


def test_kills_at_every_step_of_a_start_lose_nothing() -> None:
    disk = MemoryDisk()
    promised = run(start(disk), COMMANDS)
    disk.append("journal-00000003", b"torn")
    for step in range(8):
        again = disk.copy()
        again.kill_at_step = again.steps + step
        with contextlib.suppress(KilledError):
            start(again)
        assert_kept(again.lose_power(random.Random(step)), promised)


def find_files(disk: MemoryDisk) -> dict[str, int]:
    return {
        name: len(disk.read(name)) for name in disk.list_names() if name != "witness"
    }


def test_a_journal_torn_anywhere_is_cut_there() -> None:
    disk = MemoryDisk()
    run(start(disk), COMMANDS)
    name, size = next(
        (name, size) for name, size in find_files(disk).items() if "journal" in name
    )
    before = 0
    for cut in range(size + 1):
        torn = disk.copy()
        torn.truncate(name, cut)
        host = start(torn)
        applied = sum(host.report_status(0.0).applied.values())
        assert applied >= before
        before = applied
        replica = host._store.replicas[0]
        assert replica.consensus.log_complete == (cut == size + 1)


def test_damage_anywhere_is_found_and_named() -> None:
    """No flipped byte passes, but for one in the last record: a mark."""
    disk = MemoryDisk()
    whole = start_state(disk)
    for name, size in find_files(disk).items():
        for offset in range(size):
            damaged = disk.copy()
            damaged.corrupt(name, offset)
            try:
                host = start(damaged)
            except CorruptFileError as error:
                assert error.name == name
                assert error.offset <= offset
                assert f"{name}: byte {error.offset}" in str(error)
                continue
            assert "journal" in name
            assert describe(host) == whole, f"{name} byte {offset}: silent loss"


def start_state(disk: MemoryDisk) -> list[object]:
    run(start(disk), COMMANDS)
    return describe(start(disk.copy()))


def describe(host: ControlHost) -> list[object]:
    replicas = host._store.replicas.values()
    return [
        (each.log.last_index, each.consensus.term, each.consensus.vote)
        for each in replicas
    ]


@pytest.mark.parametrize("kind", ["checkpoint", "journal"])
def test_a_missing_file_is_an_error(kind: str) -> None:
    disk = MemoryDisk()
    run(start(disk), COMMANDS)
    name = next(name for name in disk.list_names() if kind in name)
    disk.remove(name)
    with pytest.raises(CorruptFileError, match="missing"):
        start(disk)


def test_groups_stay_as_they_were_founded() -> None:
    disk = MemoryDisk()
    run(start(disk), COMMANDS)
    with pytest.raises(SettingsError, match="set it back"):
        start(disk, groups=2)


def test_a_restart_reads_state_and_not_history() -> None:
    """After a thousand changes no more is read than after a hundred."""
    sizes = []
    for changes in (100, 1_000):
        disk = MemoryDisk()
        host = start(disk)
        commands = tuple(
            submit(f"c{number}", f"s{number % 5}", 1 + number // 5)
            for number in range(changes)
        )
        assert all(isinstance(each, Accepted) for each in run(host, commands))
        sizes.append(sum(find_files(disk).values()))
        again = start(disk.copy())
        assert len(again.list_documents()) == 5
        assert again.report_status(0.0).revision == changes
    assert sizes[1] < 2 * sizes[0]


def test_one_sync_serves_many_claims() -> None:
    disk = MemoryDisk()
    host = start(disk)
    run(host, ())
    before = disk.syncs
    for number in range(100):
        host.propose(number, claim(f"r{number}", f"k{number}"), 5.0)
    replies = host.flush(5.0).replies
    assert [each.result for each in replies] == [Claimed()] * 100
    assert disk.syncs == before + 1
