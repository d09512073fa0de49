"""Limits and timings of an entry host's request handling."""

from __future__ import annotations

import msgspec


class EntryConfig(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """Identity of an entry host, and its limits and timings.

    >>> EntryConfig(host="entry-1", zone="callao", incarnation=7).retry_ratio
    0.1
    """

    #: Name of this host.
    host: str
    #: Availability zone of this host.
    zone: str
    #: Increases at each start of the process, which keeps ids unique across restarts.
    incarnation: int
    #: Maximum number of requests in flight, including those that wait for a target.
    max_in_flight: int = 4_000
    #: Time allowed to the control hosts to answer a claim, in seconds.
    claim_timeout_s: float = 1.0
    #: Time before an undecided settlement is sent again, in seconds.
    settle_retry_s: float = 0.5
    #: Time for which a settlement is retried, in seconds.
    settle_window_s: float = 60.0
    #: Time for which a draining host still accepts requests, so that the load balancer
    #: can notice the drain, in seconds.
    drain_grace_s: float = 3.0
    #: Number of retries and hedges added to the retry budget by each first attempt.
    retry_ratio: float = 0.1
    #: Maximum number of retries and hedges that the retry budget can hold.
    max_retry_balance: float = 100.0
    #: Number of retries and hedges in the retry budget at the start.
    initial_retry_balance: float = 3.0
    #: Maximum number of attempts at one stage of one request, hedges included.
    max_stage_attempts: int = 4
    #: Time before a request without a usable target tries to find one again, in
    #: seconds.
    target_retry_s: float = 0.05
    #: Time without a received byte after which a stream's connection counts as silent,
    #: in seconds.
    stream_idle_timeout_s: float = 1.0
    #: Time for which an attempt with a side effect may continue after the request's
    #: deadline, in seconds.
    side_effect_grace_s: float = 5.0
    #: Time allowed to the process to report that an attempt or a claim timed out, in
    #: seconds.
    report_grace_s: float = 1.0
    #: Time before a hedge that was not sent, for lack of a free slot or of retry
    #: budget, is tried again, in seconds.
    hedge_retry_s: float = 0.1
    #: Number of bytes at the start of an input that identify its prefix.
    prefix_bytes: int = 256
    #: Fraction of its slack that a request may wait in queues while its brand is
    #: within its fair share.
    max_wait_fraction: float = 0.55
    #: Fraction of its slack that a request may wait in queues when its brand is
    #: beyond its fair share.
    max_wait_fraction_over_share: float = 0.1
