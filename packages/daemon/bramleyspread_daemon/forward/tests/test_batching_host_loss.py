"""Jobs while the batching host of their service is silent but still listed."""

from __future__ import annotations

import curio
import msgspec
import pytest

from bramleyspread_core import PieceLimits
from bramleyspread_daemon.forward.tests.simulated_site import SimulatedSite
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import EntryHost, PieceJob, find_owner

LIMITS = PieceLimits(
    slots=1, queue=2, batch=8, call_ms=150.0, piece_ms=16.0, result_retention_s=4.0
)
HOSTS, TARGETS = 8, 3
#: Number of jobs that each host sends at the same time.
JOBS_PER_HOST = 4
#: Time in which a host finds out that another one is silent, in seconds.
DETECTION_S = 1.0
#: Time that the targets need for the jobs of all hosts in full calls, in seconds.
FULL_CALLS_S = 6 * JOBS_PER_HOST * 2 / (3 * 8) * 0.278 + 0.278
JOB = PieceJob(
    service=SimulatedSite.service,
    request="",
    stage=0,
    pieces=2,
    remaining_ms=5_000.0,
    aim_ms=1_000.0,
)


def list_other_hosts(
    site: SimulatedSite,
) -> tuple[EntryHost, EntryHost, list[EntryHost]]:
    """Return the batching host, the one that follows it, and all others."""
    first = find_owner(site.service, site.hosts)
    assert first is not None
    others = [each for each in site.hosts if each != first]
    second = find_owner(site.service, others)
    assert second is not None
    return first, second, [each for each in others if each != second]


async def run_jobs(
    site: SimulatedSite, hosts: list[EntryHost], jobs_per_host: int = 1
) -> list[float | None]:
    """Run jobs for all hosts at the same time."""
    tasks = []
    for host in hosts:
        for number in range(jobs_per_host):
            job = msgspec.structs.replace(JOB, request=f"{host.host}-{number}")
            tasks.append(await curio.spawn(site.run_job, host, job))
    return [await task.join() for task in tasks]


# Guards against scattered batches after a cut: the next batching host had asked for no
# pieces lately, did not know that the first one was silent and sent all jobs back.
def test_all_jobs_go_to_the_next_host_if_the_batching_host_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = SimulatedSite(HOSTS, TARGETS, LIMITS, link_mbps=1_000.0)
    silent, following, others = list_other_hosts(site)
    site.silent_hosts.add(silent.address)
    elapsed: list[float | None] = []

    async def main() -> None:
        await curio.spawn(site.run_ticks, daemon=True)
        elapsed.extend(await run_jobs(site, others, JOBS_PER_HOST))

    run_in_virtual_time(monkeypatch, main)
    calls = {at.host: site.services[at.address].calls for at in site.hosts}
    limit_s = DETECTION_S + FULL_CALLS_S
    assert all(each is not None and each <= limit_s for each in elapsed)
    assert [name for name, number in calls.items() if number] == [following.host]


def test_silent_host_is_asked_less_and_less_often(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = SimulatedSite(HOSTS, TARGETS, LIMITS, link_mbps=1_000.0)
    silent, _, others = list_other_hosts(site)
    site.silent_hosts.add(silent.address)
    slow: list[float] = []

    async def main() -> None:
        await curio.spawn(site.run_ticks, daemon=True)
        for _ in range(40):
            (elapsed_s,) = await run_jobs(site, others[:1])
            assert elapsed_s is not None
            slow.extend([elapsed_s] if elapsed_s > 0.5 else [])

    run_in_virtual_time(monkeypatch, main)
    assert len(slow) <= 3
