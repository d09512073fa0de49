"""Stand-ins of the platform, the operator, engines and clients for the review's scripts.

Standard library only. All addresses are loopback addresses; all files are in a
temporary folder; every process that was started is ended in ``Deployment.stop``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_MS = 1200
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_ms": 2000, "rollback_slack_ms": 250, "stretch_ms": 5000,
    "fail_closed": True, "revoke_ms": 5000, "retry_ratio": 0.2,
    "retry_window_s": 10, "retry_slack": 56, "recover_s": 12, "pass_ms": 120,
    "reuse_window_s": 9.2,
}


class CannotRunError(Exception):
    """The case couldn't run, whatever the rule says."""


def is_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


_taken_ports: set[int] = set()


def free_port() -> int:
    """Find a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12_000, 32_000)
        if port in _taken_ports:
            continue
        _taken_ports.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


# --- settings: the templates of the deploy file, filled as DEPLOY.md says ---------

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
_VALUE = re.compile(r"\{\{([\w.]+|\.)(\|json)?\}\}")


def _find(fields, name):
    if name == ".":
        return fields.get(".") if isinstance(fields, dict) and "." in fields else fields
    for part in name.split("."):
        if isinstance(fields, list) and part.isdigit():
            fields = fields[int(part)]
        elif isinstance(fields, dict) and part in fields:
            fields = fields[part]
        else:
            return None
    return fields


def fill(text: str, fields: dict) -> str:
    """Fill a template: sections, values, and values as JSON."""

    def section(match: re.Match) -> str:
        kind, name, inner = match.groups()
        value = _find(fields, name)
        if kind == "^":
            return "" if value else fill(inner, fields)
        if isinstance(value, list):
            parts = []
            for at, each in enumerate(value):
                comma = ", " if at < len(value) - 1 else ""
                parts.append(fill(inner.replace("{{,}}", comma), {**fields, ".": each}))
            return "".join(parts)
        return fill(inner, {**fields, ".": value}) if value else ""

    def plain(match: re.Match) -> str:
        value = _find(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return _VALUE.sub(plain, _SECTION.sub(section, text))


# --- the platform: starts, kills and restarts the processes of the deploy file ----


class Deployment:
    """The processes of one small deployment.

    :param build: the tree from which they start, until ``builds`` names another one.
    """

    def __init__(self, fronts: int, cores: int = 3, build: Path = ROOT) -> None:
        #: The tree from which each process starts next time.
        self.builds: dict[str, Path] = {}
        self._build = build
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.running: dict[str, subprocess.Popen] = {}
        self.started: set[str] = set()
        self.places: dict[str, dict] = {}
        for at in range(cores):
            self.places[f"core-{at}"] = self._make_place("core", f"z{at % 3}")
        for at in range(fronts):
            self.places[f"front-{at}"] = self._make_place("front", f"z{at % 3}")
        self.controls = [
            (HOST, x["listen"]["control"]) for n, x in self.places.items() if "core" in n
        ]

    def _make_place(self, kind: str, zone: str) -> dict:
        ports = {"core": ("control",), "front": ("front", "ready")}[kind]
        return {
            "kind": kind,
            "zone": zone,
            "listen": {each: free_port() for each in ports},
            "range": free_port(),
        }

    def front(self, name: str) -> tuple[str, int]:
        return HOST, self.places[name]["listen"]["front"]

    def ready(self, name: str) -> tuple[str, int]:
        return HOST, self.places[name]["listen"]["ready"]

    def start(self, name: str) -> None:
        place = self.places[name]
        build = self.builds.get(name, self._build)
        deploy = tomllib.loads((build / "deploy/system.toml").read_text())
        role = next(x for x in deploy["roles"].values() if x["on"] == place["kind"])
        first = name not in self.started
        data = self.folder / name if place["kind"] == "core" else None
        fields = {
            "node": name, "machine_class": place["kind"], "ip": HOST,
            "zone": place["zone"], "region": "r", "serves": role["serves"],
            "listen": {k: f"{HOST}:{v}" for k, v in place["listen"].items()},
            "port_range": [place["range"], place["range"] + 15],
            "seeds": [f"{h}:{p}" for h, p in self.controls[:3]],
            "bootstrap": first, "in_tolerance": place["kind"] == "core",
            "limits": {"cpu_share": 0.537, "cpus": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128},
            "data_dir": str(data) if data else None,
            "heartbeat_ms": HEARTBEAT_MS,
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
        }
        template = (build / role["template"]).read_text()
        settings = self.folder / f"{name}.settings"
        settings.write_text(fill(template, fields))
        words = role["run"].replace("/etc/bramleyspread/node.json", str(settings)).split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        paths = [ROOT / "target/deps"]
        if build != ROOT:
            # Only the packages of this project are of the other build.
            paths = [*sorted(build.glob("packages/*")), build / "platform", *paths]
        env["PYTHONPATH"] = ":".join(map(str, paths))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                words, cwd=build, env=env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.started.add(name)

    def start_all(self) -> None:
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("target/deps is missing: run the deploy file's build")
        for name in self.places:
            self.start(name)

    def signal(self, name: str, number: int) -> None:
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    async def replace(self, name: str, build: Path) -> None:
        """Stop a process as planned, and start it again from a build."""
        process = self.running.pop(name)
        process.terminate()
        try:
            await asyncio.to_thread(process.wait, BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.builds[name] = build
        self.start(name)

    def stop(self) -> None:
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            process.wait()
        keep = os.environ.get("KEEP_FOLDER")
        if keep:
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# --- HTTP ---------------------------------------------------------------------------


class Answer:
    """What a client saw on its socket."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        #: Whether the answer ended as its own framing says.
        self.complete = False
        self.error = ""

    def __str__(self) -> str:
        end = "complete" if self.complete else f"incomplete ({self.error})"
        return f"{self.status or 'no status'}, {len(self.body)} bytes, {end}"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a connection of its own and read all of the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1"]
            sent = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
            if body or method == "POST":
                sent["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            await _read_body(reader, answer)
    except TimeoutError:
        answer.error = f"no end within {timeout_s:.1f} s"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                await reader.readuntil(b"\r\n")
                answer.complete = True
                return
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left:
            data = await reader.read(left)
            if not data:
                answer.error = "closed before its length"
                return
            answer.body += data
            left -= len(data)
        answer.complete = True
    else:
        while data := await reader.read(65_536):
            answer.body += data
        answer.complete = True


# --- the operator -------------------------------------------------------------------

#: The only API key of the configurations of these cases.
KEY = "9dnn2ctnfzs989anu6ws"


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """A route of ``/NAME/``; ``fields`` replace the usual values."""
    route = {
        "name": name, "hostname": "one.example", "path_prefix": f"/{name}/",
        "kind": kind, "timeout_ms": 6000, "goal_ms": 400, "priority": 1,
        "service": service, "attempts": 1, "public": False, "sticky": False,
        "can_resume": False, "gap_goal_ms": 400,
    }
    return {**route, **fields}


def make_config(routes: list[dict], services: dict[str, dict]) -> dict:
    """A configuration; ``services`` are further fields of each service by name."""
    return {
        "version": 3,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 370, **fields}
            for name, fields in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bozi300", "api_keys": [KEY], "priority": 1}],
    }


