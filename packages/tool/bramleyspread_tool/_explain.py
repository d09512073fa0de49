"""The ``bramleyspread explain`` command: explains one request from several logs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from statistics import median

import msgspec

from bramleyspread_tool._explain_crashes import find_crashes
from bramleyspread_tool._explain_drains import describe_drains, find_drains
from bramleyspread_tool._explain_paths import find_lost_paths
from bramleyspread_tool._explain_signals import find_signals
from bramleyspread_tool._explain_streams import find_bound_stream
from bramleyspread_tool._log_files import LogFiles, LogLine

#: How long before and after a request lines about its hosts' state are included,
#: in seconds.
CONTEXT_S = 3.0
#: Steps whose lines report a change of a host's state rather than a request.
HOST_STATE_STEPS = frozenset(
    {
        "start",
        "stop",
        "document",
        "drain",
        "feed",
        "path",
        "target",
        "reload",
        "watch",
    }
)


class ExplainedEvent(msgspec.Struct, frozen=True):
    """One event of an explanation, made from one log line."""

    #: Seconds since the start of the request, by the clock of its entry host.
    at_s: float
    #: The host that logged it.
    host: str
    #: The processing step.
    step: str
    #: The message and the remaining fields of the log line.
    text: str


class Explanation(msgspec.Struct, frozen=True):
    """The outcome of one request, its cause and the events that led to it."""

    #: The request's id, as the caller knows it.
    request: str
    #: The result that the caller received.
    outcome: str
    #: The cause of the outcome, in one sentence.
    cause: str
    #: The events of the request in causal order, then changes of its entry host's
    #: state around that time.
    moments: tuple[ExplainedEvent, ...]
    #: Offsets added to the times that other hosts logged, by host, in seconds.
    shifts: dict[str, float]
    #: Warnings that the explanation may be incomplete, each with the reason.
    doubts: tuple[str, ...]


class UnknownRequest(msgspec.Struct, frozen=True):
    """Returned if the logs contain no line of the request."""

    #: The request's id.
    request: str


def explain(request: str, logs: LogFiles) -> Explanation | UnknownRequest:
    """Explain the outcome of one request.

    :param request: the request's id, as the caller knows it.
    :param logs: the logs of all processes that may have handled it.
    :returns: the explanation.
    """
    lines_by_host = {
        host: [line for line in lines if line.request == request]
        for host, lines in logs.by_host.items()
    }
    lines_by_host = {host: lines for host, lines in lines_by_host.items() if lines}
    if not lines_by_host:
        return UnknownRequest(request)
    entry_host = _find_entry_host(lines_by_host)
    clock_offsets = _estimate_clock_offsets(entry_host, lines_by_host)
    end = next((x for x in lines_by_host[entry_host] if x.step == "end"), None)
    lines = _sort_lines(lines_by_host, clock_offsets, entry_host)
    return Explanation(
        request,
        _describe_outcome(end, lines_by_host[entry_host]),
        _find_cause(end, entry_host, lines, logs),
        tuple(
            _list_request_events(lines, clock_offsets)
            + _list_host_state_events(entry_host, lines_by_host, logs)
        ),
        {
            host: round(each, 3)
            for host, each in clock_offsets.items()
            if host != entry_host
        },
        tuple(_list_warnings(entry_host, lines_by_host, logs)),
    )


def _find_entry_host(lines_by_host: dict[str, list[LogLine]]) -> str:
    """Find the host that received the request from its caller."""
    for step in ("end", "admit", "stage", "place"):
        for host, lines in lines_by_host.items():
            if any(line.step == step for line in lines):
                return host
    return next(iter(lines_by_host))


def _estimate_clock_offsets(
    entry_host: str, lines_by_host: dict[str, list[LogLine]]
) -> dict[str, float]:
    """Estimate the offset of each host's clock from the entry host's clock.

    The batching host logs that it gave up a job just before the entry host logs
    the end of the stage. The median difference of their times is the offset.
    """
    clock_offsets = {entry_host: 0.0}
    for host, lines in lines_by_host.items():
        pairs = [
            stage.at - job.at
            for job in lines
            for stage in lines_by_host[entry_host]
            if host != entry_host and job.step == "job" and stage.step == "stage"
            if stage.peer == host and stage.service == job.service
        ]
        if pairs:
            clock_offsets[host] = median(pairs)
    return clock_offsets


def _sort_lines(
    lines_by_host: dict[str, list[LogLine]],
    clock_offsets: dict[str, float],
    entry_host: str,
) -> list[LogLine]:
    """Merge the lines of all hosts by time, keeping the order of lines within a host.

    A clock that was set back doesn't change the order of its host's lines.
    """
    keyed = []
    for host, lines in lines_by_host.items():
        latest = float("-inf")
        for number, line in enumerate(lines):
            latest = max(latest, line.at + clock_offsets.get(host, 0.0))
            keyed.append((latest, host == entry_host, number, line))
    return [each[3] for each in sorted(keyed, key=lambda x: x[:3])]


def _list_request_events(
    lines: Sequence[LogLine], clock_offsets: dict[str, float]
) -> list[ExplainedEvent]:
    started = min(x.at - x.ms / 1000 + clock_offsets.get(x.host, 0.0) for x in lines)
    return [
        ExplainedEvent(
            round(line.at + clock_offsets.get(line.host, 0.0) - started, 3),
            line.host,
            line.step,
            _format_text(line),
        )
        for line in lines
    ]


def _format_text(line: LogLine) -> str:
    omitted = {"at", "host", "level", "step", "request", "text", "left_out"}
    shown = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in omitted and value not in ("", "-", None)
    ]
    return " ".join([line.text, *shown])


def _list_host_state_events(
    entry_host: str, lines_by_host: dict[str, list[LogLine]], logs: LogFiles
) -> list[ExplainedEvent]:
    """List changes of the entry host's state around the time of the request."""
    first, last = lines_by_host[entry_host][0].at, lines_by_host[entry_host][-1].at
    return [
        ExplainedEvent(
            round(line.at - first, 3), line.host, line.step, _format_text(line)
        )
        for line in logs.by_host[entry_host]
        if line.step in HOST_STATE_STEPS
        and first - CONTEXT_S <= line.at <= last + CONTEXT_S
    ]


