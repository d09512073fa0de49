"""Expected failures, as values with a reason in place of exceptions."""

from __future__ import annotations

from enum import Enum

import msgspec


class Reason(str, Enum):
    """Why something expected to fail now and then did fail."""

    #: The request could not finish within its deadline.
    DEADLINE = "deadline"
    #: More work waits than can be done in time.
    OVERLOAD = "overload"
    #: The organisation or brand has used up its share.
    SHARE = "share"
    #: No usable target is known.
    NO_TARGET = "no-target"
    #: No quorum of control replicas answered.
    NO_QUORUM = "no-quorum"
    #: The service, pipeline, organisation or brand is not known.
    UNKNOWN_NAME = "unknown-name"
    #: The input is malformed.
    BAD_INPUT = "bad-input"
    #: A connection was refused before a byte of the request left.
    CONNECT = "connect"
    #: A connection closed in the middle.
    CLOSED = "closed"
    #: A connection made no progress for too long.
    SILENT = "silent"
    #: The peer said that it refused the work unrun.
    REFUSED = "refused"
    #: The peer answered with something that breaks the protocol.
    PROTOCOL = "protocol"
    #: The answer names another request, stage or attempt.
    CROSSED = "crossed"
    #: The work ran and the target reported a failure.
    TARGET = "target"
    #: A caller gave up.
    CALLER_GONE = "caller-gone"
    #: The attempt lost a race with another one, or was cancelled.
    CANCELLED = "cancelled"
    #: The host is draining.
    DRAINING = "draining"
    #: The same idempotency key is running elsewhere.
    STILL_RUNNING = "still-running"
    #: The retry budget was used up.
    RETRY_BUDGET = "retry-budget"
    #: The idempotency key was used for a different request.
    KEY_REUSED = "key-reused"


class Fault(msgspec.Struct, frozen=True):
    """An expected failure with the step and the peer at which it arose.

    >>> str(Fault(Reason.SILENT, "generate", "engine-4", "no byte for 2.0 s"))
    'generate at engine-4: silent: no byte for 2.0 s'
    """

    #: What kind of failure it was.
    reason: Reason
    #: The step that failed, such as a stage's name or ``claim``.
    step: str
    #: The host, target or process on the other side; ``-`` where there is none.
    peer: str = "-"
    #: What a person should know besides.
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.step} at {self.peer}: {self.reason.value}"
        return f"{text}: {self.detail}" if self.detail else text
