"""Parts of prompts that end each target which begins to answer them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import msgspec
import pytest

from bramleyspread_containment import identify_part
from bramleyspread_core import OrganisationKeys
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward.tests.crashing_site import CrashingSite
from bramleyspread_daemon.forward.tests.crashing_target import Fatal, find_crash
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import ForwardRequest, PromptPart, list_shared_parts

#: Traffic of the site that the incident came from, by engines and hosts.
HOSTS, TARGETS, PER_S = 8, 9, 28.0
#: Share of the requests that end targets, and for how long they come, in seconds.
FATAL_SHARE, FATAL_S = 0.05, 30.0
#: Time without such requests before, in seconds.
BEFORE_S = 6.0
#: Time in which hosts that are in touch learn of each other, in seconds.
CONTACT_S = 3.0
#: Number of targets that end before a part must be known by all hosts in touch, and of
#: requests with it that may reach targets after that.
PROOF_CRASHES, MAX_LATER = 5, 3
#: Number of targets that one part may end in all.
MAX_CRASHES = 8
#: Share of sound requests that begin at the first attempt, compared with before, once
#: the part is known.
MIN_BEGUN = 0.97
PART = "fatal-part"

Disturbance = Callable[[CrashingSite], Awaitable[None]]


def add_part(request: ForwardRequest, part: str = PART) -> ForwardRequest:
    """Put a part between the parts that a prompt shares and its own."""
    assert request.prompt is not None
    *shared, own = request.prompt.parts
    parts = (*shared, PromptPart(part, 300), own)
    prompt = msgspec.structs.replace(request.prompt, parts=parts)
    return msgspec.structs.replace(request, prompt=prompt)


def has_part(request: ForwardRequest, part: str = PART) -> bool:
    return part in list_shared_parts(request.prompt)


def make_site(hosts: int, seed: int = 1, controls: int = 3) -> CrashingSite:
    site = CrashingSite(hosts, TARGETS, controls=controls, seed=seed)
    for target in site.targets.values():
        target.find_fatal = lambda x: Fatal.TO_WRITE if has_part(x) else Fatal.NOT
    return site


def count_later_arrivals(site: CrashingSite) -> int:
    """Count what reached targets when all hosts in touch must have known the part."""
    fifth_at = find_crash(list(site.targets.values()), PROOF_CRASHES, has_part)
    return sum(at > fifth_at + CONTACT_S for at in site.list_fatal_arrivals())


# Guards against requests that end one target after the other by a part of a prompt.
@pytest.mark.parametrize("hosts", [3, HOSTS])
def test_part_that_ends_targets_is_refused_once_it_is_known(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    site = make_site(hosts)

    async def main() -> tuple[float, float]:
        await site.run()
        started_at = read_monotonic()
        await site.send_traffic(PER_S, BEFORE_S)
        fatal_at = read_monotonic()
        await site.send_traffic(PER_S, FATAL_S, FATAL_SHARE, add_part)
        until = read_monotonic()
        await curio.sleep(2.0)
        known_at = fatal_at + FATAL_S / 2
        return (
            site.find_begun_share(started_at, fatal_at),
            site.find_begun_share(known_at, until),
        )

    before, after = run_in_virtual_time(monkeypatch, main)
    assert count_later_arrivals(site) <= MAX_LATER
    assert site.count_crashes() <= MAX_CRASHES
    assert after >= MIN_BEGUN * before


# Guards against a proof that each organisation's requests have to pay for again.
def test_part_is_refused_whoever_sends_it(monkeypatch: pytest.MonkeyPatch) -> None:
    site = make_site(HOSTS)
    site.holders = tuple(
        OrganisationKeys(name=f"organisation-{at}", keys=()) for at in range(5)
    )

    async def main() -> None:
        await site.run()
        await site.send_traffic(PER_S, BEFORE_S)
        await site.send_traffic(PER_S, FATAL_S, FATAL_SHARE, add_part)

    run_in_virtual_time(monkeypatch, main)
    assert site.count_crashes() <= MAX_CRASHES
    assert count_later_arrivals(site) <= MAX_LATER


async def restart_entry_hosts(site: CrashingSite) -> None:
    """Restart all entry hosts at once, and then each one by itself."""
    await curio.sleep(10.0)
    site.restart_hosts(list(site.contexts), started=2)
    for at, address in enumerate(tuple(site.contexts)):
        await curio.sleep(1.5)
        site.restart_hosts([address], started=3 + at)


async def restart_control_hosts(site: CrashingSite) -> None:
    """Restart the control hosts one after the other."""
    await curio.sleep(8.0)
    for at, address in enumerate(tuple(site.controls)):
        site.start_control(address, started=2 + at)
        await curio.sleep(2.0)


async def freeze_entry_hosts(site: CrashingSite) -> None:
    """Freeze half of the entry hosts before the part is known, for a while."""
    await curio.sleep(0.5)
    frozen = list(site.contexts)[::2]
    site.silent.update(frozen)
    await curio.sleep(8.0)
    site.silent.difference_update(frozen)


# Guards against a proof that is paid for again by hosts that forgot or missed it.
@pytest.mark.parametrize(
    "disturb", [restart_entry_hosts, restart_control_hosts, freeze_entry_hosts]
)
def test_part_stays_known_over_restarts(
    monkeypatch: pytest.MonkeyPatch, disturb: Disturbance
) -> None:
    site = make_site(HOSTS)

    async def main() -> None:
        await site.run()
        await site.send_traffic(PER_S, BEFORE_S)
        await curio.spawn(disturb, site, daemon=True)
        await site.send_traffic(PER_S, FATAL_S, FATAL_SHARE, add_part)

    run_in_virtual_time(monkeypatch, main)
    assert site.count_crashes() <= MAX_CRASHES
    assert count_later_arrivals(site) <= MAX_LATER


async def crash_targets(site: CrashingSite) -> None:
    """Crash random targets, some of them at the same moment."""
    targets = list(site.targets.values())
    while True:
        await curio.sleep(site.rng.expovariate(1.0))
        for target in site.rng.sample(targets, site.rng.choice((1, 1, 1, 4))):
            if target.is_running:
                await target.end(None)


async def reset_connections(site: CrashingSite) -> None:
    """Break off all answers of random targets, which go on running."""
    targets = list(site.targets.values())
    while True:
        await curio.sleep(site.rng.expovariate(2.0))
        await site.rng.choice(targets).break_connections()


# Guards against parts that are refused because targets crash for another reason.
@pytest.mark.parametrize("disturb", [crash_targets, reset_connections])
@pytest.mark.parametrize("seed", range(1, 6))
def test_innocent_parts_are_never_refused(
    monkeypatch: pytest.MonkeyPatch, disturb: Disturbance, seed: int
) -> None:
    site = make_site(3, seed=seed)

    async def main() -> None:
        await site.run()
        await curio.spawn(disturb, site, daemon=True)
        await site.send_traffic(PER_S, 25.0)

    run_in_virtual_time(monkeypatch, main)
    for context in site.contexts.values():
        assert context.crashes.table.list_quarantines() == ()
        assert context.crashes.refused == 0


# Guards against parts that share their requests with one that ends targets.
@pytest.mark.parametrize("number", [1, 4])
def test_only_the_parts_that_end_targets_are_refused(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    site = make_site(HOSTS)
    fatal = [f"{PART}-{at}" for at in range(number)]
    for target in site.targets.values():
        target.find_fatal = lambda x: (
            Fatal.TO_WRITE if any(has_part(x, each) for each in fatal) else Fatal.NOT
        )

    def add_one(request: ForwardRequest) -> ForwardRequest:
        return add_part(request, site.rng.choice(fatal))

    async def main() -> None:
        await site.run()
        await site.send_traffic(PER_S, BEFORE_S)
        await site.send_traffic(PER_S, FATAL_S, 2 * FATAL_SHARE, add_one)
        await curio.sleep(1.0)

    run_in_virtual_time(monkeypatch, main)
    for context in site.contexts.values():
        quarantined = {x.feature for x in context.crashes.table.list_quarantines()}
        assert quarantined == set(map(identify_part, fatal))
    assert site.count_crashes() <= MAX_CRASHES * number
