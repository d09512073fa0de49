"""Log lines as JSON, bounded, and never waited for."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from loguru import Message

#: Bytes of lines a second, at most; failures may use twice as much.
BYTES_A_SECOND = 65_536
#: Levels from here on count as failures.
FAILURE_LEVEL = 30
#: Longest text of one field, in characters.
MAX_FIELD = 400

_encoder = msgspec.json.Encoder()


class LineSink:
    """Writes one JSON object a line, as much as its bound and its reader allow.

    A reader that stops reading costs lines, never time. What was left out is
    counted, and the next line says how many there were.
    """

    __slots__ = ("_descriptor", "_second", "_spent", "left_out")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._second = 0
        self._spent = 0
        #: Lines left out since the last one written.
        self.left_out = 0

    def __call__(self, message: Message) -> None:
        """Take a line of the logger."""
        record = message.record
        fields: dict[str, object] = {
            "at": round(time.time(), 3),
            "level": record["level"].name,
            **record["extra"],
            "text": record["message"][:MAX_FIELD],
        }
        fault = record["exception"]
        if fault is not None:
            fields["fault"] = repr(fault.value)[:MAX_FIELD]
        self.put(fields, failure=record["level"].no >= FAILURE_LEVEL)

    def put(self, fields: dict[str, object], *, failure: bool) -> None:
        """Write one line, or leave it out.

        :param fields: what it says.
        :param failure: whether it tells of a failure, which goes first.
        """
        if self.left_out:
            fields["left_out"] = self.left_out
        line = _encoder.encode(fields) + b"\n"
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._spent = second, 0
        bound = BYTES_A_SECOND * (2 if failure else 1)
        if self._spent + len(line) > bound or not self._send(line):
            self.left_out += 1
            return
        self._spent += len(line)
        self.left_out = 0

    def _send(self, line: bytes) -> bool:
        try:
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            return False
