"""Tests of the capacity estimates: totals, and errors that name missing figures."""

from pathlib import Path

import pytest

from bramleyspread_core import encode_json
from bramleyspread_proof import Figure
from bramleyspread_proof._capacity import (
    Figures,
    FiguresError,
    TableRow,
    Total,
    format_tables,
    list_totals,
    main,
)

NEEDED = [
    ("control-plane", "read a document, an organisation"),
    ("control-plane", "poll"),
    ("control-plane", "report, a target"),
    ("control-plane", "document, an organisation"),
    ("control-plane", "hear a report, a target"),
    ("control-plane", "plan, a target"),
    ("control-plane", "answer a poll"),
    ("control-plane", "read YAML, an organisation"),
    ("membership", "480 hosts 11000 targets: processor"),
    ("membership", "480 hosts 11000 targets: sent with HTTP"),
    ("membership", "480 hosts 11000 targets: memory"),
    ("daemon", "processor a request besides"),
    ("daemon", "processor a token"),
    ("daemon", "processor an exchange"),
    ("daemon", "processor a stage"),
    ("daemon", "memory of a waiting request"),
    ("control", "claims in batches of 10: claims"),
]
FIGURES = [Figure(bench, name, 1.0, "") for bench, name in NEEDED]


def test_total_is_the_sum_of_its_parts() -> None:
    parts = (TableRow("a", "", 1.0, "%"), TableRow("b", "", 2.0, "%"))
    assert Total("t", parts, 3.0).holds
    assert not Total("t", parts, 2.9).holds
    assert "3.00 beside 2.9: DOES NOT HOLD." in format_tables([Total("t", parts, 2.9)])


@pytest.mark.parametrize("left_out", NEEDED)
def test_missing_figure_is_named(left_out: tuple[str, str]) -> None:
    rest = [f for f in FIGURES if (f.bench, f.figure) != left_out]
    with pytest.raises(FiguresError, match=left_out[0]):
        list_totals(Figures(rest))


def test_file_is_read_or_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "bench.jsonl"
    path.write_bytes(b"\n".join(encode_json(each) for each in FIGURES))
    assert main([str(path)]) == 0
    assert "| tokens | 7500/s x 1.0 us | 0.75 % |" in capsys.readouterr().out
    path.write_text("junk\n")
    assert main([str(path)]) == 2
    assert "line 1" in capsys.readouterr().err
