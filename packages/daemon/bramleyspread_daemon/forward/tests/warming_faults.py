"""Faults of hosts while targets warm up, drawn from a seed.

Runs many seeds from the command line, and prints the fullest seconds::

    python -m bramleyspread_daemon.forward.tests.warming_faults HOSTS FIRST LAST
"""

from __future__ import annotations

import math
import sys
from collections.abc import Awaitable, Callable, Sequence
from random import Random

import curio
import msgspec
import pytest
from loguru import logger

from bramleyspread_core import Address, EngineLimits
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward.tests.forwarding_site import ENGINE
from bramleyspread_daemon.forward.tests.warming_site import (
    BOUND,
    RATE,
    WARM_UP_S,
    WarmingSite,
)
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import EntryHost, rank_owners

#: Number of targets, and requests a second: more than they all serve while warming.
TARGETS, PER_S = 3, 120.0
#: Time before the targets start, in seconds: hosts must have been in contact for 2 s.
BEFORE_S = 7.0
#: Time for which requests are sent after that, in seconds.
TRAFFIC_S = 5.0

Fault = Callable[[WarmingSite, Random], Awaitable[None]]


class WarmUpRun(msgspec.Struct, frozen=True):
    """What one run has shown."""

    #: The most requests that arrived at a warming target in one second.
    largest_second: int
    #: Share of the warm-up rates that was used in the first warm-up of all targets.
    use: float
    #: Names of the faults.
    faults: tuple[str, ...] = ()


def list_owners(site: WarmingSite, number: int) -> list[EntryHost]:
    """List the owner of the shared work, and those that would follow it."""
    hosts = [each for each in site.list_hosts() if site.is_awake(each)]
    owners: list[EntryHost] = []
    while hosts and len(owners) < number:
        owners.append(rank_owners(site.service, hosts, 1)[0])
        hosts.remove(owners[-1])
    return owners


async def kill_owner(site: WarmingSite, rng: Random) -> None:
    site.kill(list_owners(site, 1)[0])


async def kill_owner_and_stand_ins(site: WarmingSite, rng: Random) -> None:
    for each in list_owners(site, 3):
        site.kill(each)


async def suspend_owner(site: WarmingSite, rng: Random) -> None:
    """Suspend the owner, which wakes with what it knew and with requests to send."""
    await site.suspend(list_owners(site, 1)[0], rng.uniform(0.2, 6.0))


async def suspend_hosts(site: WarmingSite, rng: Random) -> None:
    awake = [each for each in site.list_hosts() if site.is_awake(each)]
    for each in rng.sample(awake, 2):
        await curio.spawn(site.suspend, each, rng.uniform(0.2, 4.0), daemon=True)


async def lose_control(site: WarmingSite, rng: Random) -> None:
    site.has_control = False
    await curio.sleep(rng.uniform(0.5, 6.0))
    site.has_control = True


async def cut_owner_from_control(site: WarmingSite, rng: Random) -> None:
    """Cut the owner from control hosts only, so that others replace it."""
    owner = list_owners(site, 1)[0]
    lost = {(owner.address, each.address) for each in site.simulated_controls}
    await _cut(site, set(), lost, rng.uniform(1.0, 8.0))


async def split(site: WarmingSite, rng: Random) -> None:
    """Divide the hosts, with one control host on one side and two on the other.

    Each side takes a host of its own for the owner; both reach all targets.
    """
    hosts = list(site.list_hosts())
    rng.shuffle(hosts)
    half, rest = hosts[::2], hosts[1::2]
    alone = rng.choice(site.simulated_controls)
    lost = {
        (host.address, control.address)
        for control in site.simulated_controls
        for host in (rest if control is alone else half)
    }
    pairs = {frozenset((a.address, b.address)) for a in half for b in rest}
    await _cut(site, pairs, lost, rng.uniform(1.0, 8.0))


async def _cut(
    site: WarmingSite,
    pairs: set[frozenset[Address]],
    lost: set[tuple[Address, Address]],
    seconds: float,
) -> None:
    site.cut_pairs |= pairs
    site.unheard |= lost
    await curio.sleep(seconds)
    site.cut_pairs -= pairs
    site.unheard -= lost


