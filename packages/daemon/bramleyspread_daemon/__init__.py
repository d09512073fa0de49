"""The daemon: runs the decision logic on the network, using curio and h11.

Exported names are imported on first access, so that a process loads only the modules
that its role needs.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyspread_daemon._build import build_control, build_entry
    from bramleyspread_daemon._control import ControlProcess
    from bramleyspread_daemon._entry import EntryProcess
    from bramleyspread_daemon._launch import main
    from bramleyspread_daemon._settings import (
        ControlSettings,
        EntrySettings,
        load_settings,
    )

__all__ = [
    "ControlProcess",
    "ControlSettings",
    "EntryProcess",
    "EntrySettings",
    "build_control",
    "build_entry",
    "load_settings",
    "main",
]

_MODULES = {
    "ControlProcess": "_control",
    "ControlSettings": "_settings",
    "EntryProcess": "_entry",
    "EntrySettings": "_settings",
    "build_control": "_build",
    "build_entry": "_build",
    "load_settings": "_settings",
    "main": "_launch",
}


def __getattr__(name: str) -> object:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
