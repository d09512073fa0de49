"""The set of policies that an entry host uses for its decisions."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bramleyspread_core import Directory
from bramleyspread_entry._admission import Admission, LoadAdmission
from bramleyspread_entry._choice import PowerOfTwoChoices, TargetSelector
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._hedges import Hedging, LateHedging
from bramleyspread_entry._latency import StageTimes
from bramleyspread_entry._occupancy import Occupancy
from bramleyspread_entry._outliers import OutlierDetection, PeerOutlierDetection
from bramleyspread_entry._peer_times import PeerTimes
from bramleyspread_entry._retries import RetryBudget, SharedBudget
from bramleyspread_entry._shares import WeightedShares
from bramleyspread_entry._slices import HostSlices


@dataclass(frozen=True, slots=True)
class Policies:
    """Interchangeable policies, and the measurements that they share."""

    #: Observed latency of each stage.
    stage_times: StageTimes
    #: Observed latency of each target at each stage.
    peer_times: PeerTimes
    #: Estimated load of the pools.
    occupancy: Occupancy
    #: Decides whether a request is admitted.
    admission: Admission
    #: Chooses the target of an attempt.
    target_selector: TargetSelector
    #: Excludes failing and slow targets.
    outlier_detection: OutlierDetection
    #: Limits retries and hedges.
    retry_budget: RetryBudget
    #: Decides when a late attempt is hedged.
    hedging: Hedging

    @classmethod
    def from_config(
        cls,
        config: EntryConfig,
        directory: Directory,
        rng: Random,
    ) -> Policies:
        """Create the policies used in production.

        :param config: limits and timings.
        :param directory: the known targets and entry hosts.
        :param rng: the random source.
        :returns: new policies for one host.
        """
        times = StageTimes()
        occupancy = Occupancy(directory, rng)
        outliers = PeerOutlierDetection()
        slices = HostSlices(directory, config.host, config.zone)
        budget = SharedBudget(
            config.retry_ratio, config.max_retry_balance, config.initial_retry_balance
        )
        return cls(
            stage_times=times,
            peer_times=PeerTimes(),
            occupancy=occupancy,
            admission=LoadAdmission(config, occupancy, WeightedShares(), times, rng),
            target_selector=PowerOfTwoChoices(config.zone, outliers, slices, rng),
            outlier_detection=outliers,
            retry_budget=budget,
            hedging=LateHedging(times),
        )
