"""How ``show`` and ``status`` put things to people."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from bramleyspread_core import ControlStatus, DocumentText, Fault
from bramleyspread_tool._submit import HOST_GONE_S, merge_hosts


def list_document_lines(documents: Sequence[DocumentText]) -> Iterator[str]:
    """Describe the documents in force, a line each.

    :param documents: the documents.
    :returns: the lines, by service.
    """
    for each in sorted(documents, key=lambda document: document.service):
        yield (
            f"{each.service}  version {each.version}  revision {each.revision}  "
            f"by {each.author}"
        )


def list_status_lines(statuses: Sequence[ControlStatus | Fault]) -> Iterator[str]:
    """Describe control hosts and entry hosts, a line each.

    :param statuses: the control hosts' statuses.
    :returns: the lines.
    """
    for status in statuses:
        if isinstance(status, Fault):
            yield f"control {status.peer}: no answer ({status})"
        else:
            yield f"control {status.host}: revision {status.revision}"
            yield from _list_group_lines(status)
    yield from _list_host_lines(statuses)


def _list_group_lines(status: ControlStatus) -> Iterator[str]:
    for group, role in sorted(status.roles.items()):
        leader = status.leaders.get(group) or "none known"
        voters = ", ".join(status.voters.get(group, ()))
        yield (
            f"  group {group}: {role}, term {status.terms.get(group, 0)}, "
            f"leader {leader}, applied {status.applied.get(group, 0)}, "
            f"voters {voters}"
        )


def _list_host_lines(statuses: Iterable[ControlStatus | Fault]) -> Iterator[str]:
    for name, host in sorted(merge_hosts(statuses).items()):
        note = "  NOT HEARD" if host.age >= HOST_GONE_S else ""
        yield (
            f"entry {name} ({host.zone}): revision {host.revision}, "
            f"heard {host.age:.1f} s ago{note}"
        )
