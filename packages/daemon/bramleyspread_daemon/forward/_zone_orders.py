"""Operators' orders to drain availability zones, as a control host receives them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from typing import Protocol

import curio
from loguru import logger

from bramleyspread_core import (
    Command,
    CommandResult,
    NotLeader,
    ReadZoneDrains,
    Rejected,
    SetZoneDrain,
    Undecided,
    ZoneDrainAccepted,
    ZoneDrains,
    ZoneDrainsChanged,
    ZoneDrainsRead,
    ZoneOrder,
    find_zone_fault,
)
from bramleyspread_daemon._clock import read_monotonic, read_wall_ms
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon.forward._arrival_times import ArrivalTimes
from bramleyspread_forwarding import MalformedRequest

#: Time from an order's arrival in which it is tried again, in seconds. An order that is
#: older must not undo a later one.
RETRY_S = 0.9
#: Pause before an order is tried again, in seconds, unless the drains have changed only
#: once.
RETRY_PAUSE_S = 0.03
#: Maximum number of orders that are decided at the same time, so that a flood of orders
#: leaves time for other work.
MAX_DECIDED_ORDERS = 16
#: Maximum number of orders that are decided or wait; others get no decision.
MAX_ORDERS = 2_000
#: Maximum length of a zone's name in a log line, in characters.
MAX_LOGGED_CHARS = 80

#: Has a command decided by the leader.
Decide = Callable[[Command], Awaitable[CommandResult]]
#: Result of an order: accepted, refused, or without a decision.
OrderResult = ZoneDrainAccepted | MalformedRequest | Undecided


class DrainsSource(Protocol):
    """The replicated zone drains."""

    @property
    def zone_drains(self) -> ZoneDrains:
        """The newest committed zone drains that this host knows."""


class ZoneOrders:
    """Has orders decided by the leader, each within a short time after its arrival.

    :param source: the zone drains that this host knows.
    :param zones: names of the known zones; empty if any name is accepted.
    :param decide: has a command decided by the leader.
    """

    def __init__(
        self, source: DrainsSource, zones: Collection[str], decide: Decide
    ) -> None:
        self._source = source
        self._zones = frozenset(zones)
        self._decide = decide
        self._arrivals = ArrivalTimes(read_monotonic())
        self._turns = curio.Semaphore(MAX_DECIDED_ORDERS)
        self._count = 0

    def observe(self, now: float) -> None:
        """Record that the process runs; call this about every 20 ms."""
        self._arrivals.observe(now)

    async def run(self, order: ZoneOrder, reply: Reply) -> OrderResult:
        """Have an order decided, and log it.

        :param order: the order, which has just been read.
        :param reply: the reply; an order whose caller has left is not begun.
        """
        read_at = read_monotonic()
        arrived_at = self._arrivals.find_earliest(read_at)
        if fault := self._find_fault(order):
            result: OrderResult = fault
        elif self._count >= MAX_ORDERS:
            result = Undecided("too many orders at once")
        else:
            self._count += 1
            try:
                async with self._turns:
                    result = await self._decide_in_time(order, arrived_at, reply)
            finally:
                self._count -= 1
        _log(order, result, read_monotonic() - read_at)
        return result

    async def read(self) -> ZoneDrains | None:
        """Read the newest zone drains from the leader; None if none confirms them."""
        result = await self._decide(ReadZoneDrains())
        return result.drains if isinstance(result, ZoneDrainsRead) else None

    def _find_fault(self, order: ZoneOrder) -> MalformedRequest | None:
        if fault := find_zone_fault(order.zone):
            return MalformedRequest(400, fault)
        # A drain outlives the settings that named its zone.
        is_known = (
            not self._zones
            or order.zone in self._zones
            or self._source.zone_drains.is_drained(order.zone)
        )
        if not is_known:
            return MalformedRequest(404, f"zone: {order.zone!r} is not known")
        return None

    async def _decide_in_time(
        self, order: ZoneOrder, arrived_at: float, reply: Reply
    ) -> OrderResult:
        retry_until = arrived_at + RETRY_S
        at_ms = read_wall_ms()
        revision, marker = self._source.zone_drains.revision, ""
        result: CommandResult = Undecided("the order arrived too long ago")
        while read_monotonic() < retry_until:
            if reply.caller_disconnected:
                return Undecided("the caller has left")
            command = SetZoneDrain(order.zone, order.drained, revision, at_ms, marker)
            result = await self._decide(command)
            match result:
                case ZoneDrainAccepted():
                    return result
                case Rejected(faults):
                    return MalformedRequest(400, "; ".join(faults))
                case ZoneDrainsChanged():
                    is_first, revision = not marker, result.revision
                    marker = result.marker
                    if is_first:
                        continue
            await curio.sleep(RETRY_PAUSE_S)
        return Undecided(_explain(result))


def _explain(result: CommandResult) -> str:
    match result:
        case ZoneDrainsChanged():
            return "other orders were decided meanwhile"
        case NotLeader():
            return "no leader is known"
    return getattr(result, "why", type(result).__name__)


def _log(order: ZoneOrder, result: OrderResult, took_s: float) -> None:
    zone = order.zone[:MAX_LOGGED_CHARS].encode("utf-8", "backslashreplace").decode()
    log = logger.bind(
        step="zone",
        peer="-",
        zone=zone,
        change="drain" if order.drained else "undrain",
        ms=round(took_s * 1_000),
    )
    match result:
        case ZoneDrainAccepted():
            log = log.bind(revision=result.revision, repeat=result.is_repeat)
            log.info("acknowledged")
        case MalformedRequest():
            log.warning(f"refused with {result.status}: {result.why}")
        case _:
            log.warning(f"not decided: {result.why}")
