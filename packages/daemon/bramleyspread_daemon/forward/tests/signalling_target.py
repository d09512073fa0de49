"""A target that signals in its responses, and the rule for its rate limit."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable

from bramleyspread_core import Address
from bramleyspread_forwarding import ResponseSignals

#: Time after a target first names a limit from which it binds, in seconds.
BOUND_AFTER_S = 3.0
#: Time after a host has read a limit from which it binds that host, in seconds.
TOLD_AFTER_S = 0.5
#: Length of the window in which requests are counted, in seconds.
WINDOW_S = 4.0
#: Factor and number of requests by which a window may exceed the limit.
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5


class SignallingTarget:
    """A target that names a rate limit in its responses, and records what it gets.

    :param name: its id.
    :param address: where it accepts requests.
    :param run_s: how long it takes for a request, in seconds.
    """

    def __init__(self, name: str, address: Address, run_s: float) -> None:
        self.name = name
        self.address = address
        self.run_s = run_s
        #: Returns what a response says at a time.
        self.signal: Callable[[float], ResponseSignals] = lambda _: ResponseSignals()
        #: Returns the status of a response at a time.
        self.status: Callable[[float], int] = lambda _: 200
        #: When each request arrived, and from which host.
        self.arrivals: list[tuple[float, str]] = []
        #: When each call for pieces arrived; other requests to stage targets release
        #: results.
        self.calls: list[float] = []
        #: When each host first read a response that named a limit.
        self.told_at: dict[str, float] = {}
        #: When each host first read a response that said that the target is leaving.
        self.left_at: dict[str, float] = {}
        #: When it asked which host for a pause, and for how long, in seconds.
        self.pauses: list[tuple[float, str, float]] = []
        #: When it first named a limit.
        self.named_at = math.inf

    def begin(self, now: float) -> int:
        """Begin a request, and return the status of its response."""
        return self.status(now)

    def end(self, status: int) -> None:
        """End a request that was answered with a status."""

    def is_running(self, now: float) -> bool:
        """Whether the target runs."""
        return True

    def respond(self, now: float) -> ResponseSignals:
        """Return what a response says that is sent now."""
        signals = self.signal(now)
        if signals.rate_limit is not None:
            self.named_at = min(self.named_at, now)
        return signals

    def list_bound_arrivals(self) -> list[float]:
        """List when requests arrived from hosts that the limit bound by then."""
        bound_at = self.named_at + BOUND_AFTER_S
        return sorted(
            at
            for at, host in self.arrivals
            if at >= bound_at and at >= self.told_at.get(host, math.inf) + TOLD_AFTER_S
        )

    def find_excess(self, find_rate: Callable[[float], float]) -> float:
        """Find by how much the fullest window exceeds what its limit allows.

        :param find_rate: the highest rate that the target named in the window that
            begins at a time.
        :returns: requests above what is allowed; negative if no window has so many.
        """
        bound = self.list_bound_arrivals()
        return max(
            (
                bisect_left(bound, at + WINDOW_S)
                - first
                - LIMIT_FACTOR * WINDOW_S * find_rate(at)
                - LIMIT_SLACK
                for first, at in enumerate(bound)
            ),
            default=-math.inf,
        )
