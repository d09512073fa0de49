"""Processes that start while their address is in use, or that are signalled early."""

from __future__ import annotations

import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import curio
import pytest

from bramleyspread_control import FileDisk
from bramleyspread_daemon import _main
from bramleyspread_daemon.tests.test_processes import find_port

#: Time in which a process starts or ends, in seconds.
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
#: The program as it is installed, and as a module.
PROGRAMS = (
    (str(Path(sys.executable).parent / "bramleyspreadd"),),
    (sys.executable, "-m", "bramleyspread_daemon"),
)


def write_settings(folder: Path, port: int) -> Path:
    path = folder / "entry.yaml"
    path.write_text(
        f"host: e\nzone: z\nlisten: {{ip: 127.0.0.1, port: {port}}}\n"
        f"timeline: {folder}/e.jsonl\nlog: {{file: {folder}/e.log}}\n"
        "limits: {grace_s: 0.1}\n"
    )
    return path


@contextmanager
def run_entry(
    folder: Path, port: int, program: tuple[str, ...]
) -> Iterator[subprocess.Popen[bytes]]:
    command = [*program, "entry", "--settings", str(write_settings(folder, port))]
    with (folder / "output").open("wb") as output:
        process = subprocess.Popen(command, stdout=output, stderr=output)
        try:
            yield process
        finally:
            process.kill()
            process.wait()


def wait_for_log(folder: Path, text: str) -> str:
    log = folder / "e.log"
    for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
        written = log.read_text() if log.exists() else ""
        if text in written:
            return written
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError((text, written, (folder / "output").read_text()))


# A host ended at once when it was started again while its port was still in use.
@pytest.mark.parametrize("holder", ["listener", "connection"])
def test_start_waits_for_an_address_that_is_in_use(tmp_path: Path, holder: str) -> None:
    port = find_port()
    with socket.socket() as holding, socket.socket() as server:
        holding.bind(("127.0.0.1", port))
        if holder == "listener":
            holding.listen()
        else:
            server.bind(("127.0.0.1", 0))
            server.listen()
            holding.connect(server.getsockname())
        with run_entry(tmp_path, port, PROGRAMS[0]) as process:
            wait_for_log(tmp_path, "tries again")
            time.sleep(0.3)
            holding.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            holding.close()
            log = wait_for_log(tmp_path, f"entry host at 127.0.0.1:{port}")
            assert log.count("tries again") == 1
            process.send_signal(signal.SIGTERM)
            assert process.wait(TIMEOUT_S) == 0


# A host that waits for its address must not outlast its stop, nor end it as a failure.
def test_stop_ends_the_wait_for_an_address(tmp_path: Path) -> None:
    port = find_port()
    with socket.socket() as holding:
        holding.bind(("127.0.0.1", port))
        holding.listen()
        with run_entry(tmp_path, port, PROGRAMS[0]) as process:
            wait_for_log(tmp_path, "tries again")
            process.send_signal(signal.SIGTERM)
            assert process.wait(TIMEOUT_S) == 0
    assert "stopped before it served" in (tmp_path / "e.log").read_text()


# A control host ended at once when it was started again while the process before it was
# still ending and used its folder.
@pytest.mark.parametrize("is_stopped", [False, True])
def test_control_host_waits_for_a_folder_that_is_in_use(
    tmp_path: Path, is_stopped: bool
) -> None:
    port = find_port()
    owner = FileDisk.from_folder(tmp_path / "data")
    path = tmp_path / "control.yaml"
    path.write_text(
        f"host: c\nzone: z\nlisten: {{ip: 127.0.0.1, port: {port}}}\n"
        f"timeline: {tmp_path}/c.jsonl\nlog: {{file: {tmp_path}/e.log}}\n"
        f"data: {tmp_path}/data\nlimits: {{grace_s: 0.1}}\n"
        f"control_hosts: [{{host: c, zone: z, address: '127.0.0.1:{port}'}}]\n"
    )
    command = [*PROGRAMS[0], "control", "--settings", str(path)]
    with (tmp_path / "output").open("wb") as output:
        process = subprocess.Popen(command, stdout=output, stderr=output)
    try:
        wait_for_log(tmp_path, "tries again")
        if not is_stopped:
            owner.close()
            wait_for_log(tmp_path, f"control host at 127.0.0.1:{port}")
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
        owner.close()


def has_handler(process: subprocess.Popen[bytes], number: signal.Signals) -> bool:
    """Whether a process handles a signal."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    caught = re.search(r"^SigCgt:\s*([0-9a-f]+)$", status, re.MULTILINE)
    assert caught is not None
    return bool(int(caught[1], 16) >> (number - 1) & 1)


# A stop in the first moments of a process ended it by the signal (-15).
@pytest.mark.parametrize("program", PROGRAMS)
def test_stop_while_modules_are_loaded_is_a_planned_stop(
    tmp_path: Path, program: tuple[str, ...]
) -> None:
    with run_entry(tmp_path, find_port(), program) as process:
        deadline = time.monotonic() + TIMEOUT_S
        while not has_handler(process, signal.SIGTERM):
            assert time.monotonic() < deadline
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0


# Signals in the first moments of a process ended it: loading the modules takes long.
def test_signals_are_recorded_before_other_modules_are_loaded() -> None:
    code = (
        "import sys; known = set(sys.modules); import bramleyspread_daemon._launch;"
        "print(*(set(sys.modules) - known))"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    packages = {each.partition(".")[0] for each in output.split()}
    assert packages - set(sys.stdlib_module_names) == {"bramleyspread_daemon"}


class _Spawning:
    """A process with tasks that begin others while the process's tasks are ended."""

    async def run(self) -> int:
        async def sleep() -> None:
            await curio.sleep(60)

        async def begin_others() -> None:
            while True:
                await curio.sleep(0.001)
                await curio.spawn(sleep, daemon=True)

        async def end_slowly() -> None:
            try:
                await curio.sleep(60)
            finally:
                await curio.sleep(0.05)

        await curio.spawn(begin_others, daemon=True)
        await curio.spawn(end_slowly, daemon=True)
        await curio.sleep(0)
        return 0


# A planned stop ended with an error: "New tasks created during shutdown".
def test_tasks_begun_while_others_are_ended_are_no_failure() -> None:
    listen = SimpleNamespace(address="127.0.0.1:1")
    settings = cast("Any", SimpleNamespace(listen=listen))
    assert _main._run(lambda: cast("Any", _Spawning()), settings) == 0
