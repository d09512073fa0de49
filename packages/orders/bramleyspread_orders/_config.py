"""Settings of the reconciler."""

from __future__ import annotations

from msgspec import Struct


class ReconcilerConfig(Struct, frozen=True):
    """Timeouts, delays and batch size of the reconciler; all times in seconds."""

    #: Time after which an order that was sent can no longer arrive, because its
    #: connection is aborted.
    order_timeout_s: float = 2.0
    #: Upper bound on how far the clocks of two hosts drift apart during one wait.
    max_clock_drift_s: float = 0.2
    #: Time within which a planned send must leave the process, or be dropped.
    send_window_s: float = 0.5
    #: Time after the last report of a target until the target is removed.
    target_lease_s: float = 25.0
    #: Time for which a new orderer only collects reports before it assigns models
    #: and roles; must exceed the interval between two reports of an entry host.
    observation_period_s: float = 10.0
    #: Time that a target has, from obeying an order, to announce the ordered state.
    convergence_timeout_s: float = 120.0
    #: Time after which a command without a result counts as undecided.
    commit_timeout_s: float = 5.0
    #: Delay before a failed order is sent again for the first time.
    first_retry_delay_s: float = 0.5
    #: Upper bound of the retry delay, which doubles with each failure.
    max_retry_delay_s: float = 15.0
    #: Maximum number of orders committed in one command.
    max_orders_per_command: int = 100
