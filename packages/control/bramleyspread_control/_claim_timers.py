"""Timers of a leader for expiring running claims and removing finished ones."""

from __future__ import annotations

from collections import deque

from bramleyspread_control._claims import ClaimStateMachine
from bramleyspread_control._config import ControlTimings
from bramleyspread_control._entries import ClaimHold, ExpireClaims, ForgetClaims
from bramleyspread_core import ClaimKey, RequestId

#: Maximum number of claims that one log entry expires.
MAX_EXPIRED_PER_ENTRY = 500
#: Interval between two checks of the claims, in seconds.
CHECK_INTERVAL_S = 0.2


class ClaimTimers:
    """Deadlines of one group's claims by the leader's clock, starting at its election.

    The deadlines are not in the replicated log: a new leader restarts them for every
    claim. A claim may therefore end late, but never early.
    """

    def __init__(
        self, machine: ClaimStateMachine, timings: ControlTimings, now: float
    ) -> None:
        self._machine = machine
        self._timings = timings
        # Request and deadline by key.
        self._deadlines: dict[ClaimKey, tuple[RequestId, float]] = {}
        # Times, each with the number of claims that had finished by then.
        self._finish_samples: deque[tuple[float, int]] = deque()
        self._forgettable_upto = 0
        self._next_check_at = now

    def collect_due_changes(self, now: float) -> list[ExpireClaims | ForgetClaims]:
        """Collect the changes that are due to be appended to the log.

        :param now: monotonic seconds.
        :returns: the changes; a change is returned again at every later check until it
            has been applied.
        """
        if now < self._next_check_at:
            return []
        self._next_check_at = now + CHECK_INTERVAL_S
        changes: list[ExpireClaims | ForgetClaims] = []
        holds = self._find_expired(now)
        if holds:
            changes.append(ExpireClaims(holds))
        upto = self._find_forgettable(now)
        if upto:
            changes.append(ForgetClaims(upto))
        return changes

    def _find_expired(self, now: float) -> tuple[ClaimHold, ...]:
        running = self._machine.running
        for key in [key for key in self._deadlines if key not in running]:
            del self._deadlines[key]
        expired = []
        for key, request in running.items():
            deadline = self._deadlines.get(key)
            if deadline is None or deadline[0] != request:
                remaining = self._machine.claims[key].remaining_ms / 1_000
                deadline_at = now + remaining + self._timings.claim_grace_s
                self._deadlines[key] = (request, deadline_at)
            elif now >= deadline[1]:
                expired.append(ClaimHold(key, request))
        return tuple(expired[:MAX_EXPIRED_PER_ENTRY])

    def _find_forgettable(self, now: float) -> int:
        """Return the sequence number of the newest claim to remove; 0 for none."""
        finished_count = self._machine.finished_count
        if not self._finish_samples or self._finish_samples[-1][1] < finished_count:
            self._finish_samples.append((now, finished_count))
        cutoff = now - self._timings.claim_retention_s
        while self._finish_samples and self._finish_samples[0][0] <= cutoff:
            self._forgettable_upto = self._finish_samples.popleft()[1]
        oldest = next(iter(self._machine.finished), None)
        is_due = oldest is not None and oldest <= self._forgettable_upto
        return self._forgettable_upto if is_due else 0
