"""The failure of a target that is kept while its request is tried elsewhere."""

from __future__ import annotations

from bramleyspread_core import Address
from bramleyspread_daemon.forward._held_bytes import HeldBytes, Holding
from bramleyspread_forwarding import TargetFailed


class KeptFailure:
    """Keeps the last failure; it is given up if there is no room for its body."""

    __slots__ = ("_failure", "_held", "_holding")

    def __init__(self) -> None:
        self._failure: TargetFailed | None = None
        self._held: HeldBytes | None = None
        self._holding: Holding | None = None

    @property
    def failure(self) -> TargetFailed | None:
        """The failure; None if there is none, or it was given up."""
        return self._failure

    def keep(self, failure: TargetFailed, address: Address, held: HeldBytes) -> None:
        """Keep a failure in place of an earlier one.

        :param failure: the failure.
        :param address: address of the target.
        :param held: counts the bytes that are kept of all answers.
        """
        self.drop()
        self._failure, self._held = failure, held
        self._holding = Holding(address, lambda: len(failure.body), self.drop)
        held.resize(self._holding, len(failure.body))

    def drop(self) -> None:
        """Keep nothing any more."""
        holding, self._failure, self._holding = self._holding, None, None
        if holding is not None and self._held is not None and not holding.is_given_up:
            self._held.resize(holding, 0)
