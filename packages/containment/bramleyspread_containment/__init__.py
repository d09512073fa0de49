"""Finds what crashes targets in requests, and keeps it from further targets."""

from bramleyspread_containment._crash_news import (
    CrashNews,
    SharedCrash,
    SharedSuccess,
)
from bramleyspread_containment._crash_table import EXPIRY_INTERVAL_S, CrashTable
from bramleyspread_containment._crashes import Crash
from bramleyspread_containment._features import identify_part, identify_request
from bramleyspread_containment._quarantine import Quarantine

__all__ = [
    "EXPIRY_INTERVAL_S",
    "Crash",
    "CrashNews",
    "CrashTable",
    "Quarantine",
    "SharedCrash",
    "SharedSuccess",
    "identify_part",
    "identify_request",
]
