"""Which targets a host is told of when there are too many for all of them."""

from __future__ import annotations

from xxhash import xxh32_intdigest

from bramleyspread_core import HostName, PoolName, TargetName

#: Weight of the newest second in the mean rate of announcements.
EWMA_WEIGHT = 0.2
#: Length of one measurement of that rate, in seconds.
MEASUREMENT_S = 1.0


def is_in_sample(host: HostName, target: TargetName, share: float) -> bool:
    """Whether a host belongs to those that are told of a target.

    Every host computes the same without asking anybody, and each host is told
    of about the same share of the targets.

    :param host: the host.
    :param target: the target.
    :param share: the share of targets that a host is told of, from 0 to 1.
    :returns: True when it is to be told.

    >>> is_in_sample("entry-1", "engine-1", 1.0)
    True
    """
    if share >= 1.0:
        return True
    return xxh32_intdigest(f"{host} {target}") < share * 2**32


class PoolSizeEstimator:
    """Estimates how many targets a pool has in this host's zone.

    The balancer spreads announcements evenly, so the rate heard here, times
    the hosts, times the interval, is about the number of targets.
    """

    __slots__ = ("_announce_interval_s", "_counts", "_measured_at", "_rates")

    def __init__(self, announce_interval_s: float, now: float) -> None:
        self._announce_interval_s = announce_interval_s
        self._measured_at = now
        self._counts: dict[PoolName, int] = {}
        self._rates: dict[PoolName, float] = {}

    def count_announcement(self, pool: PoolName) -> None:
        """Count one announcement heard from a target itself.

        :param pool: the target's pool.
        """
        self._counts[pool] = self._counts.get(pool, 0) + 1

    def measure(self, now: float) -> None:
        """Bring the mean rates up to date.

        :param now: monotonic seconds.
        """
        elapsed = now - self._measured_at
        if elapsed < MEASUREMENT_S:
            return
        for pool in {*self._counts, *self._rates}:
            rate = self._counts.get(pool, 0) / elapsed
            old = self._rates.get(pool, rate)
            self._rates[pool] = old + EWMA_WEIGHT * (rate - old)
        self._counts.clear()
        self._measured_at = now

    def estimate(self, pool: PoolName, hosts: int) -> float:
        """Estimate a pool's size in this zone.

        :param pool: the pool.
        :param hosts: the zone's entry hosts, this one included.
        :returns: targets.
        """
        return self._rates.get(pool, 0.0) * self._announce_interval_s * hosts
