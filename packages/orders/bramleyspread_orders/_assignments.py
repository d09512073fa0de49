"""Desired states of all targets, computed from all documents in force."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct

from bramleyspread_core import (
    Announcement,
    Order,
    Pool,
    PoolName,
    ServiceDocument,
    ServiceName,
    TargetName,
)
from bramleyspread_orders._pool_assignment import (
    DesiredState,
    assign_pool,
    sort_models,
)


class TargetAssignment(Struct, frozen=True):
    """A target, its pool, and the state that it is to reach."""

    #: The pool as its document describes it.
    pool: Pool
    #: Number of serving targets in the pool.
    serving_count: int
    #: The target's newest announcement.
    announcement: Announcement
    state: DesiredState

    @property
    def checks_fencing(self) -> bool:
        """Whether the target is known to refuse orders of earlier orderers."""
        return self.pool.checks_fencing and self.announcement.checks_fencing

    def is_requested_by(self, order: Order) -> bool:
        """Whether an order requests the desired state from this incarnation.

        :param order: the newest order to the target.
        :returns: True if incarnation, models and role match, so that no new order is
            needed.
        """
        return (
            order.incarnation == self.announcement.incarnation
            and order.models == self.state.models
            and order.role == self.state.role
        )


def assign_targets(
    documents: Sequence[ServiceDocument],
    pools: Mapping[PoolName, Sequence[Announcement]],
    newest_orders: Mapping[TargetName, Order],
) -> dict[TargetName, TargetAssignment]:
    """Compute the state that each target is to reach.

    :param documents: the documents in force.
    :param pools: the serving targets of each pool.
    :param newest_orders: the newest order of each target.
    :returns: the assignments of targets whose pools list models or roles.
    """
    assignments: dict[TargetName, TargetAssignment] = {}
    for document in documents:
        if document.retired:
            continue
        for pool in document.pools:
            name = PoolName(ServiceName(document.service), pool.name)
            targets = pools.get(name, ())
            states = assign_pool(pool, targets, newest_orders)
            for each in targets:
                if each.target in states:
                    state = states[each.target]
                    assignments[each.target] = TargetAssignment(
                        pool, len(targets), each, state
                    )
    return assignments


def find_unfinished(
    assignments: Mapping[TargetName, TargetAssignment],
    newest_orders: Mapping[TargetName, Order],
) -> set[TargetName]:
    """Find targets that may still be working on an order of any orderer.

    :param assignments: the assignment of each target.
    :param newest_orders: the newest order of each target.
    :returns: the targets that have not announced the state they were ordered to
        reach.
    """
    return {
        target
        for target, order in newest_orders.items()
        if target in assignments
        and _is_unfinished(order, assignments[target].announcement)
    }


def _is_unfinished(order: Order, announcement: Announcement) -> bool:
    if order.incarnation != announcement.incarnation:
        return False
    state = DesiredState(sort_models(order.models), order.role)
    return not state.is_reached(announcement)
