"""Demand and capacity of one shard of a stage service, as its batching host sees it."""

from __future__ import annotations

import math
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
        #: The load at the latest sample.
        self.load = NO_LOAD

    @property
    def capacity(self) -> float:
        """Pieces per second that the targets process in full calls."""
        return self.nominal_rate * self._efficiency

    def record_demand(self, priority: int, pieces: float, now: float) -> None:
        """Record pieces that are asked for, whether they are refused or not."""
        self._demand.setdefault(priority, _Rate()).add(pieces, now)

    def record_started(self, pieces: int) -> None:
        """Record pieces that were put into calls."""
        self._started += pieces

    def find_guaranteed_rate(self, priority: int, now: float) -> float:
        """Find the part of the capacity that a priority has for itself.

        :param priority: the priority.
        :param now: the current time, in seconds.
        :returns: pieces per second.
        """
        demand = self._list_demand(now)
        weights = find_weights(demand)
        total = sum(demand[each] * weights[each] for each in demand)
        if total <= 0:
            return self.capacity
        return self.capacity * demand[priority] * weights[priority] / total

    def sample(self, waiting: float, batch: int, now: float) -> None:
        """Update the capacity and the load.

        :param waiting: number of waiting pieces that can be on time.
        :param batch: number of pieces in a full call.
        :param now: the current time, in seconds.
        """
        self._update_efficiency(waiting >= batch, now)
        if self.nominal_rate <= 0:
            return
        capacity = max(self.capacity, 1e-9)
        backlog_s = waiting / capacity
        correction = 1 + (USUAL_BACKLOG_S - backlog_s) / CORRECTION_S
        shares = divide_capacity(self._list_demand(now), capacity * correction)
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
        if elapsed_s <= 0 or self.nominal_rate <= 0:
            return
        measured = 1.0
        if is_full and self._was_full:
            measured = self._started / elapsed_s / self.nominal_rate
        weight = 1 - math.exp(-elapsed_s / CAPACITY_AVERAGED_S)
        self._efficiency += weight * (measured - self._efficiency)
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
        return {priority: rate.find(now) for priority, rate in self._demand.items()}
