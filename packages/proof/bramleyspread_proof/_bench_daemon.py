"""Benchmark of one entry process: throughput, latency, processor and memory."""

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
from bramleyspread_proof._daemon_load import POOLS, SERVICE, TARGETS_PER_POOL
from bramleyspread_proof._figures import Figure

BENCH = "daemon"
#: Number of HTTP exchanges measured that reach no target.
EXCHANGES = 5_000
#: Load in requests, tokens per second and tokens per request: twice the share of one
#: daemon in the target's peak.
REQUESTS_PER_S = 40.0
TOKENS_PER_S = 16_400
TOKENS_PER_REQUEST = 410
#: Bounds on the time that the entry process adds to the first token and to the gap
#: between two tokens: a twentieth of the target's bounds.
FIRST_TOKEN_MS = 28.0
GAP_MS = 2.75
#: Duration of a load, in seconds.
LOAD_S = 8.0
#: Number of caller processes, and of target processes.
LOADERS = 2
#: Time for which the idle process is measured, in seconds.
IDLE_S = 4.0
#: Number of connections opened to measure the memory of an idle one.
IDLE_CONNECTIONS = 1_000
#: Number of unanswered requests sent to measure the memory of a waiting one.
WAITING_REQUESTS = 400
#: Time in which the entry process accepts connections and requests, in seconds.
SETTLE_S = 1.5
#: Timeout for the processes to become ready, in seconds.
STARTUP_TIMEOUT_S = 15.0


def run() -> Iterator[Figure]:
    """Run all measurements of an entry process.

    :returns: the figures.
    """
    # Freed memory is reused, so that each memory figure needs a process of its own.
    with _start_deployment() as deployment:
        yield _measure_memory(deployment, "an idle connection", IDLE_CONNECTIONS, b"")
    with _start_deployment() as deployment:
        request = deployment.make_request("hold")
        yield _measure_memory(
            deployment, "a waiting request", WAITING_REQUESTS, request
        )
    with _start_deployment() as deployment:
        yield from _measure_idle(deployment)
        yield from _measure_exchange(deployment)
        yield from _measure_load(deployment)
        yield from _measure_share(deployment)
        yield from _measure_slopes(deployment)


@contextmanager
def _start_deployment() -> Iterator[BenchDeployment]:
    with ExitStack() as stack:
        folder = tempfile.TemporaryDirectory(prefix="bramleyspread-bench-")
        yield BenchDeployment(Path(stack.enter_context(folder)), stack)


def _measure_idle(deployment: BenchDeployment) -> Iterator[Figure]:
    before = deployment.read_processor()
    time.sleep(IDLE_S)
    spent = (deployment.read_processor() - before) / IDLE_S
    targets = LOADERS * TARGETS_PER_POOL * len(POOLS)
    yield Figure(BENCH, f"idle with {targets} targets", round(spent, 4), "cores")


def _measure_exchange(deployment: BenchDeployment) -> Iterator[Figure]:
    """Measure the processor time of an HTTP exchange that reaches no target.

    The processor time that the process uses while idle is subtracted.
    """
    idle = deployment.read_processor()
    time.sleep(IDLE_S)
    idle = (deployment.read_processor() - idle) / IDLE_S
    spent, started_at = deployment.read_processor(), time.monotonic()
    with socket.create_connection(deployment.entry) as connection:
        for _ in range(EXCHANGES):
            connection.sendall(b"GET /v1/ready HTTP/1.1\r\nhost: a\r\n\r\n")
            connection.recv(65_536)
    spent = deployment.read_processor() - spent - idle * (time.monotonic() - started_at)
    yield Figure(BENCH, "processor an exchange", spent / EXCHANGES * 1e6, "us")