async def put_config(
    controls: list[tuple[str, int]], config: dict, within_s: float = 30.0
) -> float:
    """Send a configuration until it is acknowledged; return when that was."""
    body = json.dumps(config).encode()
    until = time.monotonic() + within_s
    last = "nobody answered"
    while time.monotonic() < until:
        for address in controls:
            answer = await call(
                address, "POST", "/config/put",
                {"Content-Type": "application/json"}, body, 1.5,
            )
            if answer.status == 200 and answer.complete:
                return time.monotonic()
            last = str(answer)
        await asyncio.sleep(0.1)
    raise CannotRunError(f"no acknowledgement of version {config['version']}: {last}")


async def ask(
    front: tuple[str, int], method: str, path: str, request: str, deadline_ms: int,
    **headers: str,
) -> Answer:
    """Send a client's request, and wait for its answer somewhat past its deadline."""
    sent = {
        "Host": "one.example", "X-Attempt-Id": request, "Api-Key": KEY,
        "X-Deadline-Ms": str(deadline_ms),
    }
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    body = b"{}" if method == "POST" else b""
    return await call(front, method, path, sent, body, deadline_ms / 1000 + 1.0)


async def wait_ready(deployment: Deployment, names: list[str], within_s=30.0) -> None:
    until = time.monotonic() + within_s
    for name in names:
        while True:
            answer = await call(deployment.ready(name), "GET", "/readyz", timeout_s=1.0)
            if answer.status == 200:
                break
            if time.monotonic() > until:
                raise CannotRunError(f"{name} isn't ready: {answer}")
            await asyncio.sleep(0.1)


