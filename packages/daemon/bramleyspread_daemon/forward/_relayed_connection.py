"""The asker's side of a relayed connection, and how its bytes are framed.

A host that relays and ends, by a crash or a stop, leaves a connection that closes in
the ordinary way. Its asker can't tell that from the end of an answer without a length.
So what a target sends is framed, and an end of its own says that the target closed.
"""

from __future__ import annotations

from typing import Any

import curio
import h11

from bramleyspread_core import Address
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._timeouts import timeout_after

#: Timeout for finding out whether a host lives, in seconds.
CHECK_TIMEOUT_S = 1.0
#: Path on which a host says that it lives.
LIVE_PATH = "/v1/live"
#: Size of the number that precedes each part and gives its size, in bytes.
SIZE_BYTES = 4
#: Follows the last part if the target has closed its connection in the ordinary way.
END = bytes(SIZE_BYTES)


def encode_part(data: bytes) -> bytes:
    r"""Frame bytes that a target has sent; there must be some.

    >>> encode_part(b"ab")
    b'\x00\x00\x00\x02ab'
    """
    return len(data).to_bytes(SIZE_BYTES, "big") + data


class RelayedConnection(Connection):
    """Connection whose peer is a target, by way of a host that relays it.

    It counts as reset unless the host has said that the target closed it. Hosts of
    earlier builds can't say so; they are asked whether they still run.

    :param connected_socket: the connected socket of curio.
    :param relay: address of the host that relays.
    :param early: bytes that have been received on it already.
    :param is_framed: whether what the host sends is framed.
    """

    __slots__ = ("_buffer", "_has_ended", "_is_framed", "_left_bytes", "_relay")

    def __init__(
        self,
        connected_socket: Any,  # noqa: ANN401
        relay: Address,
        early: bytes,
        *,
        is_framed: bool,
    ) -> None:
        super().__init__(connected_socket)
        self._relay = relay
        self._buffer = bytearray(early)
        self._is_framed = is_framed
        # Bytes of the part that is being received which have not been returned yet.
        self._left_bytes = 0
        self._has_ended = False

    async def read(self) -> bytes:
        """Wait for bytes from the target.

        :returns: the bytes; empty when the connection has ended.
        """
        while not self._has_ended:
            data = self._take()
            if data or self._has_ended:
                return data
            received = await super().read()
            if not received:
                lacks_end = self._is_framed or await self._has_relay_ended()
                self.was_reset = self.was_reset or lacks_end
                return b""
            self._buffer += received
        return b""

    async def _has_relay_ended(self) -> bool:
        """Whether the host doesn't answer any more, so that it closed this connection.

        The operating system may accept connections for a process that has ended.
        """
        try:
            return not await timeout_after(CHECK_TIMEOUT_S, self._ask_relay)
        except (OSError, curio.TaskTimeout, h11.RemoteProtocolError):
            return True

    async def _ask_relay(self) -> bool:
        """Ask the host whether it lives, and return whether it has answered."""
        http = h11.Connection(h11.CLIENT)
        headers = [("host", str(self._relay)), ("connection", "close")]
        question = http.send(
            h11.Request(method="GET", target=LIVE_PATH, headers=headers)
        )
        question = (question or b"") + (http.send(h11.EndOfMessage()) or b"")
        connection = await Connection.open(self._relay)
        try:
            await connection.send_all(question)
            while (event := http.next_event()) is h11.NEED_DATA:
                http.receive_data(await connection.read())
        finally:
            await connection.reset()
        return isinstance(event, h11.Response)

    def _take(self) -> bytes:
        """Take bytes of one part from the buffer; empty if it holds none."""
        if not self._is_framed:
            data = bytes(self._buffer)
            self._buffer.clear()
            return data
        if not self._left_bytes:
            if len(self._buffer) < SIZE_BYTES:
                return b""
            self._left_bytes = int.from_bytes(self._buffer[:SIZE_BYTES], "big")
            del self._buffer[:SIZE_BYTES]
            self._has_ended = not self._left_bytes
        data = bytes(self._buffer[: self._left_bytes])
        del self._buffer[: len(data)]
        self._left_bytes -= len(data)
        return data

    def is_idle(self) -> bool:
        """Whether the connection is open and no received bytes wait to be read."""
        is_buffered = bool(self._buffer or self._left_bytes or self._has_ended)
        return not is_buffered and super().is_idle()
