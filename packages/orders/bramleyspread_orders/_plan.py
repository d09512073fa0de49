"""What a reconciler asks of the control host around it."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import Address, Happening, IntendOrders, Order


class OrderSend(Struct, frozen=True):
    """An order to send now.

    Abort the connection after ``timeout``, so that nothing arrives later.
    """

    #: Where the target takes orders.
    address: Address
    #: The order; its intent is durable.
    order: Order
    #: Give up after this long, in seconds.
    timeout: float
    #: Do not send after this, in this host's monotonic seconds.
    send_before: float


class OrderPlan(Struct, frozen=True):
    """What a control host must do now."""

    #: Orders to make durable; answer with ``intent_answered``. None for none.
    intend: IntendOrders | None = None
    #: Orders to send; answer each with ``order_answered``.
    sends: tuple[OrderSend, ...] = ()
    #: Events for the time line.
    happenings: tuple[Happening, ...] = ()
