"""Recent outcomes and durations of the calls to one service's targets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from bramleyspread_core import find_backoff_s
from bramleyspread_forwarding._batched_calls import RunningCall
from bramleyspread_forwarding._paces import SlowdownTracker

#: Backoff of a target that failed once or had no storage left, in seconds.
BACKOFF_S = 0.3
#: Maximum backoff of a target that fails repeatedly, in seconds.
MAX_BACKOFF_S = 1.2
#: Number of failures in a row after which a target counts as unavailable.
UNAVAILABLE_FAILURES = 2
#: A call times out after this many times the duration that is usual for its target;
#: its pieces are then sent to other targets.
TIMEOUT_FACTOR = 3.0
#: Maximum slowdown by which a timeout is extended. With ``TIMEOUT_FACTOR``, a call to
#: any target times out after at most six times its expected duration.
MAX_TIMEOUT_SLOWDOWN = 2.0


class CallHistory:
    """Tracks each target's backoff, slowdown and call timeout.

    The backoff of a target grows with each failure in a row. A target whose call
    timed out counts as slow until a later call shows otherwise.
    """

    __slots__ = ("_backoff_until", "_failures", "slowdowns")

    def __init__(self) -> None:
        self._backoff_until: dict[str, float] = {}
        self._failures: Counter[str] = Counter()
        #: Slowdown of each target.
        self.slowdowns = SlowdownTracker()

    def is_available(self, target: str, now: float) -> bool:
        """Whether a target is not in backoff."""
        return self._backoff_until.get(target, 0.0) <= now

    def is_failing(self, target: str) -> bool:
        """Whether the latest call to a target got no answer or was rejected."""
        return self._failures[target] > 0

    def count_unavailable(self) -> int:
        """Count the targets that failed several times in a row."""
        return sum(x >= UNAVAILABLE_FAILURES for x in self._failures.values())

    def find_timeout_ms(self, target: str, expected_ms: float) -> float:
        """Find the timeout of a call.

        :param target: the target.
        :param expected_ms: the expected duration according to the service's limits.
        :returns: the timeout, in milliseconds.
        """
        slowdown = min(
            max(1.0, self.slowdowns.find_slowdown(target)), MAX_TIMEOUT_SLOWDOWN
        )
        return expected_ms * slowdown * TIMEOUT_FACTOR

    def record_answer(self, call: RunningCall, has_result: bool, now: float) -> None:
        """Record an answer.

        :param call: the call.
        :param has_result: whether it produced any result; the duration of a call
            without results says nothing about the target's speed.
        :param now: the current time, in seconds.
        """
        target_id = call.target.target
        self._failures.pop(target_id, None)
        if has_result:
            elapsed_ms = (now - call.started_at) * 1000
            self.slowdowns.record(target_id, elapsed_ms / call.expected_ms, now)

    def record_storage_full(self, target: str, now: float) -> None:
        """Start a backoff after a target had no storage for any piece of a call."""
        self._backoff_until[target] = now + BACKOFF_S

    def record_failure(self, call: RunningCall, now: float) -> None:
        """Start a backoff after a call got no answer or was rejected."""
        target_id = call.target.target
        failures = self._failures[target_id]
        backoff_s = find_backoff_s(BACKOFF_S, failures, MAX_BACKOFF_S)
        self._failures[target_id] += 1
        self._backoff_until[target_id] = now + backoff_s
        if (now - call.started_at) * 1000 >= call.expected_ms * TIMEOUT_FACTOR:
            self.slowdowns.record_timeout(target_id, TIMEOUT_FACTOR, now)

    def remove_unlisted(self, targets: Sequence[str]) -> None:
        """Remove the records of all targets that are not on a list."""
        self.slowdowns.remove_unlisted(targets)
        for removed in self._backoff_until.keys() - set(targets):
            del self._backoff_until[removed]
        for removed in self._failures.keys() - set(targets):
            del self._failures[removed]
