"""A daemon whose data folder is on a full disk while a marker file is there."""

from __future__ import annotations

import sys
from pathlib import Path

from bramleyspread_control import DiskError, FileDisk
from bramleyspread_daemon import _control_folder
from bramleyspread_daemon._main import main

#: Suffix that the marker file's name adds to the folder's.
MARKER_SUFFIX = ".full"


class FullDisk(FileDisk):
    """A data folder that refuses writes, and writes the half of some."""

    def _check(self, operation: str, name: str) -> None:
        if Path(f"{self._folder}{MARKER_SUFFIX}").exists():
            raise DiskError(operation, name, "no space left")

    def append(self, name: str, data: bytes) -> None:
        """Append a half of the data if there is no space."""
        try:
            self._check("append", name)
        except DiskError:
            super().append(name, data[: len(data) // 2])
            raise
        super().append(name, data)

    def overwrite(self, name: str, data: bytes) -> None:
        """Overwrite a file unless there is no space."""
        self._check("write", name)
        super().overwrite(name, data)

    def rename(self, old: str, new: str) -> None:
        """Rename a file unless there is no space."""
        self._check("rename", old)
        super().rename(old, new)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file unless there is no space."""
        self._check("truncate", name)
        super().truncate(name, size)


if __name__ == "__main__":
    vars(_control_folder)["FileDisk"] = FullDisk
    sys.exit(main())
