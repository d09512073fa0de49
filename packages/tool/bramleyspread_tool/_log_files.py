"""Reads log files of one or more processes."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from bramleyspread_core import InvalidFileError, TimelineEvent


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a process's log; fields that a line lacks have empty values."""

    #: Wall-clock time in seconds; the clocks of hosts may differ.
    at: float
    #: The host that wrote the line.
    host: str
    #: The processing step that wrote the line, such as ``stage``.
    step: str = ""
    #: The remote host or target.
    peer: str = ""
    #: The request's id, as the caller knows it; empty for none.
    request: str = ""
    #: The message.
    text: str = ""
    #: The service it concerns.
    service: str = ""
    #: The duration in milliseconds.
    ms: float = 0.0
    #: Number of lines that the process omitted before this one.
    left_out: int = 0
    #: All fields of the line, including those above.
    fields: dict[str, object] = {}


class LogFiles(msgspec.Struct, frozen=True):
    """The content of one or more log files."""

    #: The lines by host, in the order in which they were written.
    by_host: dict[str, tuple[LogLine, ...]]
    #: Number of lines that could not be parsed, such as one truncated by a crash.
    unreadable_line_count: int


def read_logs(paths: Sequence[Path]) -> LogFiles:
    """Read log files, each of which may contain lines of several hosts.

    Text before the first brace of a line is ignored, so that lines to which a log
    collector added a prefix, such as the time and host, can be read unchanged.

    :param paths: the files.
    :returns: the lines by host.
    :raises InvalidFileError: if a file can't be read.
    """
    by_host: dict[str, list[LogLine]] = {}
    unreadable_line_count = 0
    for line in iterate_lines(paths):
        if line is None:
            unreadable_line_count += 1
        else:
            by_host.setdefault(line.host, []).append(line)
    return LogFiles(
        {host: tuple(x) for host, x in by_host.items()}, unreadable_line_count
    )


def iterate_lines(paths: Sequence[Path]) -> Iterator[LogLine | None]:
    """Read log files line by line, as :func:`read_logs` does.

    :param paths: the files.
    :returns: the lines; None for each line that can't be read.
    :raises InvalidFileError: if a file can't be read.
    """
    for path in paths:
        try:
            with path.open("rb") as file:
                for raw in file:
                    if b"{" in raw:
                        yield _parse_line(raw[raw.index(b"{") :])
        except OSError as error:
            raise InvalidFileError(str(path), (f"{error.strerror}",)) from None


def _parse_line(raw: bytes) -> LogLine | None:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, object])
        if "stamp" in fields:
            fields = _convert_event(msgspec.json.decode(raw, type=TimelineEvent))
        return msgspec.convert({**fields, "fields": fields}, LogLine, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError, msgspec.ValidationError):
        return None


def _convert_event(event: TimelineEvent) -> dict[str, object]:
    """Convert a time line event to the fields of a log line."""
    return {
        "at": event.stamp.wall_ms / 1000,
        "host": event.host,
        "step": event.kind,
        "peer": event.peer,
        "request": event.request,
        "text": " ".join(x for x in (event.kind, event.step, event.detail) if x),
    }
