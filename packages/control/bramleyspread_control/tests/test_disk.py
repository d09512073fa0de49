"""Tests of data folders in the file system."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from bramleyspread_control import DiskError, FileDisk, FolderInUseError


def test_file_operations(tmp_path: Path) -> None:
    disk = FileDisk.from_folder(tmp_path / "data")
    disk.append("x", b"one")
    disk.append("x", b"two")
    disk.sync("x")
    disk.rename("x", "y")
    disk.append("y", b"!")
    disk.truncate("y", 4)
    disk.overwrite("z", b"long")
    disk.overwrite("z", b"it")
    disk.sync_folder()
    assert (disk.read("y"), disk.read("z")) == (b"onet", b"it")
    disk.remove("z")
    assert disk.list_names() == ["y"]
    disk.close()


def test_folder_is_locked_for_one_process(tmp_path: Path) -> None:
    disk = FileDisk.from_folder(tmp_path)
    with pytest.raises(FolderInUseError, match="another process"):
        FileDisk.from_folder(tmp_path)
    disk.close()
    FileDisk.from_folder(tmp_path).close()


@pytest.mark.parametrize("operation", ["read", "sync", "remove", "rename"])
def test_errors_name_operation_and_file(tmp_path: Path, operation: str) -> None:
    disk = FileDisk.from_folder(tmp_path)
    arguments = ("x", "y") if operation == "rename" else ("x",)
    with pytest.raises(DiskError, match=f"{operation} x"):
        getattr(disk, operation)(*arguments)


@pytest.mark.parametrize("modification", ["copied", "overwritten", "moved", "written"])
def test_fingerprint_changes_when_the_folder_is_modified(
    tmp_path: Path, modification: str
) -> None:
    folder, other = tmp_path / "data", tmp_path / "other"
    disk = FileDisk.from_folder(folder)
    disk.append("x", b"one")
    fingerprint = disk.fingerprint(("x",))
    assert fingerprint == disk.fingerprint(("x",))
    disk.close()
    match modification:
        case "copied":
            shutil.copytree(folder, other)
            shutil.rmtree(folder)
            shutil.copytree(other, folder)
        case "overwritten":
            shutil.copytree(folder, other)
            shutil.copytree(other, folder, dirs_exist_ok=True)
        case "moved":
            folder.rename(other)
            other.rename(folder)
        case "written":
            (folder / "x").write_bytes(b"one")
    reopened = FileDisk.from_folder(folder)
    assert reopened.fingerprint(("x",)) != fingerprint
    reopened.close()
