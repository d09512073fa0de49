"""A data folder in memory that simulates power cuts, kills and corruption."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bramleyspread_control._disk import DiskError


class SimulatedKillError(Exception):
    """The simulated process was killed at the operation that a test chose."""


class _File:
    """A file: its current content, and the durable part of it."""

    __slots__ = ("changed_at_step", "content", "synced")

    def __init__(self, changed: int = 0) -> None:
        #: Value of ``MemoryDisk.steps`` at the file's last append, truncation or
        #: restoration.
        self.changed_at_step = changed
        #: The content that a read returns.
        self.content = bytearray()
        #: The content that is certain to survive a power cut.
        self.synced = b""


class MemoryDisk:
    """A :class:`Disk` for tests, with power cuts, kills and corruption.

    >>> disk = MemoryDisk()
    >>> disk.append("a", b"one")
    >>> disk.sync("a"); disk.sync_folder()
    >>> disk.append("a", b"two")
    >>> disk.lose_power(random.Random(3)).read("a")[:3]
    b'one'
    """

    def __init__(self) -> None:
        self._files: dict[str, _File] = {}
        self._synced_files: dict[str, _File] = {}
        self._boot_id = 0
        #: Number of operations so far that wrote, synced, renamed or removed files.
        self.steps = 0
        #: Number of syncs of files so far.
        self.syncs = 0
        #: Number of bytes appended so far.
        self.appended_bytes = 0
        #: Number of operations after which the next one fails with
        #: ``SimulatedKillError``; None for never.
        self.kill_at_step: int | None = None
        #: Number of bytes that can still be written; None for no limit.
        self.free_bytes: int | None = None
        #: Size of all files together that the disk holds; None for no limit.
        self.capacity_bytes: int | None = None
        #: Kinds of operations that fail, such as ``append`` and ``rename``: those for
        #: which a full disk has no space.
        self.failing: frozenset[str] = frozenset()
        #: Duration that is reported of each sync, in seconds.
        self.sync_s = 0.001

    def lose_power(self, rng: random.Random) -> MemoryDisk:
        """Return the folder as it may be found after a power cut.

        :param rng: decides which of the unsynced changes survive.
        :returns: a new folder.
        """
        folder = MemoryDisk()
        folder._boot_id = rng.getrandbits(64)
        folder.free_bytes, folder.sync_s = self.free_bytes, self.sync_s
        folder.capacity_bytes, folder.failing = self.capacity_bytes, self.failing
        files = self._files if rng.random() < 0.5 else self._synced_files
        for name, file in files.items():
            kept = _File()
            kept.content = bytearray(_tear_unsynced(file, rng))
            kept.synced = bytes(kept.content)
            folder._files[name] = kept
        folder._synced_files = dict(folder._files)
        return folder

    def copy(self) -> MemoryDisk:
        """Copy the folder as it is after the process was killed, without any loss."""
        folder = MemoryDisk()
        folder._boot_id, folder.steps = self._boot_id, self.steps
        folder.free_bytes, folder.sync_s = self.free_bytes, self.sync_s
        folder.capacity_bytes, folder.failing = self.capacity_bytes, self.failing
        for name, file in self._files.items():
            kept = _File(file.changed_at_step)
            kept.content = bytearray(file.content)
            kept.synced = bytes(kept.content)
            folder._files[name] = kept
        folder._synced_files = dict(folder._files)
        return folder

    def restore(self, copy: MemoryDisk) -> MemoryDisk:
        """Return the folder as it is after a copy was restored in its place.

        :param copy: the copy.
        :returns: a new folder.
        """
        folder = copy.copy()
        folder.steps = self.steps + 1
        for file in folder._files.values():
            file.changed_at_step = folder.steps
        return folder

    def corrupt(self, name: str, offset: int, mask: int = 0xFF) -> None:
        """Flip bits in one byte of a file, and make the changed content durable.

        :param name: name of the file.
        :param offset: offset of the byte.
        :param mask: the bits to flip.
        """
        file = self._files[name]
        file.content[offset] ^= mask
        file.synced = bytes(file.content)

    @property
    def last_sync_s(self) -> float:
        """Duration of the last sync of a file, in seconds."""
        return self.sync_s if self.syncs else 0.0

    def list_names(self) -> list[str]:
        """List the names of all files, sorted."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Read a complete file."""
        return bytes(self._find("read", name).content)

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Read a part of a file; less than ``size`` bytes only at its end."""
        return bytes(self._find("read", name).content[offset : offset + size])

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is missing."""
        self._begin("append", name)
        written = self._allocate(data)
        file = self._files.setdefault(name, _File())
        file.content += written
        file.changed_at_step = self.steps
        self.appended_bytes += len(written)
        self._check_written("append", name, data, written)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        self._begin("sync", name)
        file = self._find("sync", name)
        file.synced = bytes(file.content)
        self.syncs += 1

    def sync_folder(self) -> None:
        """Make created, renamed and removed file names durable."""
        self._begin("sync", ".")
        self._synced_files = dict(self._files)

    def rename(self, old: str, new: str) -> None:
        """Rename a file and replace any file of the new name."""
        self._begin("rename", old)
        self._files[new] = self._find("rename", old)
        del self._files[old]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        self._begin("truncate", name)
        file = self._find("truncate", name)
        del file.content[size:]
        file.changed_at_step = self.steps

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._begin("remove", name)
        self._find("remove", name)
        del self._files[name]

    def overwrite(self, name: str, data: bytes) -> None:
        """Overwrite a small file; the change is neither durable nor atomic."""
        self._begin("write", name)
        written = self._allocate(data)
        self._check_written("write", name, data, written)
        self._files.setdefault(name, _File()).content = bytearray(data)

    def fingerprint(self, names: Sequence[str]) -> str:
        """Compute a fingerprint of the folder and some files from their metadata."""
        changed = [self._find("stat", name).changed_at_step for name in names]
        return f"{self._boot_id} {changed}"

    def _allocate(self, data: bytes) -> bytes:
        """Return the part of the data for which there is space, and take the space."""
        if self.capacity_bytes is not None:
            used = sum(len(each.content) for each in self._files.values())
            return data[: max(self.capacity_bytes - used, 0)]
        if self.free_bytes is None:
            return data
        written = data[: self.free_bytes]
        self.free_bytes -= len(written)
        return written

    def _check_written(
        self, operation: str, name: str, data: bytes, written: bytes
    ) -> None:
        if len(written) < len(data):
            raise DiskError(operation, name, "no space left")

    def _find(self, operation: str, name: str) -> _File:
        file = self._files.get(name)
        if file is None:
            raise DiskError(operation, name, "no such file")
        return file

    def _begin(self, operation: str, name: str) -> None:
        """Count an operation, which fails if the test chose it."""
        if self.kill_at_step is not None and self.steps >= self.kill_at_step:
            raise SimulatedKillError(f"simulated kill at step {self.steps}")
        if operation in self.failing:
            raise DiskError(operation, name, "no space left")
        self.steps += 1


def _tear_unsynced(file: _File, rng: random.Random) -> bytes:
    """Return a file's synced content and a random part of what follows it."""
    content = bytes(file.content)
    if not content.startswith(file.synced):
        return file.synced if rng.random() < 0.5 else content
    tail = content[len(file.synced) :]
    kept = tail[: rng.randint(0, len(tail))]
    if kept and rng.random() < 0.3:
        hole = rng.randrange(len(kept))
        kept = kept[:hole] + bytes(len(kept) - hole)
    return file.synced + kept
