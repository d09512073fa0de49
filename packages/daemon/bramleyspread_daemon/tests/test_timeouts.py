"""Timeouts in a process that is too busy to notice them in time."""

from __future__ import annotations

import time
from collections.abc import Callable, Coroutine
from typing import Any

import curio
import pytest

from bramleyspread_daemon._timeouts import ignore_after, timeout_after
from bramleyspread_daemon.tests.loopback import run

#: Time of the call inside, and of the one around it, in seconds.
INNER_S, OUTER_S = 0.05, 0.2


async def call_inside(event: curio.Event) -> None:
    """Make a call in time, and return from it late, with something left to do."""

    async def wait() -> None:
        await event.wait()
        # The process is busy until the time around this call is over, too.
        time.sleep(OUTER_S)  # noqa: ASYNC251

    await timeout_after(INNER_S, wait)
    await curio.sleep(10)


async def set_and_block(event: curio.Event) -> None:
    """End a wait, and keep the process busy until the time inside is over."""
    await event.set()
    time.sleep(INNER_S + 0.02)  # noqa: ASYNC251


def end_both(outer: Callable[..., Coroutine[Any, Any, Any]]) -> object:
    """Let the time inside expire, and that around it, while the process is busy."""

    async def main() -> object:
        event = curio.Event()
        task = await curio.spawn(outer, OUTER_S, call_inside, event)
        await curio.sleep(0)
        await curio.spawn(set_and_block, event, daemon=True)
        return await task.join()

    return run(main)


# Guards against tasks that end with an error, and leave their work counted as running,
# when a busy process is late to notice two timeouts.
def test_late_timeouts_are_timeouts() -> None:
    with pytest.raises(curio.TaskError) as raised:
        end_both(timeout_after)
    assert isinstance(raised.value.__cause__, curio.TaskTimeout)
    assert end_both(ignore_after) is None
