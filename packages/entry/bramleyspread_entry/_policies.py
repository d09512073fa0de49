"""The policies that an entry host decides by, as one exchangeable set."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bramleyspread_core import Directory
from bramleyspread_entry._admission import Admission, LoadAdmission
from bramleyspread_entry._choice import Choice, TwoChoices
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._hedges import Hedging, LateHedging
from bramleyspread_entry._latency import StageTimes
from bramleyspread_entry._occupancy import Occupancy
from bramleyspread_entry._outliers import Outliers, PeerComparison
from bramleyspread_entry._peer_times import PeerTimes
from bramleyspread_entry._retries import RetryBudget, SharedBudget
from bramleyspread_entry._shares import WeightedShares
from bramleyspread_entry._slices import HostSlices


@dataclass(frozen=True, slots=True)
class Policies:
    """One object for each decision that may be made in several ways."""

    #: Observed latency of each stage.
    times: StageTimes
    #: Latency of each target, to compare it with its peers'.
    peer_times: PeerTimes
    #: How full the pools are.
    occupancy: Occupancy
    #: Whether a request is taken on.
    admission: Admission
    #: Which target an attempt goes to.
    choice: Choice
    #: Which targets are left alone.
    outliers: Outliers
    #: How many attempts may be added.
    budget: RetryBudget
    #: When a late attempt gets a second one beside it.
    hedging: Hedging

    @classmethod
    def from_config(
        cls,
        config: EntryConfig,
        directory: Directory,
        rng: Random,
    ) -> Policies:
        """Make the policies that the product runs with.

        :param config: limits and timings.
        :param directory: what is known of targets.
        :param rng: where chance comes from.
        :returns: a set of its own; nothing in it is shared.
        """
        times = StageTimes()
        occupancy = Occupancy(directory, rng)
        outliers = PeerComparison()
        slices = HostSlices(directory, config.host, config.zone)
        budget = SharedBudget(
            config.retry_share, config.retry_savings, config.retry_seed
        )
        return cls(
            times=times,
            peer_times=PeerTimes(),
            occupancy=occupancy,
            admission=LoadAdmission(config, occupancy, WeightedShares(), times, rng),
            choice=TwoChoices(config.zone, outliers, slices, rng),
            outliers=outliers,
            budget=budget,
            hedging=LateHedging(times),
        )
