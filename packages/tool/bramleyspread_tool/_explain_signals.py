"""What targets had said about themselves when a request was refused."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from bramleyspread_tool._log_files import LogFiles, LogLine

#: How refusals begin that follow from what targets say.
REFUSED_FOR_SIGNALS = "every target "
#: Step of the lines about targets that warm up.
WARM_UP = "warm-up"
#: Maximum number of targets that are named.
MAX_NAMED = 5


def find_signals(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    """Explain a refusal by what the entry host knew of the targets.

    :param end: the line about the request's end.
    :param entry_host: the host that received the request.
    :param lines: the lines about the request.
    :param logs: all lines.
    :returns: the cause; empty if the request was refused for another reason.
    """
    if end is None or REFUSED_FOR_SIGNALS not in end.text:
        return ""
    said = _list_latest(logs.by_host[entry_host], end.at)
    described = [_describe(each, end.at) for each in said]
    texts = [each for each in described if each]
    named = "; ".join(texts[:MAX_NAMED])
    more = f"; and {len(texts) - MAX_NAMED} more" if len(texts) > MAX_NAMED else ""
    known = f": {named}{more}" if named else ""
    return f"{entry_host} found no target that would take it then{known}"


def _list_latest(lines: Iterable[LogLine], before: float) -> Iterator[LogLine]:
    """List the latest line about each signal of each target, oldest first."""
    latest: dict[tuple[str, object], LogLine] = {}
    for line in lines:
        signal = WARM_UP if line.step == WARM_UP else line.fields.get("signal")
        is_signal = line.step in ("signal", WARM_UP) and signal is not None
        if is_signal and line.at <= before:
            key = (line.peer, signal)
            latest.pop(key, None)
            latest[key] = line
    yield from latest.values()


def _describe(line: LogLine, now: float) -> str:
    """Describe what a target had said; empty if it no longer held."""
    signal, value = line.fields.get("signal"), line.fields.get("value")
    age_s = now - line.at
    since = f"{line.peer}, {age_s:.1f} s before"
    if line.step == WARM_UP:
        return "" if line.text == "ended" else f"{since}, was warming up"
    if signal == "rate-limit" and value is not None:
        return f"{since}, named {value} requests a second"
    if signal == "pause" and isinstance(value, int | float) and age_s < value:
        return f"{since}, asked for a pause of {value} s"
    if signal == "brittleness" and value is not None:
        return f"{since}, said that it bears {value} rejections a second"
    if signal == "leaving":
        return f"{since}, said that it was leaving"
    return ""
