"""Crashes of targets, and the requests under which they happened."""

from __future__ import annotations

import msgspec

#: Identity of a crash: the target and when its process started. Reports of several
#: hosts about the same crash share it.
CrashId = tuple[str, int]


class Crash(msgspec.Struct, frozen=True, kw_only=True):
    """A crash of a target while it was at work on a request.

    It is evidence against each feature of the request. A target that crashes under one
    request breaks off all others that it works on, so there may be several for one
    crash.
    """

    #: Id of the target.
    target: str
    #: When its process started, in milliseconds since 1970; 0 when unknown.
    born: int
    #: The organisation that sent the request; empty for none.
    holder: str
    #: Identities of the request's features.
    features: frozenset[str]
    #: When the target crashed, in seconds.
    ended_at: float

    @property
    def crash_id(self) -> CrashId:
        """Identity of the crash, whatever the request."""
        return (self.target, self.born)
