"""Replicated log, service documents and request claims of the control hosts."""

from bramleyspread_control._config import (
    CLOCK_DRIFT,
    ControlConfig,
    ControlMember,
    ControlTimings,
)
from bramleyspread_control._disk import CorruptFileError, Disk, DiskError, FileDisk
from bramleyspread_control._host import ControlHost, find_claim_group
from bramleyspread_control._memory_disk import KilledError, MemoryDisk
from bramleyspread_control._store import SettingsError

__all__ = [
    "CLOCK_DRIFT",
    "ControlConfig",
    "ControlHost",
    "ControlMember",
    "ControlTimings",
    "CorruptFileError",
    "Disk",
    "DiskError",
    "FileDisk",
    "KilledError",
    "MemoryDisk",
    "SettingsError",
    "find_claim_group",
]
