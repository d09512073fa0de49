"""Targets that are slower or fail more than their peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bramleyspread_core import Reason, TargetName

#: First exclusion of a target, in seconds.
FIRST_EXCLUSION = 0.5
#: Longest exclusion, in seconds.
LONGEST_EXCLUSION = 4.0
#: Failures in a row that exclude a target.
FAILURES_TO_EXCLUDE = 2
#: A target is slow at this many times the typical latency of its stage.
SLOW_FACTOR = 3.0
#: Answers by which a target's slowness is judged.
SLOW_ANSWERS = 4
#: Weight of the newest answer in a target's relative latency.
NEWEST_WEIGHT = 0.3
#: Longest time that a trial blocks the next one, in seconds.
TRIAL_TIME = 1.0


class Outliers(Protocol):
    """Knows which targets to leave alone for a while."""

    def allows(self, target: TargetName, now: float) -> bool:
        """Whether a target may be given work."""

    def sent(self, target: TargetName, now: float) -> None:
        """A target was given an attempt."""

    def succeeded(self, target: TargetName, relative: float | None, now: float) -> None:
        """A target answered; latency relative to the stage's typical one."""

    def failed(self, target: TargetName, reason: Reason, now: float) -> None:
        """An attempt at a target failed by the target's fault."""


@dataclass(slots=True)
class _Health:
    """What is known of one target that ever stood out."""

    #: Failures in a row.
    failures: int = 0
    #: Smoothed latency relative to its peers.
    relative: float = 1.0
    #: Answers since the last exclusion.
    answers: int = 0
    #: Exclusions in a row.
    exclusions: int = 0
    #: Excluded until then, in monotonic seconds.
    until: float = 0.0
    #: Being tried again until then, in monotonic seconds.
    trial_until: float = 0.0


class PeerComparison:
    """Excludes what fails repeatedly or is much slower than its peers.

    An excluded target is tried again with one attempt at a time, after a pause
    that doubles with each failed trial.
    """

    __slots__ = ("_health",)

    def __init__(self) -> None:
        self._health: dict[TargetName, _Health] = {}

    def allows(self, target: TargetName, now: float) -> bool:
        """Whether a target may be given work.

        :param target: the target.
        :param now: monotonic seconds.
        :returns: False while it is excluded or a trial is under way.
        """
        health = self._health.get(target)
        if health is None or not health.exclusions:
            return True
        return now >= health.until and now >= health.trial_until

    def sent(self, target: TargetName, now: float) -> None:
        """Note that a target was given an attempt; it may be a trial.

        :param target: the target.
        :param now: monotonic seconds.
        """
        health = self._health.get(target)
        if health is not None and health.exclusions:
            health.trial_until = now + TRIAL_TIME

    def succeeded(self, target: TargetName, relative: float | None, now: float) -> None:
        """Take an answer.

        :param target: the target.
        :param relative: its latency over the stage's typical one, when known.
        :param now: monotonic seconds.
        """
        health = self._health.get(target)
        if health is None:
            if relative is None or relative < SLOW_FACTOR:
                return
            health = self._health[target] = _Health()
        health.failures = 0
        health.answers += 1
        if relative is not None:
            health.relative += NEWEST_WEIGHT * (relative - health.relative)
        slow = health.relative >= SLOW_FACTOR and health.answers >= SLOW_ANSWERS
        on_trial = health.exclusions > 0
        if slow or (on_trial and relative is not None and relative >= SLOW_FACTOR):
            self._exclude(health, now)
        elif on_trial:
            del self._health[target]

    def failed(self, target: TargetName, reason: Reason, now: float) -> None:
        """Take a failure.

        :param target: the target.
        :param reason: what kind; a refused connection excludes at once.
        :param now: monotonic seconds.
        """
        health = self._health.setdefault(target, _Health())
        health.failures += 1
        at_once = reason is Reason.CONNECT or health.exclusions > 0
        if at_once or health.failures >= FAILURES_TO_EXCLUDE:
            self._exclude(health, now)

    def _exclude(self, health: _Health, now: float) -> None:
        if now < health.until:
            return
        pause = min(LONGEST_EXCLUSION, FIRST_EXCLUSION * 2**health.exclusions)
        health.exclusions += 1
        health.until = now + pause
        health.trial_until = 0.0
        health.failures = 0
        health.answers = 0
        health.relative = 1.0


class NoComparison:
    """The baseline: every target is always allowed."""

    __slots__ = ()

    def allows(self, target: TargetName, now: float) -> bool:
        """Allow it.

        :param target: the target.
        :param now: monotonic seconds.
        :returns: always True.
        """
        return True

    def sent(self, target: TargetName, now: float) -> None:
        """Note nothing."""

    def succeeded(self, target: TargetName, relative: float | None, now: float) -> None:
        """Note nothing."""

    def failed(self, target: TargetName, reason: Reason, now: float) -> None:
        """Note nothing."""
