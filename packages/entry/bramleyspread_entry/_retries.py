"""How many attempts may be added to those that requests need anyway."""

from __future__ import annotations

from typing import Protocol


class RetryBudget(Protocol):
    """Allows or refuses added attempts: retries and hedges."""

    def earn(self) -> None:
        """A stage's first attempt was dispatched."""

    def spend(self) -> bool:
        """Take the right to one added attempt, if there is one."""


class SharedBudget:
    """A budget earned by first attempts, so that added load has a bound.

    With a share of 0.1, added attempts stay under a tenth of first attempts
    plus a small constant, whatever share of attempts fails.

    >>> budget = SharedBudget(share=0.5, savings=10, seed=0)
    >>> budget.earn(); budget.spend()
    False
    >>> budget.earn(); budget.spend()
    True
    """

    __slots__ = ("_balance", "_savings", "_share")

    def __init__(self, share: float, savings: float, seed: float) -> None:
        self._share = share
        self._savings = savings
        self._balance = seed

    def earn(self) -> None:
        """Add a first attempt's share, up to the savings."""
        self._balance = min(self._savings, self._balance + self._share)

    def spend(self) -> bool:
        """Take the right to one added attempt.

        :returns: whether there was one.
        """
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class UnboundedBudget:
    """The baseline: every added attempt is allowed."""

    __slots__ = ()

    def earn(self) -> None:
        """Note nothing."""

    def spend(self) -> bool:
        """Allow it.

        :returns: always True.
        """
        return True


class NoBudget:
    """The baseline without retries."""

    __slots__ = ()

    def earn(self) -> None:
        """Note nothing."""

    def spend(self) -> bool:
        """Refuse it.

        :returns: always False.
        """
        return False
