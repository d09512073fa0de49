"""Log lines are bounded, and nobody waits for their reader."""

from __future__ import annotations

import os

import msgspec
from loguru import logger

from bramleyspread_daemon._log_lines import BYTES_A_SECOND, LineSink


def read_lines(descriptor: int) -> list[dict[str, object]]:
    data = os.read(descriptor, 1_000_000)
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_a_line_says_what_was_bound_to_it() -> None:
    reading, writing = os.pipe()
    number = logger.add(LineSink(writing), level="INFO", format="{message}")
    logger.bind(step="retry", peer="i-7f", request="9c41").warning("reset")
    logger.remove(number)
    (line,) = read_lines(reading)
    assert line["level"] == "WARNING"
    assert (line["step"], line["peer"], line["request"]) == ("retry", "i-7f", "9c41")
    assert line["text"] == "reset"


def test_a_reader_that_stops_reading_costs_lines_and_no_time() -> None:
    reading, writing = os.pipe()
    sink = LineSink(writing)
    os.write(writing, b"x" * 4_096 * 15)
    for _ in range(200):
        sink.put({"text": "y" * 400}, failure=True)
    lost = sink.left_out
    assert lost > 0
    while len(os.read(reading, 65_536)) == 65_536:
        continue
    sink.put({"text": "back"}, failure=True)
    (line,) = read_lines(reading)
    assert line == {"text": "back", "left_out": lost}


def test_failures_may_use_what_others_may_not() -> None:
    reading, writing = os.pipe()
    sink = LineSink(writing)
    written = 0
    while not sink.left_out:
        sink.put({"text": "z" * 1_000}, failure=False)
        written += 1
        os.read(reading, 65_536) if not sink.left_out else None
    assert written * 1_000 < 3 * BYTES_A_SECOND
    sink.put({"text": "failed"}, failure=True)
    assert read_lines(reading)[-1]["text"] == "failed"
