"""A bound on bytes sent: a token bucket."""

from __future__ import annotations

#: Bytes around a message's body: names of the two hosts, and HTTP.
ENVELOPE_BYTES = 210
#: Bytes of a message that says nothing about targets, envelope included.
EMPTY_MESSAGE_BYTES = 420
#: About how long a row about one target is, in bytes.
ROW_BYTES = 48
#: Weight of the newest round in the mean number of rows.
SMOOTHING = 0.1
#: Shares are whole multiples of this, and rise by two of them or not at all, so
#: that they seldom change.
STEP = 1 / 64
#: Least share of the budget that goes to rows, however many messages there are.
LEAST_FOR_ROWS = 0.2


class ByteBudget:
    """Bytes that may be sent now: a mean rate with room for a burst.

    >>> budget = ByteBudget(rate=100, burst=1_000, now=0.0)
    >>> budget.spend(1_500, now=0.0)
    >>> budget.left(now=2.0), budget.left(now=6.0)
    (0.0, 100.0)
    """

    __slots__ = ("_at", "_burst", "_left", "_rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = now

    def left(self, now: float) -> float:
        """How much may be sent now.

        :param now: monotonic seconds.
        :returns: bytes, never below 0.
        """
        earned = (now - self._at) * self._rate
        self._left = min(self._burst, self._left + earned)
        self._at = now
        return max(0.0, self._left)

    def spend(self, size: float, now: float) -> None:
        """Note bytes as sent; the budget may fall below 0 by one message.

        :param size: bytes.
        :param now: monotonic seconds.
        """
        self.left(now)
        self._left -= size


class Ration:
    """Finds the share of targets that there is budget to tell of.

    When not all rows fit, it is better to tell of some targets always than of
    all targets now and then: a lease that is renewed too seldom runs out.

    >>> ration = Ration(rate=10_000)
    >>> ration.start_round(peers=10, interval=1.0)
    1.0
    >>> ration.count(rows=500)
    >>> ration.start_round(peers=10, interval=1.0)
    0.234375
    """

    __slots__ = ("_counted", "_mean", "_rate", "_rounds", "_share")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._counted = 0
        self._mean = 0.0
        self._rounds = 0
        self._share = 1.0

    def count(self, rows: int) -> None:
        """Count rows that a peer would be sent if there were no bound.

        :param rows: how many.
        """
        self._counted += rows

    def start_round(self, peers: int, interval: float) -> float:
        """Find the share for the next round.

        :param peers: messages in the round.
        :param interval: time between rounds, in seconds.
        :returns: the share of targets to tell of, above 0 and at most 1.
        """
        weight = max(SMOOTHING, 1 / max(self._rounds, 1))
        self._mean += weight * (self._counted - self._mean)
        self._counted = 0
        self._rounds += 1
        allowed = self._rate * interval
        room = max(allowed - peers * EMPTY_MESSAGE_BYTES, allowed * LEAST_FOR_ROWS)
        fits = min(1.0, room / max(self._mean * ROW_BYTES, 1.0))
        if fits < self._share or fits >= min(1.0, self._share + 2 * STEP):
            self._share = max(STEP, fits // STEP * STEP)
        return self._share
