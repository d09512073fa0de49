"""Stages of a large site, whose entry hosts are many and have slow links."""

from __future__ import annotations

from itertools import count
from random import Random

import curio
import msgspec
import pytest

from bramleyspread_core import PieceLimits
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward.tests.simulated_site import SimulatedSite
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import PieceJob, choose_shard

#: The last stage of a site with 83 entry hosts, 81 requests a second and 16 pieces a
#: request: 1,300 of the 2,190 pieces a second that its targets can make.
LIMITS = PieceLimits(
    slots=1, queue=2, batch=68, call_ms=150.0, piece_ms=1.9, result_retention_s=4.0
)
HOSTS, TARGETS, REQUESTS_PER_S, PIECES, INPUTS = 83, 9, 81.0, 16, 6
#: Time in which a job is served by targets that are not overloaded: it waits for at
#: most one full call before its own, in seconds.
TWO_CALLS_S = 2 * (LIMITS.call_ms + LIMITS.batch * LIMITS.piece_ms) / 1000
#: Share of jobs that must be served in that time.
ON_TIME_SHARE = 0.95
#: Share of a link's rate that may be used in the mean, so that bursts pass.
MAX_LINK_SHARE = 0.7
#: Requests a second of which the targets can serve four fifths.
OVERLOAD_PER_S = 170.0
#: Share of time for which targets must be at work while more work waits than they can
#: do.
BUSY_SHARE = 0.95
#: Time after which a job is of no use, in seconds.
DEADLINE_S = 5.0
#: Length of a run, in seconds.
RUN_S = 10.0


def make_job(rng: Random, number: int) -> PieceJob:
    return PieceJob(
        service=SimulatedSite.service,
        request=f"{rng.getrandbits(64):016x}",
        stage=3,
        pieces=PIECES,
        inputs=tuple(
            f"10.1.65.{rng.randrange(8)}:8080/{number:07x}{at:04x}"
            for at in range(INPUTS)
        ),
        remaining_ms=DEADLINE_S * 1000,
        aim_ms=1_000.0,
        result_bytes=6_000,
    )


class SentJobs(msgspec.Struct):
    """What became of the jobs of one run."""

    #: How long each job took, in seconds; None for failed ones.
    elapsed_s: list[float | None] = []
    #: Share of time for which targets were at work while jobs were sent.
    busy_share: float = 0.0

    @property
    def on_time_share(self) -> float:
        """Share of jobs that were served within two calls' time."""
        served = [each for each in self.elapsed_s if each is not None]
        return sum(each <= TWO_CALLS_S for each in served) / len(self.elapsed_s)


async def send_jobs(
    site: SimulatedSite, requests_per_s: float = REQUESTS_PER_S
) -> SentJobs:
    """Send jobs from all hosts."""
    rng = Random(18)
    numbers = count(1)
    sent = SentJobs()

    async def run_job(number: int) -> None:
        job = make_job(rng, number)
        sent.elapsed_s.append(await site.run_job(rng.choice(site.hosts), job))

    await curio.spawn(site.run_ticks, daemon=True)
    tasks = []
    ends_at = read_monotonic() + RUN_S
    while read_monotonic() < ends_at:
        await curio.sleep(rng.expovariate(requests_per_s))
        tasks.append(await curio.spawn(run_job, next(numbers)))
    sent.busy_share = site.measure_busy_time() / (TARGETS * RUN_S)
    for task in tasks:
        await task.join()
    return sent


def test_targets_of_the_large_site_suffice_if_links_are_fast(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = SimulatedSite(HOSTS, TARGETS, LIMITS, link_mbps=1_000.0)
    sent = run_in_virtual_time(monkeypatch, lambda: send_jobs(site))
    assert sent.on_time_share >= ON_TIME_SHARE


# Guards against the incident SHORT: all calls and results of a stage service passed the
# link of one entry host, and stages were late although their targets had time.
def test_stages_of_a_large_site_are_on_time_over_slow_links(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = SimulatedSite(HOSTS, TARGETS, LIMITS, link_mbps=5.0)
    sent = run_in_virtual_time(monkeypatch, lambda: send_jobs(site))
    busiest_bytes = max(max(each.bytes.values()) for each in site.links.values())
    assert sent.on_time_share >= ON_TIME_SHARE
    assert busiest_bytes * 8 / 1e6 / RUN_S <= MAX_LINK_SHARE * 5.0


# Guards against what was left of the incident SHORT on a fast service: each target
# stood idle while its next call was on its way over the batching host's link.
def test_overloaded_targets_do_not_wait_for_calls_on_their_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = SimulatedSite(HOSTS, TARGETS, LIMITS, link_mbps=5.0)
    sent = run_in_virtual_time(monkeypatch, lambda: send_jobs(site, OVERLOAD_PER_S))
    assert sent.busy_share >= BUSY_SHARE


# Guards against requests held until their deadline: jobs that had started in a shard
# stayed there without targets when so few were left that the shard was no longer used.
def test_started_jobs_end_soon_when_their_shard_is_no_longer_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limits = msgspec.structs.replace(LIMITS, batch=4)
    site = SimulatedSite(8, 4, limits, link_mbps=1_000.0, stated_mbps=0.15)
    rng = Random(18)
    jobs = [make_job(rng, number) for number in range(20)]
    job = next(each for each in jobs if choose_shard(each, site.list_shards()) == 1)
    # More pieces than the calls that have been sent when the targets leave.
    job = msgspec.structs.replace(job, pieces=40)

    async def main() -> None:
        await curio.spawn(site.run_ticks, daemon=True)
        task = await curio.spawn(site.run_job, site.hosts[0], job)
        await curio.sleep(0.1)
        assert len(site.list_shards()) == 2
        site.targets = site.targets[:2]
        assert len(site.list_shards()) == 1
        assert await task.join() is not None

    run_in_virtual_time(monkeypatch, main)
    assert site.longest_s < DEADLINE_S / 2
