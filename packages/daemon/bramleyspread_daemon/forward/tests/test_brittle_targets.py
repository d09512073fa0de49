"""Targets that end if they have to reject too many requests for want of room."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from bramleyspread_core import Address, EngineLimits
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward.tests.forwarding_site import ENGINE, ForwardingSite
from bramleyspread_daemon.forward.tests.signalling_target import SignallingTarget
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import ResponseSignals, rank_owners

#: Hosts, targets, requests that a target runs at once, and how long each takes, in
#: seconds.
HOSTS, TARGETS, SLOTS, RUN_S = 8, 9, 8, 1.0
#: Requests a second that all targets run, and those that come in a burst.
CAPACITY_PER_S, BURST_PER_S = TARGETS * SLOTS / RUN_S, 140.0
#: Requests that wait at a sound target and at a brittle one.
SOUND_WAITING, BRITTLE_WAITING = 24, 1
#: Time from which fewer may wait, after targets begin to say that they are brittle, in
#: seconds.
CONTACT_S = 3.0
#: Rejections a second beyond which a brittle target ends, and for how long, in seconds.
BRITTLENESS, DOWN_S = 4, 3.0
#: How often targets may end: this number, and this share of the targets.
MAX_ENDS, MAX_ENDS_SHARE = 2, 0.1
#: Share of what targets can run that must be served.
MIN_USE = 0.6


class BrittleTarget(SignallingTarget):
    """A target that runs so many requests, lets a few wait and rejects the others."""

    def __init__(self, name: str, address: Address) -> None:
        super().__init__(name, address, RUN_S)
        #: Since when it says that it is brittle, in seconds; None while it isn't.
        self.brittle_since: float | None = None
        #: When it ended, in seconds.
        self.ends_at: list[float] = []
        self._held = 0
        self._rejections: list[float] = []

    def is_running(self, now: float) -> bool:
        return not self.ends_at or now >= self.ends_at[-1] + DOWN_S

    def begin(self, now: float) -> int:
        is_brittle = self.brittle_since is not None
        is_short = is_brittle and now >= (self.brittle_since or 0.0) + CONTACT_S
        room = SLOTS + (BRITTLE_WAITING if is_short else SOUND_WAITING)
        if self._held >= room:
            self._reject(now, is_brittle)
            return 503
        self._held += 1
        return 200

    def _reject(self, now: float, is_brittle: bool) -> None:
        self._rejections = [x for x in self._rejections if x > now - 1.0] + [now]
        if is_brittle and len(self._rejections) > BRITTLENESS:
            self.ends_at.append(now)
            self._rejections.clear()

    def end(self, status: int) -> None:
        self._held -= status == 200

    def respond(self, now: float) -> ResponseSignals:
        if self.brittle_since is None:
            return ResponseSignals()
        return ResponseSignals(brittleness=float(BRITTLENESS))


Disturbance = Callable[[ForwardingSite], Awaitable[None]]


async def wait(site: ForwardingSite) -> None:
    """Disturb nothing."""


async def restart_owners(site: ForwardingSite) -> None:
    """Restart the host that places requests, every two seconds."""
    for number in range(8):
        await curio.sleep(2.0)
        owner = rank_owners(site.service, site.list_hosts(), 1)[0]
        site.start_host(owner.host, owner.address, started=number + 2)


async def silence_owner(site: ForwardingSite) -> None:
    """Freeze the host that places requests for a while."""
    await curio.sleep(4.0)
    owner = rank_owners(site.service, site.list_hosts(), 1)[0]
    site.silent.add(owner.address)
    await curio.sleep(4.0)
    site.silent.discard(owner.address)


# Guards against bursts that make one brittle target after the other end.
@pytest.mark.parametrize("disturb", [wait, restart_owners, silence_owner])
@pytest.mark.parametrize("engine", [ENGINE, None])
@pytest.mark.parametrize("hosts", [3, HOSTS])
def test_brittle_targets_don_t_have_to_reject_requests(
    monkeypatch: pytest.MonkeyPatch,
    hosts: int,
    engine: EngineLimits | None,
    disturb: Disturbance,
) -> None:
    site = ForwardingSite(hosts, 0, engine=engine, slots=SLOTS)
    targets = [
        BrittleTarget(f"i-{at}", Address(f"10.1.64.{at}", 8200))
        for at in range(TARGETS)
    ]
    site.targets = {each.address: each for each in targets}
    seconds = 20.0

    async def main() -> None:
        await curio.spawn(site.run_hosts, daemon=True)
        await site.send_traffic(CAPACITY_PER_S / 2, 4.0)
        for each in targets:
            each.brittle_since = read_monotonic()
        await curio.spawn(disturb, site, daemon=True)
        await site.send_traffic(CAPACITY_PER_S / 2, CONTACT_S)
        site.ends.clear()
        await site.send_traffic(BURST_PER_S, seconds)
        await curio.sleep(2.0)

    run_in_virtual_time(monkeypatch, main)
    ends = sum(len(each.ends_at) for each in targets)
    assert ends <= MAX_ENDS + MAX_ENDS_SHARE * TARGETS
    if disturb is wait:
        assert site.ends[200] >= MIN_USE * CAPACITY_PER_S * seconds


def test_targets_that_are_brittle_no_more_are_used_as_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = ForwardingSite(HOSTS, 0, slots=SLOTS)
    target = BrittleTarget("i-0", Address("10.1.64.0", 8200))
    site.targets = {target.address: target}

    async def main() -> None:
        await curio.spawn(site.run_hosts, daemon=True)
        target.brittle_since = 0.0
        await site.send_traffic(20.0, 6.0)
        target.brittle_since = None
        await site.send_traffic(2.0, 4.0)
        site.ends.clear()
        await site.send_traffic(SLOTS / RUN_S, 6.0)

    run_in_virtual_time(monkeypatch, main)
    assert site.ends[503] == 0
