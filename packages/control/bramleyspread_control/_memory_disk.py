"""A data folder in memory that loses what a real one may lose."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bramleyspread_control._disk import DiskError


class KilledError(Exception):
    """The process was killed at the step that a test asked for."""


class _File:
    """One file: its content now, and how much of it is durable."""

    __slots__ = ("changed", "content", "synced")

    def __init__(self, changed: int = 0) -> None:
        #: When it was last changed.
        self.changed = changed
        #: What a read sees.
        self.content = bytearray()
        #: What surely survives a power cut.
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
        self._names: dict[str, _File] = {}
        self._synced_names: dict[str, _File] = {}
        self._boot = 0
        #: Steps taken that change the folder.
        self.steps = 0
        #: Syncs of file contents taken.
        self.syncs = 0
        #: Bytes appended.
        self.written = 0
        #: The step at which the process is killed; None for never.
        self.kill_at_step: int | None = None

    def lose_power(self, rng: random.Random) -> MemoryDisk:
        """Make the folder that is found after a power cut.

        :param rng: decides what survives of what was not synced.
        :returns: a new folder.
        """
        after = MemoryDisk()
        after._boot = rng.getrandbits(64)
        names = self._names if rng.random() < 0.5 else self._synced_names
        for name, file in names.items():
            kept = _File()
            kept.content = bytearray(_tear_unsynced(file, rng))
            kept.synced = bytes(kept.content)
            after._names[name] = kept
        after._synced_names = dict(after._names)
        return after

    def copy(self) -> MemoryDisk:
        """Copy the folder as a killed process leaves it: nothing is lost."""
        after = MemoryDisk()
        after._boot, after.steps = self._boot, self.steps
        for name, file in self._names.items():
            kept = _File(file.changed)
            kept.content = bytearray(file.content)
            kept.synced = bytes(kept.content)
            after._names[name] = kept
        after._synced_names = dict(after._names)
        return after

    def restore(self, copy: MemoryDisk) -> MemoryDisk:
        """Make the folder that is found after a copy was put back in its place.

        :param copy: the copy.
        :returns: a new folder.
        """
        after = copy.copy()
        after.steps = self.steps + 1
        for file in after._names.values():
            file.changed = after.steps
        return after

    def corrupt(self, name: str, offset: int, mask: int = 0xFF) -> None:
        """Flip bits of one durable byte.

        :param name: the file.
        :param offset: the byte.
        :param mask: the bits to flip.
        """
        file = self._names[name]
        file.content[offset] ^= mask
        file.synced = bytes(file.content)

    def list_names(self) -> list[str]:
        """List the files, sorted."""
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return bytes(self._find("read", name).content)

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file, which is made when it is missing."""
        self._count_step()
        file = self._names.setdefault(name, _File())
        file.content += data
        file.changed = self.steps
        self.written += len(data)

    def sync(self, name: str) -> None:
        """Make a file's content durable."""
        self._count_step()
        file = self._find("sync", name)
        file.synced = bytes(file.content)
        self.syncs += 1

    def sync_folder(self) -> None:
        """Make the names durable."""
        self._count_step()
        self._synced_names = dict(self._names)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what had it."""
        self._count_step()
        self._names[new] = self._find("rename", old)
        del self._names[old]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to its first bytes."""
        self._count_step()
        file = self._find("truncate", name)
        del file.content[size:]
        file.changed = self.steps

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._count_step()
        self._find("remove", name)
        del self._names[name]

    def overwrite(self, name: str, data: bytes) -> None:
        """Replace the content of a small file, neither durably nor at once."""
        self._count_step()
        self._names.setdefault(name, _File()).content = bytearray(data)

    def fingerprint(self, names: Sequence[str]) -> str:
        """Describe the folder and some files as the operating system sees them."""
        changed = [self._find("stat", name).changed for name in names]
        return f"{self._boot} {changed}"

    def _find(self, step: str, name: str) -> _File:
        file = self._names.get(name)
        if file is None:
            raise DiskError(step, name, "no such file")
        return file

    def _count_step(self) -> None:
        if self.kill_at_step is not None and self.steps >= self.kill_at_step:
            raise KilledError(f"killed at step {self.steps}")
        self.steps += 1


def _tear_unsynced(file: _File, rng: random.Random) -> bytes:
    """Keep what was synced and, of the rest, any part that may be there."""
    content = bytes(file.content)
    if not content.startswith(file.synced):
        return file.synced if rng.random() < 0.5 else content
    tail = content[len(file.synced) :]
    kept = tail[: rng.randint(0, len(tail))]
    if kept and rng.random() < 0.3:
        hole = rng.randrange(len(kept))
        kept = kept[:hole] + bytes(len(kept) - hole)
    return file.synced + kept
