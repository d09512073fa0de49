"""Calls to targets that compute pieces and release results."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeVar

import curio
import msgspec
from loguru import logger

from bramleyspread_core import Address, MessageError
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_daemon.forward._target_signals import TargetSignals
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward._wire import (
    PiecesRejected,
    TargetWire,
    WireCall,
    WireReply,
)
from bramleyspread_forwarding import (
    BatchedCall,
    ForwardTarget,
    NotSent,
    PieceResult,
    SendPermit,
    TargetLoad,
)

#: Timeout for connecting to a target, in seconds.
CONNECT_TIMEOUT_S = 0.25
#: Maximum size of the answer to a call, in bytes.
MAX_ANSWER_BYTES = 1_048_576
#: Number of results that a connection's answers may have named; then it is closed.
MAX_KNOWN_RESULTS = 1_024
#: Timeout for releasing results at a target, in seconds.
RELEASE_TIMEOUT_S = 1.0


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """Outcome of a call of which it is unknown whether its pieces were computed."""

    #: Reason, for the log.
    why: str


class _WithdrawnError(Exception):
    """The permission to send a call doesn't hold any more."""


#: Outcome of one call.
CallOutcome = tuple[PieceResult, ...] | PiecesRejected | OutcomeUnknown | NotSent


Outcome = TypeVar("Outcome")


