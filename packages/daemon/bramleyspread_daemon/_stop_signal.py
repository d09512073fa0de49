"""The signal to stop, and when it arrived; a busy process gets to act on it later.

Signals are recorded before the other modules are loaded, which takes a while; so this
module imports none of them.
"""

from __future__ import annotations

import signal
import time
from typing import NamedTuple


class StopSignal(NamedTuple):
    """A signal to stop."""

    #: Its name.
    name: str
    #: When it arrived, in monotonic seconds.
    arrived_at: float


class StoppedBeforeServingError(Exception):
    """A signal to stop arrived before the process had all that it needs to serve."""


_received: list[StopSignal] = []


def record_stop_signals() -> None:
    """Record each SIGTERM and SIGINT from now on."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _record)


def _record(which: int, _: object) -> None:
    arrived_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    _received.append(StopSignal(signal.Signals(which).name, arrived_at))


def find_stop_signal() -> StopSignal | None:
    """Return the first signal to stop that was recorded."""
    return _received[0] if _received else None
