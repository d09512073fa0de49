"""Bytes that a process sends and receives, by conversation."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from loguru import logger

from bramleyspread_daemon._metrics import Metrics

#: Interval between two log lines about traffic, in seconds.
TRAFFIC_LOG_INTERVAL_S = 1.0


class ByteCountSource(Protocol):
    """A connection that counts its bytes until they are taken."""

    def take_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""


class Traffic:
    """Bytes by conversation: a path of another host, or a kind of peer.

    A link has a rate, and everything that a process says shares it. The counts tell
    which conversation fills it. They are of HTTP messages, without TCP and IP headers.

    >>> traffic = Traffic()
    >>> traffic.record("callers", 300, 500)
    >>> traffic.sent["callers"], traffic.received["callers"]
    (300, 500)
    """

    __slots__ = ("_logged_at", "_logged_received", "_logged_sent", "received", "sent")

    def __init__(self) -> None:
        self._logged_at: float | None = None
        self._logged_sent: Counter[str] = Counter()
        self._logged_received: Counter[str] = Counter()
        #: Bytes sent since the process started.
        self.sent: Counter[str] = Counter()
        #: Bytes received since the process started.
        self.received: Counter[str] = Counter()

    def record(self, conversation: str, sent: int, received: int) -> None:
        """Add bytes to a conversation.

        :param conversation: name of the conversation.
        :param sent: bytes sent.
        :param received: bytes received.
        """
        self.sent[conversation] += sent
        self.received[conversation] += received

    def record_exchange(self, conversation: str, connection: ByteCountSource) -> None:
        """Add the bytes of a connection's last exchange to a conversation.

        :param conversation: name of the conversation.
        :param connection: the connection that carried it.
        """
        self.record(conversation, *connection.take_byte_counts())

    def fill_metrics(self, metrics: Metrics) -> None:
        """Set the metrics of all conversations."""
        for direction, counts in (("sent", self.sent), ("received", self.received)):
            for conversation, number in counts.items():
                metrics.set_counter(
                    "link_bytes_total",
                    "Bytes by conversation.",
                    number,
                    conversation=conversation,
                    direction=direction,
                )

    def log(self, now: float, link_mbps: float) -> None:
        """Log the traffic since the last call.

        :param now: the current time, in seconds.
        :param link_mbps: rate of the host's link, in Mbit/s; 0 if unknown.
        """
        since, self._logged_at = self._logged_at, now
        sent = self.sent - self._logged_sent
        received = self.received - self._logged_received
        self._logged_sent, self._logged_received = (
            self.sent.copy(),
            self.received.copy(),
        )
        if since is None or now <= since:
            return
        elapsed_s = now - since
        busiest_bytes = max(sent.total(), received.total())
        share = busiest_bytes * 8 / 1e6 / elapsed_s / link_mbps if link_mbps else None
        logger.bind(
            step="link",
            peer="-",
            ms=round(elapsed_s * 1000),
            sent_bytes=sent.total(),
            received_bytes=received.total(),
            link_share=round(share, 3) if share is not None else None,
            sent=dict(sent.most_common()),
            received=dict(received.most_common()),
        ).info("traffic")
