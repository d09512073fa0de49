"""What the targets have said about themselves, as one process knows it."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

import msgspec

from bramleyspread_forwarding._heartbeats import TargetHeartbeat
from bramleyspread_forwarding._response_signals import (
    BRITTLENESS,
    LEAVING,
    PAUSE,
    RATE_LIMIT,
    WARM_UP,
    ResponseSignals,
)
from bramleyspread_forwarding._targets import ForwardTarget
from bramleyspread_forwarding._warm_ups import (
    WarmUpChange,
    WarmUpReport,
    WarmUps,
    make_report,
)

#: Lowest rate at which requests are sent to a target that names any limit, also zero,
#: in requests a second; without any request nobody would learn that the limit has
#: ended.
MIN_RATE = 0.01
#: Share by which a pause is prolonged at most.
PAUSE_JITTER = 0.1
#: Time for which a brittle target that rejected a request gets none from this host, in
#: seconds; it counts its rejections of a second.
REJECTED_PAUSE_S = 1.0
#: Longest pause that a target can ask for, in seconds.
MAX_PAUSE_S = 600.0
#: Time that a message between hosts may take, in seconds. What another host was told
#: counts as that much older when it would end or raise a limit.
MAX_TRANSIT_S = 0.25
#: Maximum number of targets that one message tells about.
MAX_NEWS = 100
#: Minimum remaining warm-up of which a host is told that doesn't know it, in seconds.
#: Hosts' estimates of its end differ by less.
MIN_TOLD_S = 1.0
#: Number of targets whose signals are kept; those heard of first are dropped.
MAX_TARGETS = 20_000


class RateLimit(msgspec.Struct, frozen=True):
    """A rate that a target named, with the times between which it said so."""

    #: Requests a second from all hosts together, or rejections; infinite if the target
    #: names no such rate any more.
    rate: float
    #: When the request was sent whose response says so, in seconds.
    sent_at: float
    #: When the head of the response was read, in seconds.
    read_at: float

    def merge(self, other: RateLimit) -> RateLimit:
        """Return what holds after both were said, whichever was heard first.

        Responses overtake each other. One of them is certainly the newer one only if
        its request was sent after the head of the other one was read. Otherwise the
        lower limit holds.

        >>> named = RateLimit(2.0, sent_at=1.0, read_at=1.5)
        >>> overtaken = RateLimit(math.inf, sent_at=1.4, read_at=1.6)
        >>> newer = RateLimit(math.inf, sent_at=1.6, read_at=1.7)
        >>> named.merge(overtaken).rate, overtaken.merge(named).rate
        (2.0, 2.0)
        >>> named.merge(newer).rate, newer.merge(named).rate
        (inf, inf)
        """
        if other.sent_at >= self.read_at:
            return other
        if self.sent_at >= other.read_at:
            return self
        if other.rate != self.rate:
            return min(self, other, key=lambda each: each.rate)
        return RateLimit(
            self.rate,
            max(self.sent_at, other.sent_at),
            max(self.read_at, other.read_at),
        )


class _Record:
    """What one target has said."""

    __slots__ = (
        "born",
        "brittleness",
        "is_leaving",
        "paused_until",
        "rate_limit",
        "revision",
    )

    def __init__(self, born: int) -> None:
        self.born = born
        self.revision = 0
        self.is_leaving = False
        self.paused_until = 0.0
        self.rate_limit: RateLimit | None = None
        self.brittleness: RateLimit | None = None


class SignalChange(msgspec.Struct, frozen=True):
    """A change in what a target says about itself."""

    #: Name of the signal.
    signal: str
    #: The new value, for the log.
    value: float | bool
    #: How the target's warm-up changed; None for other signals.
    warm_up: WarmUpChange | None = None


class SharedSignal(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a target has said about itself, as one host tells another."""

    #: Id of the target.
    target: str
    #: When its process started, in milliseconds since 1970; 0 when unknown.
    born: int = 0
    #: Whether it is leaving.
    is_leaving: bool = msgspec.field(name="leaving", default=False)
    #: Its rate limit in requests a second; None if it has ended.
    rate: float | None = None
    #: How long ago the request was sent whose response said so, in milliseconds; None
    #: if nothing was said about a limit.
    sent_age_ms: float | None = None
    #: How long ago the head of that response was read, in milliseconds.
    read_age_ms: float = 0.0
    #: Rejections a second beyond which it ends; None if it isn't brittle any more.
    brittleness: float | None = None
    #: The same ages of the response that said so; None if nothing was said about it.
    brittle_sent_age_ms: float | None = None
    brittle_read_age_ms: float = 0.0
    #: For how long it will still warm up, in milliseconds.
    warm_up_left_ms: float = 0.0
    #: How long ago it said so at most, in milliseconds; None if nothing was said about
    #: a warm-up.
    warm_up_max_age_ms: float | None = None
    #: How long ago it said so at least, in milliseconds.
    warm_up_min_age_ms: float = 0.0


