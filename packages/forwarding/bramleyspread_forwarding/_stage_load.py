"""Demand and capacity of one shard of a stage service, as its batching host sees it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

import msgspec

from bramleyspread_forwarding._fair_shares import divide_capacity, find_weights

#: Time over which demand is averaged, in seconds. Bursts last some seconds, and
#: requests that are begun in the meantime can't be refused any more.
DEMAND_AVERAGED_S = 0.6
#: Time over which the measured capacity is averaged, in seconds.
CAPACITY_AVERAGED_S = 1.0
#: Backlog at which no more than the capacity is admitted, in seconds.
USUAL_BACKLOG_S = 0.25
#: Time within which a backlog is brought back to the usual one, in seconds. Requests
#: reach a later stage up to a second after they are admitted, so that a shorter time
#: would make the admitted share oscillate.
CORRECTION_S = 1.0
#: Minimum share of requests that are admitted, so that hosts hear of a service's load.
MIN_ADMITTED = 0.02
#: Maximum number of offered requests for which an admitted one may stand.
MAX_WEIGHT = 1 / MIN_ADMITTED
#: Time between two samples after which the measurement begins anew, in seconds; the
#: host was suspended.
MAX_SAMPLE_GAP_S = 0.5
#: Least measured capacity, as a share of the nominal one, so that a service whose
#: targets didn't answer for a while gets work again.
MIN_EFFICIENCY = 0.1
#: Rate of pieces per second below which a priority has no demand.
MIN_DEMAND = 0.001
#: Longest wait that is told, in seconds.
MAX_WAIT_S = 60.0
#: Shortest and longest time that an overload is expected to go on, in seconds.
MIN_OVERLOAD_S, MAX_OVERLOAD_S = 2.0, 4.0
#: Time without overload after which the next one is another one, in seconds.
OVERLOAD_GAP_S = 1.0


class StageLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a batching host says of its load in its answers to jobs."""

    #: Share of new requests that hosts should admit, by priority, in percent;
    #: priorities that are missing are admitted as a whole.
    admitted: dict[int, int] = {}
    #: Expected wait of a new piece, in milliseconds.
    wait_ms: int = 0
    #: Time for which the overload is expected to go on, in milliseconds.
    ends_in_ms: int = 0


#: What batching hosts say that don't measure their load.
NO_LOAD = StageLoad()


