"""Shared by two cases: an engine in trouble sends a body without end.

Other clients use the same front for a route of another, sound service. Seen: how many
of their requests have no answer at the route's timeout, and half a second later.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
import time
from pathlib import Path

import stand_ins as s

TIMEOUT_MS, LATE_MS, DEADLINE_MS = 1200, 500, 6000
CALLS, CALLS_PER_S = 200, 10
#: When the one request is sent that the engine in trouble answers without end.
TROUBLE_AT_S = 4.0


def _send_endlessly(connected: socket.socket, part: bytes) -> int:
    """Send as fast as the caller takes it, until it closes or a minute is over."""
    sent, at = 0, 0
    until = time.monotonic() + 60
    view = memoryview(part)
    own = socket.socket(fileno=os.dup(connected.fileno()))
    try:
        while time.monotonic() < until:
            if not select.select([], [own], [], 1.0)[1]:
                continue
            done = own.send(view[at:])
            sent += done
            at = (at + done) % len(part)
    except OSError:
        pass
    finally:
        own.close()
    return sent


class Endless:
    """One case.

    :param kind: kind of the route of the engine in trouble.
    :param content_type: type of its answers.
    :param part: chunks that it repeats until its caller closes.
    :param requests: number of requests that get such an answer, at the same time.
    """

    def __init__(
        self, kind: str, content_type: str, part: bytes, requests: int
    ) -> None:
        self._kind, self._type, self._part = kind, content_type, part
        self._requests = requests
        self._late: list[float] = []
        self._unserved = 0
        self._checks = self._missed = 0

    async def _answer_plain(self, engine, method, path, headers, body, writer) -> bool:
        engine.record_run(headers)
        await asyncio.sleep(0.03)
        content = b"x" * 800
        length = f"Content-Length: {len(content)}"
        writer.write(engine.make_head(headers, length) + content)
        return True

    async def _answer_endless(
        self, engine, method, path, headers, body, writer
    ) -> bool:
        engine.record_run(headers)
        lines = (f"Content-Type: {self._type}", "Transfer-Encoding: chunked")
        writer.write(engine.make_head(headers, *lines))
        for at in range(6):
            event = b"id: %d\ndata: token\n\n" % at
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(0.05)
        if not s.is_trouble():
            writer.write(b"0\r\n\r\n")
            return True
        self._record.write(f"engine {engine.id}: bytes without end begin")
        connected = writer.get_extra_info("socket")
        await writer.drain()
        sent = await asyncio.to_thread(_send_endlessly, connected, self._part)
        self._record.write(f"engine {engine.id}: closed after {sent} bytes")
        return False

    async def main(self, record: s.Record) -> int:
        self._record = record
        deployment = s.Deployment(fronts=2)
        engines = [s.Engine("llm", f"z{at}", self._answer_endless) for at in range(2)]
        engines += [s.Engine("gateway", f"z{at}", self._answer_plain) for at in range(2)]
        routes = [
            s.make_route("explain", self._kind, "llm"),
            s.make_route("submit", "idempotent", "gateway", timeout_ms=TIMEOUT_MS),
        ]
        config = s.make_config(routes, {"llm": {}, "gateway": {}})
        async with s.running(deployment, engines, config):
            await self._play(deployment)
        late = self._late
        later = [ms for ms in late if ms > TIMEOUT_MS + LATE_MS]
        return record.finish(
            len(late) >= 8 and 2 * len(later) > len(late),
            f"of {CALLS} requests to the sound service {len(late)} had no answer at "
            f"{TIMEOUT_MS} ms, {len(later)} none {LATE_MS} ms later, the longest "
            f"{max(late, default=0):.0f} ms; {self._unserved} not served; {self._missed} "
            f"of {self._checks} readiness checks without a 200 within 1 s",
        )

    async def _play(self, deployment: s.Deployment) -> None:
        front = deployment.front("front-0")
        checks = asyncio.create_task(self._check_ready(deployment.ready("front-0")))
        tasks = []
        for number in range(CALLS):
            tasks.append(asyncio.create_task(self._submit(front, number)))
            if number == int(TROUBLE_AT_S * CALLS_PER_S):
                for _ in range(self._requests):
                    tasks.append(asyncio.create_task(self._explain(front)))
            await asyncio.sleep(1 / CALLS_PER_S)
        await asyncio.gather(*tasks)
        checks.cancel()

    async def _submit(self, front: tuple[str, int], number: int) -> None:
        request, started = s.new_id(), time.monotonic()
        answer = await s.ask(front, "GET", f"/submit/{number}", request, DEADLINE_MS)
        elapsed_ms = (time.monotonic() - started) * 1000
        if elapsed_ms > TIMEOUT_MS:
            self._late.append(elapsed_ms)
        self._unserved += answer.status != 200 or not answer.complete
        self._record.write(f"submit {request}: {elapsed_ms:.0f} ms, {answer}")

    async def _explain(self, front: tuple[str, int]) -> None:
        request = s.new_id()
        self._record.write(f"explain {request} is sent")
        answer = await s.ask(front, "POST", "/explain/a", request, DEADLINE_MS)
        self._record.write(f"explain {request}: {answer}")

    async def _check_ready(self, address: tuple[str, int]) -> None:
        while True:
            answer = await s.call(address, "GET", "/readyz", timeout_s=1.0)
            self._checks += 1
            self._missed += answer.status != 200
            await asyncio.sleep(1.0)


def run(
    kind: str, content_type: str, part: bytes, requests: int, folder: Path
) -> None:
    s.run_case(Endless(kind, content_type, part, requests).main, folder)
