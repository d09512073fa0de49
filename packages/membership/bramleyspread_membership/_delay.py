"""How late messages are, judged without a shared clock."""

from __future__ import annotations

from bramleyspread_core import HostName

#: The quickest message of this long counts as undelayed, in seconds.
WINDOW_S = 60.0


class _ClockOffsets:
    """The smallest difference of two clocks, in two windows that take turns."""

    __slots__ = ("current_min", "incarnation", "previous_min", "window_started_at")

    def __init__(self, incarnation: int, offset: float, now: float) -> None:
        #: The sender's incarnation; its clock starts anew with each.
        self.incarnation = incarnation
        #: Smallest difference in this window, in seconds.
        self.current_min = offset
        #: Smallest difference in the window before, in seconds.
        self.previous_min = offset
        #: When this window began.
        self.window_started_at = now


class DelayEstimator:
    """Estimates the delay of a message from the quickest one of its sender.

    A message that waited in a frozen process or a silent connection must not
    renew a lease as if it were fresh.

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
        """Estimate how long a message was under way beyond the quickest one.

        :param sender: the sending host.
        :param incarnation: its incarnation.
        :param sent: its monotonic clock when it sent, in seconds.
        :param now: this host's monotonic clock, in seconds.
        :returns: seconds, 0 for the quickest message so far.
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
        """Drop what is known of a host that is gone.

        :param sender: the host.
        """
        self._offsets.pop(sender, None)
