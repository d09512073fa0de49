"""Attempts of this host at each target, to correct delayed load reports."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from bramleyspread_core import TargetName, TargetView

#: Age from which the start or end of an attempt counts as contained in the load
#: reports, even if no report is that new.
CHANGE_MAX_AGE_S = 5.0


@dataclass(slots=True)
class _TargetTraffic:
    """Attempts of this host at one target."""

    #: Attempts in flight.
    in_flight: int = 0
    #: Attempts in flight that are contained in the newest load report seen.
    reported: int = 0
    #: Starts and ends of attempts not yet contained in a load report: time and change.
    changes: deque[tuple[float, int]] = field(default_factory=deque)


class OwnTraffic:
    """Tracks this host's attempts at each target."""

    __slots__ = ("_traffic",)

    def __init__(self) -> None:
        self._traffic: dict[TargetName, _TargetTraffic] = {}

    def record(self, target: TargetName, change: int, now: float) -> None:
        """Record the start or end of an attempt.

        :param target: the target.
        :param change: 1 for a start, -1 for an end.
        :param now: monotonic seconds.
        """
        traffic = self._traffic.get(target)
        if traffic is None:
            traffic = self._traffic[target] = _TargetTraffic()
        traffic.in_flight += change
        changes = traffic.changes
        changes.append((now, change))
        while changes[0][0] < now - CHANGE_MAX_AGE_S:
            traffic.reported += changes.popleft()[1]

    def in_flight(self, target: TargetName) -> int:
        """Count this host's attempts at a target.

        :param target: the target.
        :returns: number of attempts in flight.
        """
        traffic = self._traffic.get(target)
        return traffic.in_flight if traffic is not None else 0

    def estimate(self, view: TargetView) -> float:
        """Estimate a target's load from its report and this host's attempts since then.

        :param view: the target.
        :returns: requests on the target, as a share of its slots.
        """
        load = view.announcement.load
        requests = load.running + load.waiting
        traffic = self._traffic.get(view.announcement.target)
        if traffic is not None:
            changes = traffic.changes
            while changes and changes[0][0] <= view.load_measured_at:
                traffic.reported += changes.popleft()[1]
            unreported = traffic.in_flight - traffic.reported
            requests = max(requests + unreported, traffic.in_flight)
        return requests / max(1, load.slots)
