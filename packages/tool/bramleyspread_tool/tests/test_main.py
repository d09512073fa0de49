"""Tests of the commands that need no host, from arguments to exit code."""

from pathlib import Path

import pytest

from bramleyspread_core import Stamp, TimelineEvent, encode_json
from bramleyspread_tool import ExitCode, main

DOCUMENT = "service: photos\nversion: 1\nteam: booths\n"


def test_check_prints_one_line_per_fault(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good, bad = tmp_path / "good.yaml", tmp_path / "bad.yaml"
    good.write_text(DOCUMENT)
    bad.write_text(DOCUMENT + "colour: red\n")
    assert main(["check", str(good)]) == ExitCode.DONE
    assert main(["check", str(good), str(bad)]) == ExitCode.INVALID
    error = capsys.readouterr().err
    assert f"{bad}: " in error
    assert "colour" in error


def test_check_reports_a_service_defined_in_two_files(tmp_path: Path) -> None:
    one, two = tmp_path / "one.yaml", tmp_path / "two.yaml"
    one.write_text(DOCUMENT)
    two.write_text(DOCUMENT)
    assert main(["check", str(one), str(two)]) == ExitCode.INVALID


@pytest.mark.parametrize(
    "argv",
    [
        ["submit", "missing.yaml", "--control", "127.0.0.1:1"],
        ["show"],
        ["show", "--control", "nowhere"],
        ["status", "--settings", "missing.yaml"],
    ],
)
def test_invalid_input_returns_invalid_exit_code(argv: list[str]) -> None:
    assert main(argv) == ExitCode.INVALID


def test_timeline_orders_by_stamp(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    stamps = {"a": [Stamp(5, 0), Stamp(5, 2)], "b": [Stamp(5, 1), Stamp(6, 0)]}
    paths = []
    for name, each in stamps.items():
        path = tmp_path / name
        lines = [encode_json(TimelineEvent(s, name, f"e{s.count}")) for s in each]
        path.write_bytes(b"\n".join(lines) + b'\n{"stamp":')
        paths.append(str(path))
    assert main(["timeline", *paths]) == ExitCode.DONE
    kinds = [line.split("  ")[2] for line in capsys.readouterr().out.splitlines()]
    assert kinds == ["e0", "e1", "e2", "e0"]


def test_timeline_names_an_invalid_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "a"
    path.write_bytes(b"junk\n" + encode_json(TimelineEvent(Stamp(1, 0), "a", "e")))
    assert main(["timeline", str(path)]) == ExitCode.INVALID
    assert "line 1" in capsys.readouterr().err
