"""Tests of the benchmark runner."""

from collections.abc import Iterator

import pytest

from bramleyspread_proof._bench import main, run_benches
from bramleyspread_proof._figures import Figure


def meet_bound() -> Iterator[Figure]:
    yield Figure.at_most("a", "b", 1.0, "s", 2.0)


def miss_bound() -> Iterator[Figure]:
    yield Figure.at_most("a", "b", 3.0, "s", 2.0)


def fail_midway() -> Iterator[Figure]:
    yield Figure("a", "b", 3.0, "s")
    raise RuntimeError("no disk")


def test_prints_each_figure_and_says_whether_all_hold(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run_benches({"hold": meet_bound})
    assert not run_benches({"miss": miss_bound, "hold": meet_bound})
    assert not run_benches({"broken": fail_midway, "hold": meet_bound})
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 5
    assert '"holds":true' in lines[0] and '"holds":false' in lines[1]


def test_an_unknown_name_is_refused() -> None:
    with pytest.raises(SystemExit) as stop:
        main(["nothing-of-the-kind"])
    assert stop.value.code == 2
