"""A leader's watch on claims: which ran out of time, which may be forgotten."""

from __future__ import annotations

from collections import deque

from bramleyspread_control._claims import ClaimsMachine
from bramleyspread_control._config import ControlTimings
from bramleyspread_control._entries import ClaimHold, ExpireClaims, ForgetClaims
from bramleyspread_core import ClaimKey, RequestId

#: Most claims that one entry expires.
EXPIRE_AT_ONCE = 500
#: Between two looks at the claims, in seconds.
LOOK_EVERY = 0.2


class ClaimTimes:
    """Times of claims by this host's clock, since it came to lead.

    Nothing of it is in the log: a new leader gives every claim its whole time
    again. That ends a claim late, never early.
    """

    def __init__(
        self, machine: ClaimsMachine, timings: ControlTimings, now: float
    ) -> None:
        self._machine = machine
        self._timings = timings
        self._due: dict[ClaimKey, tuple[RequestId, float]] = {}
        self._finished_by: deque[tuple[float, int]] = deque()
        self._forget_upto = 0
        self._look_at = now

    def find_due(self, now: float) -> list[ExpireClaims | ForgetClaims]:
        """Find what to add to the log now.

        :param now: monotonic seconds.
        :returns: changes; again at the next look while they are not applied.
        """
        if now < self._look_at:
            return []
        self._look_at = now + LOOK_EVERY
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
        for key in [key for key in self._due if key not in running]:
            del self._due[key]
        expired = []
        for key, request in running.items():
            known = self._due.get(key)
            if known is None or known[0] != request:
                remaining = self._machine.claims[key].remaining_ms / 1_000
                due = now + remaining + self._timings.claim_grace
                self._due[key] = (request, due)
            elif now >= known[1]:
                expired.append(ClaimHold(key, request))
        return tuple(expired[:EXPIRE_AT_ONCE])

    def _find_forgettable(self, now: float) -> int:
        newest = self._machine.finished_count
        if not self._finished_by or self._finished_by[-1][1] < newest:
            self._finished_by.append((now, newest))
        horizon = now - self._timings.claim_retention
        while self._finished_by and self._finished_by[0][0] <= horizon:
            self._forget_upto = self._finished_by.popleft()[1]
        oldest = next(iter(self._machine.finished), None)
        due = oldest is not None and oldest <= self._forget_upto
        return self._forget_upto if due else 0
