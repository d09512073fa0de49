"""At-most-once message delivery between hosts of the deployment."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import curio
from loguru import logger

from bramleyspread_core import (
    Address,
    PeerMessage,
    PeerSend,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool

#: The path at which hosts receive each other's messages.
PEER_PATH = "/v1/peer"
#: Timeout of a small delivery; the connection is then replaced.
DELIVERY_TIMEOUT_S = 0.4
#: Rate at which a peer is expected to take a delivery at least, in bytes a second. The
#: timeout is longer by the time that this takes.
MIN_DELIVERY_RATE = 8_000_000
#: How many times as slow a peer may be that did not take large deliveries in time; each
#: failure doubles what it is given, up to this.
MAX_SLOWNESS = 16
#: Size from which a message is large, in bytes: large ones are delivered beside the
#: others, so that a heartbeat does not wait for an entry.
LARGE_MESSAGE_BYTES = 100_000
#: Maximum queued messages per channel; the oldest are dropped first.
MAX_PENDING_MESSAGES = 512
#: Maximum size of the queued messages per channel, in bytes; the newest stays however
#: large it is.
MAX_PENDING_BYTES = 8_000_000
#: Maximum messages in one delivery.
MAX_BATCH_MESSAGES = 64
#: Maximum size of the messages in one delivery, in bytes; one message is sent however
#: large it is.
MAX_BATCH_BYTES = 1_000_000
#: Interval between two lines about deliveries that one address refuses, in seconds.
REFUSAL_LOG_INTERVAL_S = 10.0


class _Channel(NamedTuple):
    """Messages to one address that are delivered one after another."""

    address: Address
    #: Whether it is that of the large messages.
    is_large: bool


class _Queue:
    """Messages that wait for their delivery in one channel."""

    __slots__ = ("_messages", "_size")

    def __init__(self) -> None:
        self._messages: deque[PeerMessage] = deque()
        self._size = 0

    def __len__(self) -> int:
        return len(self._messages)

    def add(self, message: PeerMessage) -> int:
        """Add a message.

        :returns: the number of older messages that were dropped for it.
        """
        self._messages.append(message)
        self._size += _measure(message)
        dropped = 0
        while len(self) > 1 and (
            len(self) > MAX_PENDING_MESSAGES or self._size > MAX_PENDING_BYTES
        ):
            self._take()
            dropped += 1
        return dropped

    def take_batch(self) -> list[PeerMessage]:
        """Remove and return the messages of the next delivery, one at least."""
        batch = [self._take()]
        size = _measure(batch[0])
        while self._messages and len(batch) < MAX_BATCH_MESSAGES:
            size += _measure(self._messages[0])
            if size > MAX_BATCH_BYTES:
                break
            batch.append(self._take())
        return batch

    def _take(self) -> PeerMessage:
        message = self._messages.popleft()
        self._size -= _measure(message)
        return message


class PeerMessenger:
    """Sends messages with one delivery of small and one of large ones per address.

    A small message may overtake a large one. Messages that cannot be delivered are
    dropped; the protocols that use them resend.
    """

    __slots__ = (
        "_delivering",
        "_pending",
        "_pool",
        "_refusal_logged_at",
        "_slowness",
        "bytes_sent",
        "lost",
        "refused",
        "sent",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._pending: dict[_Channel, _Queue] = {}
        self._delivering: set[_Channel] = set()
        # By address: the factor on the time that the size of a large delivery needs.
        self._slowness: dict[Address, int] = {}
        self._refusal_logged_at: dict[Address, float] = {}
        #: Messages delivered.
        self.sent = 0
        #: Messages dropped after a failed delivery, or for want of room.
        self.lost = 0
        #: Messages that a peer received and refused; a repetition is refused again.
        self.refused = 0
        #: Bytes of delivered messages.
        self.bytes_sent = 0

    @property
    def is_idle(self) -> bool:
        """Whether no delivery is in flight."""
        return not self._delivering

    async def send(self, sends: Iterable[PeerSend]) -> None:
        """Queue messages for delivery without waiting for it.

        :param sends: the messages and their addresses.
        """
        for each in sends:
            is_large = _measure(each.message) >= LARGE_MESSAGE_BYTES
            channel = _Channel(each.address, is_large)
            pending = self._pending.get(channel)
            if pending is None:
                pending = self._pending[channel] = _Queue()
            self.lost += pending.add(each.message)
            if channel not in self._delivering:
                self._delivering.add(channel)
                await curio.spawn(self._deliver, channel, daemon=True)

    async def _deliver(self, channel: _Channel) -> None:
        pending = self._pending[channel]
        try:
            while pending:
                await self._deliver_batch(channel, pending.take_batch())
        finally:
            self._delivering.discard(channel)
            if not pending:
                self._pending.pop(channel, None)

    async def _deliver_batch(
        self, channel: _Channel, messages: list[PeerMessage]
    ) -> None:
        address, body = channel.address, encode_json(messages)
        slowness = self._slowness.get(address, 1) if channel.is_large else 1
        timeout_s = DELIVERY_TIMEOUT_S + slowness * len(body) / MIN_DELIVERY_RATE
        try:
            response = await self._pool.request(address, PEER_PATH, body, timeout_s)
        except (RequestNotSentError, ConnectionClosedError) as error:
            self.lost += len(messages)
            if channel.is_large and isinstance(error, ConnectionClosedError):
                self._slowness[address] = min(2 * slowness, MAX_SLOWNESS)
            return
        if channel.is_large:
            self._slowness.pop(address, None)
        if response.status >= 300:
            self.refused += len(messages)
            self._log_refusal(address, response.status, len(body))
            return
        self.sent += len(messages)
        self.bytes_sent += len(body)

    def _log_refusal(self, address: Address, status: int, size: int) -> None:
        """Log that a peer refuses messages, at intervals for each peer."""
        now = read_monotonic()
        logged_at = self._refusal_logged_at.get(address)
        if logged_at is not None and now - logged_at < REFUSAL_LOG_INTERVAL_S:
            return
        self._refusal_logged_at[address] = now
        logger.bind(step="message", peer=str(address), bytes=size).warning(
            f"refused with {status}"
        )


def _measure(message: PeerMessage) -> int:
    return len(memoryview(message.body))


def decode_messages(body: bytes) -> tuple[PeerMessage, ...]:
    """Decode the messages of one delivery.

    :param body: one message or a list of messages, as JSON.
    :returns: the messages.
    :raises MessageError: when the body is neither.
    """
    body_type = PeerMessage | tuple[PeerMessage, ...]
    decoded: PeerMessage | tuple[PeerMessage, ...] = decode_json(body, body_type)
    return (decoded,) if isinstance(decoded, PeerMessage) else decoded
