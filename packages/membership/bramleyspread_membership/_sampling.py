"""Samples targets when rows about all of them do not fit, and estimates pool sizes."""

from __future__ import annotations

from xxhash import xxh32_intdigest

from bramleyspread_core import HostName, PoolName, TargetName

#: Weight of the newest measurement in the moving average of announcement rates.
EWMA_WEIGHT = 0.2
#: Shortest duration of one measurement of that rate, in seconds.
MEASUREMENT_S = 1.0


def is_in_sample(receiver: HostName, target: TargetName, share: float) -> bool:
    """Return whether a target is in the sample for a host.

    Every sender computes the same sample for a host without coordination, and each
    host gets about the same share of the targets.

    :param host: the receiving host.
    :param target: the target.
    :param share: the share of targets to send to each host, from 0 to 1.
    :returns: True if the target's rows are sent to the host.

    >>> is_in_sample("entry-1", "engine-1", 1.0)
    True
    """
    if share >= 1.0:
        return True
    return xxh32_intdigest(f"{receiver} {target}") < share * 2**32


class PoolSizeEstimator:
    """Estimates the number of a pool's targets in this host's zone.

    The load balancer spreads announcements evenly over the zone's hosts. So the
    rate received here, times the number of hosts, times the interval between
    announcements, is about the number of targets.
    """

    __slots__ = (
        "_announce_interval_s",
        "_counts",
        "_measured_at",
        "_rates",
    )

    def __init__(self, announce_interval_s: float, now: float) -> None:
        self._announce_interval_s = announce_interval_s
        self._measured_at = now
        self._counts: dict[PoolName, int] = {}
        self._rates: dict[PoolName, float] = {}

    def count_announcement(self, pool: PoolName) -> None:
        """Count an announcement received directly from a target.

        :param pool: the target's pool.
        """
        self._counts[pool] = self._counts.get(pool, 0) + 1

    def update_rates(self, now: float) -> None:
        """Update the mean rates if a measurement is complete.

        :param now: monotonic seconds.
        """
        elapsed = now - self._measured_at
        if elapsed < MEASUREMENT_S:
            return
        for pool in {*self._counts, *self._rates}:
            rate = self._counts.get(pool, 0) / elapsed
            mean_rate = self._rates.get(pool, rate)
            self._rates[pool] = mean_rate + EWMA_WEIGHT * (rate - mean_rate)
        self._counts.clear()
        self._measured_at = now

    def estimate(self, pool: PoolName, hosts: int) -> float:
        """Estimate the size of a pool in this zone.

        :param pool: the pool.
        :param hosts: the number of entry hosts in the zone, including this one.
        :returns: the number of targets.
        """
        return self._rates.get(pool, 0.0) * self._announce_interval_s * hosts
