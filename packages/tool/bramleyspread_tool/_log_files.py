"""Log lines of many processes, as they are in files."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from bramleyspread_core import InvalidFileError, TimelineEvent


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of one process's log; what only some lines have is empty in others."""

    #: Time of day at the process, in seconds; its clock may be wrong.
    at: float
    #: The host.
    host: str
    #: Which decision it tells of, such as ``stage``.
    step: str = ""
    #: The other side.
    peer: str = ""
    #: The caller's id of the request; empty for none.
    request: str = ""
    #: What was decided.
    text: str = ""
    #: The service it concerns.
    service: str = ""
    #: How long it took, in milliseconds.
    ms: float = 0.0
    #: Lines of this process that were left out before this one.
    left_out: int = 0
    #: Everything that the line says.
    fields: dict[str, object] = {}


class LogFiles(msgspec.Struct, frozen=True):
    """What was read from log files."""

    #: The lines by host, in the order in which they were written.
    by_host: dict[str, tuple[LogLine, ...]]
    #: Lines that are no log lines, as those cut off by a process's death.
    unreadable: int


def read_logs(paths: Sequence[Path]) -> LogFiles:
    """Read log files; several hosts' lines may stand in one.

    Anything before the first brace of a line is passed over, so that lines a log
    collector marked with time and host can be read as they are.

    :param paths: the files.
    :returns: the lines.
    :raises InvalidFileError: for a file that can't be read.
    """
    by_host: dict[str, list[LogLine]] = {}
    unreadable = 0
    for path in paths:
        try:
            data = path.read_bytes()
        except OSError as error:
            raise InvalidFileError(str(path), (f"{error.strerror}",)) from None
        for raw in data.split(b"\n"):
            if b"{" not in raw:
                continue
            line = _read_line(raw[raw.index(b"{") :])
            if line is None:
                unreadable += 1
            else:
                by_host.setdefault(line.host, []).append(line)
    return LogFiles({host: tuple(x) for host, x in by_host.items()}, unreadable)


def _read_line(raw: bytes) -> LogLine | None:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, object])
        if "stamp" in fields:
            fields = _read_event(msgspec.json.decode(raw, type=TimelineEvent))
        return msgspec.convert({**fields, "fields": fields}, LogLine, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError, msgspec.ValidationError):
        return None


def _read_event(event: TimelineEvent) -> dict[str, object]:
    """Read an event of the time line as the log line that it stands for."""
    return {
        "at": event.stamp.wall_ms / 1000,
        "host": event.host,
        "step": event.kind,
        "peer": event.peer,
        "request": event.request,
        "text": " ".join(x for x in (event.kind, event.step, event.detail) if x),
    }
