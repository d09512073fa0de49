"""Which host batches, as hosts come and go."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Address
from bramleyspread_forwarding import EntryHost, Owners, find_owner

HOSTS = [
    EntryHost(f"entry-{at}", "z", Address("10.0.0.1", 7000 + at), 1) for at in range(8)
]


def test_every_host_finds_the_same_one_in_any_order() -> None:
    found = find_owner("photos", HOSTS)
    assert found is not None
    assert find_owner("photos", HOSTS[::-1]) == found
    assert find_owner("photos", []) is None


def test_only_the_work_of_a_lost_host_moves() -> None:
    services = [f"service-{at}" for at in range(200)]
    lost = HOSTS[3]
    left = [each for each in HOSTS if each != lost]
    for service in services:
        before = find_owner(service, HOSTS)
        after = find_owner(service, left)
        assert after == before or before == lost


def test_a_host_that_comes_back_seldom_takes_the_work_back() -> None:
    services = [f"service-{at}" for at in range(400)]
    lost = [each for each in services if find_owner(each, HOSTS) == HOSTS[3]]
    back = msgspec.structs.replace(HOSTS[3], started=2)
    hosts = [back if each == HOSTS[3] else each for each in HOSTS]
    again = [each for each in lost if find_owner(each, hosts) == back]
    assert len(again) < len(lost) / 3


def find_service_of(host: EntryHost) -> str:
    return next(x for x in map(str, range(99)) if find_owner(x, HOSTS) == host)


def test_a_host_that_did_not_answer_is_passed_over_and_asked_again_later() -> None:
    owners = Owners(HOSTS[0].host)
    service = find_service_of(HOSTS[3])
    assert owners.find_other(service, HOSTS, 0.0) == HOSTS[3]
    owners.avoid(HOSTS[3], 0.0)
    assert owners.find_other(service, HOSTS, 0.1) != HOSTS[3]
    assert owners.find_other(service, HOSTS, 1.6) == HOSTS[3]


def test_the_owner_itself_asks_nobody() -> None:
    owners = Owners(HOSTS[3].host)
    service = find_service_of(HOSTS[3])
    assert owners.find_other(service, HOSTS, 0.0) is None
    assert owners.find_other(service, [], 0.0) is None
    assert owners.may_keep(service, HOSTS, 0.0)


def test_work_stays_only_a_moment_where_it_is_not_owned() -> None:
    service = find_service_of(HOSTS[3])
    once = Owners(HOSTS[3].host)
    without = [each for each in HOSTS if each != HOSTS[3]]
    assert once.may_keep(service, HOSTS, 0.0)
    assert once.may_keep(service, [*without], 0.2)
    assert not once.may_keep(service, [*without], 0.4)


def test_a_host_that_never_owned_the_work_does_not_keep_it() -> None:
    never = Owners(HOSTS[0].host)
    service = find_service_of(HOSTS[3])
    assert never.may_keep(service, HOSTS, 0.0)
    assert not never.may_keep(service, HOSTS, 0.4)
