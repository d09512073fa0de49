"""TCP connections with non-blocking, buffered writes."""

from __future__ import annotations

import contextlib
import socket as stdlib_socket
import struct
from collections import deque
from typing import Any

import curio
import curio.io
import curio.socket
from curio.traps import _read_wait

from bramleyspread_core import Address
from bramleyspread_daemon._clock import read_monotonic

#: Maximum bytes of one read.
READ_BYTES = 65_536
#: Number of reads without a wait after which other tasks get their turn, in case the
#: peer sends faster than bytes are read.
READS_PER_TURN = 16
#: Maximum bytes buffered for a slow reader before its connection is aborted.
MAX_PENDING_BYTES = 4_194_304
#: A connection whose reader accepts no bytes for this long is aborted.
MAX_STALL_S = 10.0

#: TCP keepalive time of an idle connection, and interval between probes.
KEEPALIVE_INTERVAL_S = 1

#: ``SO_LINGER`` value with which closing discards unsent bytes at once.
_NO_LINGER = struct.pack("ii", 1, 0)


class Connection:
    """A TCP connection with awaited reads and buffered, non-blocking writes.

    While bytes are pending, :meth:`flush` must be called every few milliseconds.
    """

    __slots__ = (
        "_pending",
        "_raw",
        "_reads",
        "_received_bytes",
        "_sent_bytes",
        "_receive_buffer_empty",
        "_socket",
        "aborted",
        "opened_at",
        "pending_bytes",
        "stalled_since",
        "was_reset",
    )

    def __init__(self, connected_socket: Any) -> None:  # noqa: ANN401
        self._socket = connected_socket
        self._raw: stdlib_socket.socket = connected_socket._socket
        self._raw.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        self._receive_buffer_empty = False
        # Reads since one had to wait.
        self._reads = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self._pending: deque[bytes] = deque()
        #: Number of bytes buffered because the socket does not accept them yet.
        self.pending_bytes = 0
        #: When the peer last accepted bytes while some were pending.
        self.stalled_since = 0.0
        #: When it was opened, as monotonic time in seconds.
        self.opened_at = read_monotonic()
        #: Whether a read or a write failed, so that the peer did not close it cleanly.
        #: The operating system reports a reset only once, to whichever comes first.
        self.was_reset = False
        #: Whether it was aborted or closed by this side, so that nothing more is sent.
        self.aborted = False

    @classmethod
    async def open(cls, address: Address) -> Connection:
        """Connect to an address.

        :param address: the address of the peer.
        :returns: the connection.
        :raises OSError: when the connection cannot be established.
        """
        family = curio.socket.AF_INET6 if ":" in address.ip else curio.socket.AF_INET
        new_socket = curio.socket.socket(family, curio.socket.SOCK_STREAM)
        try:
            await new_socket.connect((address.ip, address.port))
            return cls(new_socket)
        except BaseException:
            await new_socket.close()
            raise

    async def read(self) -> bytes:
        """Wait for bytes.

        :returns: the bytes; empty when the peer or :meth:`abort` closed it.
        """
        self._reads += 1
        if self._receive_buffer_empty:
            self._reads = 0
            await _read_wait(self._socket._fileno)
        elif self._reads % READS_PER_TURN == 0:
            await curio.sleep(0)
        try:
            data: bytes = await self._socket.recv(READ_BYTES)
        except OSError:
            self.was_reset = True
            return b""
        self._receive_buffer_empty = len(data) < READ_BYTES
        self._received_bytes += len(data)
        return data

    async def send_all(self, data: bytes) -> None:
        """Send bytes and wait until the operating system has accepted all of them.

        :param data: the bytes.
        :raises OSError: when the connection is lost.
        """
        try:
            await self._socket.sendall(data)
        except OSError:
            self.was_reset = True
            raise
        self._sent_bytes += len(data)

    def send_nonblocking(self, data: bytes) -> int:
        """Send as many bytes as the socket accepts without blocking.

        :param data: the bytes.
        :returns: the number of bytes sent.
        :raises OSError: when the connection is lost before any byte is sent.
        """
        try:
            sent = self._raw.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.was_reset = True
            raise
        self._sent_bytes += sent
        return sent

    def write(self, data: bytes) -> None:
        """Send bytes without blocking; the rest is buffered for :meth:`flush`.

        :param data: the bytes.
        """
        if self.aborted or not data:
            return
        if self._pending:
            self._enqueue(data)
            return
        try:
            sent = self._raw.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.abort()
            return
        self._sent_bytes += sent
        if sent < len(data):
            self.stalled_since = read_monotonic()
            self._enqueue(data[sent:])

    def _enqueue(self, data: bytes) -> None:
        self._pending.append(data)
        self.pending_bytes += len(data)
        if self.pending_bytes > MAX_PENDING_BYTES:
            self.abort()

    def flush(self, now: float) -> None:
        """Send pending bytes, and abort the connection of a stalled peer.

        :param now: the monotonic time, in seconds.
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
            self._sent_bytes += sent
            if sent:
                self.stalled_since = now
            if sent < len(data):
                self._pending.appendleft(data[sent:])
                break
        if self._pending and now - self.stalled_since > MAX_STALL_S:
            self.abort()

    def take_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""
        counts = self._sent_bytes, self._received_bytes
        self._sent_bytes = self._received_bytes = 0
        return counts

    def detach_socket(self) -> Any:  # noqa: ANN401
        """Return the socket of curio, for another kind of connection over it."""
        return self._socket

    def finish_writing(self) -> None:
        """Shut down the sending side, so that the peer reads an end of file."""
        try:
            self._raw.shutdown(stdlib_socket.SHUT_WR)
        except OSError:
            self.aborted = True

    def abort(self) -> None:
        """Close the connection at once; a pending :meth:`read` returns no bytes."""
        self.aborted = True
        self._pending.clear()
        self.pending_bytes = 0
        try:
            self._raw.shutdown(stdlib_socket.SHUT_RDWR)
        except OSError:
            return

    def set_option(self, level: int, option: int, value: int) -> None:
        """Set a socket option.

        :param level: the protocol level, such as ``IPPROTO_TCP``.
        :param option: the option.
        :param value: the value.
        """
        self._raw.setsockopt(level, option, value)

    def enable_peer_timeout(self, timeout_ms: int) -> None:
        """Let the operating system detect an unreachable peer.

        :param timeout_ms: how long sent bytes may stay unacknowledged, in
            milliseconds.
        """
        tcp = stdlib_socket.IPPROTO_TCP
        self.set_option(tcp, stdlib_socket.TCP_USER_TIMEOUT, timeout_ms)
        self.set_option(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_KEEPALIVE, 1)
        self.set_option(tcp, stdlib_socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        self.set_option(tcp, stdlib_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        self.set_option(tcp, stdlib_socket.TCP_KEEPCNT, 1)

    def is_idle(self) -> bool:
        """Whether the connection is open and no received bytes wait to be read."""
        try:
            self._raw.recv(1, stdlib_socket.MSG_PEEK)
        except BlockingIOError:
            return not self.aborted
        except OSError:
            return False
        return False

    async def reset(self) -> None:
        """Close the socket and discard unsent bytes."""
        with contextlib.suppress(OSError):
            self._raw.setsockopt(
                stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, _NO_LINGER
            )
        await self.close()

    async def close(self) -> None:
        """Close the socket; only the task that reads from it may call this."""
        self.aborted = True
        await self._socket.close()
