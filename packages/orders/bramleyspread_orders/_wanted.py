"""The state that each target is to reach, over all documents."""

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
from bramleyspread_orders._sharing import WantedState, share_out, sort_models


class WantedTarget(Struct, frozen=True):
    """A target, its pool, and the state it is to reach."""

    #: The pool as its document describes it.
    pool: Pool
    #: Targets that serve in the pool.
    serving: int
    #: The target's newest announcement.
    announcement: Announcement
    #: The state.
    state: WantedState

    @property
    def checks_fencing(self) -> bool:
        """Whether the target is known to refuse orders of earlier orderers."""
        return self.pool.checks_fencing and self.announcement.checks_fencing

    def is_asked_by(self, order: Order) -> bool:
        """Whether an order asks this incarnation for this state.

        :param order: the order.
        :returns: True when no other order is needed.
        """
        return (
            order.incarnation == self.announcement.incarnation
            and order.models == self.state.models
            and order.role == self.state.role
        )


def find_wanted(
    documents: Sequence[ServiceDocument],
    pools: Mapping[PoolName, Sequence[Announcement]],
    intents: Mapping[TargetName, Order],
) -> dict[TargetName, WantedTarget]:
    """Find the state that each target is to reach.

    :param documents: the documents in force.
    :param pools: the serving targets of each pool.
    :param intents: the newest order of each target.
    :returns: the targets that documents ask something of.
    """
    wanted: dict[TargetName, WantedTarget] = {}
    for document in documents:
        if document.retired:
            continue
        for pool in document.pools:
            name = PoolName(ServiceName(document.service), pool.name)
            targets = pools.get(name, ())
            states = share_out(pool, targets, intents)
            for each in targets:
                if each.target in states:
                    state = states[each.target]
                    wanted[each.target] = WantedTarget(pool, len(targets), each, state)
    return wanted


def find_begun(
    wanted: Mapping[TargetName, WantedTarget], intents: Mapping[TargetName, Order]
) -> set[TargetName]:
    """Find targets that an order, of whomever, may have set to work.

    :param wanted: the targets that documents ask something of.
    :param intents: the newest order of each target.
    :returns: those that have not announced what they were ordered to reach.
    """
    return {
        target
        for target, order in intents.items()
        if target in wanted and _is_unfinished(order, wanted[target].announcement)
    }


def _is_unfinished(order: Order, announcement: Announcement) -> bool:
    if order.incarnation != announcement.incarnation:
        return False
    state = WantedState(sort_models(order.models), order.role)
    return not state.is_reached(announcement)
