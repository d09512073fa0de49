"""Marks the tests listed in ``KNOWN-RED.txt`` as expected failures.

An entry begins with a line ``test: <node id>``. The following lines, up to an empty
one, give the command, the seed, the observed failure and the issue. A listed test that
passes is an error, so that its entry is removed.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
ENTRY = "test: "


def read_known_red() -> tuple[str, ...]:
    """Read the node ids of the tests known to fail.

    :returns: the pytest node ids, relative to the repository root.
    """
    lines = KNOWN_RED.read_text().splitlines()
    return tuple(line.removeprefix(ENTRY) for line in lines if line.startswith(ENTRY))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests at the end of each run."""
    for name in read_known_red():
        terminalreporter.write_line(f"known red: {name}")
