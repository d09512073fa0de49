"""What targets say about themselves in the heads of their responses."""

from __future__ import annotations

import msgspec


class ResponseSignals(msgspec.Struct, frozen=True, kw_only=True):
    """What one response says about the target that sent it."""

    #: Whether the target is leaving and wants no new requests.
    is_leaving: bool = False
    #: For how long the target wants no requests from this host, in seconds; None if the
    #: response doesn't say.
    pause_s: float | None = None
    #: Requests a second that the target accepts from all hosts together; None if the
    #: response names no limit.
    rate_limit: float | None = None
    #: Rejections a second beyond which the target ends; None if the response names no
    #: such number.
    brittleness: float | None = None
    #: For how long the target will still warm up, in seconds; None if the response
    #: doesn't say.
    warm_up_s: float | None = None
    #: Whether the target rejects the request because it has no room.
    is_rejection: bool = False
    #: Names of the signals whose values could not be read; such a signal changes
    #: nothing.
    unreadable: tuple[str, ...] = ()

    @property
    def says_rate_limit(self) -> bool:
        """Whether the response says which rate limit holds, or that none does."""
        return RATE_LIMIT not in self.unreadable

    @property
    def says_nothing(self) -> bool:
        """Whether the response says nothing about the target."""
        return self == ResponseSignals(is_rejection=self.is_rejection)

    @property
    def says_brittleness(self) -> bool:
        """Whether the response says whether the target is brittle."""
        return BRITTLENESS not in self.unreadable


#: Name of the signal that a target is leaving, in logs and metrics.
LEAVING = "leaving"
#: Name of the signal that a target wants no requests from one host for a while.
PAUSE = "pause"
#: Name of the signal that a target accepts requests only at a certain rate.
RATE_LIMIT = "rate-limit"
#: Name of the signal that a target ends if it has to reject too many requests.
BRITTLENESS = "brittleness"
#: Name of the signal that a target warms up.
WARM_UP = "warm-up"

#: Longest remaining warm-up that a target can report, in seconds.
MAX_WARM_UP_S = 3_600.0
