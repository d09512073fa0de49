"""What each stage costs, for whom."""

from __future__ import annotations

from enum import Enum

import msgspec

from bramleyspread_core import Brand, Usage
from bramleyspread_entry._attempts import AttemptKind


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


_KIND_OF_ATTEMPT = {
    AttemptKind.FIRST: CostKind.FIRST,
    AttemptKind.RETRY: CostKind.RETRY,
    AttemptKind.HEDGE: CostKind.HEDGE,
}


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


class CostLedger:
    """Where the cost of every attempt that may have run is entered once."""

    __slots__ = ("_rows", "_total")

    def __init__(self) -> None:
        self._rows: dict[tuple[str, Brand, str, CostKind], Cost] = {}
        self._total = Cost()

    def enter_answer(
        self,
        service: str,
        brand: Brand,
        stage: str,
        kind: AttemptKind,
        usage: Usage,
    ) -> None:
        """Enter an attempt that gave its answer.

        :param service: the service.
        :param brand: whose request it was.
        :param stage: the stage.
        :param kind: why the attempt was made.
        :param usage: the target's count.
        """
        cost = Cost.from_usage(usage)
        self._enter(service, brand, stage, _KIND_OF_ATTEMPT[kind], cost)

    def enter_waste(
        self,
        service: str,
        brand: Brand,
        stage: str,
        kind: CostKind,
        seconds: float,
    ) -> None:
        """Enter an attempt whose target's count is not known.

        :param service: the service.
        :param brand: whose request it was.
        :param stage: the stage.
        :param kind: cancelled or lost.
        :param seconds: how long it may have run.
        """
        self._enter(service, brand, stage, kind, Cost.from_seconds(seconds))

    def report(self) -> CostReport:
        """Report all costs.

        :returns: rows in order of service, organisation, brand, stage and kind.
        """
        rows = [
            CostRow(service, brand.organisation, brand.name, stage, kind, cost)
            for (service, brand, stage, kind), cost in sorted(
                self._rows.items(),
                key=lambda item: item[0],
            )
        ]
        return CostReport(tuple(rows), self._total)

    def _enter(
        self,
        service: str,
        brand: Brand,
        stage: str,
        kind: CostKind,
        cost: Cost,
    ) -> None:
        key = (service, brand, stage, kind)
        held = self._rows.get(key)
        self._rows[key] = cost if held is None else held + cost
        self._total = self._total + cost