class SignalTable:
    """What each target has said about itself, in its responses to any host.

    A restart of a target under the same id ends what it said before.

    :param rng: draws by how much longer than asked a target is left alone, so that
        hosts don't return to it at the same moment.
    :param warm_ups: which targets are warming up; a warm-up limits the rate as well.
    """

    def __init__(
        self, rng: Random | None = None, warm_ups: WarmUps | None = None
    ) -> None:
        self._rng = rng if rng is not None else Random(0)
        #: Which targets are warming up.
        self.warm_ups = warm_ups if warm_ups is not None else WarmUps()
        self._records: dict[str, _Record] = {}
        #: Number of responses that carried each signal.
        self.counts: Counter[str] = Counter()
        #: Number of changes so far.
        self.revision = 0

    def record(
        self,
        target: ForwardTarget,
        signals: ResponseSignals,
        sent_at: float,
        now: float,
    ) -> list[SignalChange]:
        """Record what a response says.

        :param target: the target that sent it.
        :param signals: what it says.
        :param sent_at: when its request was sent, in seconds.
        :param now: the current time, when its head has just been read, in seconds.
        :returns: the changes, for the log.
        """
        changes = self._record_warm_up(target, signals.warm_up_s, sent_at, now)
        if signals.warm_up_s is not None:
            signals = msgspec.structs.replace(signals, warm_up_s=None)
        record = self._records.get(target.target)
        if record is None and signals.says_nothing:
            return changes
        if record is not None and record.born > target.born:
            return changes
        record = self._find_record(target.target, target.born)
        if signals.is_leaving:
            self.counts[LEAVING] += 1
            if not record.is_leaving:
                record.is_leaving = True
                changes.append(SignalChange(LEAVING, True))
        changes += self._record_rates(record, signals, sent_at, now)
        if changes:
            self._mark_changed(record)
        pause_s = signals.pause_s
        if pause_s is not None:
            self.counts[PAUSE] += 1
        elif signals.is_rejection and _is_brittle(record):
            pause_s = REJECTED_PAUSE_S
        if pause_s is not None:
            # A pause concerns this host only, so others aren't told.
            changes += self._record_pause(record, pause_s, now)
        return changes

    def _record_warm_up(
        self, target: ForwardTarget, left_s: float | None, sent_at: float, now: float
    ) -> list[SignalChange]:
        if left_s is None:
            return []
        self.counts[WARM_UP] += left_s > 0
        report = make_report(left_s, sent_at, now)
        change = self.warm_ups.record_report(target.target, target.born, report, now)
        changes = self._follow_warm_up(target.target, target.born, change, now)
        if changes and self.warm_ups.find_rate(target) < math.inf:
            self._mark_changed(self._find_record(target.target, target.born))
        return changes

    def record_heartbeat(
        self, notice: TargetHeartbeat, now: float
    ) -> list[SignalChange]:
        """Record the warm-up that a heartbeat names which a control host told just now.

        Other hosts aren't told, as control hosts tell them.

        :param notice: the heartbeat.
        :param now: the current time, in seconds.
        :returns: the changes, for the log.
        """
        change = self.warm_ups.record_heartbeat(notice, now)
        return self._follow_warm_up(notice.target, notice.born, change, now)

    def record_crash(self, target: str, born: int, now: float) -> list[SignalChange]:
        """Record that a target's process has crashed, so that its next one warms up.

        :param target: the target.
        :param born: when the process started, in milliseconds since 1970; 0 if unknown.
        :param now: the current time, in seconds.
        :returns: the changes, for the log.
        """
        change = self.warm_ups.record_crash(target, born, now)
        return self._follow_warm_up(target, born, change, now)

    def _follow_warm_up(
        self, target: str, born: int, change: WarmUpChange | None, now: float
    ) -> list[SignalChange]:
        """Let answers to other hosts name a warm-up, and return its change."""
        if change is None:
            return []
        known = self._records.get(target)
        if known is None or known.born < born:
            self._find_record(target, born)
        left_s = self.warm_ups.find_left_s(target, now)
        return [SignalChange(WARM_UP, round(left_s, 3), change)]

    def _record_rates(
        self, record: _Record, signals: ResponseSignals, sent_at: float, now: float
    ) -> list[SignalChange]:
        changes = []
        if signals.says_rate_limit:
            self.counts[RATE_LIMIT] += signals.rate_limit is not None
            rate = _find_rate(signals.rate_limit)
            changes += _merge_rate(record, RateLimit(rate, sent_at, now))
        if signals.says_brittleness:
            self.counts[BRITTLENESS] += signals.brittleness is not None
            changes += _merge_brittleness(record, signals.brittleness, sent_at, now)
        return changes

    def _mark_changed(self, record: _Record) -> None:
        self.revision += 1
        record.revision = self.revision

    def _find_record(self, target: str, born: int) -> _Record:
        record = self._records.get(target)
        if record is None or record.born < born:
            record = self._records[target] = _Record(born)
            while len(self._records) > MAX_TARGETS:
                del self._records[next(iter(self._records))]
        return record

    def _record_pause(
        self, record: _Record, pause_s: float, now: float
    ) -> list[SignalChange]:
        pause_s = min(pause_s, MAX_PAUSE_S) * (1 + PAUSE_JITTER * self._rng.random())
        was_paused = record.paused_until > now
        record.paused_until = max(record.paused_until, now + pause_s)
        return [] if was_paused else [SignalChange(PAUSE, round(pause_s, 3))]

    def apply(self, shared: SharedSignal, now: float) -> list[SignalChange]:
        """Record what another host was told by a target.

        :param shared: what the other host tells.
        :param now: the current time, in seconds.
        :returns: the changes, for the log.
        """
        known = self._records.get(shared.target)
        if known is not None and known.born > shared.born:
            return []
        record = self._find_record(shared.target, shared.born)
        changes = []
        if shared.is_leaving and not record.is_leaving:
            record.is_leaving = True
            changes.append(SignalChange(LEAVING, True))
        if shared.sent_age_ms is not None:
            rate = _find_rate(shared.rate)
            sent_at = now - shared.sent_age_ms / 1000 - MAX_TRANSIT_S
            read_at = now - shared.read_age_ms / 1000
            changes += _merge_rate(record, RateLimit(rate, sent_at, read_at))
        if shared.brittle_sent_age_ms is not None:
            sent_at = now - shared.brittle_sent_age_ms / 1000 - MAX_TRANSIT_S
            read_at = now - shared.brittle_read_age_ms / 1000
            changes += _merge_brittleness(record, shared.brittleness, sent_at, read_at)
        if shared.warm_up_max_age_ms is not None:
            report = WarmUpReport(
                now + shared.warm_up_left_ms / 1000,
                now - shared.warm_up_max_age_ms / 1000 - MAX_TRANSIT_S,
                now - shared.warm_up_min_age_ms / 1000,
            )
            warm_up = self.warm_ups.record_report(
                shared.target, shared.born, report, now
            )
            changes += self._follow_warm_up(shared.target, shared.born, warm_up, now)
        if changes:
            self._mark_changed(record)
        return changes

    def list_news(self, since: int, now: float) -> tuple[int, tuple[SharedSignal, ...]]:
        """List what targets have said since a revision, for another host.

        :param since: the revision up to which the other host knows everything.
        :param now: the current time, in seconds.
        :returns: the revision up to which it knows everything with this news, and the
            news; at most ``MAX_NEWS`` of them, oldest first.
        """
        if since >= self.revision:
            return self.revision, ()
        news = sorted(
            (
                (record.revision, target)
                for target, record in self._records.items()
                if record.revision > since
            ),
        )
        told = news[:MAX_NEWS]
        revision = told[-1][0] if len(told) < len(news) else self.revision
        return revision, tuple(self._share(target, now) for _, target in told)

    def _share(self, target: str, now: float) -> SharedSignal:
        record = self._records[target]
        shared = SharedSignal(target, record.born, record.is_leaving)
        limit, brittleness = record.rate_limit, record.brittleness
        if limit is not None:
            shared = msgspec.structs.replace(
                shared,
                rate=_find_said(limit),
                sent_age_ms=round((now - limit.sent_at) * 1000, 1),
                read_age_ms=round((now - limit.read_at) * 1000, 1),
            )
        if brittleness is not None:
            shared = msgspec.structs.replace(
                shared,
                brittleness=_find_said(brittleness),
                brittle_sent_age_ms=round((now - brittleness.sent_at) * 1000, 1),
                brittle_read_age_ms=round((now - brittleness.read_at) * 1000, 1),
            )
        report = self.warm_ups.find_report(target, record.born)
        if report is not None:
            shared = msgspec.structs.replace(
                shared,
                warm_up_left_ms=math.ceil(max(report.ends_at - now, 0.0) * 1000),
                warm_up_max_age_ms=round((now - report.said_after) * 1000, 1),
                warm_up_min_age_ms=round((now - report.said_before) * 1000, 1),
            )
        return shared

    def share_limit(self, target: ForwardTarget, now: float) -> SharedSignal | None:
        """Return what a target said if others must heed it too, for another host."""
        if not self.is_restricted(target) or target.target not in self._records:
            return None
        return self._share(target.target, now)

    def tell_warm_up(
        self, target: ForwardTarget, told: SharedSignal | None, now: float
    ) -> bool:
        """Let other hosts be told of a warm-up that one of them hasn't heard of.

        :param target: the target that the other host has chosen.
        :param told: what it knows that the target said; None if nothing.
        :param now: the current time, in seconds.
        :returns: whether this host knows of a warm-up, and the other one doesn't.
        """
        if self.warm_ups.find_rate(target) == math.inf:
            return False
        if told is not None and told.warm_up_left_ms:
            return False
        if self.warm_ups.find_left_s(target.target, now) < MIN_TOLD_S:
            return False
        record = self._records.get(target.target)
        if record is None or record.born < target.born:
            return False
        self._mark_changed(record)
        return True

    def is_brittle(self, target: ForwardTarget) -> bool:
        """Whether a target ends if it has to reject too many requests."""
        record = self._find_current(target)
        return record is not None and _is_brittle(record)

    def is_restricted(self, target: ForwardTarget) -> bool:
        """Whether one host must count the requests of all hosts to a target."""
        return not self.is_empty and (
            self.is_limited(target) or self.is_brittle(target)
        )

    def find_rate_limit(self, target: ForwardTarget) -> float:
        """Return a target's rate limit in requests a second; infinite if none.

        The smaller one of the limit that it names and that of its warm-up holds.
        """
        return min(self.find_named_limit(target), self.warm_ups.find_rate(target))

    def find_named_limit(self, target: ForwardTarget) -> float:
        """Return the rate limit that a target names; infinite if none."""
        record = self._find_current(target)
        if record is None or record.rate_limit is None:
            return math.inf
        return record.rate_limit.rate

    @property
    def is_empty(self) -> bool:
        """Whether no target has said anything."""
        return not self._records and self.warm_ups.is_empty

    def is_limited(self, target: ForwardTarget) -> bool:
        """Whether a target names a rate limit, or is warming up."""
        return not self.is_empty and self.find_rate_limit(target) < math.inf

    def is_leaving(self, target: ForwardTarget) -> bool:
        """Whether a target has said that it is leaving."""
        record = self._find_current(target)
        return record is not None and record.is_leaving

    def find_pause_s(self, target: ForwardTarget, now: float) -> float:
        """Return for how long a target wants no requests from this host, in seconds."""
        record = self._find_current(target)
        return max(record.paused_until - now, 0.0) if record is not None else 0.0

    def _find_current(self, target: ForwardTarget) -> _Record | None:
        record = self._records.get(target.target)
        return record if record is not None and record.born >= target.born else None