def _measure_load(deployment: BenchDeployment) -> Iterator[Figure]:
    load = deployment.load("stages-4", REQUESTS_PER_S, LOAD_S)
    at_least, at_most = Figure.at_least, Figure.at_most
    yield at_least(BENCH, "whole answers", load.whole, "share", 1.0)
    yield at_least(BENCH, "requests", load.requests, "requests/s", REQUESTS_PER_S)
    yield at_least(BENCH, "tokens", load.tokens, "tokens/s", TOKENS_PER_S)
    yield at_most(BENCH, "first token p95", load.first_p95, "ms", FIRST_TOKEN_MS)
    yield at_most(BENCH, "gap p95", load.gap_p95, "ms", GAP_MS)
    yield Figure(BENCH, "token delay p95", load.delay_p95, "ms")
    yield at_most(BENCH, "processor", load.processor, "cores", 1.0)
    yield Figure(BENCH, "waited for a core", load.waited, "s/s")


def _measure_share(deployment: BenchDeployment) -> Iterator[Figure]:
    """Measure at half of the load above: one daemon's share of the target's peak."""
    load = deployment.load("stages-4", REQUESTS_PER_S / 2, LOAD_S)
    name = "at half the load"
    at_most = Figure.at_most
    yield Figure.at_least(BENCH, f"whole answers {name}", load.whole, "share", 1.0)
    yield at_most(
        BENCH, f"first token p95 {name}", load.first_p95, "ms", FIRST_TOKEN_MS
    )
    yield at_most(BENCH, f"gap p95 {name}", load.gap_p95, "ms", GAP_MS)
    yield at_most(BENCH, f"processor {name}", load.processor, "cores", 1.0)


def _measure_slopes(deployment: BenchDeployment) -> Iterator[Figure]:
    short = deployment.load("stages-4-short", REQUESTS_PER_S, LOAD_S / 2)
    long = deployment.load("stages-4-long", REQUESTS_PER_S, LOAD_S / 2)
    single = deployment.load("stages-1-short", REQUESTS_PER_S, LOAD_S / 2)
    each_token = (long.per_request - short.per_request) / 100
    each_stage = (short.per_request - single.per_request) / 3
    yield Figure(BENCH, "processor a token", round(each_token, 1), "us")
    yield Figure(BENCH, "processor a stage", round(each_stage, 1), "us")
    remainder = single.per_request - each_stage - 10 * each_token
    yield Figure(BENCH, "processor a request besides", round(remainder, 1), "us")


def _measure_memory(
    deployment: BenchDeployment, name: str, count: int, text: bytes
) -> Figure:
    before = deployment.read_memory()
    connections = [socket.create_connection(deployment.entry) for _ in range(count)]
    for each in connections:
        each.sendall(text)
    time.sleep(SETTLE_S)
    per_connection = (deployment.read_memory() - before) / count
    for each in connections:
        each.close()
    return Figure(BENCH, f"memory of {name}", round(per_connection, 2), "KiB")


class LoadResult(msgspec.Struct):
    """Measured results of a load on an entry process."""

    #: Share of requests with a complete answer.
    whole: float
    #: Requests with a complete answer per second of sending.
    requests: float
    #: Tokens received per second of sending.
    tokens: float
    #: 95th percentile of the time to the first token, in milliseconds.
    first_p95: float
    #: 95th percentile of the time added between two tokens, in milliseconds.
    gap_p95: float
    #: 95th percentile of the time from sending a token to its arrival, in milliseconds.
    delay_p95: float
    #: Processor time of the entry process under load, in cores.
    processor: float
    #: Time that the process waited for a core, per second of sending.
    waited: float
    #: Processor time per request, in microseconds.
    per_request: float


