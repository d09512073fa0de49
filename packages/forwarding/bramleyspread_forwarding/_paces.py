"""How fast the targets of one service work beside each other."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median

import msgspec

#: The weight of a new call beside what was known.
NEW_WEIGHT = 0.7
#: A target that takes this many times as long as its peers counts as slow; a call
#: that waited behind another one takes twice as long, and is no sign of that.
SLOW_FACTOR = 2.5
#: How long a slow target is left alone before it is tried with one piece, in seconds.
TRIAL_S = 1.0


class _Pace(msgspec.Struct, frozen=True):
    """What is known of one target."""

    #: How many times as long as its limits say it takes.
    factor: float
    #: When its last call ended, in seconds.
    at: float


class Paces:
    """How long calls took at each target, as a multiple of what its limits say.

    Limits are about right only, so a target counts as slow by comparison with
    its peers.

    >>> paces = Paces()
    >>> paces.note("a", 1.1, 0.0)
    >>> paces.note("b", 4.4, 0.0)
    >>> round(paces.compare("b", ["a", "b", "c"]), 1)
    4.2
    >>> paces.compare("a", ["a", "b", "c"])
    1.0
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, _Pace] = {}

    def note(self, target: str, factor: float, now: float) -> None:
        """Take note of a call that was answered.

        :param target: the target.
        :param factor: how many times as long as its limits say it took.
        :param now: seconds.
        """
        known = self._known.get(target)
        if known is not None:
            factor = known.factor + NEW_WEIGHT * (factor - known.factor)
        self._known[target] = _Pace(factor, now)

    def note_overdue(self, target: str, factor: float, now: float) -> None:
        """Take note of a call that was given up.

        :param target: the target.
        :param factor: how many times as long as its limits say it was waited for.
        :param now: seconds.
        """
        self._known[target] = _Pace(max(factor, self.find(target)), now)

    def find(self, target: str) -> float:
        """Find how many times as long as its limits say a target takes."""
        known = self._known.get(target)
        return known.factor if known is not None else 1.0

    def compare(self, target: str, targets: Sequence[str]) -> float:
        """Compare a target with its peers.

        :param target: the target.
        :param targets: all targets that take work.
        :returns: how many times as long it takes if that makes it slow; else 1.
        """
        known = self._known.get(target)
        if known is None:
            return 1.0
        others = [self.find(each) for each in targets if each != target]
        factor = known.factor / max(median(others), 1.0) if others else 1.0
        return factor if factor > SLOW_FACTOR else 1.0

    def is_trial_due(self, target: str, now: float) -> bool:
        """Whether a slow target was left alone for long enough to be tried."""
        known = self._known.get(target)
        return known is None or now - known.at >= TRIAL_S

    def forget(self, targets: Sequence[str]) -> None:
        """Drop what is known of targets that are no longer there."""
        gone = self._known.keys() - set(targets)
        for each in gone:
            del self._known[each]
