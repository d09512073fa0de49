"""Tests that invalid settings are rejected with one line per error."""

from __future__ import annotations

from pathlib import Path

import pytest

from bramleyspread_core import InvalidFileError
from bramleyspread_daemon._settings import (
    ControlSettings,
    EntrySettings,
    load_settings,
)

ENTRY = """
host: entry-1
zone: callao
listen: {ip: 127.0.0.1, port: 7001}
timeline: run/entry-1.jsonl
control_hosts: [{host: control-1, zone: callao, address: "127.0.0.1:7100"}]
entry_hosts: [{host: entry-2, zone: callao, address: "127.0.0.1:7002"}]
"""
CONTROL = """
host: control-1
zone: callao
listen: {ip: 127.0.0.1, port: 7100}
timeline: run/control-1.jsonl
data: run/control-1
control_hosts: [{host: control-1, zone: callao, address: "127.0.0.1:7100"}]
"""


def _write(folder: Path, text: str) -> Path:
    path = folder / "settings.yaml"
    path.write_text(text, "utf-8")
    return path


def test_valid_settings(tmp_path: Path) -> None:
    entry = load_settings(_write(tmp_path, ENTRY), EntrySettings)
    assert str(entry.listen.address) == "127.0.0.1:7001"
    control = load_settings(_write(tmp_path, CONTROL), ControlSettings)
    assert control.data == "run/control-1"


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ("zone: callao\n", "", "missing required field `zone`"),
        ("host: entry-1", "host: Entry_1", "host: Expected `str` matching"),
        ("port: 7001", "port: 70000", "listen.port: "),
        ("port: 7001", "port: '7001'", "listen.port: Expected `int`, got `str`"),
        ("ip: 127.0.0.1", "ip: localhost", "listen.ip: expected an IP address"),
        ("timeline:", "time_line:", "unknown field `time_line`"),
        ('"127.0.0.1:7100"', '"a:7100"', "control_hosts[0].address: expected an IP"),
        ('"127.0.0.1:7100"', '"7100"', "control_hosts[0].address: expected ip:port"),
        ('"127.0.0.1:7100"', '"127.0.0.1:0"', "control_hosts[0].address: port 0"),
        ("zone: callao\n", "zone: callao\nzone: b\n", "stands twice"),
        ("zone: callao\n", "zone: callao\nlog: {level: LOUD}\n", "log.level: "),
        (
            "zone: callao\n",
            "zone: callao\nlimits: {connections: 0}\n",
            "limits.connections: ",
        ),
    ],
)
def test_errors_name_the_setting(
    tmp_path: Path, old: str, new: str, fault: str
) -> None:
    path = _write(tmp_path, ENTRY.replace(old, new, 1))
    with pytest.raises(InvalidFileError) as caught:
        load_settings(path, EntrySettings)
    assert fault in str(caught.value)
    assert str(caught.value).startswith(str(path))


def test_own_host_must_be_among_control_hosts(tmp_path: Path) -> None:
    path = _write(tmp_path, CONTROL.replace("host: control-1\nzone", "host: c\nzone"))
    with pytest.raises(InvalidFileError, match="this host, 'c', is missing"):
        load_settings(path, ControlSettings)
    path = _write(tmp_path, CONTROL.replace("port: 7100", "port: 7101"))
    with pytest.raises(
        InvalidFileError, match="the address of 'control-1' differs from listen"
    ):
        load_settings(path, ControlSettings)


def test_all_errors_are_reported(tmp_path: Path) -> None:
    text = ENTRY.replace("ip: 127.0.0.1", "ip: x").replace("7002", "0")
    with pytest.raises(InvalidFileError) as caught:
        load_settings(_write(tmp_path, text), EntrySettings)
    assert len(caught.value.faults) == 2


def test_unreadable_file(tmp_path: Path) -> None:
    with pytest.raises(InvalidFileError, match="cannot be read"):
        load_settings(tmp_path / "missing.yaml", EntrySettings)
