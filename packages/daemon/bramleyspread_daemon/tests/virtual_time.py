"""Runs curio tasks in virtual time: a test of minutes ends in moments."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, TypeVar

import curio
import curio.kernel
import curio.sched
import pytest

from bramleyspread_daemon import _clock

T = TypeVar("T")


class _VirtualSelector(selectors.DefaultSelector):
    """Selector without files, which advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        #: The current time, in seconds.
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "every task waits for another one"
        self.now += max(timeout, 0.0)
        return []


class _OrderedTasks(dict[curio.Task, None]):
    """Tasks that wait for one event, in the order in which they came."""

    def add(self, task: curio.Task) -> None:
        self[task] = None

    def remove(self, task: curio.Task) -> None:
        del self[task]


def _make_tasks(barrier: Any) -> None:
    barrier._tasks = _OrderedTasks()


# curio keeps them in a set, whose order depends on where the tasks lie in memory. Sites
# make their events before they run, so the class is changed for all tests.
curio.sched.SchedBarrier.__init__ = _make_tasks


def run_in_virtual_time(
    monkeypatch: pytest.MonkeyPatch, action: Callable[[], Awaitable[T]]
) -> T:
    """Run an action whose tasks sleep and wait for each other, but use no files.

    :param monkeypatch: replaces the clocks that curio and the daemon read.
    :param action: the action.
    :returns: its result.
    """
    selector = _VirtualSelector()
    monkeypatch.setattr(
        curio.kernel, "time", SimpleNamespace(monotonic=lambda: selector.now)
    )
    monkeypatch.setattr(
        _clock,
        "time",
        SimpleNamespace(
            clock_gettime=lambda _: selector.now,
            CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
            time_ns=lambda: int(selector.now * 1e9),
        ),
    )
    with curio.Kernel(selector=selector) as kernel:
        result: T = kernel.run(action)
    return result
