"""A front has lost its paths to all engines, and another front relays for it.

The engines answer without a length, as they may. The front that relays is killed while
such answers pass through it. Seen: what the clients of the front that was cut off get.

``KILL=0`` leaves the kill out, and keeps the cut.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stand_ins as s

PAUSE_S, ROUNDS, REQUESTS = 0.15, 4, 3
#: What an engine writes, part by part.
BODIES = {
    "explain": [b"id: %d\ndata: token %d\n\n" % (at, at) for at in range(1, 13)],
    "submit": [bytes([97 + at]) * 4000 for at in range(12)],
}


class Relay:
    def __init__(self, record: s.Record) -> None:
        self._record = record
        self._deployment = s.Deployment(fronts=2)
        self._proxies: list[s.Proxy] = []
        self._whole = self._asked = 0
        self._wrong: list[str] = []

    async def _answer(self, engine, method, path, headers, body, writer) -> bool:
        """Answer with neither a length nor chunks; the connection's end is the end."""
        engine.record_run(headers)
        kind = path.split("/")[1]
        lines = ["Content-Type: text/event-stream"] if kind == "explain" else []
        writer.write(engine.make_head(headers, "Connection: close", *lines))
        for part in BODIES[kind]:
            await asyncio.sleep(PAUSE_S)
            writer.write(part)
            await writer.drain()
        return False

    async def main(self) -> int:
        services = ("llm", "llm", "gateway", "gateway")
        engines = [s.Engine(x, f"z{at % 2}", self._answer) for at, x in enumerate(services)]
        for each in engines:
            proxy = s.Proxy(each)
            await proxy.open_door()
            self._proxies.append(proxy)
        routes = [
            s.make_route("explain", "stream", "llm"),
            s.make_route("submit", "non_idempotent", "gateway"),
        ]
        config = s.make_config(routes, {"llm": {}, "gateway": {}})
        async with s.running(self._deployment, engines, config):
            for number in range(ROUNDS):
                await self._play(number)
        return self._record.finish(
            bool(self._wrong),
            f"{len(self._wrong)} of {self._asked} answers ended as complete 2xx and were "
            f"not whole, {self._whole} were whole: {'; '.join(self._wrong[:3])}",
        )

    async def _play(self, number: int) -> None:
        """Cut front-0 off from the engines; kill front-1, which relays, meanwhile.

        A proxy can't refuse one front's connections and take another's. So the doors of
        all engines are shut while front-0 connects, and front-1, whose path is sound, is
        held for that moment.
        """
        deployment = self._deployment
        if s.is_trouble():
            self._record.write("front-0 is cut off: engines refuse its connections")
            deployment.signal("front-1", signal.SIGSTOP)
            for each in self._proxies:
                each.shut_door()
        calls = [
            asyncio.create_task(self._ask(kind, f"{number}.{at}"))
            for at in range(REQUESTS)
            for kind in BODIES
        ]
        await asyncio.sleep(0.15)
        if s.is_trouble():
            for each in self._proxies:
                await each.open_door()
            deployment.signal("front-1", signal.SIGCONT)
        await asyncio.sleep(1.0)
        if s.is_trouble() and os.environ.get("KILL", "1") != "0":
            self._record.write("front-1 is killed")
            deployment.kill("front-1")
            await asyncio.sleep(1.0)
            deployment.start("front-1")
        await asyncio.gather(*calls)
        await s.wait_ready(deployment, ["front-0", "front-1"])
        await asyncio.sleep(4.0)

    async def _ask(self, kind: str, name: str) -> None:
        """Send one request to front-0, and check that a success is whole."""
        request = s.new_id()
        self._record.write(f"{kind} {name} {request} is sent")
        front = self._deployment.front("front-0")
        answer = await s.ask(front, "POST", f"/{kind}/{name}", request, 6000)
        whole = b"".join(BODIES[kind])
        is_success = answer.complete and 200 <= answer.status < 300
        seen = f"{kind} {name}: {answer}, the engine's whole body has {len(whole)}"
        self._asked += 1
        if is_success and answer.body == whole:
            self._whole += 1
        elif is_success:
            self._wrong.append(seen)
        seal = answer.headers.get("x-server-seal", "-")
        self._record.write(f"{seen}; seal {seal}")


async def main(record: s.Record) -> int:
    return await Relay(record).main()


s.run_case(main, Path(__file__).resolve().parent)