# --- engines ------------------------------------------------------------------------


class Engine:
    """A stand-in of an engine: registers itself, and answers as ``answer`` says.

    ``answer(engine, method, path, headers, body, writer)`` writes the response.
    """

    def __init__(self, service: str, zone: str, answer, slots: int = 64) -> None:
        self.id = f"i-{random.getrandbits(40):010x}"
        self.service, self.zone, self.slots = service, zone, slots
        self.born = time.time_ns() // 1_000_000
        self.port = 0
        #: The address that it registers; that of a proxy if there is one.
        self.address = ""
        self.sequence = 0
        self.answer = answer
        self.version = "v1"
        #: Ids of the requests that it began to run, with the times.
        self.runs: list[tuple[float, str]] = []
        self._server = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = self.address or f"{HOST}:{self.port}"

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                expected = headers.get("x-expect-instance", self.id)
                if expected != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
                    continue
                if not await self.answer(self, method, path, headers, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    def record_run(self, headers: dict[str, str]) -> None:
        self.runs.append((time.monotonic(), headers.get("x-attempt-id", "")))

    def make_head(self, headers: dict[str, str], *lines: str) -> bytes:
        """The head of an answer that has run: status, id, seal and more lines."""
        request = headers.get("x-attempt-id", "")
        named = [
            "HTTP/1.1 200 OK", f"X-Attempt-Id: {request}",
            f"X-Server-Seal: seal.{self.id}.{request}", *lines,
        ]
        return "\r\n".join(named).encode() + b"\r\n\r\n"

    async def beat(self, controls: list[tuple[str, int]], state: str = "ready") -> None:
        self.sequence += 1
        beat = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": state,
            "cold_left_ms": 0, "seq": self.sequence, "born": self.born,
        }
        shuffled = random.sample(controls, len(controls))
        for address in shuffled:
            answer = await call(
                address, "POST", f"/instances/{self.id}/heartbeat",
                {"Content-Type": "application/json"}, json.dumps(beat).encode(), 1.0,
            )
            if 200 <= answer.status < 300:
                return


async def keep_beating(engines: list[Engine], controls: list[tuple[str, int]]) -> None:
    while True:
        await asyncio.gather(*(each.beat(controls) for each in engines))
        await asyncio.sleep(HEARTBEAT_MS / 1000)


# --- a proxy between fronts and engines ----------------------------------------------


class Proxy:
    """Passes bytes between fronts and one engine; its door can be shut.

    While the door is shut, new connections are refused.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._server = None
        self._port = 0
        self._open: list[asyncio.StreamWriter] = []

    async def open_door(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, HOST, self._port or free_port(), reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self._engine.address = f"{HOST}:{self._port}"

    def shut_door(self) -> None:
        """Refuse new connections, and reset the open ones."""
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        up_reader, up_writer = await asyncio.open_connection(HOST, self._engine.port)
        self._open.append(writer)
        try:
            pumps = [
                asyncio.create_task(_pump(reader, up_writer)),
                asyncio.create_task(_pump(up_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for each in pumps:
                each.cancel()
        finally:
            self._open.remove(writer)
            for each in (writer, up_writer):
                with contextlib.suppress(Exception):
                    each.close()


async def _pump(reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()


@contextlib.asynccontextmanager
async def running(deployment: Deployment, engines: list[Engine], config: dict):
    """Start a deployment and its engines, and end all of it afterwards.

    All fronts are ready and have been in touch for some seconds when it begins.
    """
    beats = None
    try:
        deployment.start_all()
        for each in engines:
            await each.start()
        await put_config(deployment.controls, config)
        beats = asyncio.create_task(keep_beating(engines, deployment.controls))
        fronts = [name for name in deployment.places if name.startswith("front")]
        await wait_ready(deployment, fronts)
        await asyncio.sleep(4.0)
        yield
    finally:
        if beats is not None:
            beats.cancel()
        deployment.stop()


# --- the record ------------------------------------------------------------------------


class Record:
    """``record.txt``: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()

    def finish(self, broken: bool, text: str) -> int:
        self.write(f"{'BROKEN' if broken else 'held'}: {text}")
        print(f"{'BROKEN' if broken else 'held'}: {text}")
        return 1 if broken else 0


def run_case(main, folder: Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if not run."""
    record = Record(folder)
    try:
        code = asyncio.run(asyncio.wait_for(main(record), 115))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"
