"""The file to which a process writes its timeline events."""

from __future__ import annotations

import os
from pathlib import Path

from loguru import logger

from bramleyspread_core import TimelineEvent, UnstampedEvent, encode_json
from bramleyspread_daemon._clock import ProcessClock

#: The path that selects standard output.
STANDARD_OUTPUT = "-"
#: The file descriptor of standard output.
STANDARD_OUTPUT_FD = 1


class TimelineFile:
    """An append-only file of timeline events, one JSON object per line.

    Each event is passed to the operating system at once, so that none is lost when
    the process is killed.
    """

    __slots__ = ("_clock", "_descriptor", "_host", "written")

    def __init__(self, path: Path, host: str, clock: ProcessClock) -> None:
        self._descriptor = _open_file(path)
        self._host = host
        self._clock = clock
        #: Number of events written since the start.
        self.written = 0

    def write(self, unstamped: UnstampedEvent) -> None:
        """Stamp an event and append it to the file.

        :param unstamped: the event, not yet stamped.
        """
        event = TimelineEvent(
            self._clock.tick(),
            self._host,
            unstamped.kind,
            unstamped.request,
            unstamped.step,
            unstamped.peer,
            unstamped.detail,
        )
        try:
            os.write(self._descriptor, encode_json(event) + b"\n")
            self.written += 1
        except OSError as error:
            logger.bind(step="timeline", peer="-").error(
                f"event not written to the timeline: {error}"
            )

    def close(self) -> None:
        """Close the file; standard output stays open."""
        if self._descriptor != STANDARD_OUTPUT_FD:
            os.close(self._descriptor)


def _open_file(path: Path) -> int:
    if str(path) == STANDARD_OUTPUT:
        return STANDARD_OUTPUT_FD
    path.parent.mkdir(parents=True, exist_ok=True)
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
