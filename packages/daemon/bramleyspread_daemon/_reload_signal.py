"""Records SIGHUP from the start of a process on.

Until a process handles the signal, it ends the process, and loading the modules and the
settings takes a while.
"""

from __future__ import annotations

import signal

_received: list[int] = []


def record_reload_signals() -> None:
    """Record each SIGHUP from now on."""
    signal.signal(signal.SIGHUP, lambda which, _: _received.append(which))


def take_reload_signals() -> bool:
    """Return whether a SIGHUP was recorded since the last call."""
    is_received = bool(_received)
    _received.clear()
    return is_received
