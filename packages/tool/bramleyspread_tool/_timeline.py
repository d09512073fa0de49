"""The ``bramleyspread timeline`` command: merges the events of all processes."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from pathlib import Path

from bramleyspread_core import (
    InvalidFileError,
    MessageError,
    TimelineEvent,
    decode_json,
)


def read_events(path: Path) -> Iterator[TimelineEvent]:
    """Read the events of one process.

    An invalid last line is ignored: a crash can truncate only the last line.

    :param path: the file of JSON lines.
    :returns: the events in the order in which they were written.
    :raises InvalidFileError: if the file can't be read or another line is invalid.
    """
    try:
        lines = path.read_bytes().split(b"\n")
    except OSError as error:
        raise InvalidFileError(str(path), (f"{error.strerror}",)) from None
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            yield decode_json(line, TimelineEvent)
        except MessageError as error:
            if number == len(lines):
                return
            raise InvalidFileError(str(path), (f"line {number}: {error}",)) from None


def merge_events(sources: Iterable[Iterable[TimelineEvent]]) -> Iterator[TimelineEvent]:
    """Merge the events of several processes by their stamps.

    :param sources: the events of each process, in ascending order of stamps.
    :returns: all events in an order in which causes precede effects.
    """
    return heapq.merge(*sources, key=lambda event: (event.stamp, event.host))


def format_event(event: TimelineEvent) -> str:
    """Format an event as one line of text.

    :param event: the event.
    :returns: the line.
    """
    seconds, millis = divmod(event.stamp.wall_ms, 1000)
    parts = [f"{seconds}.{millis:03}+{event.stamp.count}", event.host, event.kind]
    for name in ("request", "step", "peer", "detail"):
        value = getattr(event, name)
        if value:
            parts.append(f"{name}={value}")
    return "  ".join(parts)
