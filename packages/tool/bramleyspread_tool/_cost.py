"""The ``bramleyspread cost`` command: the cost of stages over all entry hosts."""

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

US_PER_S = 1_000_000


def fetch_costs(
    addresses: Sequence[Address],
    exchange: Exchange = exchange,
) -> tuple[tuple[CostReport, ...], tuple[Fault, ...]]:
    """Fetch the cost report of each entry host.

    :param addresses: the entry hosts.
    :param exchange: sends one HTTP request.
    :returns: the reports, and a fault for each host that did not return one.
    """
    reports: list[CostReport] = []
    faults: list[Fault] = []
    for address in addresses:
        answer = _fetch_cost(address, exchange)
        if isinstance(answer, Fault):
            faults.append(answer)
        else:
            reports.append(answer)
    return tuple(reports), tuple(faults)


def _fetch_cost(address: Address, exchange: Exchange) -> CostReport | Fault:
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
    """Add up the reports of several hosts, row by row.

    :param reports: the reports of the hosts.
    :returns: one report whose total is the sum of the totals.
    """
    rows: dict[tuple[str, str, str, str, CostKind], Cost] = {}
    total = Cost()
    for report in reports:
        total = total + report.total
        for row in report.rows:
            key = (row.service, row.organisation, row.brand, row.stage, row.kind)
            rows[key] = rows.get(key, Cost()) + row.cost
    merged = tuple(
        CostRow(*key, cost) for key, cost in sorted(rows.items(), key=_get_key)
    )
    return CostReport(merged, total)


def _get_key(
    item: tuple[tuple[str, str, str, str, CostKind], Cost],
) -> tuple[str, str, str, str, CostKind]:
    return item[0]


def format_cost_table(report: CostReport, group_by: str) -> Iterator[str]:
    """Format a report as a table with separate rows for retries and hedges.

    :param report: the report.
    :param group_by: ``service``, ``organisation``, ``brand`` or ``stage``.
    :returns: the lines; the last one is the total.
    """
    yield _format_line(group_by, "kind", "attempts", "target-s", "in", "cached", "out")
    sums: dict[tuple[str, CostKind], Cost] = {}
    for row in report.rows:
        key = (_get_group_name(row, group_by), row.kind)
        sums[key] = sums.get(key, Cost()) + row.cost
    for (name, kind), cost in sorted(sums.items(), key=lambda item: item[0]):
        yield _format_cost(name, kind.value, cost)
    yield _format_cost("total", "", report.total)


def _get_group_name(row: CostRow, group_by: str) -> str:
    if group_by == "brand":
        return f"{row.organisation}/{row.brand}"
    if group_by == "stage":
        return f"{row.service}/{row.stage}"
    return row.service if group_by == "service" else row.organisation


def _format_cost(name: str, kind: str, cost: Cost) -> str:
    seconds = f"{cost.target_us / US_PER_S:.6f}"
    tokens = (str(cost.tokens_in), str(cost.tokens_cached), str(cost.tokens_out))
    return _format_line(name, kind, str(cost.attempts), seconds, *tokens)


def _format_line(name: str, kind: str, *columns: str) -> str:
    return f"{name:<36} {kind:<10}" + "".join(f"{column:>14}" for column in columns)
