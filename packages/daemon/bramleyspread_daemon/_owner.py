"""What an accepted connection needs of the server around it."""

from __future__ import annotations

from typing import Protocol

from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._settings import Limits


class Stalled(Protocol):
    """A connection with bytes that wait for a slow reader."""

    def flush(self, now: float) -> bool:
        """Try to send them.

        :param now: monotonic seconds.
        :returns: True when nothing waits any more.
        """


class Owner(Protocol):
    """The server that accepted a connection."""

    #: Bounds on peers.
    limits: Limits
    #: Stamps what is sent.
    clock: ProcessClock
    #: Whether its peers are strangers, who are sent no stamps.
    is_public: bool
    #: Whether peers are told to close their connections.
    draining: bool

    async def answer(self, request: HttpRequest, reply: Reply) -> None:
        """Pass a request to the handler."""

    def note_stalled(self, served: Stalled) -> None:
        """Remember a connection with bytes that wait for a slow reader."""

    def hold(self, size: int) -> bool:
        """Take bytes of a body into account; False when there are too many."""

    def let_go(self, size: int) -> None:
        """Take note that bytes of a body are held no more."""

    def count_refusal(self, status: int) -> None:
        """Count a request that was not taken as HTTP."""
