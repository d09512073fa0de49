"""The interface of an entry host towards other simulated processes."""

from __future__ import annotations

from abc import abstractmethod

from bramleyspread_core import Address, Announcement
from bramleyspread_proof._process import Process


class EntryHost(Process):
    """An entry host as control hosts and targets see it."""

    #: Address at which it listens.
    address: Address

    @abstractmethod
    def handle_announcement(self, announcement: Announcement) -> None:
        """Handle an announcement from a target."""
