"""How slow the targets of one service are, compared with each other."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median

import msgspec

from bramleyspread_forwarding._placement_messages import SLOWDOWN_TTL_S

#: Weight of the latest call in the smoothed slowdown.
SMOOTHING = 0.7
#: A target counts as slow when its calls take more than this many times as long as
#: those of its peers. A call that waited behind another one takes twice as long,
#: which does not make the target slow.
MIN_SLOW_FACTOR = 2.5
#: Pause after a slow target's last call before it is probed with one piece, in
#: seconds.
PROBE_INTERVAL_S = 1.0


class _Slowdown(msgspec.Struct, frozen=True):
    """Smoothed slowdown of one target."""

    #: Duration of its calls, as a multiple of the expected duration.
    factor: float
    #: When its last call ended, in seconds.
    updated_at: float


class SlowdownTracker:
    """Tracks the duration of each target's calls as a multiple of the expected one.

    The limits from which the expected duration comes are approximate, so a target
    counts as slow only by comparison with its peers.

    >>> tracker = SlowdownTracker()
    >>> tracker.record("a", 1.1, 0.0)
    >>> tracker.record("b", 4.4, 0.0)
    >>> round(tracker.find_relative_slowdown("b", ["a", "b", "c"]), 1)
    4.2
    >>> tracker.find_relative_slowdown("a", ["a", "b", "c"])
    1.0
    """

    __slots__ = ("_reports", "_slowdowns")

    def __init__(self) -> None:
        self._slowdowns: dict[str, _Slowdown] = {}
        # By target, the slowdown that it reported itself.
        self._reports: dict[str, _Slowdown] = {}

    def record(self, target: str, factor: float, now: float) -> None:
        """Record the duration of an answered call.

        :param target: the target.
        :param factor: the duration as a multiple of the expected one.
        :param now: the current time, in seconds.
        """
        known = self._slowdowns.get(target)
        if known is not None:
            factor = known.factor + SMOOTHING * (factor - known.factor)
        self._slowdowns[target] = _Slowdown(factor, now)

    def record_timeout(self, target: str, factor: float, now: float) -> None:
        """Record a call that timed out.

        :param target: the target.
        :param factor: the time waited as a multiple of the expected duration.
        :param now: the current time, in seconds.
        """
        self._slowdowns[target] = _Slowdown(
            max(factor, self.find_slowdown(target)), now
        )

    def record_report(self, target: str, factor: float, now: float) -> None:
        """Record a slowdown that a target reported.

        A report that differs from the one before takes effect before any call has
        shown it: the smoothed slowdown is at least, or at most, the reported one.

        :param target: the target.
        :param factor: how many times as long as usual its work takes.
        :param now: the current time, in seconds.
        """
        before = self._reports.get(target)
        former = before.factor if before is not None else 1.0
        self._reports[target] = _Slowdown(factor, now)
        if factor == former:
            return
        measured = self._slowdowns.get(target)
        known = self.find_slowdown(target)
        bound = max(known, factor) if factor > former else min(known, factor)
        updated_at = measured.updated_at if measured is not None else now
        self._slowdowns[target] = _Slowdown(bound, updated_at)

    def find_reported(self, target: str, now: float) -> float:
        """Find the slowdown that a target reported lately; 1 if it reported none."""
        report = self._reports.get(target)
        if report is None or now - report.updated_at > SLOWDOWN_TTL_S:
            return 1.0
        return report.factor

    def find_slowdown(self, target: str) -> float:
        """Find a target's slowdown; 1 for a target without calls."""
        known = self._slowdowns.get(target)
        return known.factor if known is not None else 1.0

    def find_relative_slowdown(self, target: str, targets: Sequence[str]) -> float:
        """Compare a target's slowdown with the median of its peers.

        :param target: the target.
        :param targets: all targets that accept work.
        :returns: the target's slowdown divided by that median, or by 1 if the median is
            less, when the target counts as slow; else 1.
        """
        slowdown = self._slowdowns.get(target)
        if slowdown is None or slowdown.factor <= MIN_SLOW_FACTOR:
            return 1.0
        others = [self.find_slowdown(each) for each in targets if each != target]
        factor = slowdown.factor / max(median(others), 1.0) if others else 1.0
        return factor if factor > MIN_SLOW_FACTOR else 1.0

    def is_probe_due(self, target: str, now: float) -> bool:
        """Whether a slow target's last call is long enough ago for a probe."""
        known = self._slowdowns.get(target)
        return known is None or now - known.updated_at >= PROBE_INTERVAL_S

    def remove_unlisted(self, targets: Sequence[str]) -> None:
        """Remove the slowdowns of all targets that are not on a list."""
        for known in (self._slowdowns, self._reports):
            for removed in known.keys() - set(targets):
                del known[removed]
