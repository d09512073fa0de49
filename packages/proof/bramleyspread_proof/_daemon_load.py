"""Targets and callers that put a load on one entry process.

Both implement only the HTTP that they need, so that they use less processor time than
the entry process. A target writes the time of sending into each token, from which a
caller computes the delay that was added.
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
from bramleyspread_proof._daemon_http import post_over, read_message

#: Name of the measured service.
SERVICE = "bench"
#: Names of its pools, in the order of the stages.
POOLS = ("encoders", "retrievers", "rerankers", "engines")
#: Targets of each pool that one process simulates.
TARGETS_PER_POOL = 4
#: Number of slots that each target announces.
SLOTS = 100
#: Interval between two tokens of a stream, in seconds.
TOKEN_INTERVAL_S = 0.008
#: Interval between two announcements of a target, in seconds.
ANNOUNCE_INTERVAL_S = 0.5
#: Interval at which due tokens are sent, in seconds.
SEND_INTERVAL_S = 0.0005

_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


class _Stream:
    """A response stream of a target."""

    __slots__ = ("call", "connection", "index")

    def __init__(self, call: TargetCall, connection: Any) -> None:  # noqa: ANN401
        self.call = call
        self.connection = connection
        self.index = 0

    def send_next(self) -> bool:
        """Send the next token, and the end of the stream after the last one.

        :returns: whether tokens remain.
        """
        attempt = self.call.attempt
        head = f'data: {{"attempt":"{attempt}","index":{self.index},"token":"'
        event = f'{head}{time.monotonic_ns()}"}}\n\n'.encode()
        self.index += 1
        self._send(_make_chunk(event))
        if self.index < self.call.max_tokens:
            return True
        end = b"event: end\ndata: " + encode_json(_make_answer(self.call)) + b"\n\n"
        self._send(_make_chunk(end) + b"0\r\n\r\n")
        return False

    def _send(self, data: bytes) -> None:
        try:
            self.connection._socket.send(data)
        except OSError:
            self.index = self.call.max_tokens


class Targets:
    """Simulates targets of all pools on one port of one process."""

    def __init__(self, entry: Address, name: str) -> None:
        self._entry = entry
        self._name = name
        self._due_streams: list[tuple[float, int, _Stream]] = []
        self._last_number = 0
        self._hold_forever = curio.Event()

    async def run(self) -> None:
        """Serve calls until the process is killed."""
        listening = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
        listening.bind(("127.0.0.1", 0))
        listening.listen(1_024)
        address = Address(*listening.getsockname())
        await curio.spawn(self._announce, address, daemon=True)
        await curio.spawn(self._send_due_tokens, daemon=True)
        while True:
            connection, _ = await listening.accept()
            connection._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await curio.spawn(self._serve, connection, daemon=True)

    async def _announce(self, address: Address) -> None:
        connection = await curio.open_connection(self._entry.ip, self._entry.port)
        sequence = 0
        while True:
            sequence += 1
            for pool in POOLS:
                for number in range(TARGETS_PER_POOL):
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
                    await post_over(connection, "/v1/announcements", body)
            await curio.sleep(ANNOUNCE_INTERVAL_S)

    async def _send_due_tokens(self) -> None:
        while True:
            now = time.monotonic()
            while self._due_streams and self._due_streams[0][0] <= now:
                due, _, stream = heapq.heappop(self._due_streams)
                if stream.send_next():
                    self._schedule(due + TOKEN_INTERVAL_S, stream)
            await curio.sleep(SEND_INTERVAL_S)

    def _schedule(self, due: float, stream: _Stream) -> None:
        self._last_number += 1
        heapq.heappush(self._due_streams, (due, self._last_number, stream))

    async def _serve(self, connection: Any) -> None:  # noqa: ANN401
        rest = b""
        async with connection:
            while True:
                head, body, rest = await read_message(connection, rest)
                if not head:
                    return
                if not head.startswith(b"POST /v1/calls"):
                    await connection.sendall(_make_response(b"{}"))
                    continue
                call: TargetCall = decode_json(body, TargetCall)
                if call.stage == "hold":
                    await self._hold_forever.wait()
                if call.stream:
                    connection._socket.send(_STREAM_HEAD)
                    stream = _Stream(call, connection)
                    if stream.send_next():
                        self._schedule(time.monotonic() + TOKEN_INTERVAL_S, stream)
                else:
                    await connection.sendall(
                        _make_response(encode_json(_make_answer(call)))
                    )


def _make_answer(call: TargetCall) -> TargetAnswer:
    usage = Usage(1, 1, 0, call.max_tokens if call.stream else 0)
    output = Payload(b'{"done":true}')
    return TargetAnswer(call.request, call.stage, call.attempt, output, usage)


def _make_response(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


class Callers:
    """Sends requests at a constant rate and measures the response times."""

    def __init__(self, entry: Address, pipeline: str, rate: float) -> None:
        self._entry = entry
        self._rate = rate
        head = (
            f"POST /v1/services/{SERVICE}/{pipeline} HTTP/1.1\r\nhost: a\r\n"
            "x-organisation: o\r\nx-brand: b\r\naccept: text/event-stream\r\n"
            "content-length: 7\r\n\r\n"
        )
        self._request = head.encode() + b'{"a":1}'
        self._idle_connections: list[Any] = []
        self._open_requests = 0
        self._first_token_ms: list[float] = []
        self._added_gap_ms: list[float] = []
        self._delay_ms: list[float] = []
        self._counts = {"sent": 0, "whole": 0, "tokens": 0, "other": 0}

    async def run(self, seconds: float) -> dict[str, Any]:
        """Send requests, then wait at most 30 s for the remaining responses.

        :param seconds: time for which to send.
        :returns: by name, the counts of requests and tokens, and lists of times in
            milliseconds.
        """
        began = time.monotonic()
        due = began
        while due < began + seconds:
            await curio.sleep(max(0.0, due - time.monotonic()))
            due += 1 / self._rate
            self._counts["sent"] += 1
            self._open_requests += 1
            await curio.spawn(self._send_request, daemon=True)
        until = time.monotonic() + 30
        while self._open_requests and time.monotonic() < until:
            await curio.sleep(0.01)
        times = {
            "first": self._first_token_ms,
            "gaps": self._added_gap_ms,
            "delays": self._delay_ms,
        }
        return {**self._counts, **times}

    async def _send_request(self) -> None:
        connection = (
            self._idle_connections.pop()
            if self._idle_connections
            else await self._connect()
        )
        began = time.monotonic_ns()
        await connection.sendall(self._request)
        tail = b""
        sent = received = 0
        closing = False
        while b"0\r\n\r\n" not in tail:
            data = await connection.recv(65_536)
            now = time.monotonic_ns()
            closing = closing or b"connection: close" in data
            refused = not tail and not data.startswith(b"HTTP/1.1 200")
            if refused or not data:
                self._counts["other"] += 1
                break
            for part in data.split(b'"token":"')[1:]:
                last_sent, last_received = sent, received
                sent, received = int(part[: part.index(b'"')]), now
                self._record_token(began, last_sent, last_received, sent, now)
            tail = (tail + data)[-400:]
        else:
            self._counts["whole"] += b"event: end" in tail
            if not closing:
                self._idle_connections.append(connection)
        self._open_requests -= 1

    def _record_token(
        self, began: int, last_sent: int, last_received: int, sent: int, now: int
    ) -> None:
        self._counts["tokens"] += 1
        if not last_sent:
            self._first_token_ms.append((now - began) / 1e6)
        elif self._counts["tokens"] % 4 == 0:
            self._added_gap_ms.append(
                max(0.0, (now - last_received) - (sent - last_sent)) / 1e6
            )
            self._delay_ms.append((now - sent) / 1e6)

    async def _connect(self) -> Any:  # noqa: ANN401
        connection = await curio.open_connection(self._entry.ip, self._entry.port)
        connection._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection


def main(arguments: list[str]) -> None:
    """Run targets or callers.

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
