"""Tests of ``causes`` with logs of several hosts, restarts and damaged lines."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from bramleyspread_tool import ExitCode, main
from bramleyspread_tool._causes import NO_END, Cause, CauseReport, count_causes
from bramleyspread_tool._log_files import iterate_lines
from bramleyspread_tool.tests.test_explain import make_line, write_log


def count(*paths: Path) -> CauseReport:
    return count_causes(iterate_lines(paths))


def make_request(request: str, end: str, at: float = 1.0) -> list[dict[str, object]]:
    return [
        make_line(at, "admit", "taken", request=request),
        make_line(at + 0.5, "end", end, request=request),
    ]


def test_each_request_is_counted_under_one_cause(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "a",
        "a",
        *make_request("r1", "delivered"),
        *make_request("r2", "refused with 503: stages would take 812 ms"),
        *make_request("r3", "refused with 503: stages would take 95.5 ms"),
        make_line(2.0, "admit", "refused with 401: no such key", request="r4"),
    )
    report = count(log)
    assert (report.requests, report.served) == (4, 1)
    assert report.causes == (
        Cause("refused with 503: stages would take N ms", 2, "r2"),
        Cause("at arrival: refused with 401: no such key", 1, "r4"),
    )


def test_failed_stage_names_its_service(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "a",
        "a",
        make_line(1.0, "admit", "taken", request="r"),
        make_line(2.0, "stage", "not made: full", request="r", service="ledger"),
        make_line(2.0, "end", "refused with 503: stage: full", request="r"),
    )
    (cause,) = count(log).causes
    assert cause.text == "refused with 503: stage: full of ledger"


def test_requests_of_a_restarted_host_are_counted_with_the_host(tmp_path: Path) -> None:
    first = write_log(
        tmp_path / "a",
        "a",
        make_line(1.0, "admit", "taken", request="r1"),
        make_line(3.0, "start", "entry host"),
        *make_request("r2", "delivered"),
    )
    second = write_log(
        tmp_path / "b", "b", make_line(1.0, "admit", "taken", request="r3")
    )
    report = count(first, second)
    assert [each.text for each in report.causes] == ["a restarted during it", NO_END]
    assert report.causes[1].example == "r3"


def test_damaged_lines_are_counted_and_passed_over(tmp_path: Path) -> None:
    log = write_log(tmp_path / "a", "a", *make_request("r1", "delivered"))
    with log.open("a") as file:
        file.write('{"at": 1, "host"')
    report = count(log)
    assert (report.served, report.unreadable_line_count) == (1, 1)


def test_command_prints_a_table_or_json(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = str(write_log(tmp_path / "a", "a", *make_request("r1", "cut off")))
    assert main(["causes", log]) == ExitCode.DONE
    assert "100.00 %  cut off  (r1)" in capsys.readouterr().out
    assert main(["causes", "--json", log]) == ExitCode.DONE
    assert json.loads(capsys.readouterr().out)["causes"][0]["example"] == "r1"


def test_missing_file_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["causes", str(tmp_path / "none")]) == ExitCode.INVALID
    assert "none" in capsys.readouterr().err
