"""Tests of the results that an entry host's requests hold."""

from __future__ import annotations

from bramleyspread_forwarding import Holdings, PieceResult


def test_held_results_that_are_never_released_expire() -> None:
    holdings = Holdings()
    for at in range(1_000):
        made = [PieceResult(f"h{at}", maker="t")]
        holdings.keep("photos", made, size=1, now=at * 0.1, until=at * 0.1 + 4.0)
    assert holdings.count("photos") <= 41
    assert len(holdings.list_held("photos", 99.9)) == holdings.count("photos")
    assert holdings.list_held("photos", 200.0) == ()
