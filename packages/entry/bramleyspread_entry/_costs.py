"""Where an entry host enters what each stage cost."""

from __future__ import annotations

from bramleyspread_core import Brand, Cost, CostKind, CostReport, CostRow, Usage
from bramleyspread_entry._attempts import AttemptKind

_KIND_OF_ATTEMPT = {
    AttemptKind.FIRST: CostKind.FIRST,
    AttemptKind.RETRY: CostKind.RETRY,
    AttemptKind.HEDGE: CostKind.HEDGE,
}


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
