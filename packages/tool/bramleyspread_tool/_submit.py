"""The ``bramleyspread submit`` command: submits a document and reports the result."""

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
    EntryHostStatus,
    Fault,
    Rejected,
    SubmitDocument,
)
from bramleyspread_tool._control import ControlClient
from bramleyspread_tool._exit import ExitCode

#: Age of the last message from an entry host, in seconds, from which the host counts
#: as stale: ``submit --wait`` doesn't wait for it, and ``status`` marks it.
HOST_STALE_AFTER_S = 30.0
#: Pause between two status polls, in seconds.
POLL_INTERVAL_S = 0.2


class SubmitReport(msgspec.Struct, frozen=True):
    """The result of a submission."""

    #: The exit code.
    code: ExitCode
    #: The outcome: ``accepted``, ``already-accepted``, ``conflict``, ``refused``,
    #: ``unreachable`` or ``unknown``.
    outcome: str
    #: The lines to print.
    lines: tuple[str, ...]
    #: Revision of the change; 0 if it was not accepted.
    revision: int = 0
    #: With ``--wait``, the entry hosts on which the change is in force.
    in_force: tuple[str, ...] = ()
    #: With ``--wait``, the entry hosts on which the change is not in force.
    not_in_force: tuple[str, ...] = ()


def make_change_id(author: str, text: bytes) -> str:
    """Derive the id of a change from its author and content.

    The control hosts apply a change id only once, so that the same author can
    safely submit the same file again.

    :param author: the author.
    :param text: the content of the document.
    :returns: the id; equal for the same author and content.

    >>> make_change_id("ana", b"x") == make_change_id("ana", b"x")
    True
    >>> make_change_id("ana", b"x") == make_change_id("luz", b"x")
    False
    """
    return xxhash.xxh3_128_hexdigest(author.encode() + b"\0" + text)


def submit_document(client: ControlClient, author: str, text: bytes) -> SubmitReport:
    """Submit a document to the control hosts and convert their reply to a report.

    :param client: the client of the control hosts.
    :param author: the author.
    :param text: the content of the document, already validated.
    :returns: the report.
    """
    change = make_change_id(author, text)
    command = SubmitDocument(change, author, text.decode())
    return make_submit_report(client.run_command(command))


def make_submit_report(result: CommandResult | Fault) -> SubmitReport:
    """Convert the result of a submission to a report.

    :param result: the reply of the control hosts, or a fault.
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
            reason = getattr(result, "why", type(result).__name__)
            line = (
                f"unknown whether it was accepted; submit the same file again: {reason}"
            )
            return SubmitReport(ExitCode.UNKNOWN, "unknown", (line,))


def _describe_conflict(result: Conflict) -> str:
    return (
        f"conflict: {result.service} version {result.version}, submitted by "
        f"{result.author}, is in force; read it with 'bramleyspread show "
        f"{result.service}', merge, and submit version {result.version + 1}"
    )


def merge_entry_hosts(
    statuses: Iterable[ControlStatus | Fault],
) -> dict[str, EntryHostStatus]:
    """Merge the entry hosts' states that several control hosts reported.

    :param statuses: the status, or a fault, of each control host.
    :returns: the latest known state of each entry host, by name.
    """
    newest: dict[str, EntryHostStatus] = {}
    for status in statuses:
        if isinstance(status, Fault):
            continue
        for host in status.entry_hosts:
            known = newest.get(host.host)
            newest[host.host] = host if known is None else _choose_newer(known, host)
    return newest


def _choose_newer(one: EntryHostStatus, other: EntryHostStatus) -> EntryHostStatus:
    return max(one, other, key=lambda host: (host.revision, -host.age))


def wait_in_force(
    client: ControlClient,
    report: SubmitReport,
    timeout: float,
    sleep: Callable[[float], None] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
) -> SubmitReport:
    """Wait until a change is in force on every live entry host.

    :param client: the client of the control hosts.
    :param report: the report of the accepted change.
    :param timeout: the time limit in seconds.
    :param sleep: sleeps for a number of seconds.
    :param clock: returns monotonic seconds.
    :returns: the report with the hosts on which the change is or isn't in force.
    """
    deadline = clock() + timeout
    while True:
        known = merge_entry_hosts(client.list_statuses())
        live = {k: v for k, v in known.items() if v.age < HOST_STALE_AFTER_S}
        up_to_date = sorted(k for k, v in live.items() if v.revision >= report.revision)
        missing = sorted(set(live) - set(up_to_date))
        if (up_to_date and not missing) or clock() >= deadline:
            return _add_wait_result(report, tuple(up_to_date), tuple(missing))
        sleep(POLL_INTERVAL_S)


def _add_wait_result(
    report: SubmitReport,
    up_to_date: tuple[str, ...],
    missing: tuple[str, ...],
) -> SubmitReport:
    everywhere = bool(up_to_date) and not missing
    lines = (
        *report.lines,
        *(f"in force on {host}" for host in up_to_date),
        *(f"NOT in force on {host}" for host in missing),
    )
    if not up_to_date and not missing:
        lines = (*lines, "no entry host has been heard of")
    return msgspec.structs.replace(
        report,
        code=ExitCode.DONE if everywhere else ExitCode.NOT_YET_IN_FORCE,
        lines=lines,
        in_force=up_to_date,
        not_in_force=missing,
    )
