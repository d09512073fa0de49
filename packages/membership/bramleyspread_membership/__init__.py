"""The directory of an entry host: usable targets, entry hosts and documents.

Entry hosts exchange this state with each other by gossip.
"""

from bramleyspread_membership._config import DirectoryConfig, SeedHost
from bramleyspread_membership._directory import EntryDirectory
from bramleyspread_membership._messages import PoolSummary
from bramleyspread_membership._start import StartupGate
from bramleyspread_membership._summaries import ZoneSummary

__all__ = [
    "DirectoryConfig",
    "EntryDirectory",
    "PoolSummary",
    "SeedHost",
    "StartupGate",
    "ZoneSummary",
]
