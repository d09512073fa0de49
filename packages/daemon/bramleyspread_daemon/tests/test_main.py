"""Tests of error output and exit codes of the command line."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from bramleyspread_daemon import _binding, _stop_signal, main

EXAMPLES = Path(__file__).parents[4] / "examples" / "settings"


@pytest.fixture(autouse=True)
def keep_signal_handlers(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Restore the handlers of signals, and forget the signals, afterwards."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    handlers = [signal.getsignal(each) for each in numbers]
    monkeypatch.setattr(_stop_signal, "_received", [])
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


@pytest.mark.parametrize("role", ["entry", "control"])
def test_example_settings_are_valid(
    role: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = EXAMPLES / f"{role}.yaml"
    assert main([role, "--settings", str(path), "--check"]) == 0
    assert capsys.readouterr().out == f"{path}: no fault found\n"


def test_invalid_settings_exit_2_with_one_line_per_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "entry.yaml"
    text = (EXAMPLES / "entry.yaml").read_text("utf-8")
    path.write_text(text.replace("ip: 127.0.0.1", "ip: here").replace("7002", "0"))
    assert main(["entry", "--settings", str(path)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert [line.split(": ")[1] for line in lines] == [
        "listen.ip",
        "entry_hosts[0].address",
    ]


@pytest.mark.parametrize(
    ("arguments", "code"),
    [([], 2), (["entry"], 2), (["clerk"], 2), (["--version"], 0), (["--help"], 0)],
)
def test_command_line(arguments: list[str], code: int) -> None:
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == code


def test_address_in_use_exits_1(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_binding, "BIND_TIMEOUT_S", 0.3)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        path = tmp_path / "entry.yaml"
        path.write_text(
            f"host: e\nzone: z\nlisten: {{ip: 127.0.0.1, port: {port}}}\n"
            f"timeline: {tmp_path}/e.jsonl\nlog: {{file: {tmp_path}/e.log}}\n"
        )
        assert main(["entry", "--settings", str(path)]) == 1
    log = (tmp_path / "e.log").read_text()
    assert log.count("tries again") == 1
    assert "process failed: " in log
