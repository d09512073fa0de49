"""Cost accounting of an entry host, by service, brand, stage and kind of attempt."""

from __future__ import annotations

from bramleyspread_core import Brand, Cost, CostKind, CostReport, CostRow, Usage
from bramleyspread_entry._attempts import AttemptKind

_COST_KINDS = {
    AttemptKind.FIRST: CostKind.FIRST,
    AttemptKind.RETRY: CostKind.RETRY,
    AttemptKind.HEDGE: CostKind.HEDGE,
}


class CostLedger:
    """Records the cost of every attempt that may have run, exactly once."""

    __slots__ = ("_rows", "_total")

    def __init__(self) -> None:
        self._rows: dict[tuple[str, Brand, str, CostKind], Cost] = {}
        self._total = Cost()

    def record_answer(
        self,
        service: str,
        brand: Brand,
        stage: str,
        kind: AttemptKind,
        usage: Usage,
    ) -> None:
        """Record the cost of an attempt that was answered.

        :param service: the service.
        :param brand: the brand that sent the request.
        :param stage: the stage.
        :param kind: why the attempt was made.
        :param usage: the usage reported by the target.
        """
        cost = Cost.from_usage(usage)
        self._add(service, brand, stage, _COST_KINDS[kind], cost)

    def record_unanswered(
        self,
        service: str,
        brand: Brand,
        stage: str,
        kind: CostKind,
        seconds: float,
    ) -> None:
        """Record the estimated cost of an attempt whose target reported no usage.

        :param service: the service.
        :param brand: the brand that sent the request.
        :param stage: the stage.
        :param kind: cancelled or lost.
        :param seconds: longest time for which the attempt may have run.
        """
        self._add(service, brand, stage, kind, Cost.from_seconds(seconds))

    def report(self) -> CostReport:
        """Report all costs recorded so far.

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

    def _add(
        self,
        service: str,
        brand: Brand,
        stage: str,
        kind: CostKind,
        cost: Cost,
    ) -> None:
        key = (service, brand, stage, kind)
        previous = self._rows.get(key)
        self._rows[key] = cost if previous is None else previous + cost
        self._total = self._total + cost
