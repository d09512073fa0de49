"""Timeouts of curio, without the error by which a late one can end a task."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import curio

T = TypeVar("T")

#: A coroutine function.
Call = Callable[..., Awaitable[T]]


async def timeout_after(timeout_s: float, call: Call[T], *arguments: Any) -> T:  # noqa: ANN401
    """Await a call for a limited time.

    If the process was busy as both this time and that of a call inside expired, curio
    reports the one inside, which is over by then, as an error of the program.

    :param timeout_s: the time, in seconds.
    :param call: the call.
    :param arguments: its arguments.
    :returns: what it returns.
    :raises curio.TaskTimeout: if the time is over.
    """
    try:
        result: T = await curio.timeout_after(timeout_s, call, *arguments)
    except curio.UncaughtTimeoutError:
        raise curio.TaskTimeout(timeout_s) from None
    return result


async def ignore_after(timeout_s: float, call: Call[T], *arguments: Any) -> T | None:  # noqa: ANN401
    """Await a call for a limited time; return None if the time is over.

    :param timeout_s: the time, in seconds.
    :param call: the call.
    :param arguments: its arguments.
    """
    try:
        return await timeout_after(timeout_s, call, *arguments)
    except curio.TaskTimeout:
        return None
