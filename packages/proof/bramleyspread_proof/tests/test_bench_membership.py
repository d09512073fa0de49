"""Test of the membership benchmark with a small deployment."""

from __future__ import annotations

from bramleyspread_proof._bench_membership import measure_membership


def test_small_deployment_knows_all_its_targets() -> None:
    cost = measure_membership(4, 8, 40, seconds=2.0)
    assert (
        cost.min_usable_own_zone,
        cost.mean_usable_own_zone,
        cost.mean_usable_other_zones,
    ) == (10, 10, 30)
    assert 0 < cost.bytes_sent < cost.wire_bytes_sent < 10_000
