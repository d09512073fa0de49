"""Stages whose targets limit the rate of requests or want pauses, in virtual time."""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import curio
import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._piece_calls import PieceCalls
from bramleyspread_daemon.forward._piece_service import PieceService
from bramleyspread_daemon.forward._service_directory import ServiceDirectory
from bramleyspread_daemon.forward._target_signals import TargetSignals
from bramleyspread_daemon.forward._wire import PiecesRejected, TargetHead, WireCall
from bramleyspread_daemon.forward.tests.forwarding_site import (
    ForwardingSite,
    make_head,
)
from bramleyspread_daemon.forward.tests.signalling_target import (
    LIMIT_FACTOR,
    LIMIT_SLACK,
    WINDOW_S,
    SignallingTarget,
)
from bramleyspread_daemon.forward.tests.simulated_site import (
    SimulatedPeers,
    SimulatedSite,
)
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import (
    BatchedCall,
    EntryHost,
    PieceJob,
    PieceResult,
    ResponseSignals,
    TargetChange,
    TargetTable,
    WarmUpBound,
    WarmUps,
    WarmUpShares,
)
from bramleyspread_forwarding.tests.builders import LIMITS, make_job, make_notice

HOSTS, TARGETS, LINK_MBPS = 8, 3, 1_000.0
#: Jobs a second, each of two pieces of this size: half of what three targets can do in
#: a call a second each.
JOBS_PER_S, PIECES, RESULT_BYTES = 4.0, 2, 200_000
#: Share of jobs that must be served by limited targets that suffice for them.
SERVED_SHARE = 0.9
#: Time before targets signal, and for which they do, in seconds.
BEFORE_S, SIGNALLED_S = 4.0, 16.0

_numbers = count(1)


class _Wire:
    """Wire format whose heads are the signals themselves."""

    def write_pieces(self, call: BatchedCall) -> WireCall:
        return WireCall("/make", str(len(call.items)).encode())

    def read_pieces(
        self, call: BatchedCall, status: int, body: bytes
    ) -> tuple[PieceResult, ...] | PiecesRejected:
        if status != 200:
            return PiecesRejected(f"status {status}")
        target = call.target
        return tuple(
            PieceResult(f"{target.address}/{next(_numbers)}", None, target.zone)
            for _ in call.items
        )

    def write_release(self, handles: Sequence[str]) -> WireCall:
        return WireCall("/release", b"0")

    def find_result_address(self, handle: str) -> str:
        return handle.partition("/")[0]

    def read_head(self, status: int, signals: ResponseSignals) -> TargetHead:
        return make_head(status, "", signals)


class _Connection:
    """Connection of one host to a target, which processes one call at a time."""

    def __init__(self, host: str, target: SignallingTarget) -> None:
        self._host, self._target = host, target
        self._run_s = 0.0
        self.known_results: set[str] = set()

    async def send(self, method: str, path: str, headers: object, body: bytes) -> None:
        self._target.arrivals.append((read_monotonic(), self._host))
        pieces = int(body)
        if pieces:
            self._target.calls.append(read_monotonic())
            self._run_s = (LIMITS.call_ms + pieces * LIMITS.piece_ms) / 1000

    async def read_head(self) -> SimpleNamespace:
        target, now = self._target, read_monotonic()
        status = target.status(now)
        await curio.sleep(self._run_s if status == 200 else 0.0)
        signals = target.respond(read_monotonic())
        if status == 503 and signals.pause_s is not None:
            target.pauses.append((read_monotonic(), self._host, signals.pause_s))
        if signals.rate_limit is not None:
            target.told_at.setdefault(self._host, read_monotonic())
        return SimpleNamespace(status_code=status, headers=signals)

    async def read_body(self, max_bytes: int = 0) -> bytes:
        return b""

    async def close(self) -> None:
        pass


class StageSite(SimulatedSite):
    """Entry hosts that batch for targets which signal."""

    def __init__(self) -> None:
        self.signalling: dict[Address, SignallingTarget] = {}
        super().__init__(HOSTS, TARGETS, LIMITS, LINK_MBPS)
        for each in self.targets:
            target = SignallingTarget(each.target, each.address, 0.0)
            self.signalling[each.address] = target
        self.served = self.failed = 0

    def _make_service(self, host: EntryHost) -> PieceService:
        directory = ServiceDirectory(
            lambda _: self.targets,
            lambda _: self.limits,
            lambda: self.hosts,
            self.stated_mbps,
        )
        signals = self._make_signals()
        by_address = {each.address: each for each in self.targets}
        calls = PieceCalls(
            cast("Any", _Wire()),
            cast("Any", self._make_pool(host.host)),
            signals,
            by_address.get,
        )
        peers = cast("Any", SimulatedPeers(self, host.address))
        return PieceService(host.host, directory, calls, peers, signals.access)

    def _make_signals(self) -> TargetSignals:
        return TargetSignals(TargetTable(), Random(1))

    def _make_pool(self, host: str) -> SimpleNamespace:
        async def acquire(address: Address, timeout: float) -> _Connection:
            return _Connection(host, self.signalling[address])

        async def ignore(*_: object) -> None:
            pass

        return SimpleNamespace(
            acquire=acquire,
            release_connection=ignore,
            close_idle_to=ignore,
            record_traffic=lambda *_: None,
        )

    async def send_jobs(self, rng: Random, per_s: float, seconds: float) -> None:
        """Send jobs to random hosts at random times."""
        until = read_monotonic() + seconds
        while read_monotonic() < until:
            await curio.sleep(rng.expovariate(per_s))
            await curio.spawn(self._send_job, rng.choice(self.hosts), daemon=True)

    async def _send_job(self, host: EntryHost) -> None:
        job = PieceJob(
            service=self.service,
            request=f"{next(_numbers):x}",
            stage=0,
            pieces=PIECES,
            key="k",
            remaining_ms=5_000.0,
            aim_ms=2_500.0,
            result_bytes=RESULT_BYTES,
        )
        if await self.run_job(host, job) is None:
            self.failed += 1
        else:
            self.served += 1


