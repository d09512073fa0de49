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
