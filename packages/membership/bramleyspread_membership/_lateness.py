"""Estimates message delays between hosts without a shared clock."""

from __future__ import annotations

from bramleyspread_core import HostName

#: Delays are measured against the fastest message of this period, in seconds.
WINDOW_S = 60.0


class _ClockOffsets:
    """The smallest clock offset to a sender in the current and the previous window."""

    __slots__ = ("current_min", "incarnation", "previous_min", "window_started_at")

    def __init__(self, incarnation: int, offset: float, now: float) -> None:
        #: The sender's incarnation; its monotonic clock restarts with each one.
        self.incarnation = incarnation
        #: Smallest offset in the current window, in seconds.
        self.current_min = offset
        #: Smallest offset in the previous window, in seconds.
        self.previous_min = offset
        #: When the current window began, in monotonic seconds.
        self.window_started_at = now


class DelayEstimator:
    """Estimates a message's delay relative to the fastest one of its sender.

    A message that was delayed in a suspended process or a stalled connection must
    not renew a lease as if it had just been sent.

    >>> delays = DelayEstimator()
    >>> delays.estimate("a", 1, sent_at=100.0, now=7.0)
    0.0
    >>> delays.estimate("a", 1, sent_at=101.0, now=12.0)
    4.0
    """

    __slots__ = ("_offsets",)

    def __init__(self) -> None:
        self._offsets: dict[HostName, _ClockOffsets] = {}

    def estimate(
        self, sender: HostName, incarnation: int, sent_at: float, now: float
    ) -> float:
        """Estimate how much longer a message took than the sender's fastest one.

        :param sender: the sending host.
        :param incarnation: the sender's incarnation.
        :param sent_at: the sender's monotonic clock when it sent, in seconds.
        :param now: this host's monotonic clock, in seconds.
        :returns: seconds, 0 for the fastest message of the current and the previous
            window; infinity for a message of an earlier incarnation.
        """
        offset = now - sent_at
        known = self._offsets.get(sender)
        if known is None or incarnation > known.incarnation:
            self._offsets[sender] = _ClockOffsets(incarnation, offset, now)
            return 0.0
        if incarnation < known.incarnation:
            return float("inf")
        if now - known.window_started_at > WINDOW_S:
            known.previous_min, known.current_min = known.current_min, offset
            known.window_started_at = now
        known.current_min = min(known.current_min, offset)
        return offset - min(known.current_min, known.previous_min)

    def forget(self, sender: HostName) -> None:
        """Discard the clock offsets of an expired host.

        :param sender: the host.
        """
        self._offsets.pop(sender, None)
