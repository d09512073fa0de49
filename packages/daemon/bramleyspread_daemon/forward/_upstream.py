"""Connections to targets for forwarded requests."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Iterator, Sequence
from typing import Any

import curio
import h11

from bramleyspread_core import Address
from bramleyspread_daemon._client import (
    ConnectionClosedError,
    RequestNotSentError,
    TargetRefusedError,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_daemon._turns import Turns
from bramleyspread_daemon.forward._held_bytes import HeldBytes, Holding
from bramleyspread_daemon.forward._kept_parts import KeptBody, KeptParts

#: Maximum size of a response head.
MAX_HEAD_BYTES = 65_536
#: Maximum number of lines of a response head. Each costs far more time and memory than
#: its bytes.
MAX_HEAD_LINES = 256
#: Maximum size of a response body that is read as a whole.
MAX_RESPONSE_BODY_BYTES = 16_777_216
#: Statuses of responses that never have a body.
BODILESS_STATUSES = frozenset({204, 304})
#: Maximum number of provisional responses before the final one.
MAX_PROVISIONAL_RESPONSES = 16
#: Time after which a connection with unacknowledged bytes is closed, in ms; it also
#: decides when keepalive probes give up. Sound targets may be silent for over a second.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
#: How long an idle connection is reused if its target reports no keep-alive time, in
#: seconds.
DEFAULT_KEEP_ALIVE_S = 3.0

_HEAD_END = re.compile(rb"\n\r?\n")
_PROVISIONAL = re.compile(rb"HTTP/\S+ +1")


class UpstreamConnection:
    """Connection to a target that carries one request at a time."""

    __slots__ = (
        "_connection",
        "_held",
        "_holding",
        "_http",
        "_is_eof",
        "_method",
        "_parts",
        "_send_task",
        "_turns",
        "address",
        "ends_by_closing",
        "idle_since",
        "is_relayed",
        "known_results",
        "max_idle_s",
        "was_used",
    )

    def __init__(
        self, connection: Connection, address: Address, held: HeldBytes
    ) -> None:
        self._connection = connection
        self._held = held
        self._holding = Holding(address, self._measure, self._give_up)
        # What the response's reader keeps of it.
        self._parts: KeptParts | None = None
        self._turns = Turns()
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._send_task: Any = None
        self._is_eof = False
        self._method = ""
        #: Address of the target.
        self.address = address
        #: Whether another host relays it.
        self.is_relayed = False
        #: When the last response on it ended, in monotonic seconds.
        self.idle_since = connection.opened_at
        #: Handles of the stage results that responses on it have named.
        self.known_results: set[str] = set()
        #: Whether the response has neither a length nor chunks, so that it ends with
        #: the connection.
        self.ends_by_closing = False
        #: How long it may be idle and still be reused, in seconds.
        self.max_idle_s = DEFAULT_KEEP_ALIVE_S
        #: Whether it had carried a request before the latest one.
        self.was_used = False

    @classmethod
    async def open(
        cls, address: Address, timeout: float, held: HeldBytes
    ) -> UpstreamConnection:
        """Connect to a target.

        :param address: the target's address.
        :param timeout: connect timeout, in seconds.
        :param held: counts the bytes that are kept of all responses.
        :returns: the connection.
        :raises RequestNotSentError: if the target can't be reached in time.
        """
        try:
            connection = await timeout_after(timeout, Connection.open, address)
        except curio.TaskTimeout:
            raise RequestNotSentError(f"not connected within {timeout:.3f} s") from None
        except ConnectionRefusedError as error:
            raise TargetRefusedError(
                f"not connected: {error.strerror or error}"
            ) from None
        except OSError as error:
            raise RequestNotSentError(
                f"not connected: {error.strerror or error}"
            ) from None
        connection.enable_peer_timeout(UNACKNOWLEDGED_TIMEOUT_MS)
        return cls(connection, address, held)

    @property
    def opened_at(self) -> float:
        """When it was opened, in monotonic seconds."""
        return self._connection.opened_at

    def detach(self) -> Connection:
        """Return the connection itself, on which nothing has been sent yet."""
        return self._connection

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._http.our_state is h11.IDLE
            and self._send_task is None
            and not self._http.trailing_data[0]
            and self._connection.is_idle()
        )

    async def send(
        self,
        method: str,
        target: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a request; bytes that don't fit at once follow in the background.

        :param method: the method.
        :param target: path and query.
        :param headers: all headers.
        :param body: the body.
        :raises RequestNotSentError: if no byte of the request was sent.
        """
        self.was_used, self._method = bool(self._method), method
        try:
            head = h11.Request(method=method, target=target, headers=list(headers))
        except h11.LocalProtocolError as error:
            # Headers may repeat what another target has said.
            raise RequestNotSentError(f"can't be sent: {error}") from None
        chunks = [self._http.send(head)]
        if body:
            chunks.append(self._http.send(h11.Data(data=body)))
        chunks.append(self._http.send(h11.EndOfMessage()))
        data = b"".join(chunk for chunk in chunks if chunk)
        try:
            sent = self._connection.send_nonblocking(data)
        except OSError as error:
            raise RequestNotSentError(f"not sent: {error.strerror or error}") from None
        if sent < len(data):
            self._send_task = await curio.spawn(
                self._send_remaining, data[sent:], daemon=True
            )

    async def _send_remaining(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            await self._connection.send_all(data)
        self._send_task = None

    async def read_head(self) -> h11.Response:
        """Read the head of the response.

        :returns: the head.
        :raises ConnectionClosedError: if the connection closes first, or the response
            isn't HTTP.
        """
        for _ in range(MAX_PROVISIONAL_RESPONSES + 1):
            event = await self._read_event()
            if isinstance(event, h11.Response):
                self.ends_by_closing = not _has_end(event, self._method)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionClosedError("closed before the answer")
            # A head may have thousands of lines.
            await curio.sleep(0)
        raise ConnectionClosedError("provisional answers without end")

    async def read_chunk(self) -> bytes:
        """Read the next bytes of the response body.

        :returns: the bytes; empty at the end of the body.
        :raises ConnectionClosedError: if the connection closes before the response is
            complete.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._finish_response()
                return b""
            raise ConnectionClosedError("closed in the middle of the answer")

    async def read_body(self, max_bytes: int = MAX_RESPONSE_BODY_BYTES) -> bytes:
        """Read the whole response body.

        :param max_bytes: maximum size of the body.
        :returns: the body.
        :raises ConnectionClosedError: if the connection closes first, or the body is
            too large.
        """
        body = KeptBody()
        self.keep(body)
        while chunk := await self.read_chunk():
            if body.size + len(chunk) > max_bytes:
                raise ConnectionClosedError(f"answer over {max_bytes} bytes")
            body.add(chunk)
            self.record_kept()
        return body.join()

    def keep(self, parts: KeptParts) -> None:
        """Count what the reader of the response keeps of it, until it is released.

        :param parts: what the reader keeps.
        """
        self._parts = parts

    def record_kept(self) -> None:
        """Count what is kept of the response now.

        :raises ConnectionClosedError: if the response is given up for want of room.
        """
        if not self._holding.is_given_up:
            self._held.resize(self._holding, self._measure())
        self.check_room()

    def check_room(self) -> None:
        """Check that the response is not given up.

        :raises ConnectionClosedError: if it is.
        """
        if self._holding.is_given_up:
            raise ConnectionClosedError("given up: too many bytes of answers are kept")

    @property
    def is_given_up(self) -> bool:
        """Whether the response was given up for want of room."""
        return self._holding.is_given_up

    def release_response(self) -> None:
        """Count nothing of the response any more: it is passed on or dropped."""
        self._parts = None
        if not self._holding.is_given_up:
            self._held.resize(self._holding, 0)

    def _measure(self) -> int:
        parsed = self._parts.size if self._parts is not None else 0
        return len(self._http._receive_buffer) + parsed

    def _give_up(self) -> None:
        """Close the connection, and let go of what is kept before its reader runs."""
        self._connection.abort()
        self._http = h11.Connection(h11.CLIENT)
        if self._parts is not None:
            self._parts.drop()

    async def skip_response(self, max_bytes: int) -> None:
        """Read the rest of a response to another request; the own one may follow.

        :param max_bytes: maximum size of the body.
        :raises ConnectionClosedError: if no response can follow.
        """
        await self.read_body(max_bytes)
        self.release_response()
        await curio.sleep(0)
        if self._http.our_state is not h11.IDLE:
            raise ConnectionClosedError("closed after an answer to another request")
        # The parser takes a response only after a request.
        headers = [("Host", "skipped")]
        self._http.send(h11.Request(method=self._method, target="/", headers=headers))
        self._http.send(h11.EndOfMessage())

    async def _read_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionClosedError(f"not HTTP: {error}") from None
            await self._turns.step()
            self.check_room()
            if event is not h11.NEED_DATA:
                return event
            # The task that waits for more keeps no bytes besides those that count.
            self._receive(await self._connection.read())

    def _receive(self, data: bytes) -> None:
        """Pass bytes to the parser.

        :raises ConnectionClosedError: if there are none, or the response is given up.
        """
        # One that was given up reads as if its peer had closed it.
        self.check_room()
        if not data:
            if self._is_eof:
                raise ConnectionClosedError("closed")
            self._is_eof = True
            if self._connection.was_reset:
                raise ConnectionClosedError("reset")
        self._http.receive_data(data)
        self.record_kept()
        self._check_head_lines()

    def _check_head_lines(self) -> None:
        """Check the lines of a head before they are parsed.

        :raises ConnectionClosedError: if there are too many.
        """
        if self._http.their_state is not h11.SEND_RESPONSE:
            return
        received = self._http.trailing_data[0]
        if received.count(b"\n") <= MAX_HEAD_LINES:
            return
        # The response begins after provisional ones.
        if any(x.count(b"\n") >= MAX_HEAD_LINES for x in _split_heads(received)):
            raise ConnectionClosedError(f"a head of over {MAX_HEAD_LINES} lines")

    def _finish_response(self) -> None:
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        self.idle_since = read_monotonic()

    def take_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""
        return self._connection.take_byte_counts()

    async def close(self) -> None:
        """Close the connection, dropping bytes that are not yet sent."""
        self.release_response()
        self._holding.detach()
        if self._send_task is not None:
            await self._send_task.cancel(blocking=False)
        await self._connection.reset()


def _split_heads(received: bytes) -> Iterator[bytes]:
    """List the heads of provisional responses, and that of the response."""
    for head in _HEAD_END.split(received, MAX_PROVISIONAL_RESPONSES + 1):
        yield head
        if not _PROVISIONAL.match(head):
            return


def _has_end(response: h11.Response, method: str) -> bool:
    """Whether a response says itself where its body ends, or can't have one."""
    if method == "HEAD" or response.status_code in BODILESS_STATUSES:
        return True
    names = {name for name, _ in response.headers}
    return b"content-length" in names or b"transfer-encoding" in names
