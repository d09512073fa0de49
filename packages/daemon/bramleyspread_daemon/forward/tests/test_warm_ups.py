"""Targets that warm up get no more than they bear, over all hosts together."""

from __future__ import annotations

import curio
import msgspec
import pytest
from loguru import logger

from bramleyspread_core import EngineLimits
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward.tests.forwarding_site import ENGINE
from bramleyspread_daemon.forward.tests.warming_faults import (
    FAULTS,
    Fault,
    kill_owner,
    list_owners,
    lose_control,
    run_seed,
    run_warm_up,
)
from bramleyspread_daemon.forward.tests.warming_site import (
    BOUND,
    RATE,
    WarmingSite,
    WarmingTarget,
)
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import ResponseSignals

#: Requests that a warming target bears in any second.
ALLOWED = BOUND.count_allowed(RATE)
#: Share of its warm-up rate that a target must get while more requests want it.
MIN_USE = 0.8
#: Time in which all hosts have heard of a warm-up that began without a start, in
#: seconds: targets send a heartbeat each second.
HEARD_WITHIN_S = 1.1
#: Seeds of random faults that CI runs, by number of hosts; the others are run by hand.
CI_SEEDS = ((8, range(8)), (71, range(4)), (200, range(1)))


# Guards against hosts that each send what one may send, or that leave targets unused.
@pytest.mark.parametrize("hosts", [8, 71, 200])
@pytest.mark.parametrize("engine", [ENGINE, None])
def test_targets_that_start_in_the_same_second_get_what_they_bear(
    monkeypatch: pytest.MonkeyPatch, hosts: int, engine: EngineLimits | None
) -> None:
    run = run_warm_up(monkeypatch, hosts, [], seed=1, engine=engine)
    assert run.largest_second <= ALLOWED
    assert run.use >= MIN_USE


# Guards against several hosts that count for themselves while the owner is away, cut
# off or replaced.
@pytest.mark.parametrize("fault", FAULTS, ids=lambda each: each.__name__)
@pytest.mark.parametrize("at", [-1.0, 0.4])
def test_bound_holds_under_each_fault(
    monkeypatch: pytest.MonkeyPatch, fault: Fault, at: float
) -> None:
    run = run_warm_up(monkeypatch, 8, [(at, fault)], seed=2)
    assert run.largest_second <= ALLOWED


def test_bound_holds_when_the_owner_is_killed_without_control_hosts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    faults = [(0.3, kill_owner), (0.5, lose_control)]
    assert run_warm_up(monkeypatch, 71, faults, 3).largest_second <= ALLOWED


@pytest.mark.parametrize(
    ("hosts", "seed"), [(hosts, seed) for hosts, seeds in CI_SEEDS for seed in seeds]
)
def test_bound_holds_under_random_faults(
    monkeypatch: pytest.MonkeyPatch, hosts: int, seed: int
) -> None:
    assert run_seed(monkeypatch, hosts, seed).largest_second <= ALLOWED


async def start_warm(site: WarmingSite, seconds: float) -> None:
    """Start the hosts and all targets, and wait until these are warm."""
    await curio.spawn(site.run_hosts, daemon=True)
    await curio.sleep(1.0)
    for each in site.warming:
        each.start(read_monotonic())
    await curio.sleep(seconds)


