"""Tests of dividing a service's targets among batching hosts."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding import (
    ServiceOwners,
    ServiceShards,
    choose_shard,
    count_shards,
    divide_targets,
    find_owner,
    find_shard_of,
    rank_owners,
)
from bramleyspread_forwarding.tests.builders import LIMITS, make_job, make_targets
from bramleyspread_forwarding.tests.test_owners import HOSTS

MAIL = PieceLimits(
    slots=1, queue=2, batch=68, call_ms=150.0, piece_ms=1.9, result_retention_s=4.0
)


def test_small_site_with_fast_links_is_not_divided() -> None:
    assert count_shards(3, LIMITS, 1_000.0) == 1
    assert count_shards(9, MAIL, 0.0) == 1


#: Targets whose pieces, 244 a second and 360 bytes each, take 70% of a 5 Mbit/s link.
MAX_SHARD_TARGETS = 0.7 * 625_000 / (244 * 360)


@pytest.mark.parametrize("targets", [10, 100, 900])
def test_shards_grow_with_the_site_and_keep_targets_to_choose_from(
    targets: int,
) -> None:
    shards = count_shards(targets, MAIL, 5.0)
    assert 2.0 <= targets / shards <= MAX_SHARD_TARGETS
    sizes = [len(each) for each in divide_targets(make_targets(targets), shards)]
    assert sum(sizes) == targets
    assert max(sizes) <= min(sizes) + 1


def test_only_few_targets_change_shard_when_one_leaves() -> None:
    targets = make_targets(40)
    before = divide_targets(targets, 4)
    after = divide_targets(targets[1:], 4)
    moved = [
        each.target
        for each in targets[1:]
        if find_shard_of(each.target, before) != find_shard_of(each.target, after)
    ]
    assert len(moved) <= 10


def test_targets_of_each_zone_are_spread_over_the_shards() -> None:
    targets = [
        msgspec.structs.replace(each, zone=f"z{at % 4}")
        for at, each in enumerate(make_targets(16))
    ]
    for shards in (2, 4):
        for each in divide_targets(targets, shards):
            zones = Counter(target.zone for target in each)
            assert set(zones.values()) == {4 // shards}
            assert len(zones) == 4


def test_jobs_are_spread_in_proportion_to_targets() -> None:
    targets = make_targets(9)
    shards = (targets[:6], targets[6:])
    chosen = Counter(
        choose_shard(make_job(f"request-{at}", 1), shards) for at in range(3_000)
    )
    assert chosen[0] == pytest.approx(2_000, rel=0.05)


def test_jobs_of_one_zone_are_spread_like_all_others() -> None:
    targets = make_targets(9)
    shards = divide_targets(targets, 3)
    zone = targets[0].zone
    chosen = Counter(
        choose_shard(
            make_job(f"request-{at}", 1, zone=zone, crossing_bytes=10_000_000), shards
        )
        for at in range(3_000)
    )
    assert max(chosen.values()) == pytest.approx(1_000, rel=0.1)


def test_shards_of_a_service_have_different_owners() -> None:
    owners = rank_owners("mail", HOSTS, len(HOSTS) + 2)
    assert len(set(owners[: len(HOSTS)])) == len(HOSTS)
    assert owners[0] == find_owner("mail", HOSTS)
    assert rank_owners("mail", HOSTS[:1], 3) == (HOSTS[0],) * 3
    assert rank_owners("mail", [], 3) == ()


def test_owner_of_a_shard_changes_with_the_hosts() -> None:
    first, second, third = rank_owners("mail", HOSTS, 3)
    own = next(each for each in HOSTS if each not in (first, second, third))
    owners = ServiceOwners(own.host)
    assert owners.find_remote_owner("mail", HOSTS, 0.0, 1) == second
    assert owners.find_remote_owner("mail", HOSTS, 0.0, 0) == first
    owners.start_backoff(second, 0.0)
    assert owners.find_remote_owner("mail", HOSTS, 0.1, 1) not in (first, second)
    assert owners.find_remote_owner("mail", HOSTS, 2.0, 1) == second


def test_division_changes_with_targets_and_limits_only() -> None:
    shards = ServiceShards(link_mbps=5.0)
    targets = make_targets(9)
    first = shards.divide("mail", targets, MAIL)
    assert len(first) == 2
    assert shards.divide("mail", targets, MAIL) is first
    slower = msgspec.structs.replace(MAIL, call_ms=1_500.0)
    assert len(shards.divide("mail", targets, slower)) == 1
    assert shards.divide("mail", (), None) == ((),)
