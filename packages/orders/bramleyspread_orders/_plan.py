"""The output of the reconciler."""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import Address, IntendOrders, Order, UnstampedEvent


class OrderSend(Struct, frozen=True):
    """An order to send now.

    The sender must abort the connection after ``timeout_s``, so that the order
    cannot arrive later.
    """

    #: Address at which the target accepts orders.
    address: Address
    #: The order, which is already durable.
    order: Order
    #: Time from the start of the send until it is aborted, in seconds.
    timeout_s: float
    #: Time after which the order must not be sent, in this host's monotonic seconds.
    send_before: float


class OrderPlan(Struct, frozen=True):
    """What a control host must commit, send and record now."""

    #: Command that makes orders durable; its result is passed to
    #: ``handle_intent_result``. None if there is nothing to commit.
    intent_command: IntendOrders | None = None
    #: Orders to send; the outcome of each is passed to ``handle_order_outcome``.
    sends: tuple[OrderSend, ...] = ()
    #: Events to write to the time line.
    events: tuple[UnstampedEvent, ...] = ()
