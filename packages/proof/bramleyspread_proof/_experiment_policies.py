"""The sets of policies that the experiment compares."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from bramleyspread_core import Directory
from bramleyspread_entry import (
    AdmitAll,
    Choice,
    EntryConfig,
    LeastInFlight,
    NoComparison,
    NoHedging,
    Occupancy,
    PeerTimes,
    Policies,
    RandomTarget,
    RetryBudget,
    RoundRobin,
    SharedBudget,
    StageTimes,
    UnboundedBudget,
)


def _make_simple(
    choice: Choice, budget: RetryBudget, directory: Directory, rng: Random
) -> Policies:
    return Policies(
        times=StageTimes(),
        peer_times=PeerTimes(),
        occupancy=Occupancy(directory, rng),
        admission=AdmitAll(),
        choice=choice,
        outliers=NoComparison(),
        budget=budget,
        hedging=NoHedging(),
    )


def _share_budget(config: EntryConfig) -> SharedBudget:
    return SharedBudget(config.retry_share, config.retry_savings, config.retry_seed)


def _make_round_robin(
    config: EntryConfig, directory: Directory, rng: Random
) -> Policies:
    return _make_simple(RoundRobin(rng), _share_budget(config), directory, rng)


def _make_random(config: EntryConfig, directory: Directory, rng: Random) -> Policies:
    return _make_simple(RandomTarget(rng), UnboundedBudget(), directory, rng)


def _make_least(config: EntryConfig, directory: Directory, rng: Random) -> Policies:
    return _make_simple(LeastInFlight(rng), _share_budget(config), directory, rng)


#: Makes the policies of one host.
PolicyMaker = Callable[[EntryConfig, Directory, Random], Policies]

#: Ours first, then the baselines.
POLICIES: dict[str, PolicyMaker] = {
    "ours": Policies.from_config,
    "round-robin": _make_round_robin,
    "random-retry": _make_random,
    "least-in-flight": _make_least,
}
#: Attempts at one stage where retries are not bounded.
UNBOUNDED_TRIES = 1_000
