"""Targets and callers for measuring one entry process, cheap enough not to be it.

Both speak just enough HTTP by hand. A target writes into each token when it
sent it, so that a caller sees what was added on the way.
"""

from __future__ import annotations

import heapq
import json
import socket
import sys
import time
from typing import Any

import curio

from bramleyspread_core import (
    Address,
    Announcement,
    Load,
    LoadedModel,
    Payload,
    PoolName,
    ServiceName,
    TargetAnswer,
    TargetCall,
    TargetName,
    Usage,
    ZoneName,
    decode_json,
    encode_json,
)
from bramleyspread_proof._daemon_http import ask, read_message

#: The service that is measured.
SERVICE = "bench"
#: Its pools, in the order of the stages.
POOLS = ("encoders", "retrievers", "rerankers", "engines")
#: Targets of each pool that one process plays.
TARGETS_EACH = 4
#: Requests that each says it can run side by side.
SLOTS = 100
#: Time between two tokens of a stream, in seconds.
GAP_S = 0.008
#: How often targets announce themselves, in seconds.
ANNOUNCE_S = 0.5
#: How often due tokens are sent, in seconds.
BEAT_S = 0.0005

_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


class _Stream:
    """A stream on its way from a target."""

    __slots__ = ("call", "connected", "index")

    def __init__(self, call: TargetCall, connected: Any) -> None:  # noqa: ANN401
        self.call = call
        self.connected = connected
        self.index = 0

    def send_next(self) -> bool:
        """Send the next token.

        :returns: whether more are to come.
        """
        attempt = self.call.attempt
        head = f'data: {{"attempt":"{attempt}","index":{self.index},"token":"'
        event = f'{head}{time.monotonic_ns()}"}}\n\n'.encode()
        self.index += 1
        self._send(_chunk(event))
        if self.index < self.call.max_tokens:
            return True
        end = b"event: end\ndata: " + encode_json(_answer(self.call)) + b"\n\n"
        self._send(_chunk(end) + b"0\r\n\r\n")
        return False

    def _send(self, data: bytes) -> None:
        try:
            self.connected._socket.send(data)
        except OSError:
            self.index = self.call.max_tokens


class Targets:
    """One process that plays targets of every pool on one port."""

    def __init__(self, entry: Address, name: str) -> None:
        self._entry = entry
        self._name = name
        self._due: list[tuple[float, int, _Stream]] = []
        self._count = 0
        self._held = curio.Event()

    async def run(self) -> None:
        """Serve for ever."""
        listening = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
        listening.bind(("127.0.0.1", 0))
        listening.listen(1_024)
        address = Address(*listening.getsockname())
        await curio.spawn(self._announce, address, daemon=True)
        await curio.spawn(self._beat, daemon=True)
        while True:
            connected, _ = await listening.accept()
            connected._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await curio.spawn(self._serve, connected, daemon=True)

    async def _announce(self, address: Address) -> None:
        connected = await curio.open_connection(self._entry.ip, self._entry.port)
        sequence = 0
        while True:
            sequence += 1
            for pool in POOLS:
                for number in range(TARGETS_EACH):
                    announcement = Announcement(
                        target=TargetName(f"{self._name}-{pool}-{number}"),
                        incarnation=1,
                        sequence=sequence,
                        pool=PoolName(ServiceName(SERVICE), pool),
                        address=address,
                        zone=ZoneName("z"),
                        load=Load(slots=SLOTS),
                        models=(LoadedModel("m", "1"),) if pool == "engines" else (),
                    )
                    body = encode_json(announcement)
                    await ask(connected, "/v1/announcements", body)
            await curio.sleep(ANNOUNCE_S)

    async def _beat(self) -> None:
        while True:
            now = time.monotonic()
            while self._due and self._due[0][0] <= now:
                due, _, stream = heapq.heappop(self._due)
                if stream.send_next():
                    self._push(due + GAP_S, stream)
            await curio.sleep(BEAT_S)

    def _push(self, due: float, stream: _Stream) -> None:
        self._count += 1
        heapq.heappush(self._due, (due, self._count, stream))

    async def _serve(self, connected: Any) -> None:  # noqa: ANN401
        rest = b""
        async with connected:
            while True:
                head, body, rest = await read_message(connected, rest)
                if not head:
                    return
                if not head.startswith(b"POST /v1/calls"):
                    await connected.sendall(_whole(b"{}"))
                    continue
                call: TargetCall = decode_json(body, TargetCall)
                if call.stage == "hold":
                    await self._held.wait()
                if call.stream:
                    connected._socket.send(_STREAM_HEAD)
                    stream = _Stream(call, connected)
                    if stream.send_next():
                        self._push(time.monotonic() + GAP_S, stream)
                else:
                    await connected.sendall(_whole(encode_json(_answer(call))))


