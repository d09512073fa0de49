"""An entry host as other processes of a deployment see it."""

from __future__ import annotations

from abc import abstractmethod

from bramleyspread_core import Address, Announcement
from bramleyspread_proof._process import Process


class EntryHost(Process):
    """What control hosts and targets know of an entry host."""

    #: Where it listens.
    address: Address

    @abstractmethod
    def hear(self, announcement: Announcement) -> None:
        """Take what a target says of itself."""