def _describe_outcome(end: LogLine | None, lines: Sequence[LogLine]) -> str:
    if end is not None:
        return f"{end.text} ({end.ms:.0f} ms after it came)"
    refused = next((x for x in lines if x.text.startswith("refused")), None)
    if refused is not None:
        return f"{refused.text} (at once)"
    return "no end was logged"


def _find_cause(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    for find in (
        _find_process_end,
        _find_refusal,
        find_bound_stream,
        find_lost_paths,
        find_drains,
        find_signals,
        find_crashes,
        _find_lost_answer,
        _find_overload_while_drained,
    ):
        cause = find(end, entry_host, lines, logs)
        if cause:
            return cause
    return end.text if end is not None else "not known from these logs"


def _find_process_end(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    if end is not None or any(x.text.startswith("refused") for x in lines):
        return ""
    last = [x for x in lines if x.host == entry_host][-1]
    host_lines = logs.by_host[entry_host]
    later = host_lines[host_lines.index(last) + 1 :]
    restart = next((x for x in later if x.step == "start"), None)
    if restart is not None:
        gap_s = restart.at - last.at
        return (
            f"{entry_host} ended with the request in work; it started again "
            f"{gap_s:.1f} s after the last line about it"
        )
    if not later:
        return f"{entry_host} wrote nothing after that: it ended, or its log did"
    return (
        f"{entry_host} went on, but the request's end is missing: lines were left out"
    )


def _find_refusal(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    refused = next(
        (x for x in lines if x.step == "admit" and x.text.startswith("refused")), None
    )
    if refused is None:
        return ""
    version = refused.fields.get("version")
    updates = [x for x in logs.by_host[entry_host] if x.step == "document"]
    next_update = next((x for x in updates if x.at > refused.at), None)
    cause = f"{entry_host} decided by version {version} of the document"
    if next_update is not None:
        newer = next_update.fields.get("version")
        cause += f"; version {newer} came {next_update.at - refused.at:.1f} s later"
    keys_age_ms = refused.fields.get("keys_age_ms")
    if "confirmed" in refused.text or "key" in refused.text:
        cause += f"; its keys were confirmed {keys_age_ms} ms before"
    return cause


def _find_lost_answer(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    if end is None or "outcome unknown" not in end.text:
        return ""
    reason = end.text.partition("outcome unknown: ")[2]
    attempts = end.fields.get("attempts")
    return (
        f"{end.peer} had the request and its answer was lost ({reason}); after "
        f"{attempts} attempt(s) it may not be sent again"
    )


def _find_overload_while_drained(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    """Find an overload, and which zones were drained then."""
    cause = _find_overload(end, entry_host, lines, logs)
    if not cause or end is None:
        return cause
    drains = describe_drains(logs.by_host[entry_host], end.at)
    return f"{cause}; drained: {drains}" if drains else cause


def _find_overload(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    job = next((x for x in reversed(lines) if x.step == "job"), None)
    if job is not None:
        get = job.fields.get
        return (
            f"{get('pieces')} pieces for {job.service} waited {get('waited_ms')} ms at "
            f"{job.host}, where {get('waiting')} pieces waited for "
            f"{get('targets')} target(s), {get('running')} of them at work"
        )
    stage = next((x for x in reversed(lines) if x.text.startswith("not made")), None)
    if stage is not None:
        return (
            f"stage {stage.fields.get('stage')} at {stage.service}, batched by "
            f"{stage.peer}, was {stage.text} after {stage.ms:.0f} ms"
        )
    full = next((x for x in lines if x.text.startswith("refused at arrival")), None)
    if full is not None:
        return (
            f"{entry_host} refused it before its first piece: {full.service} had "
            f"capacity for {full.fields.get('share')} of such requests, and pieces "
            f"waited {full.fields.get('wait_ms')} ms there"
        )
    if end is not None and "stages would take" in end.text:
        return f"{entry_host} refused it before its first piece: {end.text}"
    return ""


def _list_warnings(
    entry_host: str, lines_by_host: dict[str, list[LogLine]], logs: LogFiles
) -> Iterable[str]:
    first, last = lines_by_host[entry_host][0].at, lines_by_host[entry_host][-1].at
    for host in lines_by_host:
        lost = sum(
            line.left_out
            for line in logs.by_host[host]
            if first - CONTEXT_S <= line.at <= last + CONTEXT_S
        )
        if lost:
            yield f"{host} left {lost} line(s) out around then"
    if logs.unreadable_line_count:
        yield f"{logs.unreadable_line_count} line(s) can't be read"


def format_explanation(explanation: Explanation) -> list[str]:
    """Format an explanation as text, with the outcome and its cause first.

    :param explanation: the explanation.
    :returns: the lines.
    """
    lines = [
        f"request {explanation.request}: {explanation.outcome}",
        f"cause: {explanation.cause}",
    ]
    lines += [f"doubt: {each}" for each in explanation.doubts]
    lines += [
        f"clock of {host} moved by {offset:+.3f} s"
        for host, offset in sorted(explanation.shifts.items())
    ]
    lines += [
        f"{each.at_s:+9.3f} s  {each.host}  {each.step}  {each.text}"
        for each in explanation.moments
    ]
    return lines
