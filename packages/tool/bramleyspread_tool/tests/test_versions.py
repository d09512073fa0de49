"""Outcomes by targets' software version."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from bramleyspread_tool._main import main
from bramleyspread_tool._versions import UNCONFIRMED, UNNAMED, VersionRow


def write_log(path: Path, *lines: dict[str, Any]) -> None:
    fields = ({"at": at, "host": "entry-1", **each} for at, each in enumerate(lines))
    path.write_text("\n".join(msgspec.json.encode(x).decode() for x in fields))


def place(request: str, peer: str, software: str | None) -> dict[str, Any]:
    line = {"step": "place", "service": "llm", "request": request, "text": "placed"}
    return {**line, "peer": peer, "software": software}


def end(request: str, text: str, first_ms: int = 0) -> dict[str, Any]:
    line = {"step": "end", "request": request, "text": text, "ms": 90.0}
    return {**line, "first_ms": first_ms}


def resume(request: str, software: str | None) -> dict[str, Any]:
    return {"step": "resume", "request": request, "software": software}


def run(path: Path, capsys: pytest.CaptureFixture[str]) -> dict[str, VersionRow]:
    assert main(["versions", "--json", str(path)]) == 0
    rows = msgspec.json.decode(capsys.readouterr().out, type=list[VersionRow])
    return {each.software: each for each in rows}


def test_versions_of_a_rollout_stand_side_by_side(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "entry.log"
    write_log(
        path,
        place("1", "i-1", "v1"),
        end("1", "delivered", 40),
        place("2", "i-2", "v2"),
        {"step": "lost", "request": "2", "peer": "i-2", "text": "closed"},
        {"step": "retry", "request": "2", "peer": "i-2"},
        place("2", "i-3", "v2"),
        end("2", "delivered", 60),
        place("3", "i-3", "v2"),
        end("3", "target failed with 500"),
        resume("4", "v1"),
        end("4", "refused with 503: no target has the software version that began it"),
        resume("5", "v2"),
        place("5", "i-3", "v2"),
        end("5", "delivered", 20),
        place("6", "i-4", None),
        end("6", "delivered"),
        place("7", "i-5", ""),
        end("7", "cut off"),
        {"step": "place", "service": "llm", "request": "8", "peer": "-"},
        {"step": "end", "request": "9", "text": "left"},
    )
    rows = run(path, capsys)
    assert set(rows) == {"v1", "v2", UNCONFIRMED, UNNAMED}
    assert (rows["v1"].targets, rows["v1"].placed, rows["v1"].delivered) == (1, 1, 1)
    assert (rows["v1"].taken_up, rows["v1"].without_target) == (1, 1)
    newer = rows["v2"]
    assert (newer.targets, newer.placed, newer.delivered) == (2, 4, 2)
    assert (newer.lost, newer.failed) == (1, 1)
    assert (newer.taken_up, newer.without_target, newer.first_ms) == (1, 0, 40.0)
    assert rows[UNCONFIRMED].first_ms == 90.0
    assert rows[UNNAMED].delivered == 0


def test_table_names_each_version(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "entry.log"
    write_log(path, place("1", "i-1", "v1"), end("1", "delivered", 40))
    assert main(["versions", str(path)]) == 0
    header, row = capsys.readouterr().out.splitlines()
    assert header.split()[:3] == ["service", "version", "targets"]
    assert row.split() == ["llm", "v1", "1", "1", "1", "0", "0", "0", "0", "40"]


def test_log_that_cannot_be_read_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["versions", str(tmp_path / "missing.log")]) != 0
    assert "missing.log" in capsys.readouterr().err
