"""Limits for callers, combined from the deployment document and the settings."""

from __future__ import annotations

import msgspec

from bramleyspread_core import CallerLimits
from bramleyspread_daemon._settings import Limits


def merge_limits(settings: Limits, document: CallerLimits) -> Limits:
    """Combine the limits of the deployment document with those of the settings.

    Sizes come from the document. For each time the longer value applies: closing a
    connection too early costs a caller an attempt, while keeping one open only costs a
    file descriptor.

    :param settings: the limits in the process's settings.
    :param document: the limits in the deployment document.
    :returns: the limits that apply to callers.

    >>> document = CallerLimits(body_bytes=10, idle_ms=90_000, head_ms=1_000)
    >>> limits = merge_limits(Limits(body_bytes=99, idle_s=75, receive_s=5), document)
    >>> (limits.body_bytes, limits.idle_s, limits.receive_s)
    (10, 90.0, 5)
    """
    return msgspec.structs.replace(
        settings,
        head_bytes=document.head_bytes,
        body_bytes=document.body_bytes,
        receive_s=max(settings.receive_s, document.head_ms / 1000),
        idle_s=max(settings.idle_s, document.idle_ms / 1000),
    )
