"""What callers may send, as the deployment document and the settings say together."""

from __future__ import annotations

import msgspec

from bramleyspread_core import CallerLimits
from bramleyspread_daemon._settings import Limits


def widen_limits(settings: Limits, callers: CallerLimits) -> Limits:
    """Put a document's limits for callers in force.

    Sizes are the document's alone. Times are the longer ones: a connection that is
    closed early costs a caller an attempt, one that is kept costs a descriptor.

    :param settings: what the process's settings say.
    :param callers: what the document says.
    :returns: the limits in force for callers.

    >>> document = CallerLimits(body_bytes=10, idle_ms=90_000, head_ms=1_000)
    >>> limits = widen_limits(Limits(body_bytes=99, idle_s=75, receive_s=5), document)
    >>> (limits.body_bytes, limits.idle_s, limits.receive_s)
    (10, 90.0, 5)
    """
    return msgspec.structs.replace(
        settings,
        head_bytes=callers.head_bytes,
        body_bytes=callers.body_bytes,
        receive_s=max(settings.receive_s, callers.head_ms / 1000),
        idle_s=max(settings.idle_s, callers.idle_ms / 1000),
    )
