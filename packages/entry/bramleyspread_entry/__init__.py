"""Request handling policies and state machine of an entry host, without I/O."""

from bramleyspread_entry._admission import Admission, AdmitAll, LoadAdmission, Refusal
from bramleyspread_entry._attempts import Attempt, AttemptKind
from bramleyspread_entry._baselines import LeastInFlight, RandomTarget, RoundRobin
from bramleyspread_entry._choice import (
    PowerOfTwoChoices,
    TargetRequirements,
    TargetSelector,
)
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._decisions import EntryDecisions
from bramleyspread_entry._hedges import Hedging, LateHedging, NoHedging
from bramleyspread_entry._ids import IdSource
from bramleyspread_entry._latency import StageTimes
from bramleyspread_entry._occupancy import Occupancy
from bramleyspread_entry._outliers import (
    NoOutlierDetection,
    OutlierDetection,
    PeerOutlierDetection,
)
from bramleyspread_entry._peer_times import PeerTimes
from bramleyspread_entry._policies import Policies
from bramleyspread_entry._retries import (
    NoRetries,
    RetryBudget,
    SharedBudget,
    UnboundedBudget,
)
from bramleyspread_entry._shares import NoShares, Shares, WeightedShares

__all__ = [
    "Admission",
    "AdmitAll",
    "Attempt",
    "AttemptKind",
    "EntryConfig",
    "EntryDecisions",
    "Hedging",
    "IdSource",
    "LateHedging",
    "LeastInFlight",
    "LoadAdmission",
    "NoHedging",
    "NoOutlierDetection",
    "NoRetries",
    "NoShares",
    "Occupancy",
    "OutlierDetection",
    "PeerOutlierDetection",
    "PeerTimes",
    "Policies",
    "PowerOfTwoChoices",
    "RandomTarget",
    "Refusal",
    "RetryBudget",
    "RoundRobin",
    "SharedBudget",
    "Shares",
    "StageTimes",
    "TargetRequirements",
    "TargetSelector",
    "UnboundedBudget",
    "WeightedShares",
]
