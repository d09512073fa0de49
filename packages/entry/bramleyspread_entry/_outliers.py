"""Outlier detection: excludes targets that fail or are much slower than their peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bramleyspread_core import Reason, TargetName, find_backoff_s

#: Length of a target's first exclusion; doubles with each further one in a row.
FIRST_EXCLUSION_S = 0.5
#: Length of the longest exclusion.
MAX_EXCLUSION_S = 4.0
#: Number of failures in a row after which a target is excluded.
FAILURES_TO_EXCLUDE = 2
#: Ratio of a target's latency to the typical one from which the target is slow.
SLOW_FACTOR = 3.0
#: Minimum number of answers after which a target can be excluded as slow.
MIN_SLOW_ANSWERS = 4
#: Weight of the newest answer in the moving average of a target's relative latency.
SMOOTHING_WEIGHT = 0.3
#: Time after which a trial without an outcome no longer blocks the next one.
TRIAL_TIMEOUT_S = 1.0


class OutlierDetection(Protocol):
    """Decides which targets are excluded from new attempts for a while."""

    def allows(self, target: TargetName, now: float) -> bool:
        """Whether new attempts may be sent to a target."""

    def record_sent(self, target: TargetName, now: float) -> None:
        """Record that an attempt was sent to a target."""

    def record_success(
        self, target: TargetName, relative_latency: float | None, now: float
    ) -> None:
        """Record an answer and its latency relative to the typical one."""

    def record_failure(self, target: TargetName, reason: Reason, now: float) -> None:
        """Record a failure for which the target is responsible."""


@dataclass(slots=True)
class _Health:
    """Recent failures and latency of one target that failed or was slow."""

    #: Failures in a row.
    failures: int = 0
    #: Moving average of the latency relative to its peers.
    relative_latency: float = 1.0
    #: Answers since the last exclusion.
    answers: int = 0
    #: Exclusions in a row.
    exclusions: int = 0
    #: End of the newest exclusion, in monotonic seconds.
    excluded_until: float = 0.0
    #: Time until which a trial blocks other attempts, in monotonic seconds.
    trial_until: float = 0.0


class PeerOutlierDetection:
    """Excludes targets that fail repeatedly or are much slower than their peers.

    After an exclusion a target gets one trial attempt at a time. A failed or slow
    trial excludes it again, for up to twice as long; any other answer readmits it.
    """

    __slots__ = ("_health",)

    def __init__(self) -> None:
        self._health: dict[TargetName, _Health] = {}

    def allows(self, target: TargetName, now: float) -> bool:
        """Whether new attempts may be sent to a target.

        :param target: the target.
        :param now: monotonic seconds.
        :returns: False while it is excluded or a trial attempt is in flight.
        """
        health = self._health.get(target)
        if health is None or not health.exclusions:
            return True
        return now >= health.excluded_until and now >= health.trial_until

    def record_sent(self, target: TargetName, now: float) -> None:
        """Record that an attempt was sent to a target; it may be a trial.

        :param target: the target.
        :param now: monotonic seconds.
        """
        health = self._health.get(target)
        if health is not None and health.exclusions:
            health.trial_until = now + TRIAL_TIMEOUT_S

    def record_success(
        self, target: TargetName, relative_latency: float | None, now: float
    ) -> None:
        """Record an answer.

        :param target: the target.
        :param relative_latency: ratio of the answer's latency to the typical one; None
            when that is unknown.
        :param now: monotonic seconds.
        """
        health = self._health.get(target)
        if health is None:
            if relative_latency is None or relative_latency < SLOW_FACTOR:
                return
            health = self._health[target] = _Health()
        health.failures = 0
        health.answers += 1
        if relative_latency is not None:
            health.relative_latency += SMOOTHING_WEIGHT * (
                relative_latency - health.relative_latency
            )
        slow = (
            health.relative_latency >= SLOW_FACTOR
            and health.answers >= MIN_SLOW_ANSWERS
        )
        on_trial = health.exclusions > 0
        if slow or (
            on_trial
            and relative_latency is not None
            and relative_latency >= SLOW_FACTOR
        ):
            self._exclude(health, now)
        elif on_trial:
            del self._health[target]

    def record_failure(self, target: TargetName, reason: Reason, now: float) -> None:
        """Record a failure.

        :param target: the target.
        :param reason: kind of failure; a refused connection excludes at once.
        :param now: monotonic seconds.
        """
        health = self._health.setdefault(target, _Health())
        health.failures += 1
        at_once = reason is Reason.CONNECT or health.exclusions > 0
        if at_once or health.failures >= FAILURES_TO_EXCLUDE:
            self._exclude(health, now)

    def _exclude(self, health: _Health, now: float) -> None:
        if now < health.excluded_until:
            return
        duration_s = find_backoff_s(
            FIRST_EXCLUSION_S, health.exclusions, MAX_EXCLUSION_S
        )
        health.exclusions += 1
        health.excluded_until = now + duration_s
        health.trial_until = 0.0
        health.failures = 0
        health.answers = 0
        health.relative_latency = 1.0


class NoOutlierDetection:
    """Baseline for comparisons: no target is ever excluded."""

    __slots__ = ()

    def allows(self, target: TargetName, now: float) -> bool:
        """Allow any target.

        :param target: the target.
        :param now: monotonic seconds.
        :returns: always True.
        """
        return True

    def record_sent(self, target: TargetName, now: float) -> None:
        """Do nothing."""

    def record_success(
        self, target: TargetName, relative_latency: float | None, now: float
    ) -> None:
        """Do nothing."""

    def record_failure(self, target: TargetName, reason: Reason, now: float) -> None:
        """Do nothing."""
