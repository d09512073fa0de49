"""Planned stops of a control process, and what ends it without one."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any, cast

import curio
import pytest

from bramleyspread_core import Command, CommandResult, ControlOutput, Undecided
from bramleyspread_daemon import _control
from bramleyspread_daemon._control import ControlProcess
from bramleyspread_daemon._process import Process
from bramleyspread_daemon._settings import ControlSettings, Limits, Listen
from bramleyspread_daemon.tests.loopback import run
from bramleyspread_daemon.tests.small_deployment import FakeControlNode
from bramleyspread_orders import Reconciler, ReconcilerConfig

#: Time that a stop may take at most, in seconds; the test's own timeout is shorter.
DRAIN_S = 120.0
COMMAND = cast("Command", None)


class UndecidedNode(FakeControlNode):
    """A control node that never decides a command."""

    def __init__(self) -> None:
        super().__init__()
        self.flushes_after_transfer = 0

    def propose(self, ticket: int, command: Command, now: float) -> None:
        """Keep the command pending."""

    def flush(self, now: float) -> ControlOutput:
        self.flushes_after_transfer += self.handed_over
        return super().flush(now)


class BrokenNode(FakeControlNode):
    """A control node whose disk fails."""

    def flush(self, now: float) -> ControlOutput:
        raise OSError("no space left")


def make_process(folder: Path, node: FakeControlNode) -> ControlProcess:
    settings = ControlSettings(
        host="control-1",
        zone="z",
        listen=Listen(ip="127.0.0.1", port=0),
        timeline=str(folder / "control.jsonl"),
        limits=Limits(grace_s=0.0, drain_s=DRAIN_S),
        data=str(folder / "data"),
        control_hosts=(),
    )
    reconciler = Reconciler.from_config(ReconcilerConfig(), Random(1))
    return ControlProcess(Process(settings), settings, cast("Any", node), reconciler)


# Guards against planned stops that took the whole drain_s: the stop ended the loop that
# answers commands and sends the hand-over of leadership.
def test_planned_stop_answers_pending_commands_and_hands_leadership_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def stop_soon() -> str:
        await curio.sleep(0.05)
        return "SIGTERM"

    async def main() -> None:
        node = UndecidedNode()
        control = make_process(tmp_path, node)
        results: list[CommandResult] = []
        await control.propose(COMMAND, results.append)
        assert await control.run() == 0
        assert [type(each) for each in results] == [Undecided]
        assert node.flushes_after_transfer > 0

    monkeypatch.setattr(_control, "wait_for_stop", stop_soon)
    monkeypatch.setattr(_control, "COMMAND_TIMEOUT_S", 0.3)
    run(main)


# Guards against a process that goes on without its loop: the end of the loop was not
# noticed, since the group that waited for it does not count daemonic tasks.
def test_process_ends_when_its_disk_fails(tmp_path: Path) -> None:
    async def main() -> None:
        control = make_process(tmp_path, BrokenNode())
        assert await control.run() == 1

    run(main)
