"""Tests that all shipped scenarios hold and that invalid files give clear errors."""

from pathlib import Path

import pytest

from bramleyspread_core import InvalidFileError
from bramleyspread_proof.__main__ import read_documents
from bramleyspread_proof._scenario import read_scenario, run_scenario

HERE = Path(__file__).parent
SCENARIOS = sorted((HERE.parent / "scenarios").glob("*.yaml"))
DOCUMENTS = read_documents(HERE.parents[3] / "examples" / "consorcio")


@pytest.mark.parametrize("path", SCENARIOS, ids=[path.stem for path in SCENARIOS])
def test_scenario_holds(path: Path) -> None:
    verdict = run_scenario(read_scenario(path), DOCUMENTS)
    assert verdict.faults == ()


def test_same_seed_gives_the_same_verdict() -> None:
    scenario = read_scenario(HERE.parent / "scenarios" / "target-killed.yaml")
    assert run_scenario(scenario, DOCUMENTS) == run_scenario(scenario, DOCUMENTS)


HEAD = "shows: nothing\ntopology: {zones: [a]}\nsteps:\n"
FAULTS = [
    (HEAD + "  - {}\n", "steps[0]: expected exactly one verb"),
    (HEAD + "  - {wait_s: 1, heal: true}\n", "steps[0]: expected exactly one verb"),
    (HEAD + "  - {explode: a}\n", "steps[0]: Object contains unknown field"),
    (HEAD + "  - {wait_s: long}\n", "steps[0].wait_s: Expected `float`"),
    ("shows: x\nsteps: []\ntopology: {zones: []}\n", "Expected `array`"),
]


@pytest.mark.parametrize(("text", "expected"), FAULTS)
def test_bad_file_gets_a_clear_error(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(InvalidFileError) as caught:
        read_scenario(path)
    assert expected in str(caught.value)


def test_unknown_names_are_faults(tmp_path: Path) -> None:
    path = tmp_path / "names.yaml"
    path.write_text(HEAD + "  - {kill: nobody}\n  - {submit: {service: none}}\n")
    verdict = run_scenario(read_scenario(path), DOCUMENTS)
    assert not verdict.holds
    assert verdict.faults[0] == "steps[0] kill: no process or zone is named 'nobody'"
