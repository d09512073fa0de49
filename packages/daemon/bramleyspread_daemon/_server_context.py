"""Interfaces between the HTTP server and its accepted connections."""

from __future__ import annotations

from typing import Protocol

from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._kept_bytes import Holder
from bramleyspread_daemon._settings import Limits
from bramleyspread_daemon._traffic import ByteCountSource


class StalledConnection(Protocol):
    """A connection with bytes buffered because its peer reads too slowly."""

    def flush(self, now: float) -> bool:
        """Try to send the buffered bytes.

        :param now: the monotonic time, in seconds.
        :returns: whether the buffer is empty.
        """


class ServerContext(Protocol):
    """The part of the server that an accepted connection uses."""

    #: Limits on connections and requests.
    limits: Limits
    #: The clock whose stamps are added to responses.
    clock: ProcessClock
    #: Whether peers are outside the deployment; they are sent no clock stamps.
    is_public: bool
    #: Whether responses ask peers to close their connections.
    draining: bool

    @property
    def refuses_requests(self) -> bool:
        """Whether further requests are refused, as the process is about to end."""

    async def answer(self, request: HttpRequest, reply: Reply) -> None:
        """Pass a request to the handler."""

    def add_stalled(self, server_connection: StalledConnection) -> None:
        """Register a connection whose buffered bytes must be flushed later."""

    def find_body_limit(self, path: str) -> int:
        """Find the maximum size of a request's body by its path, in bytes."""

    def is_host_path(self, path: str) -> bool:
        """Whether only other hosts of the deployment call a path."""

    def record_kept(self, holder: Holder, size: int) -> None:
        """Record how much a connection keeps; some may give up, also this one."""

    def record_traffic(self, path: str, connection: ByteCountSource) -> None:
        """Count the bytes of a request and its reply."""

    def count_refusal(self, status: int) -> None:
        """Count a request that was refused before it reached a handler."""