def _answer(call: TargetCall) -> TargetAnswer:
    usage = Usage(1, 1, 0, call.max_tokens if call.stream else 0)
    output = Payload(b'{"done":true}')
    return TargetAnswer(call.request, call.stage, call.attempt, output, usage)


def _whole(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


class Callers:
    """One process of callers that send at a steady rate and time the answers."""

    def __init__(self, entry: Address, pipeline: str, rate: float) -> None:
        self._entry = entry
        self._rate = rate
        head = (
            f"POST /v1/services/{SERVICE}/{pipeline} HTTP/1.1\r\nhost: a\r\n"
            "x-organisation: o\r\nx-brand: b\r\naccept: text/event-stream\r\n"
            "content-length: 7\r\n\r\n"
        )
        self._request = head.encode() + b'{"a":1}'
        self._free: list[Any] = []
        self._open = 0
        self._first: list[float] = []
        self._gaps: list[float] = []
        self._delays: list[float] = []
        self._counts = {"sent": 0, "whole": 0, "tokens": 0, "other": 0}

    async def run(self, seconds: float) -> dict[str, Any]:
        """Send for some time and wait for the last answers.

        :param seconds: how long to send.
        :returns: counts, and times in milliseconds.
        """
        began = time.monotonic()
        due = began
        while due < began + seconds:
            await curio.sleep(max(0.0, due - time.monotonic()))
            due += 1 / self._rate
            self._counts["sent"] += 1
            self._open += 1
            await curio.spawn(self._ask, daemon=True)
        until = time.monotonic() + 30
        while self._open and time.monotonic() < until:
            await curio.sleep(0.01)
        times = {"first": self._first, "gaps": self._gaps, "delays": self._delays}
        return {**self._counts, **times}

    async def _ask(self) -> None:
        connected = self._free.pop() if self._free else await self._connect()
        began = time.monotonic_ns()
        await connected.sendall(self._request)
        tail = b""
        sent = last = 0
        closing = False
        while b"0\r\n\r\n" not in tail:
            data = await connected.recv(65_536)
            now = time.monotonic_ns()
            closing = closing or b"connection: close" in data
            refused = not tail and not data.startswith(b"HTTP/1.1 200")
            if refused or not data:
                self._counts["other"] += 1
                break
            for part in data.split(b'"token":"')[1:]:
                was, before = sent, last
                sent, last = int(part[: part.index(b'"')]), now
                self._take(began, was, before, sent, now)
            tail = (tail + data)[-400:]
        else:
            self._counts["whole"] += b"event: end" in tail
            if not closing:
                self._free.append(connected)
        self._open -= 1

    def _take(self, began: int, was: int, before: int, sent: int, now: int) -> None:
        self._counts["tokens"] += 1
        if not was:
            self._first.append((now - began) / 1e6)
        elif self._counts["tokens"] % 4 == 0:
            self._gaps.append(max(0.0, (now - before) - (sent - was)) / 1e6)
            self._delays.append((now - sent) / 1e6)

    async def _connect(self) -> Any:  # noqa: ANN401
        connected = await curio.open_connection(self._entry.ip, self._entry.port)
        connected._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connected


def main(arguments: list[str]) -> None:
    """Play targets or callers.

    :param arguments: ``targets ENTRY NAME`` or ``callers ENTRY PIPELINE RATE SECONDS``.
    """
    entry = Address.from_text(arguments[1])
    if arguments[0] == "targets":
        curio.run(Targets(entry, arguments[2]).run)
        return
    callers = Callers(entry, arguments[2], float(arguments[3]))
    print(json.dumps(curio.run(callers.run, float(arguments[4]))))


if __name__ == "__main__":
    main(sys.argv[1:])
