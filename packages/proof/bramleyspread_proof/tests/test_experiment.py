"""A short experiment: deterministic, without breaches, and its page."""

from __future__ import annotations

import msgspec
import pytest

from bramleyspread_proof._experiment import Experiment, Setting
from bramleyspread_proof._experiment_faults import FAULTS, Times
from bramleyspread_proof._experiment_plot import draw_plot
from bramleyspread_proof._experiment_report import (
    group_results,
    judge_goals,
    write_table,
)
from bramleyspread_proof._experiment_results import Result
from bramleyspread_proof._sizes import HCM_SOUTH

TIMES = Times(counted=1.0, fault=5.0, healed=7.0, end=10.0)


def run(fault: str, policy: str) -> Result:
    return Experiment(Setting(HCM_SOUTH, fault, policy, 1, TIMES)).run()


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
    assert len(list(write_table(groups))) == 4
    assert any("burst goodput" in line for line in judge_goals(groups))
    assert draw_plot(groups).count("<polyline") == 2
