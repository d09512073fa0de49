"""How far each order of this orderer has come."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from bramleyspread_core import Order


class Phase(Enum):
    """Where an order stands."""

    #: Durable, and to be sent.
    READY = "ready"
    #: Sent, and not answered yet.
    SENT = "sent"
    #: The target is on its way to the state.
    OBEYED = "obeyed"


class OrderProgress(Struct, frozen=True):
    """One target's newest order and what became of it."""

    #: The order.
    order: Order
    #: Where it stands.
    phase: Phase
    #: When it may be sent, in monotonic seconds.
    due_at: float
    #: When that phase began, in monotonic seconds.
    since: float
    #: Times that it failed.
    failures: int = 0
