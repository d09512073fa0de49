"""How late messages are, judged without a shared clock."""

from __future__ import annotations

from bramleyspread_core import HostName

#: The quickest message of this long counts as undelayed, in seconds.
WINDOW = 60.0


class _Offsets:
    """The smallest difference of two clocks, in two windows that take turns."""

    __slots__ = ("current", "incarnation", "previous", "turned_at")

    def __init__(self, incarnation: int, offset: float, now: float) -> None:
        #: The sender's incarnation; its clock starts anew with each.
        self.incarnation = incarnation
        #: Smallest difference in this window, in seconds.
        self.current = offset
        #: Smallest difference in the window before, in seconds.
        self.previous = offset
        #: When this window began.
        self.turned_at = now


class LatenessEstimator:
    """Estimates the delay of a message from the quickest one of its sender.

    A message that waited in a frozen process or a silent connection must not
    renew a lease as if it were fresh.

    >>> lateness = LatenessEstimator()
    >>> lateness.estimate("a", 1, sent=100.0, now=7.0)
    0.0
    >>> lateness.estimate("a", 1, sent=101.0, now=12.0)
    4.0
    """

    __slots__ = ("_offsets",)

    def __init__(self) -> None:
        self._offsets: dict[HostName, _Offsets] = {}

    def estimate(
        self, sender: HostName, incarnation: int, sent: float, now: float
    ) -> float:
        """Estimate how long a message was under way beyond the quickest one.

        :param sender: the sending host.
        :param incarnation: its incarnation.
        :param sent: its monotonic clock when it sent, in seconds.
        :param now: this host's monotonic clock, in seconds.
        :returns: seconds, 0 for the quickest message so far.
        """
        offset = now - sent
        known = self._offsets.get(sender)
        if known is None or incarnation > known.incarnation:
            self._offsets[sender] = _Offsets(incarnation, offset, now)
            return 0.0
        if incarnation < known.incarnation:
            return float("inf")
        if now - known.turned_at > WINDOW:
            known.previous, known.current = known.current, offset
            known.turned_at = now
        known.current = min(known.current, offset)
        return offset - min(known.current, known.previous)

    def forget(self, sender: HostName) -> None:
        """Drop what is known of a host that is gone.

        :param sender: the host.
        """
        self._offsets.pop(sender, None)
