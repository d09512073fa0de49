"""Divides the capacity of a service among priorities in proportion to their demand."""

from __future__ import annotations

from collections.abc import Mapping

#: How much less of its demand a priority is granted than the next more urgent one.
WEIGHT_STEP = 0.06
#: Minimum weight of a priority, so that even the least urgent one gets clearly more
#: than a quarter of the average share.
MIN_WEIGHT = 0.7


def find_weights(demand: Mapping[int, float]) -> dict[int, float]:
    """Find the weight of each priority, by its position among those with demand.

    >>> find_weights({0: 5.0, 7: 5.0})
    {0: 1.0, 7: 0.94}
    """
    return {
        priority: max(1.0 - position * WEIGHT_STEP, MIN_WEIGHT)
        for position, priority in enumerate(sorted(demand))
    }


def divide_capacity(demand: Mapping[int, float], capacity: float) -> dict[int, float]:
    """Find the share of its demand that each priority is granted.

    The shares are proportional to the weights, but none exceeds 1: what one priority
    doesn't need is divided among the others.

    :param demand: demand of each priority, in any unit.
    :param capacity: the capacity, in the same unit.
    :returns: a share from 0 to 1 for each priority.

    >>> shares = divide_capacity({0: 10.0, 1: 10.0}, 15.0)
    >>> {priority: round(share, 2) for priority, share in shares.items()}
    {0: 0.77, 1: 0.73}
    >>> divide_capacity({0: 10.0, 1: 10.0}, 20.0)
    {0: 1.0, 1: 1.0}
    """
    weights = find_weights(demand)
    left = max(capacity, 0.0)
    weighted_demand = sum(demand[each] * weights[each] for each in demand)
    shares: dict[int, float] = {}
    # Rounding must not give a priority more than a more urgent one.
    max_share = 1.0
    # The largest weight is the first to reach 1, so one pass in this order is enough.
    for priority in sorted(demand):
        level = left / weighted_demand if weighted_demand > 0 else 1.0
        share = max_share = min(level * weights[priority], max_share)
        shares[priority] = share
        left = max(left - share * demand[priority], 0.0)
        weighted_demand -= demand[priority] * weights[priority]
    return shares
