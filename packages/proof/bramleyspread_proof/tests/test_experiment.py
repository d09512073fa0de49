"""Tests of a short experiment: determinism, no breaches, and the report."""

from __future__ import annotations

import msgspec
import pytest

from bramleyspread_proof._experiment import Experiment, RunConfig
from bramleyspread_proof._experiment_faults import FAULTS, RunTimes
from bramleyspread_proof._experiment_plot import draw_plot
from bramleyspread_proof._experiment_report import (
    check_goals,
    format_table,
    group_results,
)
from bramleyspread_proof._experiment_results import Result
from bramleyspread_proof._sizes import HCM_SOUTH

TIMES = RunTimes(measured_from=1.0, fault_start=5.0, fault_end=7.0, arrivals_end=10.0)


def run(fault: str, policy: str) -> Result:
    return Experiment(RunConfig(HCM_SOUTH, fault, policy, 1, TIMES)).run()


@pytest.mark.parametrize("fault", FAULTS)
def test_no_fault_breaks_a_contract(fault: str) -> None:
    result = run(fault, "ours")
    assert result.breaches == 0
    assert sum(result.answers.values()) == result.requests
    assert set(result.answers) <= {"whole", "refused", "failed", "unknown"}
    assert result.added <= 0.1


def test_the_same_seed_gives_the_same_result() -> None:
    results = [run("burst", policy) for policy in ("ours", "ours", "round-robin")]
    assert msgspec.json.encode(results[0]) == msgspec.json.encode(results[1])
    groups = group_results(results)
    assert [len(group.results) for group in groups] == [2, 1]
    assert len(list(format_table(groups))) == 4
    assert any("burst goodput" in line for line in check_goals(groups))
    assert draw_plot(groups).count("<polyline") == 2
