"""``bramleyspread timeline``: events of all processes in one order."""

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
    """Read one process's events.

    A line cut off by a crash can only be the last one, and is passed over.

    :param path: the file of JSON lines.
    :returns: the events, in the order written.
    :raises InvalidFileError: naming the line that is not an event.
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
    """Merge processes' events by their stamps.

    :param sources: each in rising order of stamps.
    :returns: all of them in one order in which causes precede effects.
    """
    return heapq.merge(*sources, key=lambda event: (event.stamp, event.host))


def format_event(event: TimelineEvent) -> str:
    """Write an event as one line for people.

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
