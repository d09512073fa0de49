"""Tests of the results that an entry host's requests hold."""

from __future__ import annotations

from bramleyspread_forwarding import HeldResults, PieceResult


def test_held_results_that_are_never_released_expire() -> None:
    held_results = HeldResults()
    for index in range(1_000):
        results = [PieceResult(f"h{index}", maker="t")]
        held_results.add(
            "photos", results, size=1, now=index * 0.1, expires_at=index * 0.1 + 4.0
        )
    assert held_results.count("photos") <= 41
    assert len(held_results.list_held("photos", 99.9)) == held_results.count("photos")
    assert held_results.list_held("photos", 200.0) == ()
