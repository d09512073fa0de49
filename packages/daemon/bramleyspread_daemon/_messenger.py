"""At-most-once message delivery between hosts of the deployment."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

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
#: Timeout of one delivery; the connection is then replaced.
DELIVERY_TIMEOUT_S = 0.4
#: Maximum queued messages per address; the oldest are dropped first.
MAX_PENDING_MESSAGES = 512
#: Maximum messages in one delivery.
MAX_BATCH_MESSAGES = 64
#: Interval between two lines about deliveries that one address refuses, in seconds.
REFUSAL_LOG_INTERVAL_S = 10.0


class PeerMessenger:
    """Sends messages with one delivery in flight per address.

    Messages that cannot be delivered are dropped; the protocols that use them resend.
    """

    __slots__ = (
        "_delivering",
        "_pending",
        "_pool",
        "_refusal_logged_at",
        "bytes_sent",
        "lost",
        "refused",
        "sent",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._pending: dict[Address, deque[PeerMessage]] = {}
        self._delivering: set[Address] = set()
        self._refusal_logged_at: dict[Address, float] = {}
        #: Messages delivered.
        self.sent = 0
        #: Messages dropped after a failed delivery.
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
            pending = self._pending.get(each.address)
            if pending is None:
                pending = self._pending[each.address] = deque(
                    maxlen=MAX_PENDING_MESSAGES
                )
            pending.append(each.message)
            if each.address not in self._delivering:
                self._delivering.add(each.address)
                await curio.spawn(self._deliver, each.address, daemon=True)

    async def _deliver(self, address: Address) -> None:
        pending = self._pending[address]
        try:
            while pending:
                batch_size = min(len(pending), MAX_BATCH_MESSAGES)
                messages = [pending.popleft() for _ in range(batch_size)]
                await self._deliver_batch(address, messages)
        finally:
            self._delivering.discard(address)
            if not pending:
                self._pending.pop(address, None)

    async def _deliver_batch(
        self, address: Address, messages: list[PeerMessage]
    ) -> None:
        body = encode_json(messages)
        try:
            response = await self._pool.request(
                address, PEER_PATH, body, DELIVERY_TIMEOUT_S
            )
        except (RequestNotSentError, ConnectionClosedError):
            self.lost += len(messages)
            return
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


def decode_messages(body: bytes) -> tuple[PeerMessage, ...]:
    """Decode the messages of one delivery.

    :param body: one message or a list of messages, as JSON.
    :returns: the messages.
    :raises MessageError: when the body is neither.
    """
    body_type = PeerMessage | tuple[PeerMessage, ...]
    decoded: PeerMessage | tuple[PeerMessage, ...] = decode_json(body, body_type)
    return (decoded,) if isinstance(decoded, PeerMessage) else decoded
