"""Random runs with faults; what must always hold is checked at every step."""

from __future__ import annotations

import pytest

from bramleyspread_control.tests._chaos import Chaos
from bramleyspread_control.tests._chaos_replacement import OpenChaos


@pytest.mark.parametrize(("size", "seed"), [(3, 1), (3, 2), (3, 331), (5, 369)])
def test_nothing_accepted_is_lost_under_random_faults(size: int, seed: int) -> None:
    chaos = Chaos(size, seed)
    chaos.run(60.0)
    assert chaos.accepted
    assert chaos.claimed


@pytest.mark.parametrize("seed", [4, 5, 9, 12])
def test_no_document_is_lost_while_hosts_are_replaced(seed: int) -> None:
    chaos = OpenChaos(seed)
    chaos.run(60.0)
    assert chaos.acknowledged
    assert chaos.replaced