class BenchDeployment:
    """A control process, an entry process and targets for one measurement."""

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
        self, role: str, address: str, extra_settings: str, hosts: str
    ) -> subprocess.Popen[bytes]:
        ip, _, port = address.partition(":")
        path = self._folder / f"{role}.yaml"
        path.write_text(
            f"host: {role[0]}\nzone: z\nlisten: {{ip: {ip}, port: {port}}}\n"
            f"timeline: {self._folder}/{role}.timeline\n{extra_settings}"
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
        command: Command = SubmitDocument("bench", "bench", make_document())
        body = encode_json(command)
        until = time.monotonic() + STARTUP_TIMEOUT_S
        while True:
            try:
                response = curio.run(post, self._control, "/v1/control/commands", body)
                result: CommandResult = decode_json(response, CommandResult)
            except (OSError, ValueError) as error:
                response = str(error).encode()
            else:
                if isinstance(result, Accepted):
                    return
            if time.monotonic() > until:
                raise RuntimeError(
                    f"the document was not accepted in time: {response!r}"
                )
            time.sleep(0.1)

    def _wait_for_targets(self) -> None:
        until = time.monotonic() + STARTUP_TIMEOUT_S
        while self.load("stages-4-short", 10.0, 0.2).whole < 1.0:
            if time.monotonic() > until:
                raise RuntimeError("the targets did not answer all requests in time")

    def load(self, pipeline: str, rate: float, seconds: float) -> LoadResult:
        """Put a load on the entry process and measure it."""
        processor_before = self.read_processor()
        waited_before = self.read_wait()
        each = (str(rate / LOADERS), str(seconds))
        started = [
            self._start_load("callers", str(self._address), pipeline, *each)
            for _ in range(LOADERS)
        ]
        results = [json.loads(process.communicate()[0]) for process in started]
        spent = self.read_processor() - processor_before
        counts = {
            name: sum(each[name] for each in results)
            for name in ("sent", "whole", "tokens")
        }
        return LoadResult(
            whole=counts["whole"] / counts["sent"],
            requests=round(counts["whole"] / seconds, 1),
            tokens=round(counts["tokens"] / seconds, 1),
            first_p95=_find_p95(results, "first"),
            gap_p95=_find_p95(results, "gaps"),
            delay_p95=_find_p95(results, "delays"),
            processor=round(spent / seconds, 3),
            waited=round((self.read_wait() - waited_before) / seconds, 3),
            per_request=spent / counts["sent"] * 1e6,
        )

    def make_request(self, pipeline: str) -> bytes:
        """Return the bytes of a caller's HTTP request for a pipeline."""
        return (
            f"POST /v1/services/{SERVICE}/{pipeline} HTTP/1.1\r\nhost: a\r\n"
            "x-organisation: o\r\nx-brand: b\r\ncontent-length: 7\r\n\r\n"
            '{"a":1}'
        ).encode()

    def read_processor(self) -> float:
        """Return the processor time of the entry process, in seconds."""
        fields = Path(f"/proc/{self._daemon.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / 100

    def read_wait(self) -> float:
        """Return the time that the entry process waited for a core, in seconds."""
        text = Path(f"/proc/{self._daemon.pid}/schedstat").read_text()
        return int(text.split()[1]) / 1e9

    def read_memory(self) -> float:
        """Return the resident memory of the entry process, in KiB."""
        status = Path(f"/proc/{self._daemon.pid}/status").read_text()
        line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
        return float(line.split()[1])


def _find_p95(results: Sequence[dict[str, Any]], name: str) -> float:
    values = sorted(value for each in results for value in each[name])
    return round(values[int(len(values) * 0.95)], 2) if values else 0.0


def make_document() -> str:
    """Return the document of the measured service as YAML."""
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
        ("stages-4", 4, TOKENS_PER_REQUEST),
        ("stages-4-long", 4, 110),
        ("stages-4-short", 4, 10),
        ("stages-1-short", 1, 10),
    ):
        lines.append(f"  - name: {name}\n    deadline_ms: 20000\n    stages:")
        for number in range(4 - stages, 3):
            lines.append(f"      - {{name: s{number}, pool: {POOLS[number]}}}")
        settings = f"pool: engines, model: m, stream: true, max_tokens: {tokens}"
        lines.append(f"      - {{name: generate, {settings}}}")
    hold = "{name: hold, pool: encoders}"
    lines.append(f"  - {{name: hold, deadline_ms: 20000, stages: [{hold}]}}")
    return "\n".join(lines) + "\n"
