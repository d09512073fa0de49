"""Builds a forwarding entry process from its settings.

Kept apart from the control process, so that each process loads only the code that its
role needs.
"""

from __future__ import annotations

import os
from pathlib import Path
from random import Random

from bramleyspread_daemon._process import Process
from bramleyspread_daemon.forward._entry import ForwardEntryProcess
from bramleyspread_daemon.forward._settings import ForwardEntrySettings
from bramleyspread_daemon.forward._settings_source import SettingsSource
from bramleyspread_daemon.forward._wire import Wires


def build_forward_entry(
    settings: ForwardEntrySettings, wires: Wires, path: Path
) -> ForwardEntryProcess:
    """Build a forwarding entry process.

    :param settings: its settings.
    :param wires: the wire formats for callers and targets.
    :param path: the file that the settings were read from.
    :returns: the process, not yet listening.
    """
    process = Process(settings)
    rng = Random(int.from_bytes(os.urandom(16)))
    return ForwardEntryProcess(
        process,
        settings,
        wires.callers,
        wires.targets,
        wires.ready_path,
        rng,
        SettingsSource(path),
    )
