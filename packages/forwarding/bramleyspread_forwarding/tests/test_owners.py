"""Which host gathers, as hosts come and go."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Address
from bramleyspread_forwarding import EntryHost, find_gatherer

HOSTS = [
    EntryHost(f"entry-{at}", "z", Address("10.0.0.1", 7000 + at), 1) for at in range(8)
]


def test_every_host_finds_the_same_one_in_any_order() -> None:
    found = find_gatherer("photos", HOSTS)
    assert found is not None
    assert find_gatherer("photos", HOSTS[::-1]) == found
    assert find_gatherer("photos", []) is None


def test_only_the_work_of_a_lost_host_moves() -> None:
    services = [f"service-{at}" for at in range(200)]
    lost = HOSTS[3]
    left = [each for each in HOSTS if each != lost]
    for service in services:
        before = find_gatherer(service, HOSTS)
        after = find_gatherer(service, left)
        assert after == before or before == lost


def test_a_host_that_comes_back_seldom_takes_the_work_back() -> None:
    services = [f"service-{at}" for at in range(400)]
    lost = [each for each in services if find_gatherer(each, HOSTS) == HOSTS[3]]
    back = msgspec.structs.replace(HOSTS[3], started=2)
    hosts = [back if each == HOSTS[3] else each for each in HOSTS]
    again = [each for each in lost if find_gatherer(each, hosts) == back]
    assert len(again) < len(lost) / 3
