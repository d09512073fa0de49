"""The signal to stop, and when it arrived; a busy process gets to act on it later."""

from __future__ import annotations

import signal

import msgspec

from bramleyspread_daemon._clock import read_monotonic


class StopSignal(msgspec.Struct, frozen=True):
    """A signal to stop."""

    #: Its name.
    name: str
    #: When it arrived, in monotonic seconds.
    arrived_at: float


_received: list[StopSignal] = []


def record_stop_signals() -> None:
    """Record each SIGTERM and SIGINT from now on."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _record)


def _record(which: int, _: object) -> None:
    _received.append(StopSignal(signal.Signals(which).name, read_monotonic()))


def find_stop_signal() -> StopSignal | None:
    """Return the first signal to stop that was recorded."""
    return _received[0] if _received else None
