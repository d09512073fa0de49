"""Tests of ``explain`` with skewed clocks and with truncated or incomplete logs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from bramleyspread_tool import ExitCode, main
from bramleyspread_tool._explain import Explanation, UnknownRequest, explain
from bramleyspread_tool._log_files import read_logs

NO_TARGET = "no target has the software version that began the stream"


def write_log(path: Path, host: str, *lines: dict[str, object]) -> Path:
    """Write the log file of one host."""
    path.write_text("".join(json.dumps({"host": host, **x}) + "\n" for x in lines))
    return path


def make_line(at: float, step: str, text: str, **fields: object) -> dict[str, object]:
    return {"at": at, "step": step, "text": text, "peer": "-", **fields}


def explain_request(request: str, *paths: Path) -> Explanation:
    explanation = explain(request, read_logs(paths))
    assert isinstance(explanation, Explanation)
    return explanation


def make_overload_line(at: float) -> dict[str, object]:
    return make_line(
        at,
        "job",
        "given up: late",
        request="r",
        service="photos",
        pieces=6,
        waited_ms=1_500,
        waiting=163,
        running=1,
        targets=2,
    )


def test_overloaded_stage_is_explained_across_skewed_clocks(tmp_path: Path) -> None:
    entry_log = write_log(
        tmp_path / "a",
        "a",
        make_line(10.0, "admit", "taken", request="r", version=3),
        make_line(
            12.0, "stage", "not made: late", request="r", service="photos", peer="b"
        ),
        make_line(12.0, "end", "refused with 503: stage: late", request="r", ms=2_000),
    )
    batching_log = write_log(tmp_path / "b", "b", make_overload_line(112.0))
    explanation = explain_request("r", entry_log, batching_log)
    assert (
        explanation.outcome == "refused with 503: stage: late (2000 ms after it came)"
    )
    assert explanation.cause.startswith(
        "6 pieces for photos waited 1500 ms at b, where 163"
    )
    assert [each.step for each in explanation.moments] == [
        "admit",
        "job",
        "stage",
        "end",
    ]
    assert explanation.shifts == {"b": -100.0}


def test_refusal_for_a_later_stage_names_its_service(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "a",
        "a",
        make_line(10.0, "admit", "taken", request="r", version=3),
        make_line(
            10.0,
            "stage",
            "refused at arrival: stage full",
            request="r",
            service="mail",
            share=0.4,
            wait_ms=300,
        ),
        make_line(10.0, "end", "refused with 503: stage full: mail", request="r"),
    )
    cause = explain_request("r", log).cause
    assert "mail had capacity for 0.4 of such requests" in cause
    assert "waited 300 ms" in cause


def test_lines_of_a_host_keep_their_order_when_its_clock_jumps(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "a",
        "a",
        make_line(10.0, "admit", "taken", request="r"),
        make_line(5.0, "place", "placed", request="r"),
        make_line(5.1, "end", "delivered", request="r", ms=100),
    )
    assert [x.step for x in explain_request("r", log).moments] == [
        "admit",
        "place",
        "end",
    ]


@pytest.mark.parametrize(
    ("later", "cause"),
    [
        ([make_line(13.0, "start", "entry host")], "started again 3.0 s after"),
        ([], "wrote nothing after that"),
        ([make_line(13.0, "end", "delivered", request="x")], "lines were left out"),
    ],
)
def test_request_without_an_end_line(
    tmp_path: Path, later: list[dict[str, object]], cause: str
) -> None:
    taken = make_line(10.0, "admit", "taken", request="r")
    explanation = explain_request("r", write_log(tmp_path / "a", "a", taken, *later))
    assert explanation.outcome == "no end was logged"
    assert cause in explanation.cause


def test_omitted_and_truncated_lines_are_reported(tmp_path: Path) -> None:
    path = write_log(
        tmp_path / "a",
        "a",
        make_line(10.0, "end", "delivered", request="r", ms=5),
        make_line(10.5, "end", "delivered", request="x", left_out=7),
    )
    with path.open("a") as file:
        file.write('{"at": 11.0, "host": "a", "te')
    explanation = explain_request("r", path)
    assert explanation.doubts == (
        "a left 7 line(s) out around then",
        "1 line(s) can't be read",
    )


def test_refusal_before_a_document_update_names_both_versions(tmp_path: Path) -> None:
    path = write_log(
        tmp_path / "a",
        "a",
        make_line(
            10.0,
            "admit",
            "refused with 401: no such key",
            request="r",
            version=3,
            keys_age_ms=120,
        ),
        make_line(10.4, "document", "in force", version=4),
    )
    explanation = explain_request("r", path)
    assert (
        "by version 3 of the document; version 4 came 0.4 s later" in explanation.cause
    )


def test_lost_answer_names_the_target(tmp_path: Path) -> None:
    text = "refused with 502: outcome unknown: reset"
    path = write_log(
        tmp_path / "a",
        "a",
        make_line(10.0, "end", text, request="r", peer="t7", attempts=1, ms=40),
    )
    assert explain_request("r", path).cause.startswith(
        "t7 had the request and its answer was lost"
    )


def test_prefixed_lines_and_timeline_events_are_parsed(tmp_path: Path) -> None:
    path = tmp_path / "all"
    event = {"stamp": {"wall_ms": 9_900, "count": 0}, "host": "a", "kind": "started"}
    line = make_line(10.0, "end", "delivered", request="r", host="a")
    path.write_text(f"  0.1 a {json.dumps(event)}\n  0.2 a {json.dumps(line)}\nnoise\n")
    logs = read_logs([path])
    assert [x.step for x in logs.by_host["a"]] == ["started", "end"]


def test_explain_command(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    line = make_line(10.0, "end", "delivered", request="r", ms=5)
    path = str(write_log(tmp_path / "a", "a", line))
    assert main(["explain", "r", path]) == ExitCode.DONE
    assert capsys.readouterr().out.startswith("request r: delivered (5 ms")
    assert main(["explain", "--json", "r", path]) == ExitCode.DONE
    assert json.loads(capsys.readouterr().out)["request"] == "r"
    assert main(["explain", "x", path]) == ExitCode.INVALID
    assert main(["explain", "x", str(tmp_path / "none")]) == ExitCode.INVALID
    assert isinstance(explain("x", read_logs([Path(path)])), UnknownRequest)


def make_signal_line(at: float, target: str, signal: str, value: object) -> Any:
    return make_line(at, "signal", "said", peer=target, signal=signal, value=value)


def test_refusal_names_the_targets_that_had_limited_their_rate(tmp_path: Path) -> None:
    refusal = "refused with 503: every target limits its rate"
    entry_log = write_log(
        tmp_path / "a",
        "a",
        make_signal_line(1.0, "i-1", "rate-limit", 4.0),
        make_signal_line(2.0, "i-2", "rate-limit", 3.0),
        make_signal_line(3.0, "i-2", "rate-limit", None),
        make_signal_line(4.0, "i-3", "pause", 2.0),
        make_signal_line(8.0, "i-1", "rate-limit", 1.5),
        make_signal_line(9.0, "i-4", "pause", 3.0),
        make_line(9.0, "warm-up", "begun", peer="i-5", left_ms=3_000),
        make_line(9.5, "warm-up", "begun", peer="i-6", left_ms=3_000),
        make_line(9.75, "warm-up", "ended", peer="i-5", ms=750),
        make_line(10.0, "admit", "taken", request="r", version=3),
        make_line(10.5, "end", refusal, request="r", ms=500),
        make_signal_line(11.0, "i-1", "rate-limit", 0.5),
    )
    assert explain_request("r", entry_log).cause == (
        "a found no target that would take it then: "
        "i-1, 2.5 s before, named 1.5 requests a second; "
        "i-4, 1.5 s before, asked for a pause of 3.0 s; "
        "i-6, 1.0 s before, was warming up"
    )


def make_drain_line(at: float, zone: str, change: str, revision: int) -> Any:
    return make_line(at, "drain", change, zone=zone, revision=revision)


# Guards against a drain that is taken for what targets say, or that is named after it
# was withdrawn.
def test_refusal_for_drains_names_the_zones_drained_then(tmp_path: Path) -> None:
    refusal = "refused with 503: every target is in a drained zone"
    entry_log = write_log(
        tmp_path / "a",
        "a",
        make_drain_line(1.0, "west", "drained", 1),
        make_drain_line(2.0, "north", "drained", 2),
        make_drain_line(3.0, "west", "undrained", 3),
        make_drain_line(4.0, "north", "first request kept from the zone", 3),
        make_line(10.0, "admit", "taken", request="r", version=3),
        make_line(10.0, "end", refusal, request="r", ms=0),
        make_drain_line(11.0, "south", "drained", 4),
    )
    assert explain_request("r", entry_log).cause == (
        "operators had drained all zones with targets that it needed: "
        "north since 8.0 s before (revision 2)"
    )


def test_overload_names_the_zones_drained_then(tmp_path: Path) -> None:
    entry_log = write_log(
        tmp_path / "a",
        "a",
        make_drain_line(2.0, "north", "drained", 2),
        make_line(10.0, "admit", "taken", request="r", version=3),
        make_overload_line(11.0),
        make_line(12.0, "end", "refused with 503: stage: late", request="r", ms=2_000),
    )
    cause = explain_request("r", entry_log).cause
    assert cause.startswith("6 pieces for photos waited")
    assert cause.endswith("; drained: north since 10.0 s before (revision 2)")


def test_refusal_for_crashes_names_them_and_who_saw_them(tmp_path: Path) -> None:
    entry_log = write_log(
        tmp_path / "a",
        "a",
        make_line(10.0, "crash", "refuses connections", peer="i-2", requests="s"),
        make_line(12.0, "admit", "taken", request="r", version=3),
        make_line(
            12.0,
            "quarantine",
            "covers the request",
            request="r",
            feature="p5c1e",
            peer="i-1,i-2",
        ),
        make_line(
            12.0,
            "end",
            "refused with 503: targets crash under requests like this one",
            request="r",
            ms=0,
        ),
    )
    other_log = write_log(
        tmp_path / "b",
        "b",
        make_line(8.5, "crash", "refuses connections", peer="i-1", requests="q"),
    )
    assert explain_request("r", entry_log, other_log).cause == (
        "2 target(s) had crashed under requests with the same part in their prompts "
        "(p5c1e): i-1, 3.5 s before, seen by b (q); i-2, 2.0 s before, seen by a (s)"
    )


def test_stream_that_may_not_go_on_is_explained(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "a",
        "a",
        make_line(9.0, "place", "placed", request="q", software="v1.2"),
        make_line(10.0, "admit", "taken", request="r", resumes="p"),
        make_line(
            10.0, "resume", "origin known", request="r", resumes="p", software="v1"
        ),
        make_line(
            10.0,
            "end",
            f"refused with 503: {NO_TARGET}",
            request="r",
            ms=4,
        ),
    )
    assert explain_request("r", log).cause == (
        "stream p was begun by software version v1; requests went to v1.2 then"
    )


def test_lost_paths_are_explained(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "a",
        "a",
        make_line(8.0, "path", "lost; another host reaches it", relayed_by="b"),
        make_line(10.0, "admit", "taken", request="r"),
        make_line(
            10.5, "end", "refused with 503: every target was tried", request="r", ms=500
        ),
    )
    cause = explain_request("r", log).cause
    assert cause.startswith("a had lost its paths to 1 target(s), the first 2.5 s")
    assert "which b reached" in cause


def test_waiting_for_connections_is_explained(tmp_path: Path) -> None:
    end = "refused with 503: out of time before it was sent"
    log = write_log(
        tmp_path / "a",
        "a",
        make_line(5.0, "relay", "no relay", asked="b", ms=400),
        make_line(9.0, "admit", "taken", request="r"),
        make_line(10.0, "relay", "no relay", asked="b,c", ms=400),
        make_line(10.2, "relay", "relayed", asked="b", ms=10),
        make_line(10.5, "end", end, request="r", ms=1_500, connect_ms=1_490),
    )
    assert explain_request("r", log).cause == (
        "waited 1490 of 1500 ms for connections; of 2 searches of a for a relay "
        "meanwhile 1 found none"
    )
