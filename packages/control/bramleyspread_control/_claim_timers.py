"""A leader's watch on claims: which ran out of time, which may be forgotten."""

from __future__ import annotations

from collections import deque

from bramleyspread_control._claims import ClaimStateMachine
from bramleyspread_control._config import ControlTimings
from bramleyspread_control._entries import ClaimHold, ExpireClaims, ForgetClaims
from bramleyspread_core import ClaimKey, RequestId

#: Most claims that one entry expires.
MAX_EXPIRED_PER_ENTRY = 500
#: Between two looks at the claims, in seconds.
CHECK_INTERVAL_S = 0.2


class ClaimTimers:
    """Times of claims by this host's clock, since it came to lead.

    Nothing of it is in the log: a new leader gives every claim its whole time
    again. That ends a claim late, never early.
    """

    def __init__(
        self, machine: ClaimStateMachine, timings: ControlTimings, now: float
    ) -> None:
        self._machine = machine
        self._timings = timings
        self._deadlines: dict[ClaimKey, tuple[RequestId, float]] = {}
        self._finish_samples: deque[tuple[float, int]] = deque()
        self._forgettable_upto = 0
        self._next_check_at = now

    def collect_due_changes(self, now: float) -> list[ExpireClaims | ForgetClaims]:
        """Find what to add to the log now.

        :param now: monotonic seconds.
        :returns: changes; again at the next look while they are not applied.
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
            known = self._deadlines.get(key)
            if known is None or known[0] != request:
                remaining = self._machine.claims[key].remaining_ms / 1_000
                due = now + remaining + self._timings.claim_grace_s
                self._deadlines[key] = (request, due)
            elif now >= known[1]:
                expired.append(ClaimHold(key, request))
        return tuple(expired[:MAX_EXPIRED_PER_ENTRY])

    def _find_forgettable(self, now: float) -> int:
        newest = self._machine.finished_count
        if not self._finish_samples or self._finish_samples[-1][1] < newest:
            self._finish_samples.append((now, newest))
        horizon = now - self._timings.claim_retention_s
        while self._finish_samples and self._finish_samples[0][0] <= horizon:
            self._forgettable_upto = self._finish_samples.popleft()[1]
        oldest = next(iter(self._machine.finished), None)
        due = oldest is not None and oldest <= self._forgettable_upto
        return self._forgettable_upto if due else 0
