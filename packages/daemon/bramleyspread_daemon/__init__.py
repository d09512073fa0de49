"""The daemon: curio and h11 shells around the decisions."""

from bramleyspread_daemon._build import build_control, build_entry
from bramleyspread_daemon._control import ControlProcess
from bramleyspread_daemon._entry import EntryProcess
from bramleyspread_daemon._main import main
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
