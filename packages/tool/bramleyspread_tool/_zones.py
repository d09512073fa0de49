"""The ``bramleyspread zone`` commands: order zone drains, and show them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from datetime import UTC, datetime

import msgspec

from bramleyspread_core import (
    CommandResult,
    Fault,
    ObeyedDrains,
    Rejected,
    ZoneDrainAccepted,
    ZoneDrainsReport,
    ZoneOrder,
)
from bramleyspread_tool._exit import ExitCode


class ZoneReport(msgspec.Struct, frozen=True):
    """The result of an order."""

    #: The exit code.
    code: ExitCode
    #: The outcome: ``accepted``, ``already-accepted``, ``refused``, ``unreachable`` or
    #: ``unknown``.
    outcome: str
    #: The lines to print.
    lines: tuple[str, ...]
    #: Revision of the drains; 0 if the order was not accepted.
    revision: int = 0


def make_zone_report(order: ZoneOrder, result: CommandResult | Fault) -> ZoneReport:
    """Convert the result of an order to a report.

    :param order: the order.
    :param result: the reply of the control hosts, or a fault.
    :returns: the report.
    """
    state = "drained" if order.drained else "not drained"
    match result:
        case ZoneDrainAccepted(revision, is_repeat):
            already = " already" if is_repeat else ""
            line = f"zone {order.zone} is {state}{already} (revision {revision})"
            outcome = "already-accepted" if is_repeat else "accepted"
            return ZoneReport(ExitCode.DONE, outcome, (line,), revision)
        case Rejected(faults):
            lines = tuple(f"refused: {each}" for each in faults)
            return ZoneReport(ExitCode.REJECTED, "refused", lines)
        case Fault():
            line = f"no control host answered, nothing was changed: {result}"
            return ZoneReport(ExitCode.UNREACHABLE, "unreachable", (line,))
    reason = getattr(result, "why", type(result).__name__)
    line = f"unknown whether it was accepted; give the same order again: {reason}"
    return ZoneReport(ExitCode.UNKNOWN, "unknown", (line,))


def merge_drain_reports(reports: Sequence[ZoneDrainsReport]) -> ZoneDrainsReport:
    """Merge what several control hosts report.

    :param reports: at least one report.
    :returns: the newest drains, and each host with the highest revision that it obeys.
    """
    newest = max((each.drains for each in reports), key=lambda each: each.revision)
    hosts: dict[str, ObeyedDrains] = {}
    for report in reports:
        for each in report.hosts:
            known = hosts.get(each.host)
            if known is None or known.revision < each.revision:
                hosts[each.host] = each
    return ZoneDrainsReport(newest, tuple(hosts[name] for name in sorted(hosts)))


def format_drains(report: ZoneDrainsReport) -> Iterator[str]:
    """Format the drained zones, and the hosts that don't obey the newest revision.

    :param report: the drains and the hosts.
    :returns: the lines.
    """
    drains = report.drains
    for each in drains.drained:
        since = datetime.fromtimestamp(each.since_ms / 1_000, UTC)
        yield f"zone {each.zone}: drained since {since:%Y-%m-%dT%H:%M:%SZ}"
    if not drains.drained:
        yield "no zone is drained"
    late = [each for each in report.hosts if each.revision < drains.revision]
    obeying = len(report.hosts) - len(late)
    yield (
        f"revision {drains.revision}: obeyed by {obeying} of {len(report.hosts)} "
        "entry hosts"
    )
    for host in late:
        yield f"NOT obeyed by entry {host.host} ({host.zone}): revision {host.revision}"
