"""Baseline policies for target selection, for comparisons."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from bramleyspread_core import PoolName, TargetName, TargetView
from bramleyspread_entry._choice import TargetRequirements, has_model


class _WithoutAttemptTracking:
    """Base of policies that keep no record of attempts."""

    __slots__ = ()

    def record_sent(self, target: TargetName, now: float) -> None:
        """Do nothing."""

    def record_end(self, target: TargetName, now: float) -> None:
        """Do nothing."""

    def record_answer(self, target: TargetName, prefix: str, now: float) -> None:
        """Do nothing."""


class RoundRobin(_WithoutAttemptTracking):
    """Chooses targets in turn, starting at a random one in each pool."""

    __slots__ = ("_rng", "_turns")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._turns: dict[PoolName, int] = {}

    def select(
        self, requirements: TargetRequirements, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose the next target that has the model and adapter.

        :param requirements: the attempt's requirements.
        :param views: usable targets.
        :param now: monotonic seconds.
        :returns: the target, or None when none has the model and adapter.
        """
        turn = self._turns.get(requirements.pool)
        if turn is None:
            turn = int(self._rng.random() * 1_000)
        for step in range(1, len(views) + 1):
            view = views[(turn + step) % len(views)]
            if has_model(view, requirements):
                self._turns[requirements.pool] = turn + step
                return view
        return None


class RandomTarget(_WithoutAttemptTracking):
    """Chooses a random target."""

    __slots__ = ("_rng",)

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def select(
        self, requirements: TargetRequirements, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose a random target that has the model and adapter.

        :param requirements: the attempt's requirements.
        :param views: usable targets.
        :param now: monotonic seconds.
        :returns: the target, or None when none has the model and adapter.
        """
        eligible = [view for view in views if has_model(view, requirements)]
        return self._rng.choice(eligible) if eligible else None


class LeastInFlight:
    """Chooses the target with the fewest attempts of this host in flight."""

    __slots__ = ("_in_flight", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._in_flight: Counter[TargetName] = Counter()

    def select(
        self, requirements: TargetRequirements, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose a random one of the targets with the fewest attempts in flight.

        :param requirements: the attempt's requirements.
        :param views: usable targets.
        :param now: monotonic seconds.
        :returns: the target, or None when none has the model and adapter.
        """
        eligible = [view for view in views if has_model(view, requirements)]
        if not eligible:
            return None
        loads = [self._in_flight[view.announcement.target] for view in eligible]
        least = min(loads)
        least_loaded = [
            view for view, load in zip(eligible, loads, strict=True) if load == least
        ]
        return self._rng.choice(least_loaded)

    def record_sent(self, target: TargetName, now: float) -> None:
        """Record that an attempt was sent to a target."""
        self._in_flight[target] += 1

    def record_end(self, target: TargetName, now: float) -> None:
        """Record that an attempt at a target ended."""
        self._in_flight[target] -= 1

    def record_answer(self, target: TargetName, prefix: str, now: float) -> None:
        """Do nothing."""