def _find_rate(said: float | None) -> float:
    """Return the rate at which requests are sent to a target; infinite if no limit."""
    return math.inf if said is None else max(said, MIN_RATE)


def _find_said(rate: RateLimit) -> float | None:
    """Return what a target said; None if it says so no more."""
    return rate.rate if rate.rate < math.inf else None


def _is_brittle(record: _Record) -> bool:
    return record.brittleness is not None and record.brittleness.rate < math.inf


def _merge_brittleness(
    record: _Record, said: float | None, sent_at: float, read_at: float
) -> list[SignalChange]:
    """Update whether a target is brittle, and return the change."""
    known = record.brittleness
    if known is None and said is None:
        return []
    heard = RateLimit(said if said is not None else math.inf, sent_at, read_at)
    record.brittleness = heard if known is None else known.merge(heard)
    if known is not None and known.rate == record.brittleness.rate:
        return []
    return [SignalChange(BRITTLENESS, record.brittleness.rate)]


def _merge_rate(record: _Record, said: RateLimit) -> list[SignalChange]:
    """Update the rate limit of a target, and return the change."""
    known = record.rate_limit
    if known is None and said.rate == math.inf:
        return []
    record.rate_limit = said if known is None else known.merge(said)
    if known is not None and known.rate == record.rate_limit.rate:
        return []
    return [SignalChange(RATE_LIMIT, record.rate_limit.rate)]
