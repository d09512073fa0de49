"""Requests that end each target which begins to run them, and come again."""

from __future__ import annotations

import curio
import msgspec
import pytest

from bramleyspread_core import EngineLimits, RequestKind
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward.tests.crashing_site import CrashingSite
from bramleyspread_daemon.forward.tests.crashing_target import Fatal, find_crash
from bramleyspread_daemon.forward.tests.forwarding_site import ENGINE, ROUTE
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import ForwardRequest

#: Traffic of the service that the incident came from, by targets and hosts.
HOSTS, TARGETS, PER_S = 8, 3, 10.0
#: Time between two repeats of the request, and for how long it comes, in seconds.
REPEATED_S, FATAL_S = 1.4, 30.0
#: Time without it before, in seconds.
BEFORE_S = 4.0
#: Time in which hosts that are in touch learn of each other, in seconds.
CONTACT_S = 3.0
#: Number of targets that end before the request must be known by all hosts in touch,
#: and how often it may reach targets after that.
PROOF_CRASHES, MAX_LATER = 3, 3
#: Number of targets that the request may end in all.
MAX_CRASHES = 4
#: Share of sound requests that begin at the first attempt once it is known.
MIN_BEGUN = 0.97
PATH, BODY = "/fatal", b"what ends targets"
IDEMPOTENT = msgspec.structs.replace(ROUTE, kind=RequestKind.IDEMPOTENT, attempts=2)


def is_fatal(request: ForwardRequest) -> bool:
    return request.path == PATH and request.body == BODY


def make_site(engine: EngineLimits | None, seed: int = 1) -> CrashingSite:
    site = CrashingSite(HOSTS, TARGETS, engine=engine, route=IDEMPOTENT, seed=seed)
    for target in site.targets.values():
        target.find_fatal = lambda x: Fatal.TO_RUN if is_fatal(x) else Fatal.NOT
    return site


async def repeat_request(site: CrashingSite) -> None:
    """Send the request again and again, twice at a time, under new ids."""
    while True:
        for _ in range(2):
            request = msgspec.structs.replace(
                site.make_request(), path=PATH, path_and_query=PATH, body=BODY
            )
            address = site.rng.choice(list(site.contexts))
            await curio.spawn(site.forward, address, request, True, daemon=True)
            await curio.sleep(0.2)
        await curio.sleep(site.rng.expovariate(1 / REPEATED_S))


# Guards against a request that ends one target after the other each time it comes.
@pytest.mark.parametrize("engine", [ENGINE, None])
def test_request_that_ends_targets_is_refused_once_it_is_known(
    monkeypatch: pytest.MonkeyPatch, engine: EngineLimits | None
) -> None:
    site = make_site(engine)

    async def main() -> float:
        await site.run()
        await site.send_traffic(PER_S, BEFORE_S)
        await curio.spawn(repeat_request, site, daemon=True)
        await site.send_traffic(PER_S, FATAL_S)
        until = read_monotonic()
        await curio.sleep(1.0)
        return site.find_begun_share(until - FATAL_S / 2, until)

    begun = run_in_virtual_time(monkeypatch, main)
    third_at = find_crash(list(site.targets.values()), PROOF_CRASHES, is_fatal)
    later = sum(at > third_at + CONTACT_S for at in site.list_fatal_arrivals())
    assert later <= MAX_LATER
    assert site.count_crashes() <= MAX_CRASHES
    assert begun >= MIN_BEGUN
