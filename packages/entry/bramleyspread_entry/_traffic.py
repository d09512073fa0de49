"""What this host itself has sent to each target."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from bramleyspread_core import TargetName, TargetView

#: Age beyond which own sends are forgotten whatever was reported, in seconds.
SENT_AGE = 5.0


@dataclass(slots=True)
class _Traffic:
    """What this host has sent to one target."""

    #: Attempts not over.
    in_flight: int = 0
    #: Those of them that the newest load report seen contains.
    reported: int = 0
    #: Sends and ends not yet contained in a load report: time and change.
    changes: deque[tuple[float, int]] = field(default_factory=deque)


class OwnTraffic:
    """Attempts of this host alone, at each target."""

    __slots__ = ("_traffic",)

    def __init__(self) -> None:
        self._traffic: dict[TargetName, _Traffic] = {}

    def note(self, target: TargetName, change: int, now: float) -> None:
        """Take a send or an end.

        :param target: the target.
        :param change: 1 for a send, -1 for an end.
        :param now: monotonic seconds.
        """
        traffic = self._traffic.get(target)
        if traffic is None:
            traffic = self._traffic[target] = _Traffic()
        traffic.in_flight += change
        changes = traffic.changes
        changes.append((now, change))
        while changes[0][0] < now - SENT_AGE:
            traffic.reported += changes.popleft()[1]

    def in_flight(self, target: TargetName) -> int:
        """Count own attempts at a target.

        :param target: the target.
        :returns: attempts not over.
        """
        traffic = self._traffic.get(target)
        return traffic.in_flight if traffic is not None else 0

    def estimate(self, view: TargetView) -> float:
        """Estimate a target's load from its report and what was sent since.

        :param view: what is known of the target.
        :returns: requests on it, as a share of its slots.
        """
        load = view.announcement.load
        on_it = load.running + load.waiting
        traffic = self._traffic.get(view.announcement.target)
        if traffic is not None:
            changes = traffic.changes
            while changes and changes[0][0] <= view.load_as_of:
                traffic.reported += changes.popleft()[1]
            since = traffic.in_flight - traffic.reported
            on_it = max(on_it + since, traffic.in_flight)
        return on_it / max(1, load.slots)