def run_stage(
    monkeypatch: pytest.MonkeyPatch, signals: ResponseSignals, status: int = 200
) -> StageSite:
    """Run a stage whose targets send the same signals after a while.

    :param status: the status of every third response.
    """
    site, rng, turns = StageSite(), Random(7), count(1)

    async def main() -> None:
        await curio.spawn(site.run_ticks, daemon=True)
        await site.send_jobs(rng, JOBS_PER_S, BEFORE_S)
        for each in site.signalling.values():
            each.signal = lambda _: signals
            each.status = lambda _: status if next(turns) % 3 == 0 else 200
        await site.send_jobs(rng, JOBS_PER_S, SIGNALLED_S)
        await curio.sleep(5.0)

    run_in_virtual_time(monkeypatch, main)
    return site


# Guards against calls for pieces and releases that a target's rate limit doesn't allow.
@pytest.mark.parametrize("rate", [1.0, 2.0])
def test_stage_targets_get_no_more_than_their_rate_limit_and_suffice(
    monkeypatch: pytest.MonkeyPatch, rate: float
) -> None:
    site = run_stage(monkeypatch, ResponseSignals(rate_limit=rate))
    for target in site.signalling.values():
        assert target.named_at < math.inf
        assert target.find_excess(lambda _: rate) <= 0
    assert site.served >= SERVED_SHARE * (site.served + site.failed)


class WarmingStageSite(StageSite):
    """Entry hosts that batch for targets which all warm up, for longer than a test."""

    rate, bound = 2.0, WarmUpBound(1.5, 1.0)

    def _make_signals(self) -> TargetSignals:
        signals = TargetSignals(
            TargetTable(),
            Random(1),
            WarmUps(lambda service: self.rate),
            WarmUpShares(self.bound),
        )
        beats = [
            make_notice(each.target, service=self.service, warm_up_left_ms=6e5)
            for each in self.targets
        ]
        now = read_monotonic()
        signals.apply_heartbeats(map(TargetChange, beats), "-", now)
        return signals


# Guards against calls for pieces and releases to warming targets that aren't counted,
# or are counted by each batching host for itself.
def test_warming_stage_targets_get_what_they_bear_and_suffice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> WarmingStageSite:
        site = WarmingStageSite()
        await curio.spawn(site.run_ticks, daemon=True)
        await site.send_jobs(Random(7), JOBS_PER_S, SIGNALLED_S)
        await curio.sleep(5.0)
        return site

    site = run_in_virtual_time(monkeypatch, main)
    for target in site.signalling.values():
        arrivals = [at for at, _ in target.arrivals]
        most = max(sum(at <= x < at + 1.0 for x in arrivals) for at in arrivals)
        assert most <= site.bound.count_allowed(site.rate)
    assert site.served >= SERVED_SHARE * (site.served + site.failed)


# Guards against calls to a target that asked its batching host for a pause.
def test_stage_targets_are_left_alone_while_they_want_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pause = ResponseSignals(pause_s=3.0)
    site = run_stage(monkeypatch, pause, status=503)
    pauses = 0
    for target in site.signalling.values():
        for said_at, host, pause_s in target.pauses:
            pauses += 1
            within = [
                at
                for at, sender in target.arrivals
                if sender == host and said_at + 0.5 <= at < said_at + pause_s
            ]
            assert len(within) <= 2
    assert pauses


# Guards against an entry host that reads the limits of stage targets, and whose calls
# for pieces know nothing of them.
def test_entry_host_keeps_the_limits_that_stage_targets_name(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rate, seconds = 2.0, 12.0
    sent: list[float] = []

    async def send(_: PieceCalls, call: BatchedCall) -> tuple[PieceResult, ...]:
        sent.append(read_monotonic())
        await curio.sleep(0.02)
        return tuple(
            PieceResult(f"{call.target.address}/{next(_numbers)}", None, "z")
            for _ in call.items
        )

    monkeypatch.setattr(PieceCalls, "send", send)
    site = ForwardingSite(1, 1, pieces=LIMITS)

    async def main() -> None:
        await curio.spawn(site.run_hosts, daemon=True)
        await curio.sleep(0.1)
        (context,) = site.contexts.values()
        await curio.spawn(tick_forever, context.piece_service, daemon=True)
        (target,) = context.targets.list_usable(site.service)
        now = read_monotonic()
        context.signals.record(target, ResponseSignals(rate_limit=rate), now)
        for number in range(int(seconds * 10)):
            job = make_job(f"r{number}", 2, service=site.service)
            await curio.spawn(context.piece_service.run_job, job, daemon=True)
            await curio.sleep(0.1)

    run_in_virtual_time(monkeypatch, main)
    most = max(sum(at <= x < at + WINDOW_S for x in sent) for at in sent)
    assert most <= LIMIT_FACTOR * WINDOW_S * rate + LIMIT_SLACK


async def tick_forever(service: PieceService) -> None:
    while True:
        await service.tick()
        await curio.sleep(0.05)
