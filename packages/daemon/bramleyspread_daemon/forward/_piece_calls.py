"""Calls to targets for the pieces of stages."""

from __future__ import annotations

from collections.abc import Iterable

import curio
import msgspec
from loguru import logger

from bramleyspread_core import Address, MessageError
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon.forward._upstream import UpstreamPool
from bramleyspread_daemon.forward._wire import (
    PiecesTurnedAway,
    TargetWire,
    WireCall,
    WireReply,
)
from bramleyspread_forwarding import BatchedCall, PieceResult

#: Most time for reaching a target, in seconds.
REACH_S = 0.25
#: Most time for giving results up, in seconds.
RELEASE_S = 1.0


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """Nobody knows whether a call's pieces were made."""

    #: Why, for logs.
    why: str


#: The end of one call.
Answer = tuple[PieceResult, ...] | PiecesTurnedAway | OutcomeUnknown


class PieceCalls:
    """Makes calls for pieces, and gives results up at the targets that made them."""

    __slots__ = ("_pool", "_wire")

    def __init__(self, wire: TargetWire, pool: UpstreamPool) -> None:
        self._wire = wire
        self._pool = pool

    async def make(self, call: BatchedCall) -> Answer:
        """Make one call.

        :param call: the call.
        :returns: its results in the order of its pieces, or why there are none.
        """
        limit = max(call.timeout_ms, 1.0) / 1000
        try:
            reply = await curio.timeout_after(
                limit, self._post, call.target.address, self._wire.write_pieces(call)
            )
            return self._wire.read_pieces(call, reply.status, reply.body)
        except UnsentError as error:
            return PiecesTurnedAway(str(error))
        except (ClosedError, MessageError) as error:
            return OutcomeUnknown(str(error))
        except curio.TaskTimeout:
            await self._pool.drop(call.target.address)
            return OutcomeUnknown(f"no answer within {limit:.3f} s")

    async def release(self, handles: Iterable[str]) -> None:
        """Tell the makers that results are needed no more; what fails is logged.

        :param handles: the results.
        """
        by_maker: dict[str, list[str]] = {}
        for handle in handles:
            by_maker.setdefault(self._wire.find_maker(handle), []).append(handle)
        for maker, theirs in by_maker.items():
            call = self._wire.write_release(theirs)
            try:
                address = Address.from_text(maker)
                await curio.timeout_after(RELEASE_S, self._post, address, call)
            except (UnsentError, ClosedError, ValueError, curio.TaskTimeout) as error:
                logger.bind(step="release", peer=maker).debug(f"not told: {error}")

    async def _post(self, address: Address, call: WireCall) -> WireReply:
        connection = await self._pool.take(address, REACH_S)
        whole = False
        keep_s: float | None = None
        try:
            headers = [
                (b"Host", str(address).encode()),
                *call.headers,
                (b"Content-Length", str(len(call.body)).encode()),
            ]
            await connection.send("POST", call.path, headers, call.body)
            head = await connection.read_head()
            keep_s = self._wire.read_head(head.status_code, head.headers).keep_s
            body = await connection.read_body()
            whole = True
        finally:
            if whole:
                await self._pool.give_back(connection, keep_s)
            else:
                await connection.close()
        return WireReply(head.status_code, body)
