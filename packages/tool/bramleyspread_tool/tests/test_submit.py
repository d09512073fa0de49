"""Tests of submissions: outcomes, exit codes and waiting for entry hosts."""

from collections.abc import Sequence

import pytest

from bramleyspread_core import (
    Accepted,
    Address,
    CommandResult,
    Conflict,
    ControlStatus,
    EntryHostStatus,
    Fault,
    HostName,
    NotLeader,
    Reason,
    Rejected,
    ServiceName,
    Undecided,
    encode_json,
)
from bramleyspread_tool import ExitCode
from bramleyspread_tool._control import ControlClient
from bramleyspread_tool._http import Reply
from bramleyspread_tool._submit import (
    make_submit_report,
    submit_document,
    wait_in_force,
)

ONE = Address("127.0.0.1", 1)
TWO = Address("127.0.0.1", 2)
SERVICE = ServiceName("photos")
REFUSED = Fault(Reason.CONNECT, "POST", str(ONE), "refused")
SILENT = Fault(Reason.SILENT, "POST", str(ONE), "no byte")


class FakeControlHosts:
    """Control hosts with scripted replies, and a clock advanced by ``sleep``."""

    def __init__(self, script: Sequence[CommandResult | Fault]) -> None:
        self.script = list(script)
        self.contacted: list[Address] = []
        self.now = 0.0

    def exchange(
        self, address: Address, method: str, path: str, body: bytes
    ) -> Reply | Fault:
        self.contacted.append(address)
        answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(answer, Fault):
            return answer
        return Reply(200, encode_json(answer))

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def make_client(self) -> ControlClient:
        return ControlClient((ONE, TWO), self.exchange, self.sleep, lambda: self.now)


RESULT_CASES = [
    ([Accepted(SERVICE, 1, 7)], ExitCode.DONE, "accepted"),
    ([Accepted(SERVICE, 1, 7, resent=True)], ExitCode.DONE, "already-accepted"),
    ([Conflict(SERVICE, 2, "luz")], ExitCode.CONFLICT, "conflict"),
    ([Rejected(("x: bad",))], ExitCode.REJECTED, "refused"),
    ([Undecided("stepped down")], ExitCode.UNKNOWN, "unknown"),
    ([REFUSED], ExitCode.UNREACHABLE, "unreachable"),
    ([SILENT, REFUSED], ExitCode.UNKNOWN, "unknown"),
    ([REFUSED, SILENT, Accepted(SERVICE, 1, 7)], ExitCode.DONE, "accepted"),
    ([Undecided("lost"), Accepted(SERVICE, 1, 7)], ExitCode.DONE, "accepted"),
]


@pytest.mark.parametrize(("script", "code", "outcome"), RESULT_CASES)
def test_outcome_and_exit_code(
    script: list[CommandResult | Fault], code: ExitCode, outcome: str
) -> None:
    report = submit_document(FakeControlHosts(script).make_client(), "ana", b"x")
    assert (report.code, report.outcome) == (code, outcome)


def test_command_follows_not_leader_reply() -> None:
    leader = Address("127.0.0.1", 9)
    fake = FakeControlHosts(
        [NotLeader(leader), NotLeader(leader), Accepted(SERVICE, 1, 7)]
    )
    assert submit_document(fake.make_client(), "ana", b"x").outcome == "accepted"
    assert fake.contacted[-1] == leader


def test_conflict_names_version_and_author() -> None:
    (line,) = make_submit_report(Conflict(SERVICE, 4, "luz")).lines
    assert "version 4" in line
    assert "luz" in line
    assert "submit version 5" in line


def make_status(*hosts: EntryHostStatus) -> ControlStatus:
    return ControlStatus(HostName("c"), {}, {}, {}, {}, {}, 7, hosts)


def make_host(name: str, revision: int, age: float = 0.1) -> EntryHostStatus:
    return EntryHostStatus(HostName(name), "z", revision, age)


WAIT_CASES = [
    ([make_host("a", 7), make_host("b", 8)], ExitCode.DONE, ("a", "b"), ()),
    ([make_host("a", 7), make_host("b", 6)], ExitCode.NOT_YET_IN_FORCE, ("a",), ("b",)),
    ([make_host("a", 7), make_host("b", 6, 60.0)], ExitCode.DONE, ("a",), ()),
    ([], ExitCode.NOT_YET_IN_FORCE, (), ()),
]


@pytest.mark.parametrize(("hosts", "code", "done", "missing"), WAIT_CASES)
def test_wait_reports_each_host(
    hosts: list[EntryHostStatus],
    code: ExitCode,
    done: tuple[str, ...],
    missing: tuple[str, ...],
) -> None:
    fake = FakeControlHosts([Accepted(SERVICE, 1, 7)])
    report = submit_document(fake.make_client(), "ana", b"x")
    fake.exchange = lambda *_: Reply(200, encode_json(make_status(*hosts)))  # type: ignore[method-assign]
    report = wait_in_force(
        fake.make_client(), report, 1.0, fake.sleep, lambda: fake.now
    )
    assert (report.code, report.in_force, report.not_in_force) == (code, done, missing)
