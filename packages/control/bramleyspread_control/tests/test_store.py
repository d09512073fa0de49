"""Tests of the durable state of one host after kills, power cuts and damage."""

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
    MemoryDisk,
    SettingsError,
    SimulatedKillError,
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
    """Run commands one after another, until the disk simulates a kill."""
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
    except SimulatedKillError:
        pass
    return results


def assert_answers_survive(disk: MemoryDisk, answered: list[CommandResult]) -> None:
    """Check that answered commands hold after a restart, and run the others."""
    host = start(disk)
    results = run(host, COMMANDS)
    for number, result in enumerate(answered):
        match result:
            case Accepted():
                expected = Accepted(
                    result.service, result.version, result.revision, resent=True
                )
                assert results[number] == expected
            case Claimed():
                assert isinstance(results[number], Claimed | ClaimDone)
            case _:
                assert results[number] == result
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


def test_answered_commands_survive_a_kill_at_every_step() -> None:
    steps = count_steps()
    for step in range(steps):
        disk = MemoryDisk()
        disk.kill_at_step = step
        answered: list[CommandResult] = []
        with contextlib.suppress(SimulatedKillError):
            answered = run(start(disk), COMMANDS)
        assert_answers_survive(disk.copy(), answered)
        for seed in range(4):
            assert_answers_survive(disk.lose_power(random.Random(seed)), answered)


def test_answered_commands_survive_a_kill_at_every_step_of_a_restart() -> None:
    disk = MemoryDisk()
    answered = run(start(disk), COMMANDS)
    disk.append("journal-00000003", b"torn")
    for step in range(8):
        restarted_disk = disk.copy()
        restarted_disk.kill_at_step = restarted_disk.steps + step
        with contextlib.suppress(SimulatedKillError):
            start(restarted_disk)
        assert_answers_survive(restarted_disk.lose_power(random.Random(step)), answered)


def find_files(disk: MemoryDisk) -> dict[str, int]:
    return {
        name: len(disk.read(name)) for name in disk.list_names() if name != "witness"
    }


def test_journal_truncated_at_any_offset_can_be_loaded() -> None:
    disk = MemoryDisk()
    run(start(disk), COMMANDS)
    name, size = next(
        (name, size) for name, size in find_files(disk).items() if "journal" in name
    )
    previously_applied = 0
    for length in range(size + 1):
        truncated = disk.copy()
        truncated.truncate(name, length)
        host = start(truncated)
        applied = sum(host.report_status(0.0).applied.values())
        assert applied >= previously_applied
        previously_applied = applied
        replica = host._store.replicas[0]
        assert replica.consensus.log_complete == (length == size + 1)


def test_damaged_byte_is_reported_with_file_and_offset() -> None:
    """Only damage to the journal's last record, a SyncedRecord, may stay undetected."""
    disk = MemoryDisk()
    expected = load_expected_state(disk)
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
            assert describe_logs(host) == expected, (
                f"{name} byte {offset}: undetected loss"
            )


def load_expected_state(disk: MemoryDisk) -> list[object]:
    run(start(disk), COMMANDS)
    return describe_logs(start(disk.copy()))


def describe_logs(host: ControlHost) -> list[object]:
    replicas = host._store.replicas.values()
    return [
        (each.log.last_index, each.consensus.term, each.consensus.vote)
        for each in replicas
    ]


@pytest.mark.parametrize("kind", ["checkpoint", "journal"])
def test_missing_file_is_reported_as_corruption(kind: str) -> None:
    disk = MemoryDisk()
    run(start(disk), COMMANDS)
    name = next(name for name in disk.list_names() if kind in name)
    disk.remove(name)
    with pytest.raises(CorruptFileError, match="missing"):
        start(disk)


def test_changed_number_of_groups_is_rejected() -> None:
    disk = MemoryDisk()
    run(start(disk), COMMANDS)
    with pytest.raises(SettingsError, match="set it back"):
        start(disk, groups=2)


def test_data_folder_size_does_not_grow_with_history() -> None:
    """A restart must read the state and not the history of changes.

    After 1,000 changes the folder must be less than twice as large as after 100.
    """
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
        restarted_host = start(disk.copy())
        assert len(restarted_host.list_documents()) == 5
        assert restarted_host.report_status(0.0).revision == changes
    assert sizes[1] < 2 * sizes[0]


def test_concurrent_claims_share_one_sync() -> None:
    disk = MemoryDisk()
    host = start(disk)
    run(host, ())
    syncs_before = disk.syncs
    for number in range(100):
        host.propose(number, claim(f"r{number}", f"k{number}"), 5.0)
    replies = host.flush(5.0).replies
    assert [each.result for each in replies] == [Claimed()] * 100
    assert disk.syncs == syncs_before + 1
