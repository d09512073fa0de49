"""Heartbeats of the targets of forwarded calls."""

from __future__ import annotations

from enum import Enum

import msgspec

from bramleyspread_core import Address


class Readiness(str, Enum):
    """Whether a target accepts work.

    >>> Readiness.READY.value
    'ready'
    """

    #: The target accepts work.
    READY = "ready"
    #: The target completes its requests in flight and gets no more.
    DRAINING = "draining"
    #: The target has left, or sent no heartbeats for too long.
    GONE = "gone"


class TargetHeartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """A heartbeat of a target."""

    #: Id of the target. Each start of its process has a new id or a later ``born``.
    target: str
    #: When its process started, in milliseconds since 1970; 0 when unknown.
    born: int = 0
    #: Sequence number that rises with each heartbeat of one process.
    sequence: int
    #: Service to which the target belongs.
    service: str
    #: Address at which it accepts calls.
    address: Address
    #: Availability zone of the target.
    zone: str
    #: Number of calls that it processes at once.
    slots: int
    readiness: Readiness
    #: Version of its software; empty if it names none, None if the control host that
    #: passes the heartbeat on doesn't tell.
    software: str | None = None
    #: For how long the target will still warm up, in milliseconds; 0 when it is warm.
    warm_up_left_ms: float = 0.0

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key for the order in which a target sent its heartbeats."""
        return (self.born, self.sequence)

    @property
    def process(self) -> tuple[str, int]:
        """The target and the start of its process."""
        return (self.target, self.born)


class TargetChange(msgspec.Struct, frozen=True):
    """State of a target as a control host reports it to entry hosts."""

    #: The target's newest heartbeat, with the readiness that the control host derived.
    notice: TargetHeartbeat
    #: Whether the target is gone because of missing heartbeats, not by its own
    #: announcement.
    silent: bool = False
