"""Tests of the ``zone`` commands: outcomes, exit codes and the list."""

from __future__ import annotations

import pytest

from bramleyspread_core import (
    Address,
    CommandResult,
    Fault,
    ObeyedDrains,
    Reason,
    Rejected,
    Undecided,
    ZoneDrainAccepted,
    ZoneDrains,
    ZoneDrainsReport,
    ZoneOrder,
    decode_json,
    encode_json,
)
from bramleyspread_tool import ExitCode, main
from bramleyspread_tool._control import ControlClient
from bramleyspread_tool._http import Reply
from bramleyspread_tool._zones import (
    format_drains,
    make_zone_report,
    merge_drain_reports,
)

ONE, TWO = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
ORDER = ZoneOrder("north", True)
REFUSED = Fault(Reason.CONNECT, "POST", str(ONE), "refused")


class FakeHosts:
    """Control hosts with one answer each, and a clock advanced by ``sleep``."""

    def __init__(self, answers: dict[Address, Reply | Fault]) -> None:
        self.answers = answers
        self.orders: list[ZoneOrder] = []
        self.now = 0.0

    def exchange(
        self, address: Address, method: str, path: str, body: bytes
    ) -> Reply | Fault:
        assert path == "/v1/control/zone-drains"
        if method == "POST":
            self.orders.append(decode_json(body, ZoneOrder))
        return self.answers[address]

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def make_client(self) -> ControlClient:
        addresses = tuple(self.answers)
        return ControlClient(addresses, self.exchange, self.sleep, lambda: self.now)


def reply(value: CommandResult | ZoneDrainsReport) -> Reply:
    return Reply(200, encode_json(value))


@pytest.mark.parametrize(
    ("answers", "code", "text"),
    [
        ([reply(ZoneDrainAccepted(3))], ExitCode.DONE, "is drained (revision 3)"),
        ([reply(ZoneDrainAccepted(3, True))], ExitCode.DONE, "drained already"),
        ([reply(Rejected(("zone: x",)))], ExitCode.REJECTED, "refused: zone: x"),
        ([reply(Undecided("no leader"))], ExitCode.UNKNOWN, "same order again"),
        ([REFUSED], ExitCode.UNREACHABLE, "nothing was changed"),
        # A host that can't be reached, and one that takes the order.
        ([REFUSED, reply(ZoneDrainAccepted(1))], ExitCode.DONE, "(revision 1)"),
        # A host of an earlier build, which has no such call.
        ([Reply(404, b"")], ExitCode.UNKNOWN, "404"),
    ],
)
def test_outcomes_of_an_order(
    answers: list[Reply | Fault], code: ExitCode, text: str
) -> None:
    hosts = FakeHosts(dict(zip((ONE, TWO), answers, strict=False)))
    report = make_zone_report(ORDER, hosts.make_client().order_zone(ORDER))
    assert report.code == code
    assert text in report.lines[0]
    assert set(hosts.orders) == {ORDER}


# Guards against a list that names hosts which obey, since one control host didn't hear
# of that, and against one that leaves out hosts which don't.
def test_list_merges_what_control_hosts_know() -> None:
    older = ZoneDrains().drain("north", 1_796_553_000_000)
    newer = older.drain("south", 1_796_553_060_000)
    first = ZoneDrainsReport(older, (ObeyedDrains("e", "north", 1),))
    second = ZoneDrainsReport(
        newer, (ObeyedDrains("e", "north", 2), ObeyedDrains("f", "south", 1))
    )
    answers: dict[Address, Reply | Fault] = {ONE: reply(first), TWO: reply(second)}
    reports = FakeHosts(answers).make_client().list_drain_reports()
    found = [each for each in reports if not isinstance(each, Fault)]
    assert list(format_drains(merge_drain_reports(found))) == [
        "zone north: drained since 2026-12-06T10:30:00Z",
        "zone south: drained since 2026-12-06T10:31:00Z",
        "revision 2: obeyed by 1 of 2 entry hosts",
        "NOT obeyed by entry f (south): revision 1",
    ]
    assert next(format_drains(ZoneDrainsReport(ZoneDrains()))) == "no zone is drained"


@pytest.mark.parametrize(
    ("argv", "code"),
    [
        (["zone", "drain", "", "--control", "127.0.0.1:1"], ExitCode.INVALID),
        (["zone", "undrain", "a\n", "--control", "127.0.0.1:1"], ExitCode.INVALID),
        (["zone", "list"], ExitCode.INVALID),
        (["zone", "list", "--control", "127.0.0.1:1"], ExitCode.UNREACHABLE),
    ],
)
def test_exit_codes_without_a_host(
    argv: list[str], code: ExitCode, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(argv) == code
    assert capsys.readouterr().err
