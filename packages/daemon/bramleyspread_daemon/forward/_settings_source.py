"""Settings file of a running process, which may change at any time."""

from __future__ import annotations

from pathlib import Path

from loguru import logger

from bramleyspread_core import InvalidFileError
from bramleyspread_daemon.forward._settings import (
    ForwardEntrySettings,
    load_forward_settings,
)


class SettingsSource:
    """Rereads the settings file, and detects changes to it without a signal."""

    __slots__ = ("_last_stat", "_path")

    def __init__(self, path: Path) -> None:
        self._path = path
        self._last_stat = self._stat_file()

    def has_changed(self) -> bool:
        """Return whether the file has changed since the last check."""
        current = self._stat_file()
        changed = current != self._last_stat
        self._last_stat = current
        return changed

    def read(self) -> ForwardEntrySettings | None:
        """Read the file.

        :returns: the settings; None if they are invalid, in which case the process
            keeps its current ones.
        """
        try:
            settings = load_forward_settings(self._path, ForwardEntrySettings)
        except InvalidFileError as error:
            logger.bind(step="reload", peer="-").error(
                f"invalid settings file ignored: {error}"
            )
            return None
        logger.bind(step="reload", peer="-").info("settings read again")
        return settings

    def _stat_file(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