async def start_hosts(site: WarmingSite, rng: Random) -> None:
    """Start hosts, one of which may become the owner."""
    for number in range(3):
        started = rng.randrange(2, 1_000_000)
        address = Address(f"10.5.{rng.randrange(250)}.{number}", 7)
        site.start_host(f"new-{address}", address, started)


async def restart_targets(site: WarmingSite, rng: Random) -> None:
    """Crash all targets, and start them anew."""
    for each in site.warming:
        each.started_at = math.inf
    await curio.sleep(rng.uniform(0.1, 1.0))
    now = read_monotonic()
    for each in site.warming:
        each.start(now)


FAULTS: tuple[Fault, ...] = (
    kill_owner,
    kill_owner_and_stand_ins,
    suspend_owner,
    suspend_hosts,
    lose_control,
    cut_owner_from_control,
    split,
    start_hosts,
    restart_targets,
)


def run_warm_up(
    monkeypatch: pytest.MonkeyPatch,
    hosts: int,
    faults: Sequence[tuple[float, Fault]],
    seed: int,
    engine: EngineLimits | None = None,
) -> WarmUpRun:
    """Start all targets in the same second, with more requests than they serve.

    :param hosts: number of entry hosts.
    :param faults: faults, each with its time after the targets' start, in seconds.
    :param seed: seed of the traffic, of the hosts' choices and of the faults.
    :param engine: limits of the targets if they are model engines; None for others.
    """
    site, rng = WarmingSite(hosts, TARGETS, engine=engine, seed=seed), Random(seed)

    async def disturb(at: float, fault: Fault) -> None:
        await curio.sleep(BEFORE_S + at)
        await fault(site, rng)

    async def main() -> float:
        await curio.spawn(site.run_hosts, daemon=True)
        for at, fault in faults:
            await curio.spawn(disturb, at, fault, daemon=True)
        await curio.sleep(BEFORE_S)
        started_at = read_monotonic()
        for each in site.warming:
            each.start(started_at)
        await site.send_traffic(PER_S, TRAFFIC_S)
        return started_at

    started_at = run_in_virtual_time(monkeypatch, main)
    ends_at = started_at + WARM_UP_S
    return WarmUpRun(
        max(each.find_largest_second() for each in site.warming),
        sum(x.measure_use(started_at, ends_at) for x in site.warming) / TARGETS,
        tuple(f"{fault.__name__} at {at:.2f} s" for at, fault in faults),
    )


def run_seed(monkeypatch: pytest.MonkeyPatch, hosts: int, seed: int) -> WarmUpRun:
    """Run one to three faults, drawn from a seed, around the targets' start."""
    rng = Random(seed * 1_000 + hosts)
    faults = [
        (rng.uniform(-4.0, 2.0), rng.choice(FAULTS)) for _ in range(rng.randint(1, 3))
    ]
    engine = rng.choice([None, ENGINE])
    return run_warm_up(monkeypatch, hosts, faults, seed, engine)


def main(hosts: int, first: int, last: int) -> None:
    """Run the seeds from ``first`` to ``last``, and print what they have shown."""
    logger.remove()
    runs = []
    for seed in range(first, last + 1):
        with pytest.MonkeyPatch.context() as monkeypatch:
            runs.append((seed, run_seed(monkeypatch, hosts, seed)))
        _, run = runs[-1]
        print(f"{hosts} hosts, seed {seed}: {run.largest_second}, {run.use:.2f}")
    runs.sort(key=lambda each: -each[1].largest_second)
    allowed = BOUND.count_allowed(RATE)
    above = sum(each.largest_second > allowed for _, each in runs)
    use = sum(each.use for _, each in runs) / len(runs)
    print(f"{hosts} hosts, {len(runs)} seeds: {above} above {allowed}, use {use:.2f}")
    for seed, each in runs[:5]:
        print(f"  seed {seed}: {each.largest_second}, {each.use:.2f}, {each.faults}")


if __name__ == "__main__":
    main(*map(int, sys.argv[1:4]))
