"""Capacity by zone, and reports of drains, at one entry host."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import curio
import pytest
from loguru import logger

from bramleyspread_capacity import Restriction, ZoneCapacity
from bramleyspread_core import ZoneDrains
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._metrics import Metrics
from bramleyspread_daemon.forward._zone_metrics import fill_zone_metrics
from bramleyspread_daemon.forward.tests.forwarding_site import ForwardingSite
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import PlaceStep, ResponseSignals

NORTH_DRAINED = ZoneDrains().drain("north", 1)


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    """Collect the log lines about drains."""
    found: list[dict[str, Any]] = []

    def collect(message: Any) -> None:  # noqa: ANN401
        record = message.record
        if record["extra"].get("step") == "drain":
            found.append({**record["extra"], "text": record["message"]})

    number = logger.add(collect, level="INFO")
    yield found
    logger.remove(number)


def make_site() -> ForwardingSite:
    return ForwardingSite(1, 8, zones=("north", "south"), slots=10)


def test_targets_are_counted_by_what_their_host_knows_of_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = make_site()
    (context,) = site.contexts.values()

    async def main() -> tuple[ZoneCapacity, ...]:
        await curio.spawn(site.run_hosts, daemon=True)
        await curio.sleep(0.5)
        now = read_monotonic()
        targets = [x for x in context.targets.list_usable("llm") if x.zone == "south"]
        limited = ResponseSignals(rate_limit=2.5)
        context.signals.record(targets[0], limited, now)
        rejected = ResponseSignals(pause_s=5.0, is_rejection=True)
        context.signals.record(targets[1], rejected, now)
        failed = PlaceStep(ticket=1, target=targets[2].target, good=False)
        context.placement.report(failed)
        leaving = ResponseSignals(is_leaving=True)
        context.signals.record(targets[3], leaving, now)
        site.drains = NORTH_DRAINED
        await curio.sleep(0.5)
        return context.capacities.measure()

    north, south = run_in_virtual_time(monkeypatch, main)
    assert (north.zone, north.targets, north.calls) == ("north", 4, 0)
    assert north.restricted == {Restriction.DRAINED: 4}
    assert (south.usable, south.calls, south.limited_rate) == (0, 10, 2.5)
    assert south.restricted == {
        Restriction.LEAVING: 1,
        Restriction.PAUSED: 1,
        Restriction.IN_BACKOFF: 1,
        Restriction.RATE_LIMITED: 1,
    }


# Guards against warming targets that count as fully usable.
def test_warming_targets_are_restricted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = make_site()
    (context,) = site.contexts.values()

    async def main() -> tuple[ZoneCapacity, ...]:
        await curio.spawn(site.run_hosts, daemon=True)
        await curio.sleep(0.5)
        monkeypatch.setattr(
            context.signals.table.warm_ups, "_find_service_rate", lambda service: 4.0
        )
        target = context.targets.list_usable("llm")[0]
        signals = ResponseSignals(warm_up_s=3.0)
        context.signals.record(target, signals, read_monotonic())
        return context.capacities.measure("llm")

    zones = run_in_virtual_time(monkeypatch, main)
    restricted = [each.restricted for each in zones]
    assert {Restriction.WARMING_UP: 1} in restricted
    assert {} in restricted


# Guards against an operator who can't tell what was sent to a zone last, and since when
# requests were kept from it.
def test_drain_is_logged_with_the_last_request_sent_and_the_first_one_kept(
    monkeypatch: pytest.MonkeyPatch, lines: list[dict[str, Any]]
) -> None:
    site = make_site()

    async def main() -> None:
        await curio.spawn(site.run_hosts, daemon=True)
        await site.send_traffic(40.0, 2.0)
        site.drains = NORTH_DRAINED
        await site.send_traffic(40.0, 2.0)
        site.drains = NORTH_DRAINED.undrain("north")
        await site.send_traffic(40.0, 1.0)

    run_in_virtual_time(monkeypatch, main)
    texts = [each["text"] for each in lines]
    assert texts == ["drained", "first request kept from the zone", "undrained"]
    drained, kept, undrained = lines
    assert (drained["zone"], drained["revision"], drained["targets"]) == ("north", 1, 4)
    assert drained["calls_left"] == 40
    last = max(
        (at, target.name)
        for address, target in site.targets.items()
        if site.find_zone(address) == "north"
        for at, _ in target.arrivals
        if at < 1_003.0
    )
    assert drained["peer"] == last[1]
    assert int(kept["request"]) > int(drained["last_request"])
    assert undrained["kept"] >= 60


def test_metrics_name_zones_by_state(monkeypatch: pytest.MonkeyPatch) -> None:
    site = make_site()
    (context,) = site.contexts.values()

    async def main() -> bytes:
        await curio.spawn(site.run_hosts, daemon=True)
        site.drains = NORTH_DRAINED
        await site.send_traffic(40.0, 6.0)
        drained = Metrics("entry-0")
        fill_zone_metrics(drained, context)
        site.drains = NORTH_DRAINED.undrain("north")
        await curio.sleep(1.5)
        metrics = Metrics("entry-0")
        fill_zone_metrics(metrics, context)
        return drained.render() + metrics.render()

    text = run_in_virtual_time(monkeypatch, main).decode()
    assert 'service="llm",state="drained",zone="north"} 4' in text
    assert 'service="llm",state="usable",zone="south"} 4' in text
    assert (
        'bramleyspread_zone_calls{host="entry-0",service="llm",zone="north"} 0' in text
    )
    ramps = [x for x in text.splitlines() if "zone_ramp{" in x and "north" in x]
    assert 0.1 <= float(ramps[-1].split()[-1]) <= 0.3
    assert "bramleyspread_zone_held_back_total" in text
    assert 'bramleyspread_drains_revision{host="entry-0"} 2' in text
