"""Whether a host had lost its own paths to targets when a request failed."""

from __future__ import annotations

from collections.abc import Sequence

from bramleyspread_tool._log_files import LogFiles, LogLine

#: What lines say of a host that reaches targets again.
REACHED_AGAIN = "targets are reached"
#: What ends say of requests for which no target was reached.
UNREACHED_TEXTS = ("not connected", "every target was tried")


def find_lost_paths(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    """Explain a failure by paths that the entry host had lost.

    :param end: the line about the request's end.
    :param entry_host: the host that received the request.
    :param lines: the lines about the request.
    :param logs: all lines.
    :returns: the cause; empty if the request ended for another reason.
    """
    if end is None or not any(text in end.text for text in UNREACHED_TEXTS):
        return ""
    lost: dict[str, LogLine] = {}
    for line in logs.by_host[entry_host]:
        if line.step != "path" or line.at > end.at:
            continue
        if line.text == REACHED_AGAIN:
            lost.clear()
        else:
            lost.setdefault(line.peer, line)
    if not lost:
        return ""
    first = next(iter(lost.values()))
    return (
        f"{entry_host} had lost its paths to {len(lost)} target(s), the first "
        f"{end.at - first.at:.1f} s before, which {first.fields.get('relayed_by')} "
        "reached; no host relayed the request"
    )
