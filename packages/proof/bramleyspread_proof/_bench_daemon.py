"""What one entry process on one core carries, and what it adds to each token."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import curio
import msgspec

from bramleyspread_core import (
    Accepted,
    Address,
    Command,
    CommandResult,
    SubmitDocument,
    decode_json,
    encode_json,
)
from bramleyspread_proof._daemon_http import find_port, post
from bramleyspread_proof._daemon_load import POOLS, SERVICE, TARGETS_EACH
from bramleyspread_proof._figures import Figure

BENCH = "daemon"
#: Plain exchanges that are measured.
EXCHANGES = 5_000
#: Twice a daemon's share of the target's peak.
RATE = 40.0
TOKENS_A_SECOND = 16_400
TOKENS_EACH = 410
#: A twentieth of the target's bounds.
FIRST_TOKEN_MS = 28.0
GAP_MS = 2.75
#: How long one load lasts, in seconds.
LOAD_S = 8.0
#: Caller processes and target processes.
LOADERS = 2
#: How long the idle process is watched, in seconds.
IDLE_S = 4.0
#: Connections opened to see what an idle one costs.
IDLE = 1_000
#: Requests held back to see what a waiting one costs.
WAITING = 400
#: Time for connections and requests to be taken, in seconds.
SETTLE_S = 1.5
#: Time that processes have to come up or go, in seconds.
UP_S = 15.0


def run() -> Iterator[Figure]:
    """Measure one entry process.

    :returns: the figures.
    """
    # Freed memory is used again, so each figure of memory has its own process.
    with _start_rig() as rig:
        yield _measure_memory(rig, "an idle connection", IDLE, b"")
    with _start_rig() as rig:
        held = rig.write_request("hold")
        yield _measure_memory(rig, "a waiting request", WAITING, held)
    with _start_rig() as rig:
        yield from _measure_idle(rig)
        yield from _measure_exchange(rig)
        yield from _measure_load(rig)
        yield from _measure_share(rig)
        yield from _measure_slopes(rig)


@contextmanager
def _start_rig() -> Iterator[_Rig]:
    with ExitStack() as stack:
        folder = tempfile.TemporaryDirectory(prefix="bramleyspread-bench-")
        yield _Rig(Path(stack.enter_context(folder)), stack)


def _measure_idle(rig: _Rig) -> Iterator[Figure]:
    began = rig.read_processor()
    time.sleep(IDLE_S)
    spent = (rig.read_processor() - began) / IDLE_S
    targets = LOADERS * TARGETS_EACH * len(POOLS)
    yield Figure(BENCH, f"idle with {targets} targets", round(spent, 4), "cores")


def _measure_exchange(rig: _Rig) -> Iterator[Figure]:
    """Measure one plain HTTP exchange, with what an idle process spends taken off."""
    idle = rig.read_processor()
    time.sleep(IDLE_S)
    idle = (rig.read_processor() - idle) / IDLE_S
    spent, began = rig.read_processor(), time.monotonic()
    with socket.create_connection(rig.entry) as connected:
        for _ in range(EXCHANGES):
            connected.sendall(b"GET /v1/ready HTTP/1.1\r\nhost: a\r\n\r\n")
            connected.recv(65_536)
    spent = rig.read_processor() - spent - idle * (time.monotonic() - began)
    yield Figure(BENCH, "processor an exchange", spent / EXCHANGES * 1e6, "us")


def _measure_load(rig: _Rig) -> Iterator[Figure]:
    load = rig.load("stages-4", RATE, LOAD_S)
    at_least, at_most = Figure.at_least, Figure.at_most
    yield at_least(BENCH, "whole answers", load.whole, "share", 1.0)
    yield at_least(BENCH, "requests", load.requests, "requests/s", RATE)
    yield at_least(BENCH, "tokens", load.tokens, "tokens/s", TOKENS_A_SECOND)
    yield at_most(BENCH, "first token p95", load.first_p95, "ms", FIRST_TOKEN_MS)
    yield at_most(BENCH, "gap p95", load.gap_p95, "ms", GAP_MS)
    yield Figure(BENCH, "token delay p95", load.delay_p95, "ms")
    yield at_most(BENCH, "processor", load.processor, "cores", 1.0)
    yield Figure(BENCH, "waited for a core", load.waited, "s/s")


def _measure_share(rig: _Rig) -> Iterator[Figure]:
    """Measure at a daemon's own share of the target's peak."""
    load = rig.load("stages-4", RATE / 2, LOAD_S)
    name = "at half the load"
    at_most = Figure.at_most
    yield Figure.at_least(BENCH, f"whole answers {name}", load.whole, "share", 1.0)
    yield at_most(
        BENCH, f"first token p95 {name}", load.first_p95, "ms", FIRST_TOKEN_MS
    )
    yield at_most(BENCH, f"gap p95 {name}", load.gap_p95, "ms", GAP_MS)
    yield at_most(BENCH, f"processor {name}", load.processor, "cores", 1.0)


def _measure_slopes(rig: _Rig) -> Iterator[Figure]:
    short = rig.load("stages-4-short", RATE, LOAD_S / 2)
    long = rig.load("stages-4-long", RATE, LOAD_S / 2)
    single = rig.load("stages-1-short", RATE, LOAD_S / 2)
    each_token = (long.per_request - short.per_request) / 100
    each_stage = (short.per_request - single.per_request) / 3
    yield Figure(BENCH, "processor a token", round(each_token, 1), "us")
    yield Figure(BENCH, "processor a stage", round(each_stage, 1), "us")
    rest = single.per_request - each_stage - 10 * each_token
    yield Figure(BENCH, "processor a request besides", round(rest, 1), "us")


def _measure_memory(rig: _Rig, name: str, count: int, text: bytes) -> Figure:
    before = rig.read_memory()
    connected = [socket.create_connection(rig.entry) for _ in range(count)]
    for each in connected:
        each.sendall(text)
    time.sleep(SETTLE_S)
    grown = (rig.read_memory() - before) / count
    for each in connected:
        each.close()
    return Figure(BENCH, f"memory of {name}", round(grown, 2), "KiB")


class _Load(msgspec.Struct):
    """What one load gave."""

    #: Share of requests answered whole.
    whole: float
    #: Requests answered a second of sending.
    requests: float
    #: Tokens that came, a second of sending.
    tokens: float
    #: Time to the first token, in milliseconds.
    first_p95: float
    #: What was added to the gap between two tokens, in milliseconds.
    gap_p95: float
    #: From a token's sending to its arrival, in milliseconds.
    delay_p95: float
    #: Cores' worth of processor time of the entry process while loaded.
    processor: float
    #: Time that it was ready to run and got no core, a second of sending.
    waited: float
    #: Its processor time a request, in microseconds.
    per_request: float


class _Rig:
    """A control and an entry process with targets, for the time of a bench."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self._folder = folder
        self._stack = stack
        control, entry = (f"127.0.0.1:{find_port()}" for _ in range(2))
        self._control = Address.from_text(control)
        self._address = Address.from_text(entry)
        self.entry = (self._address.ip, self._address.port)
        host = f"[{{host: c, zone: z, address: '{control}'}}]"
        self._start_daemon("control", control, f"data: {folder}/c\n", host)
        self._daemon = self._start_daemon("entry", entry, "", host)
        self._submit()
        for number in range(LOADERS):
            self._start_load("targets", entry, f"t{number}")
        self._wait_for_targets()

    def _start_daemon(
        self, role: str, address: str, more: str, hosts: str
    ) -> subprocess.Popen[bytes]:
        ip, _, port = address.partition(":")
        path = self._folder / f"{role}.yaml"
        path.write_text(
            f"host: {role[0]}\nzone: z\nlisten: {{ip: {ip}, port: {port}}}\n"
            f"timeline: {self._folder}/{role}.timeline\n{more}"
            f"log: {{level: WARNING}}\ncontrol_hosts: {hosts}\n"
        )
        program = str(Path(sys.executable).parent / "bramleyspreadd")
        return self._start([program, role, "--settings", str(path)])

    def _start(self, command: Sequence[str]) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def _start_load(self, *arguments: str) -> subprocess.Popen[bytes]:
        module = "bramleyspread_proof._daemon_load"
        return self._start([sys.executable, "-m", module, *arguments])

    def _submit(self) -> None:
        command: Command = SubmitDocument("bench", "bench", write_document())
        body = encode_json(command)
        until = time.monotonic() + UP_S
        while True:
            try:
                said = curio.run(post, self._control, "/v1/control/commands", body)
                result: CommandResult = decode_json(said, CommandResult)
            except (OSError, ValueError) as error:
                said = str(error).encode()
            else:
                if isinstance(result, Accepted):
                    return
            if time.monotonic() > until:
                raise RuntimeError(f"the document was not accepted: {said!r}")
            time.sleep(0.1)

    def _wait_for_targets(self) -> None:
        until = time.monotonic() + UP_S
        while self.load("stages-4-short", 10.0, 0.2).whole < 1.0:
            if time.monotonic() > until:
                raise RuntimeError("no request was answered whole")

    def load(self, pipeline: str, rate: float, seconds: float) -> _Load:
        """Load the entry process for some time."""
        began = self.read_processor()
        waited = self.read_wait()
        each = (str(rate / LOADERS), str(seconds))
        started = [
            self._start_load("callers", str(self._address), pipeline, *each)
            for _ in range(LOADERS)
        ]
        told = [json.loads(process.communicate()[0]) for process in started]
        spent = self.read_processor() - began
        counts = {
            name: sum(each[name] for each in told)
            for name in ("sent", "whole", "tokens")
        }
        return _Load(
            whole=counts["whole"] / counts["sent"],
            requests=round(counts["whole"] / seconds, 1),
            tokens=round(counts["tokens"] / seconds, 1),
            first_p95=_find_p95(told, "first"),
            gap_p95=_find_p95(told, "gaps"),
            delay_p95=_find_p95(told, "delays"),
            processor=round(spent / seconds, 3),
            waited=round((self.read_wait() - waited) / seconds, 3),
            per_request=spent / counts["sent"] * 1e6,
        )

    def write_request(self, pipeline: str) -> bytes:
        """Write a caller's request as bytes."""
        return (
            f"POST /v1/services/{SERVICE}/{pipeline} HTTP/1.1\r\nhost: a\r\n"
            "x-organisation: o\r\nx-brand: b\r\ncontent-length: 7\r\n\r\n"
            '{"a":1}'
        ).encode()

    def read_processor(self) -> float:
        """Read the entry process's processor time, in seconds."""
        fields = Path(f"/proc/{self._daemon.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / 100

    def read_wait(self) -> float:
        """Read how long it was ready to run and got no core, in seconds."""
        text = Path(f"/proc/{self._daemon.pid}/schedstat").read_text()
        return int(text.split()[1]) / 1e9

    def read_memory(self) -> float:
        """Read the entry process's memory, in KiB."""
        status = Path(f"/proc/{self._daemon.pid}/status").read_text()
        line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
        return float(line.split()[1])


def _find_p95(told: Sequence[dict[str, Any]], name: str) -> float:
    values = sorted(value for each in told for value in each[name])
    return round(values[int(len(values) * 0.95)], 2) if values else 0.0


def write_document() -> str:
    """Write the document of the service that is measured."""
    lines = [f"service: {SERVICE}", "version: 1", "team: bench"]
    lines.append("organisations: [{name: o, brands: [{name: b}]}]")
    lines.append("pools:")
    kinds = ("encoding", "retrieval", "reranking")
    for pool, kind in zip(POOLS, kinds, strict=False):
        lines.append(f"  - {{name: {pool}, kind: {kind}}}")
    models = "models: [{name: m, version: '1'}]"
    lines.append(f"  - {{name: engines, kind: generation, {models}}}")
    lines.append("pipelines:")
    for name, stages, tokens in (
        ("stages-4", 4, TOKENS_EACH),
        ("stages-4-long", 4, 110),
        ("stages-4-short", 4, 10),
        ("stages-1-short", 1, 10),
    ):
        lines.append(f"  - name: {name}\n    deadline_ms: 20000\n    stages:")
        for number in range(4 - stages, 3):
            lines.append(f"      - {{name: s{number}, pool: {POOLS[number]}}}")
        what = f"pool: engines, model: m, stream: true, max_tokens: {tokens}"
        lines.append(f"      - {{name: generate, {what}}}")
    hold = "{name: hold, pool: encoders}"
    lines.append(f"  - {{name: hold, deadline_ms: 20000, stages: [{hold}]}}")
    return "\n".join(lines) + "\n"
