"""Tests of the results that an entry host's requests hold."""

from __future__ import annotations

from bramleyspread_forwarding import Holdings, PieceResult


def test_held_results_that_are_never_released_expire() -> None:
    holdings = Holdings()
    for index in range(1_000):
        results = [PieceResult(f"h{index}", maker="t")]
        holdings.keep(
            "photos", results, size=1, now=index * 0.1, until=index * 0.1 + 4.0
        )
    assert holdings.count("photos") <= 41
    assert len(holdings.list_held("photos", 99.9)) == holdings.count("photos")
    assert holdings.list_held("photos", 200.0) == ()
