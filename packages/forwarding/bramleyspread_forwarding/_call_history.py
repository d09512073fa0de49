"""How the calls to the targets of one service went lately."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from bramleyspread_forwarding._batched_calls import RunningCall
from bramleyspread_forwarding._paces import Paces

#: How long a target that had no room or failed is passed over, in seconds.
PASSED_OVER_S = 0.3
#: The longest that one is passed over that fails again and again, in seconds.
LONGEST_PASSED_OVER_S = 1.2
#: A call that isn't answered after this many times the length that its target is
#: known for is given up, and its pieces are made elsewhere.
PATIENCE = 3.0
#: As slow as this a target may be known for in that: what takes six times as long as
#: it should is not told from what never ends.
SLOWEST = 2.0


class CallHistory:
    """Which targets are passed over, how fast each works, how long one is waited for.

    A target that fails again and again is passed over for longer each time; one
    whose call was given up counts as slow until a call shows otherwise.
    """

    __slots__ = ("_failures", "_passed_over", "paces")

    def __init__(self) -> None:
        self._passed_over: dict[str, float] = {}
        self._failures: Counter[str] = Counter()
        #: How fast the targets work beside each other.
        self.paces = Paces()

    def may_call(self, target: str, now: float) -> bool:
        """Whether a target is not passed over now."""
        return self._passed_over.get(target, 0.0) <= now

    def find_patience(self, target: str, length_ms: float) -> float:
        """Find when to give a call up.

        :param target: the target.
        :param length_ms: how long the call takes by its service's limits.
        :returns: milliseconds.
        """
        known = min(max(1.0, self.paces.find(target)), SLOWEST)
        return length_ms * known * PATIENCE

    def note_answer(self, call: RunningCall, any_made: bool, now: float) -> None:
        """Take note of an answer.

        :param call: the call.
        :param any_made: whether it made anything; only then its time says something.
        :param now: seconds.
        """
        name = call.target.target
        self._failures.pop(name, None)
        if any_made:
            spent_ms = (now - call.begun) * 1000
            self.paces.note(name, spent_ms / call.length_ms, now)

    def note_no_room(self, target: str, now: float) -> None:
        """Take note that a target turned all pieces of a call away for room."""
        self._passed_over[target] = now + PASSED_OVER_S

    def note_failure(self, call: RunningCall, now: float) -> None:
        """Take note of a call without an answer, or that was turned away."""
        name = call.target.target
        pause = min(PASSED_OVER_S * 2 ** self._failures[name], LONGEST_PASSED_OVER_S)
        self._failures[name] += 1
        self._passed_over[name] = now + pause
        if (now - call.begun) * 1000 >= call.length_ms * PATIENCE:
            self.paces.note_overdue(name, PATIENCE, now)

    def forget_gone(self, targets: Sequence[str]) -> None:
        """Drop what is known of targets that are no longer there."""
        self.paces.forget(targets)
        for gone in self._passed_over.keys() - set(targets):
            del self._passed_over[gone]
        for gone in self._failures.keys() - set(targets):
            del self._failures[gone]
