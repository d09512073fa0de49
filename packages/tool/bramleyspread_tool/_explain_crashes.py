"""Which targets had crashed under requests like one that was refused."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from bramleyspread_tool._log_files import LogFiles, LogLine

#: Names of the kinds of features, by the first letter of their identities.
KINDS = {"p": "the same part in their prompts", "r": "the same content"}
#: Maximum number of crashes that are named.
MAX_NAMED = 5


def find_crashes(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    """Explain a refusal by the crashes of targets that led to it.

    :param end: the line about the request's end.
    :param entry_host: the host that received the request.
    :param lines: the lines about the request.
    :param logs: all lines.
    :returns: the cause; empty if the request was refused for another reason.
    """
    covered = next((x for x in lines if x.step == "quarantine"), None)
    if covered is None:
        return ""
    feature = str(covered.fields.get("feature", ""))
    kind = KINDS.get(feature[:1], "the same feature")
    targets = covered.peer.split(",")
    crashes = _list_crashes(targets, logs)
    named = "; ".join(_describe(each, covered.at) for each in crashes[:MAX_NAMED])
    seen = f": {named}" if named else f" ({', '.join(targets)})"
    return (
        f"{len(targets)} target(s) had crashed under requests with {kind} "
        f"({feature}){seen}"
    )


def _list_crashes(targets: Iterable[str], logs: LogFiles) -> list[LogLine]:
    """List the first line about the crash of each target, oldest first."""
    wanted = set(targets)
    first: dict[str, LogLine] = {}
    for host_lines in logs.by_host.values():
        for line in host_lines:
            if line.step == "crash" and line.peer in wanted:
                known = first.get(line.peer)
                if known is None or line.at < known.at:
                    first[line.peer] = line
    return sorted(first.values(), key=lambda each: each.at)


def _describe(line: LogLine, now: float) -> str:
    requests = line.fields.get("requests", "")
    return (
        f"{line.peer}, {now - line.at:.1f} s before, seen by {line.host} ({requests})"
    )
