"""Which targets are warming up, as one process knows it."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum

import msgspec

from bramleyspread_forwarding._heartbeats import TargetHeartbeat
from bramleyspread_forwarding._targets import ForwardTarget

#: Time added to each remaining warm-up, in seconds: hosts don't tell each other of
#: smaller differences.
END_MARGIN_S = 0.5
#: Maximum age of a heartbeat that a control host tells, in seconds. Control hosts
#: report a target as silent sooner.
MAX_HEARTBEAT_AGE_S = 5.0
#: Time after a crash for which the process that answers in a target's place counts as
#: warming up, in seconds, unless its heartbeats or responses say otherwise.
RESTART_S = 10.0
#: Number of targets whose reports are kept; those heard of first are dropped.
MAX_TARGETS = 20_000


class WarmUpReport(msgspec.Struct, frozen=True):
    """What a target said of its warm-up, with the times between which it said so."""

    #: When the warm-up ends, in seconds; not later than the report if it has ended.
    ends_at: float
    #: The earliest time at which the target can have said so, in seconds.
    said_after: float
    #: The latest time at which it can have said so, in seconds.
    said_before: float

    def merge(self, other: WarmUpReport) -> WarmUpReport:
        """Return what holds after two reports that came in any order.

        The newer one holds. If it isn't certain which one that is, the one with the
        later end holds: a warming target that counts as warm gets too many requests.

        >>> begun = WarmUpReport(13.0, said_after=10.0, said_before=10.1)
        >>> older = WarmUpReport(9.0, said_after=8.9, said_before=9.0)
        >>> unclear = WarmUpReport(10.05, said_after=9.5, said_before=10.2)
        >>> newer = WarmUpReport(10.3, said_after=10.2, said_before=10.3)
        >>> [begun.merge(each).ends_at for each in (older, unclear, newer)]
        [13.0, 13.0, 10.3]
        >>> [each.merge(begun).ends_at for each in (older, unclear, newer)]
        [13.0, 13.0, 10.3]
        """
        is_newer = other.said_after >= self.said_before
        is_older = self.said_after >= other.said_before
        if is_newer != is_older:
            return other if is_newer else self
        return max(self, other, key=lambda each: each.ends_at)


class WarmUpChange(Enum):
    """How a report changes what is known of a target's warm-up."""

    #: The target warms up, and was thought to be warm.
    BEGUN = "begun"
    #: The warm-up ends later than was known.
    PROLONGED = "prolonged"
    #: The warm-up ends earlier than was known, or has ended.
    SHORTENED = "shortened"


class EndedWarmUp(msgspec.Struct, frozen=True):
    """The end of a target's warm-up."""

    #: Id of the target.
    target: str
    #: How long it was known as warming, in seconds.
    lasted_s: float


class _Record:
    """The reports of one process of a target."""

    __slots__ = (
        "begun_at",
        "born",
        "from_heartbeat",
        "has_crashed",
        "report",
        "sequence",
        "service",
    )

    def __init__(self, born: int, service: str) -> None:
        self.born = born
        self.service = service
        #: Whether the process has crashed.
        self.has_crashed = False
        #: When the warm-up became known, in seconds.
        self.begun_at = 0.0
        #: What holds by all reports; None without any.
        self.report: WarmUpReport | None = None
        #: The newest heartbeat's report, and its sequence number.
        self.from_heartbeat: WarmUpReport | None = None
        self.sequence = -1


