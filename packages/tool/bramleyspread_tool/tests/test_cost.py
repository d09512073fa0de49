"""Tests that merged cost reports add up and that failed hosts are reported."""

import pytest

from bramleyspread_core import (
    Address,
    Cost,
    CostKind,
    CostReport,
    CostRow,
    Fault,
    Reason,
    encode_json,
)
from bramleyspread_tool._cost import fetch_costs, format_cost_table, merge_reports
from bramleyspread_tool._http import Reply


def make_report(*costs: tuple[str, CostKind, int]) -> CostReport:
    rows = tuple(
        CostRow("photos", "inti", "fast", stage, kind, Cost(1, us, us, 0, us))
        for stage, kind, us in costs
    )
    return CostReport(rows, sum((row.cost for row in rows), Cost()))


ONE = make_report(("encode", CostKind.FIRST, 5), ("encode", CostKind.RETRY, 2))
TWO = make_report(("encode", CostKind.FIRST, 7), ("rank", CostKind.HEDGE, 1))


def test_merged_rows_sum_to_total() -> None:
    merged = merge_reports([ONE, TWO])
    assert sum((row.cost for row in merged.rows), Cost()) == merged.total
    assert [row.cost.target_us for row in merged.rows] == [12, 2, 1]


@pytest.mark.parametrize("by", ["service", "organisation", "brand", "stage"])
def test_table_ends_with_the_total(by: str) -> None:
    lines = list(format_cost_table(merge_reports([ONE, TWO]), by))
    assert lines[-1].startswith("total")
    assert "0.000015" in lines[-1]


def test_failed_hosts_are_named() -> None:
    answers: dict[str, Reply | Fault] = {
        "127.0.0.1:1": Reply(200, encode_json(ONE)),
        "127.0.0.1:2": Fault(Reason.SILENT, "GET", "127.0.0.1:2"),
        "127.0.0.1:3": Reply(500, b""),
        "127.0.0.1:4": Reply(200, b"{"),
    }
    addresses = [Address.from_text(text) for text in answers]
    reports, faults = fetch_costs(addresses, lambda address, *_: answers[str(address)])
    assert reports == (ONE,)
    assert [fault.peer for fault in faults][1:] == ["127.0.0.1:3", "127.0.0.1:4"]
