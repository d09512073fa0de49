"""Orders to targets: the state to reach, never a step to take.

``POST /v1/orders`` with an :class:`Order`. The answer is an
:class:`OrderAnswer`; a target that checks fencing numbers refuses one lower
than the highest it has seen.
"""

from __future__ import annotations

import msgspec

from bramleyspread_core._announcement import LoadedModel
from bramleyspread_core._identity import TargetName


class Order(msgspec.Struct, frozen=True):
    """A state that a target is to reach; a repeat is harmless."""

    #: The target it is for.
    target: TargetName
    #: The incarnation it is for; others ignore it.
    incarnation: int
    #: Rises with every new holder of the lease to give orders.
    fence: int
    #: Rises with every order under one fencing number.
    number: int
    #: Models that the target is to hold, and no others.
    models: tuple[LoadedModel, ...]
    #: Role to have; empty leaves it as it is.
    role: str = ""


class OrderAnswer(msgspec.Struct, frozen=True):
    """A target's answer to an order."""

    #: True when the target has reached, or is on its way to, the state.
    obeyed: bool
    #: Highest fencing number it has obeyed.
    fence: int
    #: Why it did not obey; empty when it did.
    why: str = ""
