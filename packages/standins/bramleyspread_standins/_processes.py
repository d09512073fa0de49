"""Starts and stops the processes of a demo; none of them outlives the demo."""

from __future__ import annotations

import ctypes
import signal
import subprocess
import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType

#: The prctl option that signals a process when its parent ends (Linux).
PR_SET_PDEATHSIG = 1
#: Time limit for processes to stop after SIGTERM, in seconds.
STOP_TIMEOUT_S = 8.0
#: Pause between two polls of stopping processes, in seconds.
STOP_POLL_INTERVAL_S = 0.02

_libc = ctypes.CDLL(None)


def _set_parent_death_signal() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcesses:
    """Named child processes, all killed at the end of the ``with`` block."""

    __slots__ = ("_folder", "_killed", "_running")

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._killed: set[str] = set()

    def __enter__(self) -> ChildProcesses:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self._running.values():
            if process.poll() is None:
                process.kill()
        for process in self._running.values():
            process.wait()

    def start(self, name: str, command: Sequence[str]) -> None:
        """Start a process whose output goes to ``NAME.log``.

        :param name: its name.
        :param command: the program and its arguments.
        """
        with (self._folder / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_set_parent_death_signal,
            )

    @staticmethod
    def run(command: Sequence[str]) -> tuple[int, str]:
        """Run a command that is not one of the named processes, and wait for its end.

        :param command: the program and its arguments.
        :returns: its exit code and its output, including error output.
        """
        completed = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            check=False,
            preexec_fn=_set_parent_death_signal,
        )
        return completed.returncode, completed.stdout.decode().strip()

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process.

        :param name: the process.
        """
        self._killed.add(name)
        self._running[name].kill()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process.

        :param name: the process.
        """
        self._running[name].terminate()

    def list_crashed(self) -> list[str]:
        """List the processes that exited with an error without having been killed.

        :returns: a description of each, with its exit code.
        """
        exit_codes = {name: process.poll() for name, process in self._running.items()}
        return [
            f"{name} (exit code {code})"
            for name, code in exit_codes.items()
            if code not in (None, 0) and name not in self._killed
        ]

    def stop(self) -> list[str]:
        """Send SIGTERM to all processes and wait for them.

        :returns: a description of each process that did not exit with 0 in time.
        """
        for process in self._running.values():
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while time.monotonic() < deadline and self._list_alive():
            time.sleep(STOP_POLL_INTERVAL_S)
        still_running = [f"{name} (did not stop)" for name in self._list_alive()]
        return still_running + self.list_crashed()

    def _list_alive(self) -> list[str]:
        return [name for name, each in self._running.items() if each.poll() is None]