class PieceCalls:
    """Sends batched calls to targets, and releases the results that they hold."""

    __slots__ = ("_find_target", "_pool", "_signals", "_wire", "on_load")

    def __init__(
        self,
        wire: TargetWire,
        pool: UpstreamPool,
        signals: TargetSignals,
        find_target: Callable[[Address], ForwardTarget | None],
    ) -> None:
        self._wire = wire
        self._pool = pool
        self._signals = signals
        self._find_target = find_target
        #: Gets the load that a target reports with an answer.
        self.on_load: Callable[[ForwardTarget, TargetLoad], None] = _ignore_load

    async def send(self, call: BatchedCall) -> CallOutcome:
        """Send one call.

        :param call: the call.
        :returns: its results in the order of its pieces, or why there are none.
        """
        timeout_s = max(call.timeout_ms, 1.0) / 1000
        try:
            results: CallOutcome = await timeout_after(
                timeout_s,
                self._post,
                call.target.address,
                self._wire.write_pieces(call),
                call.target,
                partial(self._read_results, call),
                self._make_permit(call),
                call.items[0].item.request,
            )
            return results
        except _WithdrawnError as error:
            return NotSent(str(error))
        except RequestNotSentError as error:
            return PiecesRejected(str(error))
        except (ConnectionClosedError, MessageError) as error:
            return OutcomeUnknown(str(error))
        except curio.TaskTimeout:
            await self._pool.close_idle_to(call.target.address)
            return OutcomeUnknown(f"no answer within {timeout_s:.3f} s")

    def _make_permit(self, call: BatchedCall) -> SendPermit:
        is_paced = self._signals.table.is_limited(call.target)
        return SendPermit(call.target, call.created_at, is_paced)

    def _check_permit(self, permit: SendPermit | None) -> None:
        withdrawal = self._signals.find_withdrawal(permit) if permit else ""
        if withdrawal:
            raise _WithdrawnError(withdrawal)

    def _read_results(
        self, call: BatchedCall, reply: WireReply, connection: UpstreamConnection
    ) -> tuple[PieceResult, ...] | PiecesRejected:
        """Read the results of a call.

        :raises ConnectionClosedError: if they are those of an earlier call.
        """
        results = self._wire.read_pieces(call, reply.status, reply.body)
        if isinstance(results, PiecesRejected):
            return results
        handles = frozenset(each.handle for each in results if each.handle)
        if handles & connection.known_results:
            raise ConnectionClosedError("a second copy of an earlier answer")
        connection.known_results |= handles
        return results

    async def release(
        self, handles: Iterable[str], share: float = 1.0
    ) -> tuple[str, ...]:
        """Tell the targets that hold results to release them; failures are logged.

        :param handles: the results to release.
        :param share: this host's share of targets' rate limits.
        :returns: the results whose targets want no request now.
        """
        held_back: list[str] = []
        by_address: dict[str, list[str]] = {}
        for handle in handles:
            by_address.setdefault(self._wire.find_result_address(handle), []).append(
                handle
            )
        for address_text, own_handles in by_address.items():
            call = self._wire.write_release(own_handles)
            try:
                address = Address.from_text(address_text)
                target = self._find_target(address)
                if target is not None and not self._take_turn(target, share):
                    held_back += own_handles
                    continue
                await timeout_after(
                    RELEASE_TIMEOUT_S, self._post, address, call, target, _read_nothing
                )
            except (
                RequestNotSentError,
                ConnectionClosedError,
                ValueError,
                curio.TaskTimeout,
            ) as error:
                logger.bind(step="release", peer=address_text).debug(
                    f"release not delivered: {error}"
                )
        return tuple(held_back)

    def _take_turn(self, target: ForwardTarget, share: float) -> bool:
        """Take the turn of a request to a target if there is one now."""
        access, now = self._signals.access, read_monotonic()
        if not access.is_ready(target, share, now):
            return False
        access.acquire(target, share, now)
        return True

    async def _post(
        self,
        address: Address,
        call: WireCall,
        target: ForwardTarget | None,
        read: Callable[[WireReply, UpstreamConnection], Outcome],
        permit: SendPermit | None = None,
        request: str = "",
    ) -> Outcome:
        """Send a call on a connection, which is kept only if the answer is a success.

        An answer may belong to an earlier call on the connection. If the connection
        were kept, the answer that is still due would be taken for that to the next
        call.

        :raises _WithdrawnError: if the permission to send the call, where it needs one,
            doesn't hold any more.
        """
        self._check_permit(permit)
        connection = await self._pool.acquire(address, CONNECT_TIMEOUT_S)
        is_complete = False
        keep_alive_s: float | None = None
        try:
            headers = [
                (b"Host", str(address).encode()),
                *call.headers,
                (b"Content-Length", str(len(call.body)).encode()),
            ]
            self._check_permit(permit)
            if permit is not None:
                self._signals.drains.record_sent(permit.target, request)
            sent_at = read_monotonic()
            await connection.send("POST", call.path, headers, call.body)
            raw = await connection.read_head()
            head = self._wire.read_head(raw.status_code, raw.headers)
            keep_alive_s = head.keep_alive_s
            if target is not None:
                self._signals.record(target, head.signals, sent_at)
                if head.load is not None:
                    self.on_load(target, head.load)
            body = await connection.read_body(MAX_ANSWER_BYTES)
            outcome = read(WireReply(head.status, body), connection)
            is_complete = _can_copies_be_told(outcome, connection)
        finally:
            self._pool.record_traffic(call.path, connection)
            if is_complete:
                await self._pool.release_connection(connection, keep_alive_s)
            else:
                await connection.close()
        return outcome


def _can_copies_be_told(outcome: object, connection: UpstreamConnection) -> bool:
    """Whether a later copy of an answer can be told from the answer to another call.

    Answers name no call, only the results that they hold. A target could write an
    answer without any once more, in place of the one to a later call.
    """
    if isinstance(outcome, PiecesRejected):
        return False
    if not isinstance(outcome, tuple):
        return True
    is_known = any(isinstance(x, PieceResult) and x.handle for x in outcome)
    return is_known and len(connection.known_results) < MAX_KNOWN_RESULTS


def _ignore_load(target: ForwardTarget, load: TargetLoad) -> None:
    """Ignore the load of a target."""


def _read_nothing(reply: WireReply, connection: UpstreamConnection) -> None:
    """Ignore the answer to a call that has no results."""