class WarmUps:
    """Which targets are warming up, by their heartbeats and responses.

    A warm-up is a rate limit with an end. A report belongs to one start of a target;
    a later start ends what an earlier one reported.

    :param find_rate: returns the requests a second that a service's targets serve while
        they warm up; infinite if warm-ups limit nothing.
    """

    def __init__(self, find_rate: Callable[[str], float] | None = None) -> None:
        self._find_service_rate = find_rate
        self._records: dict[str, _Record] = {}
        # The targets that are warming up.
        self._warming: dict[str, _Record] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target is warming up."""
        return not self._warming

    def count_warming(self) -> int:
        """Count the targets that are warming up."""
        return len(self._warming)

    def find_rate(self, target: ForwardTarget) -> float:
        """Return the requests a second that a target serves; infinite when warm."""
        record = self._warming.get(target.target)
        if record is None or record.born < target.born:
            return math.inf
        return self._find_limit(record)

    def _find_limit(self, record: _Record) -> float:
        if self._find_service_rate is None:
            return math.inf
        return self._find_service_rate(record.service)

    def find_left_s(self, target: str, now: float) -> float:
        """Return for how long a target will still warm up, in seconds."""
        record = self._warming.get(target)
        if record is None or record.report is None:
            return 0.0
        return max(record.report.ends_at - now, 0.0)

    def find_report(self, target: str, born: int) -> WarmUpReport | None:
        """Find what holds of a target's process; None if nothing was said of it."""
        record = self._records.get(target)
        return record.report if record is not None and record.born == born else None

    def record_heartbeat(
        self, notice: TargetHeartbeat, now: float
    ) -> WarmUpChange | None:
        """Record a heartbeat that a control host has told just now.

        :param notice: the heartbeat, with the warm-up that remained when it was told.
        :param now: the current time, in seconds.
        :returns: how it changes what is known; None if it doesn't.
        """
        record = self._find_record(notice.target, notice.born, notice.service)
        if record is None or notice.sequence < record.sequence:
            return None
        record.service = notice.service
        is_repeated = notice.sequence == record.sequence
        report = make_report(
            notice.warm_up_left_ms / 1000, now - MAX_HEARTBEAT_AGE_S, now
        )
        former = record.from_heartbeat
        if is_repeated and former is not None and former.ends_at <= report.ends_at:
            # Told once more, later: the first estimate was the better one.
            return None
        record.sequence, record.from_heartbeat = notice.sequence, report
        if former is not None and record.report == former:
            # Heartbeats are ordered by their numbers.
            return self._update(notice.target, record, report, now)
        return self._merge(notice.target, record, report, now)

    def record_report(
        self, target: str, born: int, report: WarmUpReport, now: float
    ) -> WarmUpChange | None:
        """Record what a response said, to this host or to another one.

        :param target: the target.
        :param born: when its process started, in milliseconds since 1970; 0 if unknown.
        :param report: what it said.
        :param now: the current time, in seconds.
        :returns: how it changes what is known; None if it doesn't.
        """
        known = self._records.get(target)
        if known is None and report.ends_at <= now:
            return None
        record = self._find_record(target, born, known.service if known else "")
        if record is None:
            return None
        return self._merge(target, record, report, now)

    def record_crash(self, target: str, born: int, now: float) -> WarmUpChange | None:
        """Record that a target's process has crashed.

        What accepts connections in its place has just started, and the hosts may hear
        of that start only with its heartbeat.

        :param target: the target.
        :param born: when the process started, in milliseconds since 1970; 0 if unknown.
        :param now: the current time, in seconds.
        :returns: how it changes what is known; None if it doesn't.
        """
        record = self._records.get(target)
        if record is None or record.born != born or record.has_crashed:
            return None
        record.has_crashed = True
        if self._find_limit(record) == math.inf:
            return None
        report = WarmUpReport(now + RESTART_S, said_after=now, said_before=now)
        return self._merge(target, record, report, now)

    def pop_ended(self, now: float) -> list[EndedWarmUp]:
        """Remove the warm-ups that have ended, and return them."""
        ended = [
            EndedWarmUp(target, now - record.begun_at)
            for target, record in self._warming.items()
            if record.report is None or record.report.ends_at <= now
        ]
        for each in ended:
            del self._warming[each.target]
        return ended

    def _find_record(self, target: str, born: int, service: str) -> _Record | None:
        """Find the record of a target's process; None if a later one is known."""
        record = self._records.get(target)
        if record is not None and record.born > born:
            return None
        if record is None or record.born < born:
            # The warm-up of the former process goes on until its end, so that its end
            # is listed.
            record = self._records[target] = _Record(born, service)
            while len(self._records) > MAX_TARGETS:
                oldest = next(iter(self._records))
                del self._records[oldest]
        return record

    def _merge(
        self, target: str, record: _Record, report: WarmUpReport, now: float
    ) -> WarmUpChange | None:
        known = record.report
        merged = report if known is None else known.merge(report)
        return self._update(target, record, merged, now)

    def _update(
        self, target: str, record: _Record, report: WarmUpReport, now: float
    ) -> WarmUpChange | None:
        """Store a report, and return how it differs from what was known."""
        known_ends_at = record.report.ends_at if record.report is not None else now
        record.report = report
        is_warming = report.ends_at > now
        if is_warming and self._warming.get(target) is not record:
            record.begun_at = now
            self._warming[target] = record
            return WarmUpChange.BEGUN
        if report.ends_at > known_ends_at + END_MARGIN_S:
            return WarmUpChange.PROLONGED if is_warming else None
        if known_ends_at > now and report.ends_at < known_ends_at - END_MARGIN_S:
            return WarmUpChange.SHORTENED
        return None


def make_report(left_s: float, said_after: float, said_before: float) -> WarmUpReport:
    """Make the report of a warm-up that a target has told.

    :param left_s: how long the warm-up lasted yet, in seconds.
    :param said_after: the earliest time at which the target can have said so.
    :param said_before: the latest time, which the end is counted from.
    """
    ends_at = said_before + (left_s + END_MARGIN_S if left_s > 0 else 0.0)
    return WarmUpReport(ends_at, said_after, said_before)
