"""The capacity of services by zone, from all that this host knows of their targets."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterator

from bramleyspread_capacity import (
    Restriction,
    TargetCapacity,
    ZoneCapacity,
    sum_by_zone,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._target_signals import TargetSignals
from bramleyspread_forwarding import ForwardTarget


class ZoneCapacities:
    """The single source for the capacity of services by zone.

    Reads what other tables of this host know, and keeps nothing of its own. Measuring
    takes time in proportion to all targets, so callers do it a few times a second at
    most.

    :param signals: what targets have said about themselves, and the known targets.
    :param is_in_backoff: whether a target of a service failed lately at this host.
    """

    __slots__ = ("_is_in_backoff", "_signals")

    def __init__(
        self,
        signals: TargetSignals,
        is_in_backoff: Callable[[str, ForwardTarget], bool],
    ) -> None:
        self._signals = signals
        self._is_in_backoff = is_in_backoff

    def measure(self, *services: str) -> tuple[ZoneCapacity, ...]:
        """Measure the capacity of services, by service and zone.

        :param services: the services; all if none is named.
        """
        table = self._signals.targets
        leaving = (each.service for each in table.list_leaving())
        chosen = services or {*table.list_services(), *leaving}
        return sum_by_zone(self._list_targets(chosen, read_monotonic()))

    def _list_targets(
        self, services: Collection[str], now: float
    ) -> Iterator[TargetCapacity]:
        table = self._signals.targets
        for service in services:
            for each in table.list_usable(service):
                yield self._describe(service, each, (), now)
            for each in table.list_drained(service):
                yield self._describe(service, each, (Restriction.DRAINED,), now)
        for notice in table.list_leaving():
            if notice.service in services:
                yield TargetCapacity(
                    notice.target,
                    notice.service,
                    notice.zone,
                    notice.slots,
                    (Restriction.LEAVING,),
                )

    def _describe(
        self,
        service: str,
        target: ForwardTarget,
        restrictions: tuple[Restriction, ...],
        now: float,
    ) -> TargetCapacity:
        signals = self._signals.table
        rate = signals.find_rate_limit(target)
        warm_up_rate = signals.warm_ups.find_rate(target)
        found = {
            Restriction.PAUSED: signals.find_pause_s(target, now) > 0,
            Restriction.IN_BACKOFF: self._is_in_backoff(service, target),
            Restriction.WARMING_UP: warm_up_rate < math.inf,
            Restriction.RATE_LIMITED: rate < warm_up_rate,
            Restriction.BRITTLE: signals.is_brittle(target),
        }
        return TargetCapacity(
            target.target,
            service,
            target.zone,
            target.slots,
            (*restrictions, *(each for each, holds in found.items() if holds)),
            rate if rate < math.inf else None,
        )
