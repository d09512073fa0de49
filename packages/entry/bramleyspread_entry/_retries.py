"""Retry budget: limits the retries and hedges added to the first attempts."""

from __future__ import annotations

from typing import Protocol


class RetryBudget(Protocol):
    """Allows or denies each retry and hedge."""

    def record_first_attempt(self) -> None:
        """Record that the first attempt at a stage is dispatched."""

    def try_acquire(self) -> bool:
        """Take one retry or hedge from the budget; False when it is used up."""


class SharedBudget:
    """Budget shared by all requests, to which each first attempt adds.

    It bounds the added load: with a ratio of 0.1, retries and hedges stay under a
    tenth of first attempts plus a small constant, whatever share of attempts fails.

    >>> budget = SharedBudget(ratio=0.5, max_balance=10, initial_balance=0)
    >>> budget.record_first_attempt(); budget.try_acquire()
    False
    >>> budget.record_first_attempt(); budget.try_acquire()
    True
    """

    __slots__ = ("_balance", "_max_balance", "_ratio")

    def __init__(
        self, ratio: float, max_balance: float, initial_balance: float
    ) -> None:
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = initial_balance

    def record_first_attempt(self) -> None:
        """Add the ratio to the balance, up to the maximum balance."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    def try_acquire(self) -> bool:
        """Take one retry or hedge from the balance.

        :returns: False when the balance is less than 1.
        """
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class UnboundedBudget:
    """Baseline for comparisons: allows every retry and hedge."""

    __slots__ = ()

    def record_first_attempt(self) -> None:
        """Do nothing."""

    def try_acquire(self) -> bool:
        """Allow the retry or hedge.

        :returns: always True.
        """
        return True


class NoRetries:
    """Baseline for comparisons: denies every retry and hedge."""

    __slots__ = ()

    def record_first_attempt(self) -> None:
        """Do nothing."""

    def try_acquire(self) -> bool:
        """Deny the retry or hedge.

        :returns: always False.
        """
        return False
