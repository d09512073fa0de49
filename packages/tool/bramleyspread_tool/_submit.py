"""``bramleyspread submit``: put a document in force, and say what came of it."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from bramleyspread_core import (
    Accepted,
    CommandResult,
    Conflict,
    ControlStatus,
    Fault,
    HostInForce,
    Rejected,
    SubmitDocument,
)
from bramleyspread_tool._control import ControlHosts
from bramleyspread_tool._exit import ExitCode

#: An entry host not heard for longer than this is not waited for, in seconds.
HOST_GONE_S = 30.0
#: Pause between two looks at the hosts, in seconds.
LOOK_PAUSE_S = 0.2


class SubmitReport(msgspec.Struct, frozen=True):
    """What came of a submission."""

    #: The exit code.
    code: ExitCode
    #: ``accepted``, ``already-accepted``, ``conflict``, ``refused`` or ``unknown``.
    outcome: str
    #: What a person should read, a line each.
    lines: tuple[str, ...]
    #: Revision of the change; 0 when it was not accepted.
    revision: int = 0
    #: Entry hosts on which it is in force, when waited for.
    in_force: tuple[str, ...] = ()
    #: Entry hosts on which it is not, when waited for.
    not_in_force: tuple[str, ...] = ()


def make_change_id(author: str, text: bytes) -> str:
    """Derive the id that makes a resend of the same file by the same author safe.

    :param author: who submits.
    :param text: the document's bytes.
    :returns: an id; equal for equal author and bytes.

    >>> make_change_id("ana", b"x") == make_change_id("ana", b"x")
    True
    >>> make_change_id("ana", b"x") == make_change_id("luz", b"x")
    False
    """
    return xxhash.xxh3_128_hexdigest(author.encode() + b"\0" + text)


def submit_document(hosts: ControlHosts, author: str, text: bytes) -> SubmitReport:
    """Submit a document and describe the result.

    :param hosts: the control hosts.
    :param author: who submits.
    :param text: the document's bytes, already checked.
    :returns: the report.
    """
    change = make_change_id(author, text)
    command = SubmitDocument(change, author, text.decode())
    return describe_result(hosts.run_command(command))


def describe_result(result: CommandResult | Fault) -> SubmitReport:
    """Turn a command's result into a report.

    :param result: what the control hosts said.
    :returns: the report.
    """
    match result:
        case Accepted(resent=True):
            line = f"already accepted: {result.service} version {result.version}"
            return SubmitReport(
                ExitCode.DONE, "already-accepted", (line,), result.revision
            )
        case Accepted():
            line = f"accepted: {result.service} version {result.version}"
            return SubmitReport(ExitCode.DONE, "accepted", (line,), result.revision)
        case Conflict():
            return SubmitReport(
                ExitCode.CONFLICT, "conflict", (_describe_conflict(result),)
            )
        case Rejected():
            lines = tuple(f"refused: {fault}" for fault in result.faults)
            return SubmitReport(ExitCode.REJECTED, "refused", lines)
        case Fault():
            line = f"no control host answered, nothing was changed: {result}"
            return SubmitReport(ExitCode.UNREACHABLE, "unreachable", (line,))
        case _:
            why = getattr(result, "why", type(result).__name__)
            line = f"unknown whether it was accepted; submit the same file again: {why}"
            return SubmitReport(ExitCode.UNKNOWN, "unknown", (line,))


def _describe_conflict(result: Conflict) -> str:
    return (
        f"conflict: {result.service} version {result.version}, submitted by "
        f"{result.author}, is in force; read it with 'bramleyspread show "
        f"{result.service}', merge, and submit version {result.version + 1}"
    )


def merge_hosts(statuses: Iterable[ControlStatus | Fault]) -> dict[str, HostInForce]:
    """Unite what the control hosts know of the entry hosts.

    :param statuses: the control hosts' statuses.
    :returns: the newest knowledge of each entry host, by name.
    """
    newest: dict[str, HostInForce] = {}
    for status in statuses:
        if isinstance(status, Fault):
            continue
        for host in status.entry_hosts:
            known = newest.get(host.host)
            newest[host.host] = host if known is None else _newer(known, host)
    return newest


def _newer(one: HostInForce, other: HostInForce) -> HostInForce:
    return max(one, other, key=lambda host: (host.revision, -host.age))


def wait_in_force(
    hosts: ControlHosts,
    report: SubmitReport,
    timeout: float,
    sleep: Callable[[float], None] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> SubmitReport:
    """Wait until a change is in force on every entry host that is there.

    :param hosts: the control hosts.
    :param report: the accepted change.
    :param timeout: longest wait, in seconds.
    :param sleep: how to wait.
    :param clock: monotonic seconds.
    :returns: the report with each host that has it in force and each that hasn't.
    """
    until = clock() + timeout
    while True:
        known = merge_hosts(hosts.list_statuses())
        here = {k: v for k, v in known.items() if v.age < HOST_GONE_S}
        done = sorted(k for k, v in here.items() if v.revision >= report.revision)
        missing = sorted(set(here) - set(done))
        if (done and not missing) or clock() >= until:
            return _add_hosts(report, tuple(done), tuple(missing))
        sleep(LOOK_PAUSE_S)


def _add_hosts(
    report: SubmitReport,
    done: tuple[str, ...],
    missing: tuple[str, ...],
) -> SubmitReport:
    everywhere = bool(done) and not missing
    lines = (
        *report.lines,
        *(f"in force on {host}" for host in done),
        *(f"NOT in force on {host}" for host in missing),
    )
    if not done and not missing:
        lines = (*lines, "no entry host has been heard of")
    return msgspec.structs.replace(
        report,
        code=ExitCode.DONE if everywhere else ExitCode.NOT_YET_IN_FORCE,
        lines=lines,
        in_force=done,
        not_in_force=missing,
    )
