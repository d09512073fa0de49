"""Tests that log lines are rate-limited and that writing them never blocks."""

from __future__ import annotations

import os

import msgspec
from loguru import logger

from bramleyspread_daemon._log_lines import (
    MAX_BYTES_PER_SECOND,
    MAX_FIELD_CHARS,
    JsonLineSink,
)


def _read_lines(descriptor: int) -> list[dict[str, object]]:
    data = os.read(descriptor, 1_000_000)
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_line_contains_bound_fields() -> None:
    reader, writer = os.pipe()
    number = logger.add(JsonLineSink(writer), level="INFO", format="{message}")
    logger.bind(step="retry", peer="i-7f", request="9c41").warning("reset")
    logger.remove(number)
    (line,) = _read_lines(reader)
    assert line["level"] == "WARNING"
    assert (line["step"], line["peer"], line["request"]) == ("retry", "i-7f", "9c41")
    assert line["text"] == "reset"


def test_stalled_reader_drops_lines_without_blocking() -> None:
    reader, writer = os.pipe()
    sink = JsonLineSink(writer)
    os.write(writer, b"x" * 4_096 * 15)
    for _ in range(200):
        sink.write_line({"text": "y" * 400}, is_failure=True)
    dropped = sink.dropped_lines
    assert dropped > 0
    while len(os.read(reader, 65_536)) == 65_536:
        continue
    sink.write_line({"text": "back"}, is_failure=True)
    (line,) = _read_lines(reader)
    assert line == {"text": "back", "left_out": dropped}


def test_failures_have_a_higher_rate_limit() -> None:
    reader, writer = os.pipe()
    sink = JsonLineSink(writer)
    written = 0
    while not sink.dropped_lines:
        sink.write_line({"text": "z" * 1_000}, is_failure=False)
        written += 1
        os.read(reader, 65_536) if not sink.dropped_lines else None
    assert written * 1_000 < 3 * MAX_BYTES_PER_SECOND
    sink.write_line({"text": "failed"}, is_failure=True)
    assert _read_lines(reader)[-1]["text"] == "failed"


# Guards against lines that are as long as what a peer has sent, and take the place of
# all others.
def test_long_fields_are_truncated() -> None:
    reader, writer = os.pipe()
    number = logger.add(JsonLineSink(writer), level="INFO", format="{message}")
    bound = logger.bind(step="target", peer="i" * 9_000, number=7)
    bound.bind(zone="\x00" * 9_000).info("x" * 9_000)
    logger.remove(number)
    (line,) = _read_lines(reader)
    assert (line["peer"], line["number"]) == ("i" * MAX_FIELD_CHARS, 7)
    assert (line["zone"], line["text"]) == ("\x00" * 400, "x" * 400)
