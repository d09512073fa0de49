"""Test that no accepted document is lost when a data folder and then a host are lost.

One of three control hosts loses its data folder. Another one is killed as soon as the
first has received its data again from the others and is a voter.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import curio

from bramleyspread_core import (
    Accepted,
    Address,
    Command,
    CommandResult,
    ControlStatus,
    DocumentText,
    SubmitDocument,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.tests.loopback import run
from bramleyspread_daemon.tests.test_processes import find_port

NAMES = ("control-1", "control-2", "control-3")
#: Timeout for a request to a daemon.
REQUEST_TIMEOUT_S = 5.0
#: Pause before a request is repeated.
RETRY_PAUSE_S = 0.05


class ControlProcesses:
    """Three control processes, each with its own data folder."""

    #: How the daemon is started.
    program: tuple[str, ...] = (str(Path(sys.executable).parent / "bramleyspreadd"),)

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._pool = ConnectionPool(ProcessClock())
        self._addresses = {name: Address("127.0.0.1", find_port()) for name in NAMES}
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str) -> None:
        hosts = ", ".join(
            f"{{host: {each}, zone: z, address: '{address}'}}"
            for each, address in self._addresses.items()
        )
        path = self._folder / f"{name}.yaml"
        path.write_text(
            f"host: {name}\nzone: z\ntimeline: {self._folder}/{name}.jsonl\n"
            f"data: {self._folder}/{name}\ncontrol_hosts: [{hosts}]\n"
            f"listen: {{ip: 127.0.0.1, port: {self._addresses[name].port}}}\n"
            f"log: {{file: {self._folder}/{name}.log}}\n"
        )
        command = [*self.program, "control", "--settings", str(path)]
        self.running[name] = subprocess.Popen(command)

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def kill_and_delete_folder(self, name: str) -> None:
        self.kill(name)
        shutil.rmtree(self._folder / name)

    async def submit(self, version: int) -> None:
        text = f"service: photos\nversion: {version}\nteam: booths\n"
        command: Command = SubmitDocument(f"change-{version}", "ana", text)
        while True:
            for name in self.running:
                path = "/v1/control/commands"
                body = await self._ask(name, path, encode_json(command))
                if body and isinstance(decode_json(body, CommandResult), Accepted):
                    return
            await curio.sleep(RETRY_PAUSE_S)

    async def wait_until_voter(self, name: str) -> None:
        """Wait until a host has the documents and all three hosts are voters."""
        while True:
            body = await self._ask(name, "/v1/control/status")
            status = decode_json(body, ControlStatus) if body else None
            if status is not None and status.roles["0"] in ("leader", "follower"):
                is_complete = status.revision and set(status.voters["0"]) == set(NAMES)
                if is_complete and status.leaders["0"]:
                    return
            await curio.sleep(RETRY_PAUSE_S)

    async def wait_for_version(self, name: str, version: int) -> None:
        while True:
            body = await self._ask(name, "/v1/control/documents-in-force")
            documents: tuple[DocumentText, ...] = ()
            if body:
                documents = decode_json(body, tuple[DocumentText, ...])
            if [each.version for each in documents] == [version]:
                return
            await curio.sleep(RETRY_PAUSE_S)

    async def _ask(self, name: str, path: str, body: bytes = b"") -> bytes:
        method = "POST" if body else "GET"
        address = self._addresses[name]
        try:
            answer = await self._pool.request(
                address, path, body, REQUEST_TIMEOUT_S, method
            )
        except (RequestNotSentError, ConnectionClosedError):
            return b""
        return answer.body if answer.status == 200 else b""


def test_loss_of_host_after_restored_folder_loses_no_document(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        hosts = ControlProcesses(tmp_path)
        try:
            for name in NAMES:
                hosts.start(name)
            await hosts.submit(1)
            hosts.kill_and_delete_folder("control-2")
            await hosts.submit(2)
            hosts.start("control-2")
            await hosts.wait_until_voter("control-2")
            hosts.kill("control-1")
            await hosts.submit(3)
            for name in ("control-2", "control-3"):
                await hosts.wait_for_version(name, 3)
        finally:
            for name in tuple(hosts.running):
                hosts.kill(name)

    run(main)
