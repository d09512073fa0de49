"""Messages between the system's own processes, delivered at most once."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import curio

from bramleyspread_core import (
    Address,
    PeerMessage,
    PeerSend,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._pool import ConnectionPool

#: Where processes take each other's messages.
PEER_PATH = "/v1/peer"
#: Most time for one delivery, in seconds; then a new connection is used.
DELIVERY_S = 0.4
#: Messages that wait for one address; older ones give way.
MAX_WAITING = 512
#: Messages sent together.
MAX_TOGETHER = 64


class PeerMessenger:
    """Sends messages, one delivery at a time to each address.

    What cannot be delivered is dropped; the decisions send anew.
    """

    __slots__ = ("_busy", "_pool", "_waiting", "bytes_sent", "lost", "sent")

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._waiting: dict[Address, deque[PeerMessage]] = {}
        self._busy: set[Address] = set()
        #: Messages delivered.
        self.sent = 0
        #: Messages dropped after a failed delivery.
        self.lost = 0
        #: Bytes of delivered messages.
        self.bytes_sent = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is being delivered."""
        return not self._busy

    async def send(self, sends: Iterable[PeerSend]) -> None:
        """Queue messages for delivery; does not wait for it.

        :param sends: the messages and where they go.
        """
        for each in sends:
            waiting = self._waiting.get(each.address)
            if waiting is None:
                waiting = self._waiting[each.address] = deque(maxlen=MAX_WAITING)
            waiting.append(each.message)
            if each.address not in self._busy:
                self._busy.add(each.address)
                await curio.spawn(self._deliver, each.address, daemon=True)

    async def _deliver(self, address: Address) -> None:
        waiting = self._waiting[address]
        try:
            while waiting:
                together = min(len(waiting), MAX_TOGETHER)
                messages = [waiting.popleft() for _ in range(together)]
                await self._deliver_together(address, messages)
        finally:
            self._busy.discard(address)
            if not waiting:
                self._waiting.pop(address, None)

    async def _deliver_together(
        self, address: Address, messages: list[PeerMessage]
    ) -> None:
        body = encode_json(messages)
        try:
            await self._pool.ask(address, PEER_PATH, body, DELIVERY_S)
            self.sent += len(messages)
            self.bytes_sent += len(body)
        except (UnsentError, ClosedError):
            self.lost += len(messages)


def read_messages(body: bytes) -> tuple[PeerMessage, ...]:
    """Read the messages of one delivery.

    :param body: one message, or a list of them, as JSON.
    :returns: the messages.
    :raises MessageError: when it is neither.
    """
    kind = PeerMessage | tuple[PeerMessage, ...]
    found: PeerMessage | tuple[PeerMessage, ...] = decode_json(body, kind)
    return (found,) if isinstance(found, PeerMessage) else found
