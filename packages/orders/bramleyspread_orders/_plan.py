"""The output of the reconciler."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import Address, Happening, IntendOrders, Order


class OrderSend(Struct, frozen=True):
    """An order to send now.

    The sender must abort the connection after ``timeout``, so that the order
    cannot arrive later.
    """

    #: Address at which the target accepts orders.
    address: Address
    #: The order, which is already durable.
    order: Order
    #: Time from the start of the send until it is aborted, in seconds.
    timeout: float
    #: Time after which the order must not be sent, in this host's monotonic seconds.
    send_before: float


class OrderPlan(Struct, frozen=True):
    """What a control host must commit, send and record now."""

    #: Command that makes orders durable; its result is passed to
    #: ``intent_answered``. None if there is nothing to commit.
    intend: IntendOrders | None = None
    #: Orders to send; the outcome of each is passed to ``order_answered``.
    sends: tuple[OrderSend, ...] = ()
    #: Events to write to the time line.
    happenings: tuple[Happening, ...] = ()
