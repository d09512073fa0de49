"""Tests of the choice of a service's owner as hosts join and leave."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Address
from bramleyspread_forwarding import EntryHost, ServiceOwners, find_owner

HOSTS = [
    EntryHost(f"entry-{index}", "z", Address("10.0.0.1", 7000 + index), 1)
    for index in range(8)
]


def test_owner_does_not_depend_on_order_of_hosts() -> None:
    found = find_owner("photos", HOSTS)
    assert found is not None
    assert find_owner("photos", HOSTS[::-1]) == found
    assert find_owner("photos", []) is None


def test_only_services_of_a_lost_host_change_owner() -> None:
    services = [f"service-{index}" for index in range(200)]
    lost = HOSTS[3]
    remaining_hosts = [each for each in HOSTS if each != lost]
    for service in services:
        before = find_owner(service, HOSTS)
        after = find_owner(service, remaining_hosts)
        assert after == before or before == lost


def test_restarted_host_seldom_becomes_owner_of_its_former_services() -> None:
    services = [f"service-{index}" for index in range(400)]
    lost = [each for each in services if find_owner(each, HOSTS) == HOSTS[3]]
    restarted = msgspec.structs.replace(HOSTS[3], started=2)
    hosts = [restarted if each == HOSTS[3] else each for each in HOSTS]
    regained = [each for each in lost if find_owner(each, hosts) == restarted]
    assert len(regained) < len(lost) / 3


def find_service_owned_by(host: EntryHost) -> str:
    return next(name for name in map(str, range(99)) if find_owner(name, HOSTS) == host)


def test_host_that_did_not_answer_is_skipped_until_its_backoff_ends() -> None:
    owners = ServiceOwners(HOSTS[0].host)
    service = find_service_owned_by(HOSTS[3])
    assert owners.find_remote_owner(service, HOSTS, 0.0) == HOSTS[3]
    owners.start_backoff(HOSTS[3], 0.0)
    assert owners.find_remote_owner(service, HOSTS, 0.1) != HOSTS[3]
    assert owners.find_remote_owner(service, HOSTS, 1.6) == HOSTS[3]


def test_find_other_returns_none_at_the_owner() -> None:
    owners = ServiceOwners(HOSTS[3].host)
    service = find_service_owned_by(HOSTS[3])
    assert owners.find_remote_owner(service, HOSTS, 0.0) is None
    assert owners.find_remote_owner(service, [], 0.0) is None
    assert owners.may_continue_work(service, HOSTS, 0.0)


def test_former_owner_keeps_work_only_for_the_grace_period() -> None:
    service = find_service_owned_by(HOSTS[3])
    former_owner = ServiceOwners(HOSTS[3].host)
    other_hosts = [each for each in HOSTS if each != HOSTS[3]]
    assert former_owner.may_continue_work(service, HOSTS, 0.0)
    assert former_owner.may_continue_work(service, [*other_hosts], 0.2)
    assert not former_owner.may_continue_work(service, [*other_hosts], 0.4)


def test_host_that_never_owned_the_service_does_not_keep_work() -> None:
    other_host = ServiceOwners(HOSTS[0].host)
    service = find_service_owned_by(HOSTS[3])
    assert other_host.may_continue_work(service, HOSTS, 0.0)
    assert not other_host.may_continue_work(service, HOSTS, 0.4)
