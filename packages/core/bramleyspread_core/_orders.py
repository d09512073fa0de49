"""Orders to targets, which are declarative: they name a state, not an action.

An order is ``POST /v1/orders`` with an :class:`Order`; the answer is an
:class:`OrderAnswer`. A target that checks fencing numbers refuses an order whose
number is lower than the highest one that it has seen.
"""

from __future__ import annotations

import msgspec

from bramleyspread_core._announcement import LoadedModel
from bramleyspread_core._identity import TargetName


class Order(msgspec.Struct, frozen=True):
    """A state that a target is to reach; idempotent."""

    target: TargetName
    #: Incarnation that the order is addressed to; other incarnations ignore it.
    incarnation: int
    #: Fencing number, which increases with each new holder of the lease to give
    #: orders.
    fence: int
    #: Sequence number, which increases with each order under one fencing number.
    number: int
    #: Models that the target is to hold; it must hold no others.
    models: tuple[LoadedModel, ...]
    #: Role that the target is to have; empty to leave its role unchanged.
    role: str = ""


class OrderAnswer(msgspec.Struct, frozen=True):
    """A target's answer to an order."""

    #: Whether the target has reached the ordered state or is working towards it.
    obeyed: bool
    #: Highest fencing number of the orders that the target has obeyed.
    fence: int
    #: Explanation if the target did not obey; empty if it did.
    why: str = ""
