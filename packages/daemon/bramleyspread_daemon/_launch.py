"""The start of the program: signals are recorded before anything else is loaded.

Until a process handles a signal, it ends the process, and loading the modules, the
settings and the data folder takes a while.
"""

from __future__ import annotations

from collections.abc import Sequence
from importlib import import_module

from bramleyspread_daemon._reload_signal import record_reload_signals
from bramleyspread_daemon._stop_signal import record_stop_signals


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: the command-line arguments; None for those of the process.
    :returns: the exit code.
    """
    record_reload_signals()
    record_stop_signals()
    code: int = import_module("bramleyspread_daemon._main").main(arguments)
    return code
