"""Whether a host had lost its own paths to targets when a request failed."""

from __future__ import annotations

from collections.abc import Sequence

from bramleyspread_tool._log_files import LogFiles, LogLine

#: What lines say of a host that reaches targets again.
REACHED_AGAIN = "targets are reached"
#: What ends say of requests whose deadline came before they were sent.
WAITED_TEXT = "out of time before it was sent"
#: Share of a request's time that it must have waited for connections, if that is why.
MIN_WAITED_SHARE = 0.5
#: What ends say of requests for which no target was reached.
UNREACHED_TEXTS = (
    "not connected",
    "every target was tried",
    "no host that was asked reaches a target",
    WAITED_TEXT,
)


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
    waited = _describe_waiting(end, entry_host, logs)
    if WAITED_TEXT in end.text and not waited:
        return ""
    if not lost:
        return waited
    first = next(iter(lost.values()))
    cause = (
        f"{entry_host} had lost its paths to {len(lost)} target(s), the first "
        f"{end.at - first.at:.1f} s before, which {first.fields.get('relayed_by')} "
        "reached; no host relayed the request"
    )
    return f"{cause}; {waited}" if waited else cause


def _describe_waiting(end: LogLine, entry_host: str, logs: LogFiles) -> str:
    """Describe how long a request waited for connections, and who was asked to relay.

    :returns: empty if it did not wait for most of its time.
    """
    waited_ms = end.fields.get("connect_ms")
    if not isinstance(waited_ms, int | float):
        return ""
    if waited_ms < MIN_WAITED_SHARE * max(end.ms, 1.0):
        return ""
    began_at = end.at - end.ms / 1000
    searches = [
        line
        for line in logs.by_host[entry_host]
        if line.step == "relay" and began_at <= line.at <= end.at
    ]
    failed = sum(line.text != "relayed" for line in searches)
    return (
        f"waited {waited_ms:.0f} of {end.ms:.0f} ms for connections; of "
        f"{len(searches)} searches of {entry_host} for a relay meanwhile {failed} "
        "found none"
    )