class _Rate:
    """Exponentially averaged rate of something that is counted."""

    __slots__ = ("_updated_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = -math.inf

    def add(self, number: float, now: float) -> None:
        self._value = self.find(now) + number / DEMAND_AVERAGED_S
        self._updated_at = now

    def find(self, now: float) -> float:
        age_s = now - self._updated_at
        return self._value * math.exp(-age_s / DEMAND_AVERAGED_S)


class LoadMeter:
    """Measures demand by priority and capacity, in pieces per second.

    Meant for loads of up to three times the capacity for some seconds, which begin
    within a moment.
    """

    __slots__ = (
        "_demand",
        "_efficiency",
        "_overload_ended_at",
        "_overloaded_since",
        "_sampled_at",
        "_started",
        "_was_full",
        "load",
        "nominal_rate",
        "timely",
    )

    def __init__(self) -> None:
        self._demand: dict[int, _Rate] = {}
        # Measured capacity as a multiple of the nominal one.
        self._efficiency = 1.0
        self._started = 0
        self._sampled_at = 0.0
        self._was_full = False
        self._overloaded_since = self._overload_ended_at = -math.inf
        #: Capacity according to the service's limits, in pieces per second.
        self.nominal_rate = 0.0
        #: Number of waiting pieces that could be on time at the latest sample, by
        #: priority, with those added and without those started since.
        self.timely: Counter[int] = Counter()
        #: The load at the latest sample.
        self.load = NO_LOAD

    @property
    def capacity(self) -> float:
        """Pieces per second that the targets process in full calls."""
        return self.nominal_rate * self._efficiency

    def record_demand(
        self, priority: int, pieces: int, weight: float, now: float
    ) -> None:
        """Record pieces that are asked for, whether they are refused or not.

        :param priority: their priority.
        :param pieces: their number.
        :param weight: number of offered requests for which theirs stands.
        :param now: the current time, in seconds.
        """
        weight = min(max(weight, 1.0), MAX_WEIGHT)
        self._demand.setdefault(priority, _Rate()).add(pieces * weight, now)

    def record_added(self, priority: int, pieces: int) -> None:
        """Record the pieces of a job that waits from now on."""
        self.timely[priority] += pieces

    def record_started(self, priority: int) -> None:
        """Record a piece that was put into a call."""
        self._started += 1
        self.timely[priority] = max(self.timely[priority] - 1, 0)

    def find_guaranteed_rate(self, priority: int, now: float) -> float:
        """Find the part of the capacity that a priority has for itself.

        :param priority: the priority.
        :param now: the current time, in seconds.
        :returns: pieces per second.
        """
        demand = self._list_demand(now)
        weights = find_weights(demand)
        total = sum(demand[each] * weights[each] for each in demand)
        if priority not in demand:
            return self.capacity
        return self.capacity * demand[priority] * weights[priority] / total

    def sample(self, timely: Counter[int], batch: int, now: float) -> None:
        """Update the capacity and the load.

        :param timely: number of waiting pieces that can be on time, by priority.
        :param batch: number of pieces in a full call.
        :param now: the current time, in seconds.
        """
        self.timely = timely
        waiting = timely.total()
        self._update_efficiency(waiting >= batch, now)
        capacity = max(self.capacity, 1e-9)
        backlog_s = min(waiting / capacity, MAX_WAIT_S)
        correction = _find_correction(backlog_s)
        demand = self._list_demand(now)
        for idle in self._demand.keys() - demand.keys():
            del self._demand[idle]
        shares = divide_capacity(demand, capacity * correction)
        admitted = {
            priority: round(max(share, MIN_ADMITTED) * 100)
            for priority, share in shares.items()
            if share < 1
        }
        self.load = StageLoad(
            admitted,
            round(backlog_s * 1000),
            round(self._expect_end_s(bool(admitted), now) * 1000),
        )

    def _update_efficiency(self, is_full: bool, now: float) -> None:
        elapsed_s = now - self._sampled_at
        if elapsed_s <= 0:
            return
        measured = 1.0
        if is_full and self._was_full and self.nominal_rate > 0:
            measured = self._started / elapsed_s / self.nominal_rate
        if elapsed_s <= MAX_SAMPLE_GAP_S:
            weight = 1 - math.exp(-elapsed_s / CAPACITY_AVERAGED_S)
            measured = self._efficiency + weight * (measured - self._efficiency)
            self._efficiency = max(measured, MIN_EFFICIENCY)
        self._started, self._sampled_at, self._was_full = 0, now, is_full

    def _expect_end_s(self, is_overloaded: bool, now: float) -> float:
        """Expect an overload to last as long again as it has lasted."""
        if not is_overloaded:
            return 0.0
        if now - self._overload_ended_at > OVERLOAD_GAP_S:
            self._overloaded_since = now
        self._overload_ended_at = now
        return min(max(now - self._overloaded_since, MIN_OVERLOAD_S), MAX_OVERLOAD_S)

    def _list_demand(self, now: float) -> Mapping[int, float]:
        rates = {priority: rate.find(now) for priority, rate in self._demand.items()}
        return {priority: x for priority, x in rates.items() if x >= MIN_DEMAND}


def _find_correction(backlog_s: float) -> float:
    """Find how much to admit at a backlog, as a multiple of the capacity.

    Nothing is refused without a backlog, however large demand seems: averages over
    short times vary, the more the fewer jobs a shard gets.
    """
    if backlog_s < USUAL_BACKLOG_S:
        return USUAL_BACKLOG_S / max(backlog_s, 1e-9)
    return max(1 + (USUAL_BACKLOG_S - backlog_s) / CORRECTION_S, 0.0)
