"""Simple ways of choosing a target, to compare with."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from bramleyspread_core import PoolName, TargetName, TargetView
from bramleyspread_entry._choice import Need, fits


class _Forgetful:
    """A choice that learns nothing from what it sent."""

    __slots__ = ()

    def sent(self, target: TargetName, now: float) -> None:
        """Note nothing."""

    def ended(self, target: TargetName, now: float) -> None:
        """Note nothing."""

    def answered(self, target: TargetName, prefix: str, now: float) -> None:
        """Note nothing."""


class RoundRobin(_Forgetful):
    """One target after the other, begun anywhere."""

    __slots__ = ("_rng", "_turns")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._turns: dict[PoolName, int] = {}

    def choose(
        self, need: Need, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose the next target that fits.

        :param need: what the attempt needs.
        :param views: usable targets.
        :param now: monotonic seconds.
        :returns: the target, or None when none fits.
        """
        turn = self._turns.get(need.pool)
        if turn is None:
            turn = int(self._rng.random() * 1_000)
        for step in range(1, len(views) + 1):
            view = views[(turn + step) % len(views)]
            if fits(view, need.stage):
                self._turns[need.pool] = turn + step
                return view
        return None


class RandomTarget(_Forgetful):
    """Any target that fits."""

    __slots__ = ("_rng",)

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(
        self, need: Need, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose any target that fits.

        :param need: what the attempt needs.
        :param views: usable targets.
        :param now: monotonic seconds.
        :returns: the target, or None when none fits.
        """
        fitting = [view for view in views if fits(view, need.stage)]
        return self._rng.choice(fitting) if fitting else None


class LeastInFlight:
    """The target on which this host has the fewest attempts."""

    __slots__ = ("_in_flight", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._in_flight: Counter[TargetName] = Counter()

    def choose(
        self, need: Need, views: Sequence[TargetView], now: float
    ) -> TargetView | None:
        """Choose a target with the fewest attempts, any of several.

        :param need: what the attempt needs.
        :param views: usable targets.
        :param now: monotonic seconds.
        :returns: the target, or None when none fits.
        """
        fitting = [view for view in views if fits(view, need.stage)]
        if not fitting:
            return None
        loads = [self._in_flight[view.announcement.target] for view in fitting]
        least = min(loads)
        equal = [
            view for view, load in zip(fitting, loads, strict=True) if load == least
        ]
        return self._rng.choice(equal)

    def sent(self, target: TargetName, now: float) -> None:
        """Note that an attempt went to a target."""
        self._in_flight[target] += 1

    def ended(self, target: TargetName, now: float) -> None:
        """Note that an attempt at a target is over."""
        self._in_flight[target] -= 1

    def answered(self, target: TargetName, prefix: str, now: float) -> None:
        """Note nothing."""
