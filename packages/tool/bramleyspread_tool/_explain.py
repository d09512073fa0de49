"""``bramleyspread explain``: one request's story from the logs of many processes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from statistics import median

import msgspec

from bramleyspread_tool._log_files import LogFiles, LogLine

#: Lines before and after a request that tell what its hosts believed, in seconds.
AROUND_S = 3.0
#: Steps that change what a host believes, whatever the request.
BELIEFS = frozenset({"start", "stop", "document", "feed", "target", "reload", "watch"})


class Moment(msgspec.Struct, frozen=True):
    """One line of a story."""

    #: When, in seconds since the story began, by the clock of its first host.
    at_s: float
    #: The host.
    host: str
    #: Which decision it tells of.
    step: str
    #: What was decided, and by what.
    text: str


class Story(msgspec.Struct, frozen=True):
    """What became of one request."""

    #: The caller's id of the request.
    request: str
    #: How it ended for the caller.
    outcome: str
    #: Why, in one sentence.
    cause: str
    #: What happened, in order of cause and effect.
    moments: tuple[Moment, ...]
    #: How much clocks of other hosts were shifted, in seconds.
    shifts: dict[str, float]
    #: What should make the reader careful.
    doubts: tuple[str, ...]


class UnknownRequest(msgspec.Struct, frozen=True):
    """No line tells of the request."""

    #: Its id.
    request: str


def explain(request: str, logs: LogFiles) -> Story | UnknownRequest:
    """Tell the story of one request.

    :param request: the caller's id of the request.
    :param logs: the lines of all processes that may have had to do with it.
    :returns: the story.
    """
    own = {
        host: [line for line in lines if line.request == request]
        for host, lines in logs.by_host.items()
    }
    own = {host: lines for host, lines in own.items() if lines}
    if not own:
        return UnknownRequest(request)
    entry = _find_entry(own)
    shifts = _find_shifts(entry, own)
    end = next((x for x in own[entry] if x.step == "end"), None)
    lines = _order(own, shifts, entry)
    return Story(
        request,
        _tell_outcome(end, own[entry]),
        _find_cause(end, entry, lines, logs),
        tuple(_tell(lines, shifts) + _tell_beliefs(entry, own, logs)),
        {host: round(each, 3) for host, each in shifts.items() if host != entry},
        tuple(_list_doubts(entry, own, logs)),
    )


def _find_entry(own: dict[str, list[LogLine]]) -> str:
    """Find the host that took the request from its caller."""
    for step in ("end", "admit", "stage", "place"):
        for host, lines in own.items():
            if any(line.step == step for line in lines):
                return host
    return next(iter(own))


def _find_shifts(entry: str, own: dict[str, list[LogLine]]) -> dict[str, float]:
    """Find how far other hosts' clocks are off, by what must have come first.

    A job that was given up at the batching host came before the stage's end at
    the entry host, and hardly any time lies between them.
    """
    shifts = {entry: 0.0}
    for host, lines in own.items():
        pairs = [
            stage.at - job.at
            for job in lines
            for stage in own[entry]
            if host != entry and job.step == "job" and stage.step == "stage"
            if stage.peer == host and stage.service == job.service
        ]
        if pairs:
            shifts[host] = median(pairs)
    return shifts


def _order(
    own: dict[str, list[LogLine]], shifts: dict[str, float], entry: str
) -> list[LogLine]:
    """Put lines in one order; a host's own order holds whatever its clock did."""
    placed = []
    for host, lines in own.items():
        latest = float("-inf")
        for number, line in enumerate(lines):
            latest = max(latest, line.at + shifts.get(host, 0.0))
            placed.append((latest, host == entry, number, line))
    return [each[3] for each in sorted(placed, key=lambda x: x[:3])]


def _tell(lines: Sequence[LogLine], shifts: dict[str, float]) -> list[Moment]:
    begun = min(x.at - x.ms / 1000 + shifts.get(x.host, 0.0) for x in lines)
    return [
        Moment(
            round(line.at + shifts.get(line.host, 0.0) - begun, 3),
            line.host,
            line.step,
            _describe(line),
        )
        for line in lines
    ]


def _describe(line: LogLine) -> str:
    hidden = {"at", "host", "level", "step", "request", "text", "left_out"}
    told = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden and value not in ("", "-", None)
    ]
    return " ".join([line.text, *told])


