"""TCP connections whose writers never wait."""

from __future__ import annotations

import contextlib
import socket as stdlib_socket
import struct
from collections import deque
from typing import Any

import curio.io
import curio.socket
from curio.traps import _read_wait

from bramleyspread_core import Address
from bramleyspread_daemon._clock import read_monotonic

#: Bytes read at once.
READ_BYTES = 65_536
#: Bytes that may wait for a slow reader before its connection is cut.
MAX_PENDING_BYTES = 4_194_304
#: A reader that takes nothing for this long is cut, in seconds.
MAX_STALL_S = 10.0

#: Between two probes of a connection on which nothing is sent, in seconds.
KEEPALIVE_S = 1

#: Tells the operating system to drop unsent bytes at once.
_NO_LINGER = struct.pack("ii", 1, 0)


class Connection:
    """A TCP connection: reads wait, writes are queued when they would.

    :meth:`flush` must be called every few milliseconds for a connection that
    has bytes pending.
    """

    __slots__ = (
        "_drained",
        "_pending",
        "_raw",
        "_socket",
        "aborted",
        "opened_at",
        "pending_bytes",
        "stalled_since",
        "was_reset",
    )

    def __init__(self, connected: Any) -> None:  # noqa: ANN401
        self._socket = connected
        self._raw: stdlib_socket.socket = connected._socket
        self._raw.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        self._drained = False
        self._pending: deque[bytes] = deque()
        #: Bytes that wait to be sent.
        self.pending_bytes = 0
        #: When the peer last took bytes while some were pending.
        self.stalled_since = 0.0
        #: When it was opened, in monotonic seconds.
        self.opened_at = read_monotonic()
        #: Whether the peer broke it off without an orderly end.
        self.was_reset = False
        #: Whether it was cut by this side.
        self.aborted = False

    @classmethod
    async def open(cls, address: Address) -> Connection:
        """Connect to an address.

        :param address: the far end.
        :returns: the connection.
        :raises OSError: when it cannot be reached.
        """
        family = curio.socket.AF_INET6 if ":" in address.ip else curio.socket.AF_INET
        connecting = curio.socket.socket(family, curio.socket.SOCK_STREAM)
        try:
            await connecting.connect((address.ip, address.port))
            return cls(connecting)
        except BaseException:
            await connecting.close()
            raise

    async def read(self) -> bytes:
        """Wait for bytes.

        :returns: bytes; none when the peer, or :meth:`abort`, closed it.
        """
        if self._drained:
            await _read_wait(self._socket._fileno)
        try:
            data: bytes = await self._socket.recv(READ_BYTES)
        except OSError:
            self.was_reset = True
            return b""
        self._drained = len(data) < READ_BYTES
        return data

    async def send_all(self, data: bytes) -> None:
        """Send bytes and wait until the operating system has them.

        :param data: the bytes.
        :raises OSError: when the connection is lost.
        """
        await self._socket.sendall(data)

    def send_first(self, data: bytes) -> int:
        """Hand over as many bytes as fit now.

        :param data: the bytes.
        :returns: how many left.
        :raises OSError: when the connection is lost before any byte left.
        """
        try:
            return self._raw.send(data)
        except BlockingIOError:
            return 0

    def write(self, data: bytes) -> None:
        """Send bytes now as far as possible, and the rest on :meth:`flush`.

        :param data: the bytes.
        """
        if self.aborted or not data:
            return
        if self._pending:
            self._queue(data)
            return
        try:
            sent = self._raw.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.abort()
            return
        if sent < len(data):
            self.stalled_since = read_monotonic()
            self._queue(data[sent:])

    def _queue(self, data: bytes) -> None:
        self._pending.append(data)
        self.pending_bytes += len(data)
        if self.pending_bytes > MAX_PENDING_BYTES:
            self.abort()

    def flush(self, now: float) -> None:
        """Send what is pending, and cut a peer that takes nothing.

        :param now: monotonic seconds.
        """
        while self._pending and not self.aborted:
            data = self._pending.popleft()
            try:
                sent = self._raw.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.abort()
                return
            self.pending_bytes -= sent
            if sent:
                self.stalled_since = now
            if sent < len(data):
                self._pending.appendleft(data[sent:])
                break
        if self._pending and now - self.stalled_since > MAX_STALL_S:
            self.abort()

    def finish_writing(self) -> None:
        """Tell the peer that nothing more comes."""
        try:
            self._raw.shutdown(stdlib_socket.SHUT_WR)
        except OSError:
            self.aborted = True

    def abort(self) -> None:
        """Cut the connection; a waiting :meth:`read` ends with no bytes."""
        self.aborted = True
        self._pending.clear()
        self.pending_bytes = 0
        try:
            self._raw.shutdown(stdlib_socket.SHUT_RDWR)
        except OSError:
            return

    def set_option(self, level: int, option: int, value: int) -> None:
        """Set an option of the socket.

        :param level: such as ``IPPROTO_TCP``.
        :param option: the option.
        :param value: its value.
        """
        self._raw.setsockopt(level, option, value)

    def watch(self, silent_ms: int) -> None:
        """Have the operating system notice a peer that is no longer there.

        :param silent_ms: how long sent bytes may go unacknowledged, in milliseconds.
        """
        tcp = stdlib_socket.IPPROTO_TCP
        self.set_option(tcp, stdlib_socket.TCP_USER_TIMEOUT, silent_ms)
        self.set_option(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_KEEPALIVE, 1)
        self.set_option(tcp, stdlib_socket.TCP_KEEPIDLE, KEEPALIVE_S)
        self.set_option(tcp, stdlib_socket.TCP_KEEPINTVL, KEEPALIVE_S)
        self.set_option(tcp, stdlib_socket.TCP_KEEPCNT, 1)

    def is_quiet(self) -> bool:
        """Whether it is open with nothing to read, as an idle one must be."""
        try:
            self._raw.recv(1, stdlib_socket.MSG_PEEK)
        except BlockingIOError:
            return not self.aborted
        except OSError:
            return False
        return False

    async def reset(self) -> None:
        """Release the socket and drop bytes that have not left this host."""
        with contextlib.suppress(OSError):
            self._raw.setsockopt(
                stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, _NO_LINGER
            )
        await self.close()

    async def close(self) -> None:
        """Release the socket; only the task that reads may call this."""
        self.aborted = True
        await self._socket.close()
