"""Cost accounting by service, brand, stage and kind of attempt."""

from __future__ import annotations

from enum import Enum

import msgspec

from bramleyspread_core._calls import Usage


class CostKind(str, Enum):
    """Kind of attempts whose cost a row sums up."""

    #: First attempts that returned an answer.
    FIRST = "first"
    #: Retries that returned an answer.
    RETRY = "retry"
    #: Hedges that returned an answer.
    HEDGE = "hedge"
    #: Cancelled attempts, charged with the time from dispatch to cancellation.
    CANCELLED = "cancelled"
    #: Attempts with an unknown outcome, charged with the time from dispatch until
    #: the outcome was found to be unknown.
    LOST = "lost"


class Cost(msgspec.Struct, frozen=True):
    """An amount of work, in integers so that sums are exact.

    >>> Cost(attempts=1, target_us=5) + Cost(attempts=1, target_us=2)
    Cost(attempts=2, target_us=7, tokens_in=0, tokens_cached=0, tokens_out=0)
    """

    attempts: int = 0
    #: Processing time at targets, in microseconds.
    target_us: int = 0
    #: Number of prompt tokens.
    tokens_in: int = 0
    #: Number of prompt tokens found in a prefix cache.
    tokens_cached: int = 0
    #: Number of generated tokens.
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
        """Compute the cost of one attempt from the target's usage report.

        :param usage: usage as measured by the target.
        :returns: the attempt's cost.
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
        """Compute the cost of one attempt for which there is no usage report.

        :param seconds: the longest time that the attempt may have run.
        :returns: an upper bound of the attempt's processing time, as its cost.
        """
        return cls(attempts=1, target_us=round(seconds * 1_000_000))


class CostRow(msgspec.Struct, frozen=True):
    """Cost of one kind of attempts at one stage, for one brand."""

    service: str
    #: The organisation that is charged.
    organisation: str
    brand: str
    stage: str
    kind: CostKind
    cost: Cost


class CostReport(msgspec.Struct, frozen=True):
    """All costs of a host since it started; the rows add up to the total."""

    rows: tuple[CostRow, ...]
    #: Total cost, accumulated independently of the rows.
    total: Cost
