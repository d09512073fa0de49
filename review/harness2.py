"""Shared parts of the scripts of the second review: daemons, engines, clients.

Standard library only. Everything listens on 127.0.0.1, in a temporary folder, and ends
with the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
CONTROL = "forward-control"
ENTRY = "forward-entry"


def free_port() -> int:
    """A port on which nothing listens, below those that the system gives out."""
    while True:
        port = random.SystemRandom().randrange(12_000, 31_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self._start:9.3f} {text}"
        print(line, file=self._file, flush=True)

    def say(self, text: str) -> None:
        self.write(text)
        with contextlib.suppress(OSError):
            print(text, flush=True)


class Daemon:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, role: str, name: str, settings: str, folder: Path) -> None:
        self.role, self.name = role, name
        self.settings = folder / f"{name}.yaml"
        self.settings.write_text(settings, encoding="utf-8")
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        command = [
            "python3", "-m", "bramleyspread_daemon", self.role,
            "--settings", str(self.settings), "--wire", "bramleyspread_platform",
        ]
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)

    def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None


BOUNDS = {"revoke_ms": 5000, "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10}


class Deployment:
    """Control and entry daemons with settings as the templates of the deploy file."""

    def __init__(self, record: Record, controls: int = 3, entries: int = 1) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        zones = [f"zone-{i}" for i in range(max(controls, 1))]
        self.zones = zones
        self.control_ports = [free_port() for _ in range(controls)]
        seeds = ", ".join(f'"127.0.0.1:{each}"' for each in self.control_ports)
        self.controls: list[Daemon] = []
        self.entries: list[Daemon] = []
        self.front_ports: list[int] = []
        self.ready_ports: list[int] = []
        for i, port in enumerate(self.control_ports):
            data = self.folder / f"core-{i}"
            data.mkdir()
            self.controls.append(Daemon(CONTROL, f"core-{i}", self._control_settings(
                i, port, seeds, data, bootstrap=True), self.folder))
        self._seeds = seeds
        for i in range(entries):
            self._add_entry(i)

    def _control_settings(
        self, i: int, port: int, seeds: str, data: Path, *, bootstrap: bool
    ) -> str:
        zones = ", ".join(f'"{each}"' for each in self.zones)
        return "\n".join((
            f'host: "core-{i}"', f'zone: "{self.zones[i]}"', f"zones: [{zones}]",
            f'listen_at: "127.0.0.1:{port}"', f"seeds: [{seeds}]",
            f'data: "{data}"', f"bootstrap: {str(bootstrap).lower()}",
            "heartbeat_ms: 1200", "trust_folder: true", "link_mbps: 1000.0",
            'timeline: "-"', "log:", "  level: INFO", '  file: "-"',
            "limits:", "  body_bytes: 16777216", "  receive_s: 5.0", "  idle_s: 30.0",
            "  grace_s: 0.3", "  drain_s: 3.0", "  connections: 1800", "",
        ))

    def _add_entry(self, i: int) -> None:
        front, ready, peer = free_port(), free_port(), free_port()
        self.front_ports.append(front)
        self.ready_ports.append(ready)
        settings = "\n".join((
            f'host: "front-{i}"', f'zone: "{self.zones[i % len(self.zones)]}"',
            f'listen_at: "127.0.0.1:{peer}"', f'callers_at: "127.0.0.1:{front}"',
            f'ready_at: "127.0.0.1:{ready}"', f"seeds: [{self._seeds}]",
            f"revoke_ms: {BOUNDS['revoke_ms']}", "fail_closed: true",
            f"retry_ratio: {BOUNDS['retry_ratio']}",
            f"retry_slack: {BOUNDS['retry_slack']}",
            f"retry_window_s: {BOUNDS['retry_window_s']}",
            "memory_mb: 300", "link_mbps: 1000.0", "overload: fair",
            'timeline: "-"', "log:", "  level: INFO", '  file: "-"',
            "limits:", "  head_bytes: 32768", "  body_bytes: 8388608",
            "  receive_s: 5.0", "  idle_s: 20.0", "  grace_s: 2.2", "  drain_s: 5.3",
            "  connections: 1800", "",
        ))
        self.entries.append(Daemon(ENTRY, f"front-{i}", settings, self.folder))

    def restart_as_known(self, i: int) -> None:
        """Settings of a later start: the same, but `bootstrap` is false."""
        each = self.controls[i]
        text = each.settings.read_text(encoding="utf-8")
        each.settings.write_text(
            text.replace("bootstrap: true", "bootstrap: false"), encoding="utf-8")

    def start(self) -> None:
        for each in (*self.controls, *self.entries):
            each.start()

    def end(self) -> None:
        for each in (*self.controls, *self.entries):
            each.end()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """One HTTP answer as a client sees it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def __str__(self) -> str:
        state = "complete" if self.complete else f"incomplete ({self.error})"
        return f"{self.status or 'no status'}, {len(self.body)} bytes, {state}"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], into: bytearray
) -> None:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size:
                into += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return
    left = int(headers.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, 65536))
        if not data:
            raise asyncio.IncompleteReadError(bytes(into), left)
        into += data
        left -= len(data)


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on an open connection, and read its answer."""
    answer = Answer()
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    into = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            writer.write("\r\n".join((*lines, "", "")).encode("latin-1") + body)
            await writer.drain()
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split()[1])
            if method != "HEAD":
                await read_body(reader, answer.headers, into)
            answer.complete = True
    except TimeoutError:
        answer.error = f"nothing more within {timeout_s:g} s"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.error = f"closed: {type(error).__name__}"
    answer.body = bytes(into)
    return answer


async def call(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a connection of its own."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except (OSError, TimeoutError) as error:
        answer = Answer()
        answer.error = f"not connected: {type(error).__name__}"
        return answer
    try:
        sent = {"Host": f"127.0.0.1:{port}", **(headers or {})}
        return await exchange(reader, writer, method, path, sent, body, timeout_s)
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


async def put_config(
    record: Record, ports: list[int], config: dict[str, Any], timeout_s: float = 20.0
) -> float:
    """Send a configuration until it is acknowledged; return when it was."""
    body = json.dumps(config).encode()
    end = time.monotonic() + timeout_s
    turn = 0
    while time.monotonic() < end:
        port = ports[turn % len(ports)]
        turn += 1
        answer = await call(port, "POST", "/config/put",
                            {"Content-Type": "application/json"}, body, 1.5)
        record.write(f"config {config['version']} to {port}: {answer}")
        if answer.status == 200 and answer.complete:
            return time.monotonic()
        if answer.status in (400, 409, 412, 413, 422):
            raise SystemExit(2)
        await asyncio.sleep(0.1)
    raise SystemExit(2)


Handler = Callable[
    [str, str, dict[str, str], bytes, asyncio.StreamWriter, str], Awaitable[bool]
]


class Engine:
    """A sound engine: registers, beats, and answers requests with the given handler."""

    def __init__(
        self, record: Record, service: str, zone: str, control_ports: list[int],
        handler: Handler, slots: int = 64,
    ) -> None:
        self.record, self.service, self.zone = record, service, zone
        self.port = free_port()
        self.id = f"i-{random.SystemRandom().getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.slots = slots
        self._controls = control_ports
        self._handler = handler
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self._beats = asyncio.create_task(self._beat_forever())

    async def end(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for each in tuple(self._tasks):
            each.cancel()

    async def beat(self, state: str = "ready") -> bool:
        self._seq += 1
        body = json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
            "cold_left_ms": 0, "seq": self._seq, "born": self.born,
        }).encode()
        for port in random.sample(self._controls, len(self._controls)):
            answer = await call(port, "POST", f"/instances/{self.id}/heartbeat",
                                {"Content-Type": "application/json"}, body, 1.0)
            if 200 <= answer.status < 300:
                return True
        return False

    async def _beat_forever(self) -> None:
        while True:
            await self.beat(self.state)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                body = bytearray()
                await read_body(reader, headers, body)
                expected = headers.get("x-expect-instance", self.id)
                attempt = headers.get("x-attempt-id", "")
                if path == "/healthz":
                    await self.answer(writer, 200, b"", attempt, sealed=False,
                                      extra={"X-Instance": self.id})
                elif expected != self.id:
                    await self.answer(writer, 421, b"", attempt, sealed=False)
                elif not await self._handler(
                    method, path, headers, bytes(body), writer, attempt
                ):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def answer(
        self, writer: asyncio.StreamWriter, status: int, body: bytes, attempt: str,
        *, sealed: bool = True, extra: dict[str, str] | None = None,
        head_only: bool = False,
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if attempt:
            lines.append(f"X-Attempt-Id: {attempt}")
        if sealed:
            lines.append("X-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1")
        lines += [f"{k}: {v}" for k, v in (extra or {}).items()]
        head = "\r\n".join((*lines, "", "")).encode("latin-1")
        writer.write(head + (b"" if head_only else body))
        await writer.drain()


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def make_config(
    version: int, routes: list[dict[str, Any]], services: list[str], **more: Any
) -> dict[str, Any]:
    return {
        "version": version, "routes": routes,
        "services": [{"name": each, "health_path": "/healthz", "max_conns": 370,
                      "protocol": "h1", "tls": False} for each in services],
        "limits": LIMITS, **more,
    }


def make_route(name: str, host: str, prefix: str, kind: str, service: str,
               **more: Any) -> dict[str, Any]:
    return {"name": name, "hostname": host, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 5000, "goal_ms": 1000, "priority": 1, "service": service,
            "attempts": 1, "public": True, "sticky": False, "can_resume": False, **more}


async def wait_ready(record: Record, port: int, timeout_s: float = 20.0) -> None:
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if (await call(port, "GET", "/readyz", timeout_s=1.0)).status == 200:
            return
        await asyncio.sleep(0.1)
    record.say("a front daemon wasn't ready in time")
    raise SystemExit(2)


async def wait_served(
    record: Record, port: int, host: str, path: str, timeout_s: float = 15.0
) -> None:
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        headers = {"Host": host, "X-Attempt-Id": new_id(), "X-Deadline-Ms": "2000"}
        answer = await call(port, "GET", path, headers)
        record.write(f"first request: {answer}")
        if answer.status == 200:
            return
        await asyncio.sleep(0.2)
    record.say("no request was served in time")
    raise SystemExit(2)


def new_id() -> str:
    return f"{random.SystemRandom().getrandbits(64):016x}"


def run(case: Callable[[Record, bool], Awaitable[bool]], file: str) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it can't."""
    folder = Path(file).resolve().parent
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(case(record, has_trouble))
    except SystemExit:
        record.say("the case could not run")
        raise
    except Exception as error:  # noqa: BLE001
        record.say(f"the case could not run: {error!r}")
        raise SystemExit(2) from None
    record.say("BROKEN" if broken else "held")
    raise SystemExit(1 if broken else 0)
