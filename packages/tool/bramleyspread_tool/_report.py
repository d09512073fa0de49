"""Formats the output of the ``show`` and ``status`` commands."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from bramleyspread_core import ControlStatus, DocumentText, Fault
from bramleyspread_tool._submit import HOST_STALE_AFTER_S, merge_entry_hosts


def format_documents(documents: Sequence[DocumentText]) -> Iterator[str]:
    """Format the documents in force, one line each.

    :param documents: the documents.
    :returns: the lines, sorted by service.
    """
    for each in sorted(documents, key=lambda document: document.service):
        yield (
            f"{each.service}  version {each.version}  revision {each.revision}  "
            f"by {each.author}"
        )


def format_statuses(statuses: Sequence[ControlStatus | Fault]) -> Iterator[str]:
    """Format the state of the control hosts and entry hosts.

    :param statuses: the status, or a fault, of each control host.
    :returns: the lines.
    """
    for status in statuses:
        if isinstance(status, Fault):
            yield f"control {status.peer}: no answer ({status})"
        else:
            yield f"control {status.host}: revision {status.revision}"
            yield from _format_groups(status)
    yield from _format_entry_hosts(statuses)


def _format_groups(status: ControlStatus) -> Iterator[str]:
    for group, role in sorted(status.roles.items()):
        leader = status.leaders.get(group) or "none known"
        voters = ", ".join(status.voters.get(group, ()))
        yield (
            f"  group {group}: {role}, term {status.terms.get(group, 0)}, "
            f"leader {leader}, applied {status.applied.get(group, 0)}, "
            f"voters {voters}"
        )


def _format_entry_hosts(statuses: Iterable[ControlStatus | Fault]) -> Iterator[str]:
    for name, host in sorted(merge_entry_hosts(statuses).items()):
        note = "  NOT HEARD" if host.age >= HOST_STALE_AFTER_S else ""
        yield (
            f"entry {name} ({host.zone}): revision {host.revision}, "
            f"heard {host.age:.1f} s ago{note}"
        )
