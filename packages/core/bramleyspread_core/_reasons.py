"""Expected failures, represented as values rather than as exceptions."""

from __future__ import annotations

from enum import Enum

import msgspec


class Reason(str, Enum):
    """Reasons of expected failures."""

    #: The request could not finish within its deadline.
    DEADLINE = "deadline"
    #: More work is waiting than can be done in time.
    OVERLOAD = "overload"
    #: The organisation or brand has used up its fair share.
    SHARE = "share"
    #: No usable target is known.
    NO_TARGET = "no-target"
    #: No quorum of control replicas answered.
    NO_QUORUM = "no-quorum"
    #: The service, pipeline, organisation or brand is unknown.
    UNKNOWN_NAME = "unknown-name"
    #: The input is malformed.
    BAD_INPUT = "bad-input"
    #: The connection failed before any byte of the request was sent.
    CONNECT = "connect"
    #: The connection was closed before the answer was complete.
    CLOSED = "closed"
    #: The connection made no progress within its timeout.
    SILENT = "silent"
    #: The peer refused the work and stated that it has not run.
    REFUSED = "refused"
    #: The peer's answer violates the protocol.
    PROTOCOL = "protocol"
    #: The answer belongs to another request, stage or attempt.
    CROSSED = "crossed"
    #: The work ran and the target reported a failure.
    TARGET = "target"
    #: The caller disconnected before it was answered.
    CALLER_GONE = "caller-gone"
    #: The attempt was cancelled, for example because another attempt was faster.
    CANCELLED = "cancelled"
    #: The host is draining.
    DRAINING = "draining"
    #: Another request with the same idempotency key is still running.
    STILL_RUNNING = "still-running"
    #: The retry budget is used up.
    RETRY_BUDGET = "retry-budget"
    #: Targets crash under requests like this one.
    QUARANTINED = "quarantined"
    #: The idempotency key was used for a different request.
    KEY_REUSED = "key-reused"


class Fault(msgspec.Struct, frozen=True):
    """An expected failure, with the step and the peer at which it occurred.

    >>> str(Fault(Reason.SILENT, "generate", "engine-4", "no byte for 2.0 s"))
    'generate at engine-4: silent: no byte for 2.0 s'
    """

    reason: Reason
    #: The step that failed, such as a stage's name or ``claim``.
    step: str
    #: The remote host, target or process; ``-`` if there is none.
    peer: str = "-"
    #: Human-readable details.
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.step} at {self.peer}: {self.reason.value}"
        return f"{text}: {self.detail}" if self.detail else text
