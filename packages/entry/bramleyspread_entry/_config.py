"""Limits and timings of an entry host's decisions."""

from __future__ import annotations

import msgspec


class EntryConfig(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """Who this entry host is, and how far its decisions may go.

    >>> EntryConfig(host="entry-1", zone="callao", incarnation=7).retry_share
    0.1
    """

    #: This host's name.
    host: str
    #: Its availability zone.
    zone: str
    #: Rises at each start of the process; keeps ids unique across restarts.
    incarnation: int
    #: Most requests held at once, waiting ones included.
    max_in_flight: int = 4_000
    #: How long the control hosts may take over a claim, in seconds.
    claim_timeout: float = 1.0
    #: Pause before a settlement is sent again, in seconds.
    settle_pause: float = 0.5
    #: How long a settlement is tried, in seconds.
    settle_window: float = 60.0
    #: How long the balancer may need to notice a drain, in seconds.
    drain_grace: float = 3.0
    #: Added attempts (retries and hedges) for each first attempt.
    retry_share: float = 0.1
    #: Most added attempts saved up.
    retry_savings: float = 100.0
    #: Added attempts allowed before any traffic was seen.
    retry_seed: float = 3.0
    #: Most attempts at one stage of one request.
    max_tries: int = 4
    #: Pause before looking again for a usable target, in seconds.
    target_pause: float = 0.05
    #: Time without a byte of a stream after which its connection counts as silent.
    stream_silence: float = 1.0
    #: How long an attempt with an effect may go on after its caller's deadline.
    effect_grace: float = 5.0
    #: How long the process may take to report that an attempt ran out of time.
    report_grace: float = 1.0
    #: Pause before a hedge that found no room is tried again, in seconds.
    hedge_pause: float = 0.1
    #: Bytes at the start of an input that tell prefixes apart.
    prefix_bytes: int = 256
    #: Part of a request's slack that it may wait in queues, within a fair share.
    patience: float = 0.55
    #: The same beyond a fair share.
    patience_beyond_share: float = 0.1
