"""Replicated log, service documents and request claims of the control hosts."""

from bramleyspread_control._config import (
    MAX_CLOCK_DRIFT,
    ControlConfig,
    ControlMember,
    ControlTimings,
)
from bramleyspread_control._disk import (
    CorruptFileError,
    Disk,
    DiskError,
    FileDisk,
    FolderInUseError,
)
from bramleyspread_control._host import ControlHost, find_claim_group
from bramleyspread_control._memory_disk import MemoryDisk, SimulatedKillError
from bramleyspread_control._recovering_host import HostOpener, RecoveringControlHost
from bramleyspread_control._store import SettingsError

__all__ = [
    "ControlConfig",
    "ControlHost",
    "ControlMember",
    "ControlTimings",
    "CorruptFileError",
    "Disk",
    "DiskError",
    "FileDisk",
    "FolderInUseError",
    "HostOpener",
    "MAX_CLOCK_DRIFT",
    "MemoryDisk",
    "RecoveringControlHost",
    "SettingsError",
    "SimulatedKillError",
    "find_claim_group",
]
