"""Tests of daemon processes on loopback that are stopped, killed or suspended."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import curio
import msgspec

from bramleyspread_core import (
    Accepted,
    Address,
    Command,
    CommandResult,
    SubmitDocument,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.tests.loopback import connect, read_all, read_until, run
from bramleyspread_daemon.tests.small_deployment import DOCUMENT, FakeTarget

#: Timeout for a request to a daemon.
REQUEST_TIMEOUT_S = 5.0
STREAM = (
    b"POST /v1/services/photos/check HTTP/1.1\r\nhost: a\r\nx-organisation: inka\r\n"
    b"x-brand: fast\r\naccept: text/event-stream\r\ncontent-length: 2\r\n\r\n{}"
)


def find_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port


class _Daemons:
    """One control and one entry process that can be restarted."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._pool = ConnectionPool(ProcessClock())
        self.control = Address("127.0.0.1", find_port())
        self.entry = Address("127.0.0.1", find_port())
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, role: str) -> None:
        address = self.control if role == "control" else self.entry
        data = f"data: {self._folder}/data\n" if role == "control" else ""
        host = f"{{host: control, zone: z, address: '{self.control}'}}"
        path = self._folder / f"{role}.yaml"
        path.write_text(
            f"host: {role}\nzone: z\ntimeline: {self._folder}/{role}.jsonl\n{data}"
            f"listen: {{ip: {address.ip}, port: {address.port}}}\n"
            f"limits: {{grace_s: 0}}\nlog: {{file: {self._folder}/{role}.log}}\n"
            f"control_hosts: [{host}]\n"
        )
        program = str(Path(sys.executable).parent / "bramleyspreadd")
        command = [program, role, "--settings", str(path)]
        self.processes[role] = subprocess.Popen(command)

    async def request_until_ok(
        self, address: Address, path: str, body: bytes = b""
    ) -> Any:  # noqa: ANN401
        """Repeat a request until its response has status 200, and return the body."""
        method = "POST" if body else "GET"
        while True:
            try:
                answer = await self._pool.request(
                    address, path, body, REQUEST_TIMEOUT_S, method
                )
            except (RequestNotSentError, ConnectionClosedError):
                await curio.sleep(0.05)
                continue
            if answer.status == 200:
                return answer.body
            await curio.sleep(0.05)

    async def submit(self, change: str) -> CommandResult:
        command: Command = SubmitDocument(change, "ana", DOCUMENT)
        while True:
            path = "/v1/control/commands"
            body = await self.request_until_ok(self.control, path, encode_json(command))
            result: CommandResult = decode_json(body, CommandResult)
            if type(result).__name__ not in ("NotLeader", "Undecided"):
                return result
            await curio.sleep(0.05)

    async def list_versions(self) -> list[int]:
        body = await self.request_until_ok(
            self.control, "/v1/control/documents-in-force"
        )
        return [each["version"] for each in msgspec.json.decode(body)]


@contextmanager
def _run_daemons(folder: Path) -> Iterator[_Daemons]:
    daemons = _Daemons(folder)
    try:
        yield daemons
    finally:
        for process in daemons.processes.values():
            process.kill()
            process.wait()


async def _start_all(daemons: _Daemons) -> list[FakeTarget]:
    daemons.start("control")
    daemons.start("entry")
    assert isinstance(await daemons.submit("change-1"), Accepted)
    await daemons.request_until_ok(daemons.entry, "/v1/ready")
    targets = [FakeTarget(name) for name in ("encoders", "engines")]
    for target in targets:
        await target.start()
        await curio.spawn(_announce_periodically, daemons, target, daemon=True)
    return targets


async def _announce_periodically(daemons: _Daemons, target: FakeTarget) -> None:
    while True:
        body = encode_json(target.announce())
        await daemons.request_until_ok(daemons.entry, "/v1/announcements", body)
        await curio.sleep(0.3)


async def _begin_streams(daemons: _Daemons, count: int) -> list[Any]:
    streams = [await connect(daemons.entry) for _ in range(count)]
    for stream in streams:
        await stream.sendall(STREAM)
    for stream in streams:
        await read_until(stream, b'"t0"')
    return streams


def test_sigterm_lets_streams_finish(tmp_path: Path) -> None:
    async def main() -> None:
        with _run_daemons(tmp_path) as daemons:
            targets = await _start_all(daemons)
            targets[1].is_holding = True
            streams = await _begin_streams(daemons, 5)
            entry = daemons.processes["entry"]
            entry.send_signal(signal.SIGTERM)
            while b'"kind":"draining"' not in (tmp_path / "entry.jsonl").read_bytes():
                await curio.sleep(0.02)
            assert entry.poll() is None
            await targets[1].resume.set()
            for stream in streams:
                assert (await read_all(stream)).count(b"event: end\n") == 1
            while entry.poll() is None:
                await curio.sleep(0.02)
            assert entry.returncode == 0

    run(main)


def test_suspended_entry_host_resumes_its_streams(tmp_path: Path) -> None:
    async def main() -> None:
        with _run_daemons(tmp_path) as daemons:
            targets = await _start_all(daemons)
            targets[1].is_holding = True
            streams = await _begin_streams(daemons, 2)
            entry = daemons.processes["entry"]
            entry.send_signal(signal.SIGSTOP)
            await targets[1].resume.set()
            await curio.sleep(1.0)
            entry.send_signal(signal.SIGCONT)
            for stream in streams:
                rest = await read_until(stream, b"\r\n0\r\n\r\n")
                assert rest.count(b"event: end\n") == 1
                assert rest.count(b'"t1"') == rest.count(b'"t2"') == 1

    run(main)


def test_killed_control_host_keeps_accepted_document(tmp_path: Path) -> None:
    async def main() -> None:
        with _run_daemons(tmp_path) as daemons:
            daemons.start("control")
            accepted = await daemons.submit("change-1")
            assert isinstance(accepted, Accepted)
            assert not accepted.resent
            daemons.processes["control"].kill()
            daemons.processes["control"].wait()
            daemons.start("control")
            assert await daemons.list_versions() == [1]
            again = await daemons.submit("change-1")
            assert isinstance(again, Accepted)
            assert again.resent
            control = daemons.processes["control"]
            control.send_signal(signal.SIGTERM)
            while control.poll() is None:
                await curio.sleep(0.02)
            assert control.returncode == 0

    run(main)
