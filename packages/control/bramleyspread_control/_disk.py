"""The data folder: the few verbs that everything durable is built from."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Sequence
from pathlib import Path
from typing import IO, Protocol

#: Held while a process uses a data folder, so that no second one does.
LOCK_FILE = "lock"
#: Where the operating system shows an identity that is new at every boot.
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class DiskError(Exception):
    """The data folder failed; what was not synced must be taken as lost.

    The process must stop: after a failed sync nobody can say what the file
    holds, and trying again may report a success that is none.
    """

    def __init__(self, step: str, name: str, detail: str) -> None:
        super().__init__(f"{step} {name}: {detail}")
        #: The verb that failed, such as ``sync``.
        self.step = step
        #: The file concerned.
        self.name = name
        #: What the operating system says.
        self.detail = detail


class CorruptFileError(Exception):
    """A file that holds something other than what was synced to it."""

    def __init__(self, name: str, offset: int, detail: str) -> None:
        super().__init__(
            f"{name}: byte {offset}: {detail}; "
            "set the data folder aside and start with an empty one, "
            "the other replicas will refill it"
        )
        #: The file's name in the data folder.
        self.name = name
        #: Where the damage begins, in bytes from the start.
        self.offset = offset
        #: What is wrong there.
        self.detail = detail


class Disk(Protocol):
    """One data folder without subfolders; names are plain file names.

    Content is durable only after ``sync``, and a name that was created,
    renamed or removed only after ``sync_folder``. All raise :class:`DiskError`.
    """

    def list_names(self) -> list[str]:
        """List the files, sorted."""

    def read(self, name: str) -> bytes:
        """Read a whole file."""

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file, which is made when it is missing."""

    def sync(self, name: str) -> None:
        """Make a file's content durable."""

    def sync_folder(self) -> None:
        """Make the names durable."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what had it."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to its first bytes."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def overwrite(self, name: str, data: bytes) -> None:
        """Replace the content of a small file, neither durably nor at once."""

    def fingerprint(self, names: Sequence[str]) -> str:
        """Describe the folder and some files as the operating system sees them.

        The stamp differs after anything was written to them, also by a restore
        of an older copy, after the folder was moved, and after a restart of the
        machine, since then nobody can say what its storage did meanwhile.
        """


class FileDisk:
    """A data folder of the operating system, locked by this process."""

    __slots__ = ("_boot", "_files", "_folder", "_lock")

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._files: dict[str, IO[bytes]] = {}
        self._lock: IO[bytes] | None = None
        self._boot = BOOT_ID_FILE.read_text().strip() if BOOT_ID_FILE.exists() else ""

    @classmethod
    def from_folder(cls, path: str | Path) -> FileDisk:
        """Open a data folder, making it when it is missing.

        :param path: the folder.
        :returns: the folder, locked until :meth:`close`.
        :raises DiskError: when it cannot be made, or is in use.
        """
        disk = cls(Path(path))
        try:
            disk._folder.mkdir(parents=True, exist_ok=True)
            disk._lock = (disk._folder / LOCK_FILE).open("ab")
            fcntl.flock(disk._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            detail = "another process uses this data folder; stop it first"
            raise DiskError("lock", LOCK_FILE, detail) from None
        except OSError as error:
            raise DiskError("open", str(path), str(error)) from None
        return disk

    def close(self) -> None:
        """Close every file and give up the lock."""
        for file in self._files.values():
            file.close()
        self._files.clear()
        if self._lock is not None:
            self._lock.close()
            self._lock = None

    def list_names(self) -> list[str]:
        """List the files, sorted."""
        try:
            names = [each.name for each in self._folder.iterdir() if each.is_file()]
        except OSError as error:
            raise DiskError("list", ".", str(error)) from None
        return sorted(name for name in names if name != LOCK_FILE)

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        try:
            return (self._folder / name).read_bytes()
        except OSError as error:
            raise DiskError("read", name, str(error)) from None

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file, which is made when it is missing."""
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
        """Make a file's content durable."""
        try:
            file = self._files.get(name)
            if file is not None:
                os.fsync(file.fileno())
                return
            with (self._folder / name).open("rb") as other:
                os.fsync(other.fileno())
        except OSError as error:
            raise DiskError("sync", name, str(error)) from None

    def sync_folder(self) -> None:
        """Make the names durable."""
        try:
            number = os.open(self._folder, os.O_RDONLY)
            try:
                os.fsync(number)
            finally:
                os.close(number)
        except OSError as error:
            raise DiskError("sync", ".", str(error)) from None

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what had it."""
        self._close_file(old)
        self._close_file(new)
        try:
            (self._folder / old).replace(self._folder / new)
        except OSError as error:
            raise DiskError("rename", old, str(error)) from None

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to its first bytes."""
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
        """Replace the content of a small file, neither durably nor at once."""
        try:
            file = self._files.get(name)
            if file is None:
                path = self._folder / name
                number = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
                file = os.fdopen(number, "r+b", buffering=0)
                self._files[name] = file
            os.pwrite(file.fileno(), data, 0)
            os.ftruncate(file.fileno(), len(data))
        except OSError as error:
            raise DiskError("write", name, str(error)) from None

    def fingerprint(self, names: Sequence[str]) -> str:
        """Describe the folder and some files as the operating system sees them."""
        try:
            parts = [self._boot]
            for name in (".", *names):
                found = (self._folder / name).stat()
                parts.append(f"{found.st_dev}:{found.st_ino}:{found.st_ctime_ns}")
        except OSError as error:
            raise DiskError("stat", ".", str(error)) from None
        return " ".join(parts) if self._boot else ""

    def _close_file(self, name: str) -> None:
        file = self._files.pop(name, None)
        if file is not None:
            file.close()
