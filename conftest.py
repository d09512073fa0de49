"""Known failures: tests that ``KNOWN-RED.txt`` lists are passed over and printed.

An entry begins with a line ``test: <node id>``; the lines below it, up to an
empty one, say the command, the seed, what was seen and the issue. A listed test
that passes is an error: the entry must go.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
ENTRY = "test: "


def read_known_red() -> tuple[str, ...]:
    """List the node ids of the tests known to fail.

    :returns: pytest node ids, relative to the root.
    """
    lines = KNOWN_RED.read_text().splitlines()
    return tuple(line.removeprefix(ENTRY) for line in lines if line.startswith(ENTRY))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail, and only them."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that no run hides it."""
    for name in read_known_red():
        terminalreporter.write_line(f"known red: {name}")
