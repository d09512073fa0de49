"""Progress of each order that this orderer has made durable."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from bramleyspread_core import Order


class OrderPhase(Enum):
    """Phases of an order, from when it is durable until its state is reached."""

    #: Waiting to be sent, or to be sent again after a failure.
    READY = "ready"
    #: Sent, but not yet answered.
    SENT = "sent"
    #: Accepted by the target, which has not yet announced the ordered state.
    OBEYED = "obeyed"


class OrderProgress(Struct, frozen=True):
    """The newest order to one target and its progress."""

    order: Order
    phase: OrderPhase
    #: Earliest time to send the order, in monotonic seconds.
    due_at: float
    #: Time at which the phase began, in monotonic seconds.
    phase_since: float
    #: Number of failures in a row; the retry delay grows with it.
    failures: int = 0
