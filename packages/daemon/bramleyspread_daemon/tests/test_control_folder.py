"""The data folder of a control process, opened again after a failure."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from bramleyspread_control import (
    ControlConfig,
    ControlMember,
    DiskError,
    FolderInUseError,
)
from bramleyspread_core import Address, HostName, ZoneName
from bramleyspread_daemon._control_folder import ControlFolder

MEMBER = ControlMember(HostName("a"), ZoneName("z"), Address("127.0.0.1", 7000))
CONFIG = ControlConfig(MEMBER.host, MEMBER.zone, MEMBER.address, (MEMBER,))


def make_folder(path: Path) -> ControlFolder:
    return ControlFolder(CONFIG, path, Random(1))


def test_folder_can_be_opened_again_by_the_same_process(tmp_path: Path) -> None:
    folder = make_folder(tmp_path / "data")
    first = folder.open(0.0)
    second = folder.open(1.0)
    second.rewrite_folder()
    assert second.report_status(1.0).host == first.report_status(1.0).host


def test_folder_of_another_process_is_an_error_and_no_failing_disk(
    tmp_path: Path,
) -> None:
    owner = make_folder(tmp_path)
    owner.open(0.0)
    with pytest.raises(FolderInUseError, match="another process"):
        make_folder(tmp_path).open(0.0)


def test_folder_that_cannot_be_made_is_a_failing_disk(tmp_path: Path) -> None:
    blocker = tmp_path / "file"
    blocker.write_text("")
    with pytest.raises(DiskError):
        make_folder(blocker / "data").open(0.0)
