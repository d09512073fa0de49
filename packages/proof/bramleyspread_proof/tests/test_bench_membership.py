"""Test of the membership benchmark with a small deployment."""

from __future__ import annotations

from bramleyspread_proof._bench_membership import measure_membership


def test_small_deployment_knows_all_its_targets() -> None:
    cost = measure_membership(4, 8, 40, seconds=2.0)
    assert (cost.usable_near_least, cost.usable_near, cost.usable_far) == (10, 10, 30)
    assert 0 < cost.bytes_sent < cost.wire_bytes_sent < 10_000
