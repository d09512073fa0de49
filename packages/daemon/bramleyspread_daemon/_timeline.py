"""The file that holds a process's part of the time line."""

from __future__ import annotations

import os
from pathlib import Path

from loguru import logger

from bramleyspread_core import Happening, TimelineEvent, encode_json
from bramleyspread_daemon._clock import ProcessClock

#: The path that stands for standard output.
STANDARD_OUTPUT = "-"
#: The descriptor of standard output.
STANDARD_OUTPUT_NUMBER = 1


class TimelineFile:
    """An append-only file of time line events, one JSON object a line.

    Each event is handed to the operating system at once, so that a killed
    process loses none.
    """

    __slots__ = ("_clock", "_descriptor", "_host", "written")

    def __init__(self, path: Path, host: str, clock: ProcessClock) -> None:
        self._descriptor = _open(path)
        self._host = host
        self._clock = clock
        #: Events written since the start.
        self.written = 0

    def write(self, happening: Happening) -> None:
        """Stamp an event and append it.

        :param happening: the event.
        """
        event = TimelineEvent(
            self._clock.tick(),
            self._host,
            happening.kind,
            happening.request,
            happening.step,
            happening.peer,
            happening.detail,
        )
        try:
            os.write(self._descriptor, encode_json(event) + b"\n")
            self.written += 1
        except OSError as error:
            logger.bind(step="timeline", peer="-").error(f"not written: {error}")

    def close(self) -> None:
        """Close the file; standard output stays open."""
        if self._descriptor != STANDARD_OUTPUT_NUMBER:
            os.close(self._descriptor)


def _open(path: Path) -> int:
    if str(path) == STANDARD_OUTPUT:
        return STANDARD_OUTPUT_NUMBER
    path.parent.mkdir(parents=True, exist_ok=True)
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
