"""Settings of the reconciler."""

from __future__ import annotations

from msgspec import Struct


class ReconcilerConfig(Struct, frozen=True):
    """Times of the reconciler, in seconds."""

    #: An order that was sent has arrived, or never will, after this long.
    order_timeout: float = 2.0
    #: Most that clocks of two hosts drift apart while one waits for the other.
    drift: float = 0.2
    #: A planned send must leave the process within this time.
    send_within: float = 0.5
    #: A target is there for this long after a report named it.
    target_lease: float = 25.0
    #: A new orderer listens for this long before it shares anything out; longer
    #: than entry hosts may take between two reports.
    learn_for: float = 10.0
    #: A target that obeyed has this long to announce the state.
    reach_within: float = 120.0
    #: A command whose result does not come within this time counts as undecided.
    decide_within: float = 5.0
    #: First wait before an order that failed is sent again.
    retry_first: float = 0.5
    #: Longest such wait.
    retry_most: float = 15.0
    #: Most orders made durable in one command.
    orders_at_once: int = 100
