"""A rate-limited, non-blocking log sink that writes JSON lines."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from loguru import Message

#: Maximum bytes written per second; lines that report failures may use twice as much.
MAX_BYTES_PER_SECOND = 65_536
#: The lowest log level that counts as a failure (``WARNING``).
FAILURE_LEVEL = 30
#: Maximum length of a text in a line; longer texts are truncated.
MAX_FIELD_CHARS = 400

_encoder = msgspec.json.Encoder()


class JsonLineSink:
    """Writes log records as JSON lines without ever blocking.

    A line that exceeds the rate limit, or that the reader of the descriptor does not
    accept, is dropped. The next line that is written contains the number of lines
    dropped before it.
    """

    __slots__ = ("_bytes_written", "_descriptor", "_second", "dropped_lines")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._second = 0
        self._bytes_written = 0
        #: Lines dropped since the last one written.
        self.dropped_lines = 0

    def __call__(self, message: Message) -> None:
        """Write a record of the logger."""
        record = message.record
        fields: dict[str, object] = {
            "at": round(time.time(), 3),
            "level": record["level"].name,
            **{name: _truncate(each) for name, each in record["extra"].items()},
            "text": record["message"][:MAX_FIELD_CHARS],
        }
        exception = record["exception"]
        if exception is not None:
            fields["fault"] = repr(exception.value)[:MAX_FIELD_CHARS]
        self.write_line(fields, is_failure=record["level"].no >= FAILURE_LEVEL)

    def write_line(self, fields: dict[str, object], *, is_failure: bool) -> None:
        """Write one line, or drop it.

        :param fields: the fields of the line.
        :param is_failure: whether it reports a failure and has the higher rate limit.
        """
        if self.dropped_lines:
            fields["left_out"] = self.dropped_lines
        line = _encoder.encode(fields) + b"\n"
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._bytes_written = second, 0
        limit_bytes = MAX_BYTES_PER_SECOND * (2 if is_failure else 1)
        if self._bytes_written + len(line) > limit_bytes or not self._send(line):
            self.dropped_lines += 1
            return
        self._bytes_written += len(line)
        self.dropped_lines = 0

    def _send(self, line: bytes) -> bool:
        try:
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            return False


def _truncate(value: object) -> object:
    return value[:MAX_FIELD_CHARS] if isinstance(value, str) else value