def _tell_beliefs(
    entry: str, own: dict[str, list[LogLine]], logs: LogFiles
) -> list[Moment]:
    """Tell what the entry host came to believe around the request."""
    first, last = own[entry][0].at, own[entry][-1].at
    return [
        Moment(round(line.at - first, 3), line.host, line.step, _describe(line))
        for line in logs.by_host[entry]
        if line.step in BELIEFS and first - AROUND_S <= line.at <= last + AROUND_S
    ]


def _tell_outcome(end: LogLine | None, lines: Sequence[LogLine]) -> str:
    if end is not None:
        return f"{end.text} ({end.ms:.0f} ms after it came)"
    refused = next((x for x in lines if x.text.startswith("refused")), None)
    if refused is not None:
        return f"{refused.text} (at once)"
    return "no end was logged"


def _find_cause(
    end: LogLine | None, entry: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    for find in (_find_death, _find_rejection, _find_lost_answer, _find_crowding):
        cause = find(end, entry, lines, logs)
        if cause:
            return cause
    return end.text if end is not None else "not known from these logs"


def _find_death(
    end: LogLine | None, entry: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    if end is not None or any(x.text.startswith("refused") for x in lines):
        return ""
    last = [x for x in lines if x.host == entry][-1]
    written = logs.by_host[entry]
    later = written[written.index(last) + 1 :]
    again = next((x for x in later if x.step == "start"), None)
    if again is not None:
        between = again.at - last.at
        return (
            f"{entry} ended with the request in work; it started again "
            f"{between:.1f} s after the last line about it"
        )
    if not later:
        return f"{entry} wrote nothing after that: it ended, or its log did"
    return f"{entry} went on, but the request's end is missing: lines were left out"


def _find_rejection(
    end: LogLine | None, entry: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    refused = next(
        (x for x in lines if x.step == "admit" and x.text.startswith("refused")), None
    )
    if refused is None:
        return ""
    version = refused.fields.get("version")
    known = [x for x in logs.by_host[entry] if x.step == "document"]
    later = next((x for x in known if x.at > refused.at), None)
    cause = f"{entry} decided by version {version} of the document"
    if later is not None:
        newer = later.fields.get("version")
        cause += f"; version {newer} came {later.at - refused.at:.1f} s later"
    age = refused.fields.get("keys_age_ms")
    if "confirmed" in refused.text or "key" in refused.text:
        cause += f"; its keys were confirmed {age} ms before"
    return cause


def _find_lost_answer(
    end: LogLine | None, entry: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    if end is None or "outcome unknown" not in end.text:
        return ""
    why = end.text.partition("outcome unknown: ")[2]
    tries = end.fields.get("attempts")
    return (
        f"{end.peer} had the request and its answer was lost ({why}); after "
        f"{tries} attempt(s) it may not be sent again"
    )


def _find_crowding(
    end: LogLine | None, entry: str, lines: Sequence[LogLine], logs: LogFiles
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
    if end is not None and "stages would take" in end.text:
        return f"{entry} refused it before its first piece: {end.text}"
    return ""


def _list_doubts(
    entry: str, own: dict[str, list[LogLine]], logs: LogFiles
) -> Iterable[str]:
    first, last = own[entry][0].at, own[entry][-1].at
    for host in own:
        lost = sum(
            line.left_out
            for line in logs.by_host[host]
            if first - AROUND_S <= line.at <= last + AROUND_S
        )
        if lost:
            yield f"{host} left {lost} line(s) out around then"
    if logs.unreadable:
        yield f"{logs.unreadable} line(s) can't be read"


def list_story_lines(story: Story) -> list[str]:
    """Write a story for people, its cause first.

    :param story: the story.
    :returns: the lines.
    """
    lines = [f"request {story.request}: {story.outcome}", f"cause: {story.cause}"]
    lines += [f"doubt: {each}" for each in story.doubts]
    lines += [
        f"clock of {host} moved by {shift:+.3f} s"
        for host, shift in sorted(story.shifts.items())
    ]
    lines += [
        f"{each.at_s:+9.3f} s  {each.host}  {each.step}  {each.text}"
        for each in story.moments
    ]
    return lines
