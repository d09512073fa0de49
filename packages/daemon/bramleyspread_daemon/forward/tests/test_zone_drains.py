"""Zone drains over all hosts of a site, in virtual time."""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import curio
import msgspec
import pytest

from bramleyspread_core import Address, EngineLimits, StagePlan, ZoneDrains
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._piece_calls import PieceCalls
from bramleyspread_daemon.forward._piece_service import PieceService
from bramleyspread_daemon.forward._request_forwarder import RequestForwarder
from bramleyspread_daemon.forward._service_directory import ServiceDirectory
from bramleyspread_daemon.forward._target_signals import TargetSignals
from bramleyspread_daemon.forward.tests import forwarding_site
from bramleyspread_daemon.forward.tests.forwarding_site import (
    ENGINE,
    PAGE_INTERVAL_S,
    ForwardingSite,
)
from bramleyspread_daemon.forward.tests.simulated_site import SimulatedPeers
from bramleyspread_daemon.forward.tests.test_limited_stages import StageSite, _Wire
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    REQUEST,
    ROUTE,
    FakeWire,
    RecordingReply,
    make_context,
)
from bramleyspread_daemon.tests.loopback import run
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import (
    ZONES_DRAINED,
    EntryHost,
    FeedPage,
    PieceFault,
    ResponseSignals,
    SlowStarts,
    TargetChange,
    TargetTable,
    rank_owners,
)
from bramleyspread_forwarding.tests.builders import make_job, make_notice

HOSTS, TARGETS, PER_S = 8, 6, 40.0
ZONES = ("north", "south", "west")
NORTH_DRAINED = ZoneDrains().drain("north", 1)
ALL_DRAINED = NORTH_DRAINED.drain("south", 2).drain("west", 3)
#: Time in which a request that can't be served must be refused, in seconds.
REFUSED_WITHIN_S = 0.25
#: Time after a drain at which all hosts know it, and what they sent has arrived.
KNOWN_AFTER_S = PAGE_INTERVAL_S + 0.1


def make_site(engine: EngineLimits | None = ENGINE) -> ForwardingSite:
    site = ForwardingSite(HOSTS, TARGETS, engine=engine, zones=ZONES)
    # Most drains reach a host while some of its requests wait for a connection.
    site.connect_s = 0.1
    return site


def list_arrivals(
    site: ForwardingSite, zones: Sequence[str], after: float
) -> list[tuple[float, str]]:
    """List when requests arrived in zones after a moment, and from which host."""
    return [
        arrival
        for address, target in site.targets.items()
        if site.find_zone(address) in zones
        for arrival in target.arrivals
        if arrival[0] >= after
    ]


def find_owner(site: ForwardingSite) -> ForwardContext:
    owner = rank_owners(site.service, site.list_hosts(), 1)[0]
    return site.contexts[owner.address]


# Guards against requests sent to a drained zone, answers of it that are cut off, and
# callers that notice anything.
@pytest.mark.parametrize("engine", [ENGINE, None])
def test_drained_zone_gets_nothing_more_and_no_caller_notices(
    monkeypatch: pytest.MonkeyPatch, engine: EngineLimits | None
) -> None:
    site = make_site(engine)

    async def main() -> float:
        await curio.spawn(site.run_hosts, daemon=True)
        await site.send_traffic(PER_S, 3.0)
        drained_at = read_monotonic()
        site.drains = NORTH_DRAINED
        await site.send_traffic(PER_S, 4.0)
        await curio.sleep(1.0)
        return drained_at

    drained_at = run_in_virtual_time(monkeypatch, main)
    assert list_arrivals(site, ["north"], 0.0)
    assert list_arrivals(site, ["north"], drained_at + KNOWN_AFTER_S) == []
    assert set(site.ends) == {200}
    withdrawn = [x.signals.withdrawal_counts.total() for x in site.contexts.values()]
    assert sum(withdrawn) > 0


