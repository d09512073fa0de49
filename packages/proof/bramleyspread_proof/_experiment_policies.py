"""The sets of policies that the experiment compares."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from bramleyspread_core import Directory
from bramleyspread_entry import (
    AdmitAll,
    EntryConfig,
    LeastInFlight,
    NoHedging,
    NoOutlierDetection,
    Occupancy,
    PeerTimes,
    Policies,
    RandomTarget,
    RetryBudget,
    RoundRobin,
    SharedBudget,
    StageTimes,
    TargetSelector,
    UnboundedBudget,
)


def _make_baseline(
    choice: TargetSelector, budget: RetryBudget, directory: Directory, rng: Random
) -> Policies:
    return Policies(
        stage_times=StageTimes(),
        peer_times=PeerTimes(),
        occupancy=Occupancy(directory, rng),
        admission=AdmitAll(),
        target_selector=choice,
        outlier_detection=NoOutlierDetection(),
        retry_budget=budget,
        hedging=NoHedging(),
    )


def _make_shared_budget(config: EntryConfig) -> SharedBudget:
    return SharedBudget(
        config.retry_ratio, config.max_retry_balance, config.initial_retry_balance
    )


def _make_round_robin(
    config: EntryConfig, directory: Directory, rng: Random
) -> Policies:
    return _make_baseline(RoundRobin(rng), _make_shared_budget(config), directory, rng)


def _make_random(config: EntryConfig, directory: Directory, rng: Random) -> Policies:
    return _make_baseline(RandomTarget(rng), UnboundedBudget(), directory, rng)


def _make_least_in_flight(
    config: EntryConfig, directory: Directory, rng: Random
) -> Policies:
    return _make_baseline(
        LeastInFlight(rng), _make_shared_budget(config), directory, rng
    )


#: Creates the policies of one host.
PolicyMaker = Callable[[EntryConfig, Directory, Random], Policies]

#: The product's policies, followed by the baselines.
POLICIES: dict[str, PolicyMaker] = {
    "ours": Policies.from_config,
    "round-robin": _make_round_robin,
    "random-retry": _make_random,
    "least-in-flight": _make_least_in_flight,
}
#: Attempt limit of a stage for the policy with unbounded retries.
UNBOUNDED_ATTEMPTS = 1_000
