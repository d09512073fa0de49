"""The data folder: the file operations that all durable state is built on."""

from __future__ import annotations

import fcntl
import os
import time
from collections.abc import Sequence
from pathlib import Path
from typing import IO, Protocol

#: Locked while a process uses the data folder, so that no second process can use it.
LOCK_FILE = "lock"
#: File in which the operating system provides an id that changes at every boot.
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class DiskError(Exception):
    """An operation on the data folder failed; whatever was not synced counts as lost.

    The folder must be loaded again: after a failed sync the content of the file is
    undefined, and a second sync may report success although the data was lost.
    """

    def __init__(self, operation: str, name: str, detail: str) -> None:
        super().__init__(f"{operation} {name}: {detail}")
        #: The operation that failed, such as ``sync``.
        self.operation = operation
        #: The file that the operation was applied to.
        self.name = name
        #: Error message of the operating system.
        self.detail = detail


class FolderInUseError(Exception):
    """Another process uses the data folder."""


class CorruptFileError(Exception):
    """The content of a file differs from what was synced to it."""

    def __init__(self, name: str, offset: int, detail: str) -> None:
        super().__init__(
            f"{name}: byte {offset}: {detail}; "
            "move the data folder away and restart with an empty one, "
            "which the other replicas will fill with the current state"
        )
        #: Name of the file in the data folder.
        self.name = name
        #: Offset in bytes at which the damage begins.
        self.offset = offset
        #: Description of the damage.
        self.detail = detail


class Disk(Protocol):
    """A data folder without subfolders; files are addressed by their plain names.

    Content is durable only after ``sync``, and the creation, renaming or removal of a
    file only after ``sync_folder``. All operations raise :class:`DiskError`.
    """

    @property
    def last_sync_s(self) -> float:
        """Duration of the last sync of a file, in seconds."""

    def list_names(self) -> list[str]:
        """List the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Read a complete file."""

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Read a part of a file; less than ``size`` bytes only at its end."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is missing."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def sync_folder(self) -> None:
        """Make created, renamed and removed file names durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file of the new name."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def overwrite(self, name: str, data: bytes) -> None:
        """Overwrite a small file; the change is neither durable nor atomic."""

    def fingerprint(self, names: Sequence[str]) -> str:
        """Compute a fingerprint of the folder and some files from their metadata.

        The fingerprint changes after any write to them, after an older copy was
        restored, after the folder was moved, and after a reboot of the machine, since
        the state of its storage after a reboot cannot be known. It is empty where the
        operating system provides no boot id.
        """


class FileDisk:
    """A data folder in the file system, locked by this process."""

    __slots__ = ("_boot_id", "_files", "_folder", "_last_sync_s", "_lock")

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._files: dict[str, IO[bytes]] = {}
        self._lock: IO[bytes] | None = None
        self._last_sync_s = 0.0
        self._boot_id = (
            BOOT_ID_FILE.read_text().strip() if BOOT_ID_FILE.exists() else ""
        )

    @classmethod
    def from_folder(cls, path: str | Path) -> FileDisk:
        """Open a data folder, and create it if it is missing.

        :param path: path of the folder.
        :returns: the folder, locked until :meth:`close`.
        :raises DiskError: when the folder cannot be created.
        :raises FolderInUseError: when another process uses the folder.
        """
        disk = cls(Path(path))
        try:
            disk._folder.mkdir(parents=True, exist_ok=True)
            disk._lock = (disk._folder / LOCK_FILE).open("ab")
            fcntl.flock(disk._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FolderInUseError(
                f"{path}: another process uses this data folder; stop it first"
            ) from None
        except OSError as error:
            raise DiskError("open", str(path), str(error)) from None
        return disk

    def close(self) -> None:
        """Close all files and release the lock."""
        for file in self._files.values():
            file.close()
        self._files.clear()
        if self._lock is not None:
            self._lock.close()
            self._lock = None

    @property
    def last_sync_s(self) -> float:
        """Duration of the last sync of a file, in seconds."""
        return self._last_sync_s

    def list_names(self) -> list[str]:
        """List the names of all files, sorted."""
        try:
            names = [each.name for each in self._folder.iterdir() if each.is_file()]
        except OSError as error:
            raise DiskError("list", ".", str(error)) from None
        return sorted(name for name in names if name != LOCK_FILE)

    def read(self, name: str) -> bytes:
        """Read a complete file."""
        try:
            return (self._folder / name).read_bytes()
        except OSError as error:
            raise DiskError("read", name, str(error)) from None

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Read a part of a file; less than ``size`` bytes only at its end."""
        try:
            with (self._folder / name).open("rb") as file:
                file.seek(offset)
                return file.read(size)
        except OSError as error:
            raise DiskError("read", name, str(error)) from None

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is missing."""
        try:
            file = self._files.get(name)
            if file is None:
                file = (self._folder / name).open("ab", buffering=0)
                self._files[name] = file
            view = memoryview(data)
            while view:
                view = view[file.write(view) :]
        except OSError as error:
            raise DiskError("append", name, str(error)) from None

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        started_at = time.monotonic()
        try:
            file = self._files.get(name)
            if file is not None:
                os.fsync(file.fileno())
            else:
                with (self._folder / name).open("rb") as other:
                    os.fsync(other.fileno())
        except OSError as error:
            raise DiskError("sync", name, str(error)) from None
        self._last_sync_s = time.monotonic() - started_at

    def sync_folder(self) -> None:
        """Make created, renamed and removed file names durable."""
        try:
            descriptor = os.open(self._folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except OSError as error:
            raise DiskError("sync", ".", str(error)) from None

    def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file of the new name."""
        self._close_file(old)
        self._close_file(new)
        try:
            (self._folder / old).replace(self._folder / new)
        except OSError as error:
            raise DiskError("rename", old, str(error)) from None

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        self._close_file(name)
        try:
            os.truncate(self._folder / name, size)
        except OSError as error:
            raise DiskError("truncate", name, str(error)) from None

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        try:
            (self._folder / name).unlink()
        except OSError as error:
            raise DiskError("remove", name, str(error)) from None

    def overwrite(self, name: str, data: bytes) -> None:
        """Overwrite a small file; the change is neither durable nor atomic."""
        try:
            file = self._files.get(name)
            if file is None:
                path = self._folder / name
                descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
                file = os.fdopen(descriptor, "r+b", buffering=0)
                self._files[name] = file
            os.pwrite(file.fileno(), data, 0)
            os.ftruncate(file.fileno(), len(data))
        except OSError as error:
            raise DiskError("write", name, str(error)) from None

    def fingerprint(self, names: Sequence[str]) -> str:
        """Compute a fingerprint of the folder and some files from their metadata."""
        try:
            parts = [self._boot_id]
            for name in (".", *names):
                status = (self._folder / name).stat()
                parts.append(f"{status.st_dev}:{status.st_ino}:{status.st_ctime_ns}")
        except OSError as error:
            raise DiskError("stat", ".", str(error)) from None
        return " ".join(parts) if self._boot_id else ""

    def _close_file(self, name: str) -> None:
        file = self._files.pop(name, None)
        if file is not None:
            file.close()