# Guards against hosts that heed only the warm-up of a start.
@pytest.mark.parametrize("hosts", [8, 71])
def test_warm_up_that_begins_later_is_heeded(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    site = WarmingSite(hosts, 3)

    async def main() -> WarmingTarget:
        await start_warm(site, 6.0)
        target = site.warming[0]
        target.warm_ups.clear()
        await curio.spawn(site.send_traffic, 120.0, 6.0, daemon=True)
        await curio.sleep(1.05)
        target.warm_up(read_monotonic(), HEARD_WITHIN_S)
        await curio.sleep(4.0)
        return target

    target = run_in_virtual_time(monkeypatch, main)
    assert 0 < target.find_largest_second() <= ALLOWED


# Guards against an owner that hands out a warming target without a limit, since it
# doesn't hear the control host that the target's heartbeats reach.
@pytest.mark.parametrize("hosts", [8, 71])
def test_owner_is_told_of_a_warm_up_by_those_who_ask(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    site = WarmingSite(hosts, 3, engine=ENGINE)

    async def main() -> WarmingTarget:
        await start_warm(site, 6.0)
        target = site.warming[0]
        target.warm_ups.clear()
        # Only heartbeats tell of the warm-up.
        target.respond = lambda now: ResponseSignals()  # type: ignore[method-assign]
        (owner,) = list_owners(site, 1)
        control = site.simulated_controls[target.control]
        await curio.spawn(site.send_traffic, 240.0, 6.0, daemon=True)
        await curio.sleep(1.0)
        site.unheard.add((owner.address, control.address))
        target.warm_up(read_monotonic(), HEARD_WITHIN_S)
        await curio.sleep(4.0)
        return target

    target = run_in_virtual_time(monkeypatch, main)
    assert 0 < target.find_largest_second() <= ALLOWED


# Guards against a target that gets no more after its warm-up than during it.
def test_warm_target_gets_its_share(monkeypatch: pytest.MonkeyPatch) -> None:
    site = WarmingSite(8, 3)

    async def main() -> float:
        await start_warm(site, 5.0)
        since = read_monotonic()
        await site.send_traffic(120.0, 4.0)
        return since

    since = run_in_virtual_time(monkeypatch, main)
    used = [each.measure_use(since, since + 4.0) * RATE for each in site.warming]
    assert min(used) >= 30.0


def list_arrivals(
    monkeypatch: pytest.MonkeyPatch, *, names_warm_ups: bool
) -> list[list[tuple[float, str]]]:
    """Run a site whose document doesn't limit warm-ups."""
    site = WarmingSite(8, 3, rate=None)
    if not names_warm_ups:
        for each in site.warming:
            each.warm_up = lambda now, reaction_s=0.0: None  # type: ignore[method-assign]
            each.warm_at = 0.0

    async def main() -> None:
        await start_warm(site, 0.0)
        await site.send_traffic(120.0, 4.0)

    run_in_virtual_time(monkeypatch, main)
    return [each.arrivals for each in site.warming]


# Guards against warm-ups that change decisions where the document doesn't limit them.
def test_warm_ups_change_nothing_unless_the_document_limits_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with_them = list_arrivals(monkeypatch, names_warm_ups=True)
    assert with_them == list_arrivals(monkeypatch, names_warm_ups=False)
    assert sum(map(len, with_them)) > 400


def test_start_and_end_of_each_warm_up_are_logged_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site, lines = WarmingSite(1, 1), []
    sink = logger.add(
        lambda line: lines.append((line.record["extra"], line.record["message"])),
        level="INFO",
    )

    async def main() -> None:
        await curio.spawn(site.run_hosts, daemon=True)
        await curio.sleep(3.0)
        site.warming[0].start(read_monotonic())
        await site.send_traffic(60.0, 5.0)

    run_in_virtual_time(monkeypatch, main)
    logger.remove(sink)
    warm_ups = [(x["peer"], text) for x, text in lines if x.get("step") == "warm-up"]
    assert warm_ups == [("i-0000", "begun"), ("i-0000", "ended")]
    (context,) = site.contexts.values()
    counts = context.signals.warm_up_counts
    assert counts["waited"] > 20
    assert counts["refused"] > 20
    assert context.signals.table.warm_ups.is_empty


# Guards against clocks of one host that another one reads: targets are sent between
# hosts.
def test_targets_that_hosts_tell_each_other_hold_no_times(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = WarmingSite(1, 1)
    run_in_virtual_time(monkeypatch, lambda: start_warm(site, 0.5))
    (context,) = site.contexts.values()
    (target,) = context.targets.list_usable(site.service)
    fields = set(msgspec.structs.asdict(target))
    assert fields == {
        "target",
        "address",
        "zone",
        "slots",
        "born",
        "software",
    }
