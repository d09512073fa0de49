"""Parts of prompts that end each target which begins to answer them."""

from __future__ import annotations

import curio
import msgspec
import pytest

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
