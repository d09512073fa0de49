"""Entry hosts that are partitioned from all targets, while others reach them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from bramleyspread_core import EngineLimits
from bramleyspread_daemon.forward.tests.forwarding_site import ENGINE
from bramleyspread_daemon.forward.tests.partitioned_site import Manner, PartitionedSite
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time

#: Traffic of the site that the incident came from, by engines and hosts.
HOSTS, TARGETS, PER_S = 8, 9, 28.0
#: Time before a partition, of one, and after it, in seconds.
BEFORE_S, PARTITIONED_S, AFTER_S = 4.0, 12.0, 6.0
#: Share of the other hosts' share that partitioned hosts must serve.
MIN_SERVED = 2 / 3
#: Share of all requests that must be served once the partition is over.
MIN_SERVED_AFTER = 0.97
#: Time in which a request that can't be served must be refused, in seconds.
REFUSED_WITHIN_S = 0.25

Disturbance = Callable[[PartitionedSite], Awaitable[None]]


async def wait(site: PartitionedSite) -> None:
    """Disturb nothing."""


def run_partition(
    monkeypatch: pytest.MonkeyPatch,
    site: PartitionedSite,
    manner: Manner,
    share: float,
    disturb: Disturbance = wait,
) -> float:
    """Partition a share of the hosts, twice, and return what is served in the end."""

    async def main() -> float:
        await site.run()
        await site.send_traffic(PER_S, BEFORE_S)
        await curio.spawn(disturb, site, daemon=True)
        number = max(1, round(share * len(site.contexts)))
        for _ in range(2):
            site.partition(site.rng.sample(list(site.contexts), number), manner)
            await site.send_traffic(PER_S, PARTITIONED_S)
            site.heal()
            await site.send_traffic(PER_S, AFTER_S)
        site.ends[False].clear()
        await site.send_traffic(PER_S, AFTER_S)
        await curio.sleep(2.0)
        ends = site.ends[False]
        return ends["whole"] / max(ends.total(), 1)

    return run_in_virtual_time(monkeypatch, main)


# Guards against hosts that serve nothing because they reach no target themselves.
@pytest.mark.parametrize("manner", list(Manner))
@pytest.mark.parametrize("share", [1 / 8, 5 / 8])
@pytest.mark.parametrize("engine", [ENGINE, None])
def test_partitioned_hosts_serve_like_the_others(
    monkeypatch: pytest.MonkeyPatch,
    manner: Manner,
    share: float,
    engine: EngineLimits | None,
) -> None:
    site = PartitionedSite(HOSTS, TARGETS, engine=engine)
    served_after = run_partition(monkeypatch, site, manner, share)
    others = site.find_served_share(is_partitioned=False)
    assert site.find_served_share(is_partitioned=True) >= MIN_SERVED * others
    assert others >= MIN_SERVED_AFTER
    assert served_after >= MIN_SERVED_AFTER


async def freeze_others(site: PartitionedSite) -> None:
    """Freeze hosts that are not partitioned, one after the other."""
    while True:
        await curio.sleep(3.0)
        others = [x for x in site.contexts if x not in site.partitioned]
        frozen = site.rng.choice(others)
        site.silent.add(frozen)
        await curio.sleep(1.5)
        site.silent.discard(frozen)


async def restart_hosts(site: PartitionedSite) -> None:
    """Restart hosts, partitioned or not, one after the other."""
    number = 1
    while True:
        await curio.sleep(2.0)
        number += 1
        site.restart_hosts([site.rng.choice(list(site.contexts))], started=number)


async def crash_targets(site: PartitionedSite) -> None:
    """Crash one target after the other."""
    while True:
        await curio.sleep(2.0)
        running = [x for x in site.targets.values() if x.is_running]
        await site.rng.choice(running).end(None)


# Guards against relays that are lost, and against targets blamed for lost paths.
@pytest.mark.parametrize("disturb", [freeze_others, restart_hosts, crash_targets])
@pytest.mark.parametrize("manner", [Manner.HANG, Manner.RESET])
@pytest.mark.parametrize("hosts", [3, HOSTS])
def test_partitioned_hosts_serve_while_others_fail(
    monkeypatch: pytest.MonkeyPatch, manner: Manner, disturb: Disturbance, hosts: int
) -> None:
    site = PartitionedSite(hosts, TARGETS)
    run_partition(monkeypatch, site, manner, 1 / 3, disturb)
    others = site.find_served_share(is_partitioned=False)
    assert site.find_served_share(is_partitioned=True) >= MIN_SERVED * others
    for context in site.contexts.values():
        assert context.crashes.table.list_quarantines() == ()


# Guards against requests that are held while no host has a path to any target.
def test_requests_are_refused_at_once_if_no_host_reaches_a_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = PartitionedSite(3, TARGETS)
    served_after = run_partition(monkeypatch, site, Manner.RESET, 1.0)
    assert max(site.refused_after_s) <= REFUSED_WITHIN_S
    assert served_after >= MIN_SERVED_AFTER
