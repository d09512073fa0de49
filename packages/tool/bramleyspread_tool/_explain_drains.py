"""Which zones were drained when a request was refused or came late."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from bramleyspread_tool._log_files import LogFiles, LogLine

#: How refusals end that follow from zone drains.
REFUSED_FOR_DRAINS = "every target is in a drained zone"


def find_drains(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    """Explain a refusal by the zone drains that the entry host obeyed.

    :param end: the line about the request's end.
    :param entry_host: the host that received the request.
    :param lines: the lines about the request.
    :param logs: all lines.
    :returns: the cause; empty if the request was refused for another reason.
    """
    if end is None or REFUSED_FOR_DRAINS not in end.text:
        return ""
    drains = describe_drains(logs.by_host[entry_host], end.at)
    known = f": {drains}" if drains else ""
    return f"operators had drained all zones with targets that it needed{known}"


def describe_drains(lines: Iterable[LogLine], now: float) -> str:
    """Describe the zone drains that a host obeyed at a time.

    :param lines: the lines of the host.
    :param now: the time, by the host's clock, in seconds.
    :returns: the zones, and since when; empty if none was drained.
    """
    drained: dict[str, LogLine] = {}
    for line in lines:
        zone = str(line.fields.get("zone", ""))
        if line.step != "drain" or line.at > now:
            continue
        if line.text == "drained":
            drained[zone] = line
        elif line.text == "undrained":
            drained.pop(zone, None)
    return ", ".join(
        f"{zone} since {now - line.at:.1f} s before (revision "
        f"{line.fields.get('revision')})"
        for zone, line in drained.items()
    )