# Guards against a zone that stays unused once its drain is withdrawn.
def test_undrained_zone_is_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    site = make_site()

    async def main() -> float:
        await curio.spawn(site.run_hosts, daemon=True)
        site.drains = NORTH_DRAINED
        await site.send_traffic(PER_S, 2.0)
        site.drains = NORTH_DRAINED.undrain("north")
        undrained_at = read_monotonic()
        await site.send_traffic(PER_S, 12.0)
        await curio.sleep(1.0)
        return undrained_at

    undrained_at = run_in_virtual_time(monkeypatch, main)
    late = list_arrivals(site, ["north"], undrained_at + 8.0)
    assert len(late) >= 0.2 * PER_S * 4.0
    assert set(site.ends) == {200}


# Guards against a zone that gets its whole share in the moment in which its drain ends
# (0.3 of all requests in the first second without a ramp), or that stays behind.
@pytest.mark.parametrize("engine", [ENGINE, None])
def test_undrained_zone_is_ramped_up_to_its_share(
    monkeypatch: pytest.MonkeyPatch, engine: EngineLimits | None
) -> None:
    site, per_s = make_site(engine), 4 * PER_S

    async def main() -> float:
        await curio.spawn(site.run_hosts, daemon=True)
        site.drains = NORTH_DRAINED
        await site.send_traffic(per_s, 8.0)
        site.drains = NORTH_DRAINED.undrain("north")
        undrained_at = read_monotonic()
        await site.send_traffic(per_s, 12.0)
        await curio.sleep(1.0)
        return undrained_at

    undrained_at = run_in_virtual_time(monkeypatch, main)
    arrivals = [at - undrained_at for at, _ in list_arrivals(site, ["north"], 0.0)]
    share = [
        sum(second <= at < second + 1 for at in arrivals) / per_s
        for second in range(12)
    ]
    assert share[0] <= 0.08
    assert share[1] <= 0.16
    assert max(share) <= 0.45
    assert sum(share[8:]) / 4 >= 0.28
    assert set(site.ends) == {200}


# Guards against requests that are held, or whose callers return at once, while all
# targets are drained.
@pytest.mark.parametrize("engine", [ENGINE, None])
def test_requests_are_refused_at_once_while_all_zones_are_drained(
    monkeypatch: pytest.MonkeyPatch, engine: EngineLimits | None
) -> None:
    site = make_site(engine)

    async def main() -> float:
        await curio.spawn(site.run_hosts, daemon=True)
        await site.send_traffic(PER_S, 2.0)
        site.drains = ALL_DRAINED
        drained_at = read_monotonic()
        await site.send_traffic(PER_S, 3.0)
        await curio.sleep(1.0)
        return drained_at

    drained_at = run_in_virtual_time(monkeypatch, main)
    assert list_arrivals(site, ZONES, drained_at + KNOWN_AFTER_S) == []
    assert set(site.ends) == {200, 503}
    assert max(site.refused_after_s) <= REFUSED_WITHIN_S
    assert min(site.retries_at) >= drained_at + 2.0


# Guards against a host that knows the drain and sends to targets that a placement host
# which learns late hands out; against one that learns late and sends to targets
# although the placement host knows; and against hosts that then choose on their own,
# which they can't for targets that limit their rate.
@pytest.mark.parametrize("late", ["owner", "others"])
def test_either_host_that_knows_of_a_drain_keeps_requests_away(
    monkeypatch: pytest.MonkeyPatch, late: str
) -> None:
    site = make_site()
    owner = find_owner(site).own
    for each in site.targets.values():
        each.signal = lambda _: ResponseSignals(rate_limit=PER_S)

    async def main() -> float:
        await curio.spawn(site.run_hosts, daemon=True)
        await site.send_traffic(PER_S / 4, 6.0)
        site.ends.clear()
        others = set(site.contexts) - {owner.address}
        site.late = {owner.address} if late == "owner" else others
        site.drains = NORTH_DRAINED
        drained_at = read_monotonic()
        await site.send_traffic(PER_S / 2, 4.0)
        await curio.sleep(1.0)
        return drained_at

    drained_at = run_in_virtual_time(monkeypatch, main)
    arrivals = list_arrivals(site, ["north"], drained_at + KNOWN_AFTER_S)
    assert [host for _, host in arrivals if late != "owner" or host != owner.host] == []
    assert set(site.ends) == {200}


