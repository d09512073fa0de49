"""The data folder of a control process."""

from __future__ import annotations

from pathlib import Path
from random import Random

from bramleyspread_control import ControlConfig, ControlHost, FileDisk


class ControlFolder:
    """Starts the control host on the process's data folder, again after a failure.

    :param config: configuration of the host.
    :param path: path of the folder.
    :param rng: source of randomness.
    """

    __slots__ = ("_config", "_disk", "_path", "_rng")

    def __init__(self, config: ControlConfig, path: str | Path, rng: Random) -> None:
        self._config = config
        self._path = path
        self._rng = rng
        self._disk: FileDisk | None = None

    def open(self, now: float) -> ControlHost:
        """Open the folder, and close it first if it is open.

        :param now: monotonic seconds.
        :returns: the host.
        :raises CorruptFileError: when a file is damaged.
        :raises DiskError: when an operation on the folder fails.
        :raises FolderInUseError: when another process uses the folder.
        :raises SettingsError: when the settings do not fit the folder.
        """
        if self._disk is not None:
            self._disk.close()
            self._disk = None
        self._disk = FileDisk.from_folder(self._path)
        return ControlHost.from_config(self._config, self._disk, self._rng, now)
