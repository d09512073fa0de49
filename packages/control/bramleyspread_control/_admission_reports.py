"""Reports that a host waits to be admitted, and whom it asks."""

from __future__ import annotations

from collections.abc import Iterable

from bramleyspread_control._peers import HELLO_TIMEOUT_S, Peer
from bramleyspread_control._report_schedule import MAX_NAMED_HOSTS, ReportSchedule
from bramleyspread_core import UnstampedEvent


class AdmissionReports:
    """Reports that this host has belonged to no deployment for long, and whom it asks.

    :param now: monotonic seconds.
    """

    __slots__ = ("_schedule", "_started_at")

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._schedule = ReportSchedule()

    def list_due(self, peers: Iterable[Peer], now: float) -> list[UnstampedEvent]:
        """List the report if it is due; call this only while no deployment is known.

        :param peers: the other control hosts, which are asked.
        :param now: monotonic seconds.
        """
        if not self._schedule.is_due(self._started_at, now):
            return []
        asked = sorted(peers, key=lambda each: each.settings.host)
        told = "; ".join(_describe_peer(x, now) for x in asked[:MAX_NAMED_HOSTS])
        detail = (
            f"in no deployment for {now - self._started_at:.1f} s; asks {told or '-'}"
        )
        return [UnstampedEvent("not-admitted", step="join", detail=detail)]


def _describe_peer(peer: Peer, now: float) -> str:
    settings = peer.settings
    if now >= peer.last_hello_at + HELLO_TIMEOUT_S:
        state = "silent"
    elif peer.is_uninitialised:
        state = "in no deployment"
    else:
        state = "in a deployment"
    return f"{settings.host} at {settings.address}: {state}"
