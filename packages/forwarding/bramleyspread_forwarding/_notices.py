"""What targets of forwarded calls say of themselves."""

from __future__ import annotations

from enum import Enum

import msgspec

from bramleyspread_core import Address


class Readiness(str, Enum):
    """Whether a target takes work.

    >>> Readiness.READY.value
    'ready'
    """

    #: It takes work.
    READY = "ready"
    #: It finishes what it has; it gets no more.
    DRAINING = "draining"
    #: It has left, or was silent for too long.
    GONE = "gone"


class TargetNotice(msgspec.Struct, frozen=True, kw_only=True):
    """One heartbeat of a target."""

    #: Its id; a new one, or a later ``born``, for each start.
    target: str
    #: When it started, in milliseconds since 1970; 0 when it does not say.
    born: int = 0
    #: Rises with each heartbeat of one start.
    sequence: int
    #: The service it belongs to.
    service: str
    #: Where it takes calls.
    address: Address
    #: Its availability zone.
    zone: str
    #: Calls that it works on at once.
    slots: int
    #: Whether it takes work.
    readiness: Readiness

    @property
    def order(self) -> tuple[int, int]:
        """What tells a later notice of a target from an earlier one."""
        return (self.born, self.sequence)


class TargetChange(msgspec.Struct, frozen=True):
    """What a control host last knew of a target, for entry hosts."""

    #: The target's newest notice, with the readiness that counts now.
    notice: TargetNotice
    #: Whether it was declared gone by silence alone, not by itself.
    silent: bool = False
