"""The settings file of a running process, which may change at any time."""

from __future__ import annotations

from pathlib import Path

from loguru import logger

from bramleyspread_core import InvalidFileError
from bramleyspread_daemon.forward._settings import (
    ForwardEntrySettings,
    load_forward_settings,
)


class SettingsSource:
    """Reads the file again, and notices when it changed without a signal."""

    __slots__ = ("_path", "_stamp")

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp = self._look()

    def has_changed(self) -> bool:
        """Whether the file is another one than at the last look."""
        stamp = self._look()
        changed = stamp != self._stamp
        self._stamp = stamp
        return changed

    def read(self) -> ForwardEntrySettings | None:
        """Read the file.

        :returns: the settings; None when they are wrong, and then the process goes
            on with those that it has.
        """
        try:
            settings = load_forward_settings(self._path, ForwardEntrySettings)
        except InvalidFileError as error:
            logger.bind(step="reload", peer="-").error(f"kept as they are: {error}")
            return None
        logger.bind(step="reload", peer="-").info("settings read again")
        return settings

    def _look(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
