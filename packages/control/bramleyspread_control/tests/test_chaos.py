"""Random runs with faults that check the system's invariants at every step."""

from __future__ import annotations

import pytest

from bramleyspread_control.tests._chaos import Chaos
from bramleyspread_control.tests._chaos_open import ReplacementChaos


@pytest.mark.parametrize(("size", "seed"), [(3, 1), (3, 2), (3, 331), (5, 369)])
def test_accepted_changes_survive_random_faults(size: int, seed: int) -> None:
    chaos = Chaos(size, seed)
    chaos.run(60.0)
    assert chaos.accepted
    assert chaos.claimed


@pytest.mark.parametrize("seed", [4, 5, 9, 12])
def test_deployment_document_survives_host_replacements(seed: int) -> None:
    chaos = ReplacementChaos(seed)
    chaos.run(60.0)
    assert chaos.acknowledged_version
    assert chaos.replacement_count
