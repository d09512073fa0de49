"""When a state that lasts is reported."""

from __future__ import annotations

import math

#: Time after which a state is reported first, in seconds.
FIRST_REPORT_S = 5.0
#: Maximum time between two reports, in seconds.
MAX_REPORT_INTERVAL_S = 300.0
#: Maximum number of hosts that a report names.
MAX_NAMED_HOSTS = 16


class ReportSchedule:
    """When a state that lasts is reported: at growing intervals."""

    __slots__ = ("_due_at", "_interval_s", "_since")

    def __init__(self) -> None:
        self._since = math.nan
        self._interval_s = FIRST_REPORT_S
        self._due_at = math.inf

    def end(self) -> None:
        """The state has ended."""
        self._since = math.nan

    def is_due(self, since: float, now: float) -> bool:
        """Whether a report is due; returns True at most once an interval.

        :param since: when the state began, in monotonic seconds.
        :param now: monotonic seconds.
        """
        if since != self._since:
            self._since, self._interval_s = since, FIRST_REPORT_S
            self._due_at = since + FIRST_REPORT_S
        if now < self._due_at:
            return False
        self._interval_s = min(2 * self._interval_s, MAX_REPORT_INTERVAL_S)
        self._due_at = now + self._interval_s
        return True
