"""Limits on the bytes that gossip may send."""

from __future__ import annotations

#: Bytes around a message's body: the names of both hosts, and HTTP headers.
ENVELOPE_BYTES = 210
#: Size in bytes of a message without rows about targets, envelope included.
EMPTY_MESSAGE_BYTES = 420
#: Approximate mean size in bytes of a row about one target.
ROW_BYTES = 48
#: Weight of the newest round in the moving average of rows per round.
EWMA_WEIGHT = 0.1
#: The share of targets is a multiple of this step. It is raised only by two steps or
#: more, or to 1, so that it seldom changes.
SHARE_STEP = 1 / 64
#: Smallest share of the byte budget reserved for rows, however many messages are sent.
MIN_ROWS_SHARE = 0.2


class ByteBudget:
    """A token bucket of bytes: a mean rate with a burst allowance.

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
        """Compute how many bytes may be sent now.

        :param now: monotonic seconds.
        :returns: bytes, never below 0.
        """
        refill_bytes = (now - self._updated_at) * self._bytes_per_second
        self._available_bytes = min(
            self._burst_bytes, self._available_bytes + refill_bytes
        )
        self._updated_at = now
        return max(0.0, self._available_bytes)

    def spend(self, size: float, now: float) -> None:
        """Deduct a sent message; the balance may fall below 0 by one message.

        :param size: bytes sent.
        :param now: monotonic seconds.
        """
        self.available(now)
        self._available_bytes -= size


class TargetShareLimiter:
    """Computes the share of targets whose rows fit into the byte rate.

    When not all rows fit, sending the rows of some targets in every round is
    better than sending all rows now and then: a lease that is renewed too seldom
    expires.

    >>> limiter = TargetShareLimiter(bytes_per_second=10_000)
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
        """Count rows that would be sent to a peer if bytes were not limited.

        :param rows: the number of rows.
        """
        self._rows_counted += rows

    def start_round(self, peers: int, interval_s: float) -> float:
        """Compute the share of targets for the next round.

        :param peers: the number of messages in the round.
        :param interval_s: seconds between rounds.
        :returns: the share of targets to include, above 0 and at most 1.
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
            1.0, self._share + 2 * SHARE_STEP
        ):
            self._share = max(SHARE_STEP, fitting_share // SHARE_STEP * SHARE_STEP)
        return self._share
