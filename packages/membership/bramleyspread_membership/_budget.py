"""A bound on bytes sent: a token bucket."""

from __future__ import annotations

#: Bytes around a message's body: names of the two hosts, and HTTP.
ENVELOPE_BYTES = 210
#: Bytes of a message that says nothing about targets, envelope included.
EMPTY_MESSAGE_BYTES = 420
#: About how long a row about one target is, in bytes.
ROW_BYTES = 48
#: Weight of the newest round in the mean number of rows.
EWMA_WEIGHT = 0.1
#: Shares are whole multiples of this, and rise by two of them or not at all, so
#: that they seldom change.
STEP = 1 / 64
#: Least share of the budget that goes to rows, however many messages there are.
MIN_ROWS_SHARE = 0.2


class ByteBudget:
    """Bytes that may be sent now: a mean rate with room for a burst.

    >>> budget = ByteBudget(bytes_per_second=100, burst_bytes=1_000, now=0.0)
    >>> budget.spend(1_500, now=0.0)
    >>> budget.available(now=2.0), budget.available(now=6.0)
    (0.0, 100.0)
    """

    __slots__ = ("_available_bytes", "_burst_bytes", "_bytes_per_second", "_updated_at")

    def __init__(self, bytes_per_second: float, burst_bytes: float, now: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._available_bytes = burst_bytes
        self._updated_at = now

    def available(self, now: float) -> float:
        """How much may be sent now.

        :param now: monotonic seconds.
        :returns: bytes, never below 0.
        """
        earned = (now - self._updated_at) * self._bytes_per_second
        self._available_bytes = min(self._burst_bytes, self._available_bytes + earned)
        self._updated_at = now
        return max(0.0, self._available_bytes)

    def spend(self, size: float, now: float) -> None:
        """Note bytes as sent; the budget may fall below 0 by one message.

        :param size: bytes.
        :param now: monotonic seconds.
        """
        self.available(now)
        self._available_bytes -= size


class ShareLimiter:
    """Finds the share of targets that there is budget to tell of.

    When not all rows fit, it is better to tell of some targets always than of
    all targets now and then: a lease that is renewed too seldom runs out.

    >>> limiter = ShareLimiter(bytes_per_second=10_000)
    >>> limiter.start_round(peers=10, interval_s=1.0)
    1.0
    >>> limiter.count_rows(rows=500)
    >>> limiter.start_round(peers=10, interval_s=1.0)
    0.234375
    """

    __slots__ = (
        "_bytes_per_second",
        "_mean_rows",
        "_rounds",
        "_rows_counted",
        "_share",
    )

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._rows_counted = 0
        self._mean_rows = 0.0
        self._rounds = 0
        self._share = 1.0

    def count_rows(self, rows: int) -> None:
        """Count rows that a peer would be sent if there were no bound.

        :param rows: how many.
        """
        self._rows_counted += rows

    def start_round(self, peers: int, interval_s: float) -> float:
        """Find the share for the next round.

        :param peers: messages in the round.
        :param interval: time between rounds, in seconds.
        :returns: the share of targets to tell of, above 0 and at most 1.
        """
        weight = max(EWMA_WEIGHT, 1 / max(self._rounds, 1))
        self._mean_rows += weight * (self._rows_counted - self._mean_rows)
        self._rows_counted = 0
        self._rounds += 1
        allowed_bytes = self._bytes_per_second * interval_s
        row_bytes = max(
            allowed_bytes - peers * EMPTY_MESSAGE_BYTES, allowed_bytes * MIN_ROWS_SHARE
        )
        fitting_share = min(1.0, row_bytes / max(self._mean_rows * ROW_BYTES, 1.0))
        if fitting_share < self._share or fitting_share >= min(
            1.0, self._share + 2 * STEP
        ):
            self._share = max(STEP, fitting_share // STEP * STEP)
        return self._share
