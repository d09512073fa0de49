"""Settings of the forwarding roles: each fault is reported with its setting."""

from __future__ import annotations

from pathlib import Path

import pytest

from bramleyspread_core import InvalidFileError
from bramleyspread_daemon.forward._settings import (
    ForwardControlSettings,
    ForwardEntrySettings,
    load_forward_settings,
)
from bramleyspread_daemon.forward._settings_source import SettingsSource

ENTRY = """\
host: entry-1
zone: z
listen_at: "127.0.0.1:7001"
callers_at: "127.0.0.1:7002"
ready_at: "127.0.0.1:7003"
seeds: ["127.0.0.1:7101"]
revoke_ms: 4000
"""
CONTROL = """\
host: control-1
zone: z
listen_at: "127.0.0.1:7101"
seeds: ["127.0.0.1:7101", "127.0.0.1:7102"]
data: /tmp/somewhere
"""


def test_valid_settings(tmp_path: Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY)
    entry = load_forward_settings(path, ForwardEntrySettings)
    assert entry.callers.port == 7002
    assert entry.key_trust_s == 3.0
    assert entry.zone_overflow == "cost"
    assert entry.overload == "priority"
    path.write_text(CONTROL)
    control = load_forward_settings(path, ForwardControlSettings)
    assert [each.port for each in control.seed_addresses] == [7101, 7102]


def test_bounds_of_warm_ups_are_read(tmp_path: Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY + "warm_up_overage: 1.5\nwarm_up_slack: 5\n")
    settings = load_forward_settings(path, ForwardEntrySettings)
    assert (settings.warm_up_overage, settings.warm_up_slack) == (1.5, 5.0)


def test_keys_stay_trusted_forever_without_fail_closed(tmp_path: Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY + "fail_closed: false\n")
    settings = load_forward_settings(path, ForwardEntrySettings)
    assert settings.key_trust_s == float("inf")


@pytest.mark.parametrize(
    ("old", "new", "setting"),
    [
        ('callers_at: "127.0.0.1:7002"', "callers_at: nowhere", "callers_at"),
        ('ready_at: "127.0.0.1:7003"', 'ready_at: "x:1"', "ready_at"),
        ('seeds: ["127.0.0.1:7101"]', "seeds: []", "seeds"),
        ('seeds: ["127.0.0.1:7101"]', "seeds: [x]", "seeds[0]"),
        ("revoke_ms: 4000", "revoke_ms: soon", "revoke_ms"),
        ("revoke_ms: 4000", "zone_overflow: maybe", "zone_overflow"),
        ("revoke_ms: 4000", "overload: faire", "overload"),
        ("zone: z\n", "", "zone"),
    ],
)
def test_each_fault_names_its_setting(
    tmp_path: Path, old: str, new: str, setting: str
) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY.replace(old, new))
    with pytest.raises(InvalidFileError) as error:
        load_forward_settings(path, ForwardEntrySettings)
    assert setting in str(error.value)


def test_zones_that_may_be_drained(tmp_path: Path) -> None:
    path = tmp_path / "control.yaml"
    path.write_text(CONTROL)
    assert load_forward_settings(path, ForwardControlSettings).zones == ()
    path.write_text(CONTROL + 'zones: ["north", "B\u00ecnh 1"]\n')
    settings = load_forward_settings(path, ForwardControlSettings)
    assert settings.zones == ("north", "B\u00ecnh 1")
    path.write_text(CONTROL + 'zones: ["north", ""]\n')
    with pytest.raises(InvalidFileError) as raised:
        load_forward_settings(path, ForwardControlSettings)
    assert raised.value.faults == ("zones[1]: zone: the name is empty",)


def test_changed_file_is_detected_and_invalid_one_is_rejected(
    tmp_path: Path,
) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY)
    source = SettingsSource(path)
    assert not source.has_changed()
    path.write_text(ENTRY.replace("7101", "7102") + "# more\n")
    assert source.has_changed()
    assert not source.has_changed()
    settings = source.read()
    assert settings is not None
    assert settings.seeds == ("127.0.0.1:7102",)
    path.write_text("host: 3\n")
    assert source.read() is None
