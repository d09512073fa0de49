"""The data folder of a control process."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random

from loguru import logger

from bramleyspread_control import (
    ControlConfig,
    ControlHost,
    DiskError,
    FileDisk,
    FolderInUseError,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._stop_signal import (
    StoppedBeforeServingError,
    find_stop_signal,
)

#: Time for which a start waits until another process has left the folder, in seconds.
IN_USE_TIMEOUT_S = 30.0
#: Interval between two attempts, in seconds.
RETRY_INTERVAL_S = 0.1


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

    def wait_until_free(self) -> None:
        """Wait while another process uses the folder, such as one that still ends.

        Call it before the process serves: it blocks.

        :raises FolderInUseError: when another process uses the folder for too long.
        :raises StoppedBeforeServingError: when a signal to stop arrives meanwhile.
        """
        began_at = read_monotonic()
        is_reported = False
        while True:
            try:
                FileDisk.from_folder(self._path).close()
            except DiskError:
                return
            except FolderInUseError as error:
                if read_monotonic() >= began_at + IN_USE_TIMEOUT_S:
                    raise
                if not is_reported:
                    is_reported = True
                    text = f"{error}; tries again for {IN_USE_TIMEOUT_S:.0f} s"
                    logger.bind(step="start", peer="-").warning(text)
            else:
                return
            if find_stop_signal() is not None:
                raise StoppedBeforeServingError(f"{self._path} is still in use")
            time.sleep(RETRY_INTERVAL_S)

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
