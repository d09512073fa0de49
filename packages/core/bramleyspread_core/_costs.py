"""What each stage costs, for whom."""

from __future__ import annotations

from enum import Enum

import msgspec

from bramleyspread_core._calls import Usage


class CostKind(str, Enum):
    """Which part of the cost a row holds."""

    #: First attempts that gave their answer.
    FIRST = "first"
    #: Retries that gave their answer.
    RETRY = "retry"
    #: Hedges that gave their answer.
    HEDGE = "hedge"
    #: Attempts cancelled, charged with the time from dispatch to cancel.
    CANCELLED = "cancelled"
    #: Attempts with an unknown outcome, charged with the time until it was known.
    LOST = "lost"


class Cost(msgspec.Struct, frozen=True):
    """An amount of work, in whole units so that sums are exact.

    >>> Cost(attempts=1, target_us=5) + Cost(attempts=1, target_us=2)
    Cost(attempts=2, target_us=7, tokens_in=0, tokens_cached=0, tokens_out=0)
    """

    #: Attempts.
    attempts: int = 0
    #: Time that targets worked, in microseconds.
    target_us: int = 0
    #: Prompt tokens read.
    tokens_in: int = 0
    #: Prompt tokens found in a prefix cache.
    tokens_cached: int = 0
    #: Tokens generated.
    tokens_out: int = 0

    def __add__(self, other: Cost) -> Cost:
        return Cost(
            self.attempts + other.attempts,
            self.target_us + other.target_us,
            self.tokens_in + other.tokens_in,
            self.tokens_cached + other.tokens_cached,
            self.tokens_out + other.tokens_out,
        )

    @classmethod
    def from_usage(cls, usage: Usage) -> Cost:
        """Count one attempt as the target counted it.

        :param usage: the target's count.
        :returns: its cost.
        """
        return cls(
            1,
            usage.target_us,
            usage.tokens_in,
            usage.tokens_cached,
            usage.tokens_out,
        )

    @classmethod
    def from_seconds(cls, seconds: float) -> Cost:
        """Count one attempt that no target counted.

        :param seconds: how long it may have run.
        :returns: its cost, at most too high.
        """
        return cls(attempts=1, target_us=round(seconds * 1_000_000))


class CostRow(msgspec.Struct, frozen=True):
    """The cost of one kind of attempts at one stage, for one brand."""

    #: The service.
    service: str
    #: The organisation that pays.
    organisation: str
    #: Its brand.
    brand: str
    #: The stage.
    stage: str
    #: Which part of the cost this is.
    kind: CostKind
    #: How much.
    cost: Cost


class CostReport(msgspec.Struct, frozen=True):
    """All costs of a host since it started; the rows sum to the total."""

    #: The parts.
    rows: tuple[CostRow, ...]
    #: The sum, counted on its own.
    total: Cost
