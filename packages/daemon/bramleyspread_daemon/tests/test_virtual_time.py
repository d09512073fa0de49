"""Runs in virtual time are the same each time."""

from __future__ import annotations

import curio
import pytest

from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time

#: Enough that an order by chance would hardly ever be the right one.
TASKS = 50


# Guards against verdicts that differ from run to run, with the tasks' places in memory.
def test_tasks_that_wait_for_one_event_wake_in_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    woken: list[int] = []
    event = curio.Event()

    async def wait(number: int) -> None:
        await event.wait()
        woken.append(number)

    async def main() -> None:
        for number in range(TASKS):
            await curio.spawn(wait, number, daemon=True)
        await curio.sleep(1.0)
        await event.set()
        await curio.sleep(1.0)

    run_in_virtual_time(monkeypatch, main)
    assert woken == list(range(TASKS))
