"""Log lines and counts about drained zones at one entry host."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

import msgspec
from loguru import logger

from bramleyspread_capacity import ZoneCapacity
from bramleyspread_core import ZoneDrains
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_forwarding import ForwardTarget, TargetTable

#: Maximum number of zones whose last sent request is kept.
MAX_ZONES = 1_000


class _Sent(msgspec.Struct, frozen=True):
    """The last request or call that was sent to a zone."""

    target: str
    #: Id of the request; of a call, that of the request of its first piece.
    request: str
    sent_at: float


class DrainReports:
    """Reports what this host kept from drained zones, and what it sent there last.

    :param targets: the known targets, and the zone drains.
    """

    __slots__ = ("_followed", "_last_sent", "_reported", "_targets", "kept_counts")

    def __init__(self, targets: TargetTable) -> None:
        self._targets = targets
        self._followed = ZoneDrains()
        self._last_sent: dict[str, _Sent] = {}
        # The drained zones from which something was kept.
        self._reported: set[str] = set()
        #: Number of choices for requests and jobs that left out drained zones, by zone.
        self.kept_counts: Counter[str] = Counter()

    def record_sent(self, target: ForwardTarget, request: str) -> None:
        """Record that a request or call is being sent to a target."""
        if len(self._last_sent) >= MAX_ZONES:
            self._last_sent.clear()
        self._last_sent[target.zone] = _Sent(target.target, request, read_monotonic())

    def record_choice(self, service: str, request: str) -> None:
        """Count a choice for a request or job that leaves out drained zones.

        The first one that is kept from a zone is logged.

        :param service: the service.
        :param request: id of the request.
        """
        for zone in sorted({x.zone for x in self._targets.list_drained(service)}):
            self.kept_counts[zone] += 1
            if zone not in self._reported:
                self._reported.add(zone)
                logger.bind(
                    step="drain",
                    peer="-",
                    zone=zone,
                    request=request,
                    service=service,
                    revision=self._targets.drains.revision,
                ).info("first request kept from the zone")

    def follow(self, measure: Callable[[], Sequence[ZoneCapacity]]) -> None:
        """Log the zones that were drained or undrained since the last call.

        :param measure: measures the capacity of all services by zone.
        """
        before, drains = self._followed, self._targets.drains
        if drains.revision == before.revision:
            return
        self._followed = drains
        capacities = measure()
        for each in drains.drained:
            if not before.is_drained(each.zone):
                self._log_change(each.zone, "drained", capacities)
        for each in before.drained:
            if not drains.is_drained(each.zone):
                self._log_change(each.zone, "undrained", capacities)
                self._reported.discard(each.zone)

    def _log_change(
        self, zone: str, change: str, capacities: Sequence[ZoneCapacity]
    ) -> None:
        """Log a change with the last request that was sent to the zone before it."""
        last = self._last_sent.get(zone)
        elapsed_s = read_monotonic() - last.sent_at if last is not None else 0.0
        logger.bind(
            step="drain",
            peer=last.target if last is not None else "-",
            zone=zone,
            revision=self._targets.drains.revision,
            last_request=last.request if last is not None else "",
            last_sent_ms=round(elapsed_s * 1000) if last is not None else None,
            targets=sum(each.targets for each in capacities if each.zone == zone),
            calls_left=sum(each.calls for each in capacities),
            kept=self.kept_counts[zone],
        ).info(change)
