"""``bramleyspread cost``: what each stage cost, summed over the entry hosts."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from bramleyspread_core import (
    Address,
    Cost,
    CostKind,
    CostReport,
    CostRow,
    Fault,
    MessageError,
    Reason,
    decode_json,
)
from bramleyspread_tool._control import HTTP_OK, Exchange
from bramleyspread_tool._http import exchange

#: Microseconds in a second.
US_PER_S = 1_000_000


def ask_costs(
    addresses: Sequence[Address],
    exchange: Exchange = exchange,
) -> tuple[tuple[CostReport, ...], tuple[Fault, ...]]:
    """Ask each entry host for its costs.

    :param addresses: the entry hosts.
    :param exchange: how one exchange is made.
    :returns: the reports, and why the other hosts gave none.
    """
    reports: list[CostReport] = []
    faults: list[Fault] = []
    for address in addresses:
        answer = _ask_cost(address, exchange)
        if isinstance(answer, Fault):
            faults.append(answer)
        else:
            reports.append(answer)
    return tuple(reports), tuple(faults)


def _ask_cost(address: Address, exchange: Exchange) -> CostReport | Fault:
    reply = exchange(address, "GET", "/v1/cost", b"")
    if isinstance(reply, Fault):
        return reply
    if reply.status != HTTP_OK:
        return Fault(Reason.REFUSED, "cost", str(address), f"HTTP {reply.status}")
    try:
        return decode_json(reply.body, CostReport)
    except MessageError as error:
        return Fault(Reason.PROTOCOL, "cost", str(address), str(error))


def merge_reports(reports: Sequence[CostReport]) -> CostReport:
    """Sum reports of several hosts, row by row.

    :param reports: the hosts' reports.
    :returns: one report; its total is the sum of the totals.
    """
    rows: dict[tuple[str, str, str, str, CostKind], Cost] = {}
    total = Cost()
    for report in reports:
        total = total + report.total
        for row in report.rows:
            key = (row.service, row.organisation, row.brand, row.stage, row.kind)
            rows[key] = rows.get(key, Cost()) + row.cost
    merged = tuple(CostRow(*key, cost) for key, cost in sorted(rows.items(), key=_key))
    return CostReport(merged, total)


def _key(
    item: tuple[tuple[str, str, str, str, CostKind], Cost],
) -> tuple[str, str, str, str, CostKind]:
    return item[0]


def list_cost_lines(report: CostReport, by: str) -> Iterator[str]:
    """Write a report as a table for people; retries and hedges stand apart.

    :param report: the report.
    :param by: ``service``, ``organisation``, ``brand`` or ``stage``.
    :returns: the lines, with the total last.
    """
    yield _format_line(by, "kind", "attempts", "target-s", "in", "cached", "out")
    sums: dict[tuple[str, CostKind], Cost] = {}
    for row in report.rows:
        key = (_name_group(row, by), row.kind)
        sums[key] = sums.get(key, Cost()) + row.cost
    for (name, kind), cost in sorted(sums.items(), key=lambda item: item[0]):
        yield _format_cost(name, kind.value, cost)
    yield _format_cost("total", "", report.total)


def _name_group(row: CostRow, by: str) -> str:
    if by == "brand":
        return f"{row.organisation}/{row.brand}"
    if by == "stage":
        return f"{row.service}/{row.stage}"
    return row.service if by == "service" else row.organisation


def _format_cost(name: str, kind: str, cost: Cost) -> str:
    seconds = f"{cost.target_us / US_PER_S:.6f}"
    tokens = (str(cost.tokens_in), str(cost.tokens_cached), str(cost.tokens_out))
    return _format_line(name, kind, str(cost.attempts), seconds, *tokens)


def _format_line(name: str, kind: str, *columns: str) -> str:
    return f"{name:<36} {kind:<10}" + "".join(f"{column:>14}" for column in columns)