# Guards against a placement host of an earlier build, which doesn't read the zones that
# its askers name, so that they ask it again and again.
def test_choice_of_a_host_that_cannot_be_told_of_drains_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = make_site()
    owner = find_owner(site)
    choose = owner.placement._placement.choose

    def ignore_zones(query: Any, *arguments: Any) -> Any:  # noqa: ANN401
        query = type(query)(service=query.service, zone=query.zone)
        return choose(query, *arguments)

    monkeypatch.setattr(owner.placement._placement, "choose", ignore_zones)

    async def main() -> None:
        site.late = {owner.own.address}
        site.drains = NORTH_DRAINED
        await curio.spawn(site.run_hosts, daemon=True)
        await site.send_traffic(PER_S, 3.0)
        await curio.sleep(1.0)

    run_in_virtual_time(monkeypatch, main)
    arrivals = list_arrivals(site, ["north"], 0.0)
    assert {host for _, host in arrivals} <= {owner.own.host}
    assert set(site.ends) == {200}
    trackers = owner.placement._placement._trackers
    assert sum(each.count_requests(math.inf) for each in trackers.values()) == 0


# Guards against a host that has just started and uses drained targets at first.
def test_started_host_obeys_drains_from_its_first_page(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = make_site(None)

    async def main() -> float:
        await curio.spawn(site.run_hosts, daemon=True)
        await site.send_traffic(PER_S, 1.0)
        site.drains = NORTH_DRAINED
        await site.send_traffic(PER_S, 1.0)
        restarted_at = read_monotonic()
        for each in site.list_hosts():
            site.start_host(each.host, each.address, started=2)
        await site.send_traffic(PER_S, 3.0)
        return restarted_at

    restarted_at = run_in_virtual_time(monkeypatch, main)
    assert list_arrivals(site, ["north"], restarted_at) == []


# Guards against a host that wakes up from a suspension, in which it heard of no drain,
# and then hands out the choices of other hosts as they were.
def test_host_that_was_silent_obeys_drains_once_it_hears_of_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = make_site()
    owner = find_owner(site).own

    async def main() -> float:
        await curio.spawn(site.run_hosts, daemon=True)
        await site.send_traffic(PER_S, 2.0)
        site.silent.add(owner.address)
        site.drains = NORTH_DRAINED
        await curio.sleep(6.0)
        site.silent.discard(owner.address)
        awake_at = read_monotonic()
        await site.send_traffic(PER_S, 3.0)
        return awake_at

    awake_at = run_in_virtual_time(monkeypatch, main)
    assert list_arrivals(site, ["north"], awake_at + KNOWN_AFTER_S) == []


async def change_drains(site: ForwardingSite, rng: Random) -> None:
    """Drain and undrain zones at random, while some hosts learn late or are silent."""
    addresses = list(site.contexts)
    while True:
        await curio.sleep(rng.uniform(0.1, 1.5))
        zone = rng.choice(ZONES)
        is_drained = site.drains.is_drained(zone)
        change = (
            site.drains.undrain if is_drained else lambda x: site.drains.drain(x, 1)
        )
        site.drains = change(zone)
        site.late = set(rng.sample(addresses, rng.randrange(4)))
        site.silent = set(rng.sample(addresses, rng.randrange(2)))
        site.connect_s = rng.choice([0.0, 0.05, 0.3])


# Guards against any way on which a host sends to a zone that it knows to be drained, in
# any order of drains, late news, silent placement hosts, slow connections and limits.
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("engine", [ENGINE, None])
def test_no_host_sends_to_a_zone_that_it_knows_to_be_drained(
    monkeypatch: pytest.MonkeyPatch, seed: int, engine: EngineLimits | None
) -> None:
    site = ForwardingSite(HOSTS, TARGETS, engine=engine, zones=ZONES, seed=seed + 1)
    for number, each in enumerate(site.targets.values()):
        if number % 3 == seed % 3:
            each.signal = lambda _: ResponseSignals(rate_limit=8.0)
    send = forwarding_site._Connection.send
    wrong: list[str] = []
    sent = count()

    async def check(connection: Any, *arguments: Any) -> None:  # noqa: ANN401
        hosts = {each.own.host: each for each in site.contexts.values()}
        drains = hosts[connection._host].targets.drains
        zone = site.find_zone(connection._target.address)
        next(sent)
        if drains.is_drained(zone):
            wrong.append(f"{connection._host} to {zone}")
        await send(connection, *arguments)

    monkeypatch.setattr(forwarding_site._Connection, "send", check)

    async def main() -> None:
        await curio.spawn(site.run_hosts, daemon=True)
        await curio.spawn(change_drains, site, Random(seed), daemon=True)
        await site.send_traffic(PER_S, 20.0)
        await curio.sleep(7.0)

    run_in_virtual_time(monkeypatch, main)
    assert wrong == []
    assert next(sent) > 100
    assert set(site.ends) <= {200, 503}


# Guards against decisions that change where no target's zone is drained.
@pytest.mark.parametrize("engine", [ENGINE, None])
def test_drain_of_a_zone_without_targets_changes_no_decision(
    monkeypatch: pytest.MonkeyPatch, engine: EngineLimits | None
) -> None:
    arrivals = []
    for drains in (ZoneDrains(), ZoneDrains().drain("elsewhere", 1)):
        site = make_site(engine)
        site.drains = drains

        async def main(site: ForwardingSite = site) -> None:
            await curio.spawn(site.run_hosts, daemon=True)
            await site.send_traffic(PER_S, 4.0)

        run_in_virtual_time(monkeypatch, main)
        arrivals.append([each.arrivals for each in site.targets.values()])
    assert arrivals[0] == arrivals[1]


# Guards against stages that are run for a request which no target may get after them,
# or whose later stage no target may run.
@pytest.mark.parametrize("drained", ["s", "photos", "mail", "unused"])
def test_request_is_refused_before_its_stages_if_a_service_is_all_drained(
    drained: str,
) -> None:
    wire, reply = FakeWire(), RecordingReply()
    context = make_context(wire)
    notices = [make_notice(x, service=x, zone=x) for x in ("s", "photos", "mail")]
    page = FeedPage(
        incarnation="1",
        position=1,
        changes=tuple(TargetChange(each) for each in notices),
        zone_drains=ZoneDrains().drain(drained, 1),
    )
    context.targets.apply(Address("10.0.0.1", 1), page, 0.0)
    context.spread_retry = lambda seconds: seconds
    stages = (StagePlan("photos", (), 10), StagePlan("mail", (0,), 10))
    route = msgspec.structs.replace(ROUTE, stages=stages)
    request = msgspec.structs.replace(REQUEST, pieces=(2, 2))
    forwarder = RequestForwarder(
        cast("Any", context),
        cast("Any", wire),
        request,
        route,
        None,
        cast("Any", reply),
    )
    run(forwarder.run)
    is_refused = drained != "unused"
    assert ([x.why for x in wire.refusals] == [ZONES_DRAINED]) == is_refused
    assert ([x.retry_after_s for x in wire.refusals] == [2.0]) == is_refused


class DrainedStages(StageSite):
    """Entry hosts that batch for targets in zones, which may be drained."""

    def __init__(self) -> None:
        self.tables: dict[str, TargetTable] = {}
        self.signals: dict[str, TargetSignals] = {}
        #: Ramps up zones at all hosts.
        self.slow_starts = SlowStarts()
        #: How long a connection to a target takes, in seconds.
        self.connect_s = 0.0
        super().__init__()

    def _make_service(self, host: EntryHost) -> PieceService:
        table = self.tables[host.host] = TargetTable()
        signals = self.signals[host.host] = TargetSignals(table, Random(1))
        directory = ServiceDirectory(
            lambda _: [x for x in self.targets if not table.drains.is_drained(x.zone)],
            lambda _: self.limits,
            lambda: self.hosts,
            self.stated_mbps,
            lambda _: all(table.drains.is_drained(x.zone) for x in self.targets),
            self.slow_starts,
            lambda: signals.suspensions.find_wait_s(read_monotonic()) > 0,
        )
        by_address = {each.address: each for each in self.targets}
        pool = cast("Any", self._make_pool(host.host))
        calls = PieceCalls(cast("Any", _Wire()), pool, signals, by_address.get)
        peers = cast("Any", SimulatedPeers(self, host.address))
        return PieceService(host.host, directory, calls, peers, signals.access)

    def _make_pool(self, host: str) -> SimpleNamespace:
        pool = super()._make_pool(host)
        acquire = pool.acquire

        async def acquire_later(*arguments: Any) -> Any:  # noqa: ANN401
            await curio.sleep(self.connect_s)
            return await acquire(*arguments)

        pool.acquire = acquire_later
        return pool

    def drain(self, drains: ZoneDrains, *, late: Sequence[str] = ()) -> None:
        """Let all hosts but some learn of drains."""
        for host, table in self.tables.items():
            if host not in late:
                table.drains = drains

    def list_calls(self, zone: str, after: float = 0.0) -> list[float]:
        """List when calls for pieces arrived in a zone after a moment."""
        targets = [self.signalling[x.address] for x in self.targets if x.zone == zone]
        return [at for each in targets for at in each.calls if at >= after]

    def count_releases(self, zone: str) -> int:
        """Count the messages in a zone that released results."""
        targets = [self.signalling[x.address] for x in self.targets if x.zone == zone]
        return sum(len(each.arrivals) - len(each.calls) for each in targets)


def find_batching_host(site: DrainedStages) -> EntryHost:
    return rank_owners(site.service, site.hosts, 1)[0]


#: Targets of these sites lie in a zone each.
ZONE_DRAINED = ZoneDrains().drain("zone-0", 1)


# Guards against a call for pieces that is sent to a zone drained while it connected,
# and whose pieces then fail or whose target counts as failing.
def test_pieces_of_a_call_to_a_zone_drained_meanwhile_go_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = DrainedStages()
    site.connect_s = 0.1

    async def main() -> float | None:
        await curio.spawn(site.run_ticks, daemon=True)
        job = make_job("r", 3 * site.limits.batch, service=site.service)
        task = await curio.spawn(site.run_job, site.hosts[0], job)
        await curio.sleep(0.06)
        site.drain(ZONE_DRAINED)
        elapsed_s: float | None = await task.join()
        return elapsed_s

    elapsed_s = run_in_virtual_time(monkeypatch, main)
    assert elapsed_s is not None
    assert site.list_calls("zone-0") == []


# Guards against a batching host that sends queued jobs of another host, which doesn't
# know of the drain yet, to the drained zone.
def test_queued_jobs_of_a_host_that_learns_late_go_to_other_zones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = DrainedStages()
    batching = find_batching_host(site)
    sender = next(each for each in site.hosts if each != batching)

    async def main() -> list[float | None]:
        await curio.spawn(site.run_ticks, daemon=True)
        tasks = []
        for number in range(12):
            job = make_job(f"r{number}", 7, service=site.service, aim_ms=4_000.0)
            tasks.append(await curio.spawn(site.run_job, sender, job))
        await curio.sleep(0.05)
        site.drain(ZONE_DRAINED, late=[sender.host])
        drained_at.append(read_monotonic())
        return [await each.join() for each in tasks]

    drained_at: list[float] = []
    assert None not in run_in_virtual_time(monkeypatch, main)
    assert len(site.list_calls("zone-0")) == 1
    assert site.list_calls("zone-0", drained_at[0]) == []
    # The results of the call that was in flight.
    assert site.count_releases("zone-0") > 0


# Guards against calls that wait for a rate limit and are sent once its turn comes,
# though the zone was drained meanwhile.
def test_calls_that_wait_for_a_rate_limit_learn_of_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = DrainedStages()

    async def main() -> float:
        await curio.spawn(site.run_ticks, daemon=True)
        for each in site.signalling.values():
            each.signal = lambda _: ResponseSignals(rate_limit=1.0)
        await site.send_jobs(Random(3), 4.0, 4.0)
        site.drain(ZONE_DRAINED)
        drained_at = read_monotonic()
        await site.send_jobs(Random(4), 4.0, 4.0)
        await curio.sleep(5.0)
        return drained_at

    drained_at = run_in_virtual_time(monkeypatch, main)
    assert site.list_calls("zone-0")
    assert site.list_calls("zone-0", drained_at) == []
    assert site.list_calls("zone-1", drained_at)


# Guards against a host that was suspended with a call in hand, for which the rate limit
# had its turn seconds ago.
def test_call_of_a_limited_target_expires_and_its_pieces_are_sent_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = DrainedStages()
    sent: list[float] = []

    async def main() -> list[float | None]:
        await curio.spawn(site.run_ticks, daemon=True)
        for service in site.services.values():
            for target in site.targets:
                signals = service._targets._signals
                said = ResponseSignals(rate_limit=4.0)
                signals.record(target, said, read_monotonic())
        await curio.sleep(5.0)
        site.connect_s = 0.4
        job = make_job("r", 3, service=site.service)
        task = await curio.spawn(site.run_job, site.hosts[0], job)
        await curio.sleep(1.0)
        sent.extend(at for each in site.signalling.values() for at in each.calls)
        site.connect_s = 0.0
        return [await task.join()]

    assert None not in run_in_virtual_time(monkeypatch, main)
    assert sent == []


# Guards against a host that wakes up and sends calls for pieces before it hears that
# the zone was drained meanwhile.
def test_batching_host_that_was_suspended_hears_of_drains_before_it_sends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = DrainedStages()
    host = find_batching_host(site)
    suspensions = site.signals[host.host].suspensions

    async def main() -> float | None:
        await curio.spawn(site.run_ticks, daemon=True)
        suspensions.tick(read_monotonic() - 8.0)
        job = make_job("r", 3 * site.limits.batch, service=site.service)
        task = await curio.spawn(site.run_job, host, job)
        await curio.sleep(0.1)
        assert not any(each.calls for each in site.signalling.values())
        site.drain(ZONE_DRAINED)
        suspensions.record_page(read_monotonic(), read_monotonic())
        elapsed_s: float | None = await task.join()
        return elapsed_s

    assert run_in_virtual_time(monkeypatch, main) is not None
    assert site.list_calls("zone-0") == []


# Guards against calls to all targets of a zone in the moment at which its drain ends.
def test_undrained_zone_gets_calls_for_pieces_one_target_after_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = DrainedStages()
    first, *others = site.targets
    site.targets = (
        *(msgspec.structs.replace(each, zone="zone-0") for each in others),
        msgspec.structs.replace(first, zone="zone-1"),
    )

    async def main() -> list[int]:
        await curio.spawn(site.run_ticks, daemon=True)
        site.slow_starts.follow_drains(["zone-0"], read_monotonic())
        await curio.sleep(10.0)
        site.slow_starts.follow_drains([], read_monotonic())
        used = []
        for _ in range(3):
            await site.send_jobs(Random(3), 12.0, 2.0)
            used.append(sum(bool(x.calls) for x in site.signalling.values()))
        return used

    # The ramp lasts for 5 s: of the zone's two targets, the second gets its first call
    # after half of it.
    assert run_in_virtual_time(monkeypatch, main) == [2, 3, 3]


# Guards against jobs that are held until their deadline once all zones are drained.
def test_jobs_are_refused_at_once_while_all_zones_are_drained(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site, numbers = DrainedStages(), count()
    drains = ZoneDrains()
    for zone in {each.zone for each in site.targets}:
        drains = drains.drain(zone, 1)

    async def run_job(host: EntryHost) -> tuple[set[PieceFault | None], float]:
        job = make_job(f"r{next(numbers)}", 40, service=site.service)
        service, started_at = site.services[host.address], read_monotonic()
        results = await service.run_job(job)
        return {each.fault for each in results}, read_monotonic() - started_at

    async def main() -> list[tuple[set[PieceFault | None], float]]:
        await curio.spawn(site.run_ticks, daemon=True)
        queued = [await curio.spawn(run_job, each) for each in site.hosts]
        await curio.sleep(0.03)
        site.drain(drains)
        new = [await run_job(each) for each in site.hosts]
        return [*new, *[await each.join() for each in queued]]

    outcomes = run_in_virtual_time(monkeypatch, main)
    assert [faults for faults, _ in outcomes] == [{PieceFault.SHED}] * len(outcomes)
    assert max(elapsed_s for _, elapsed_s in outcomes) <= REFUSED_WITHIN_S
