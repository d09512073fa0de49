"""Outcomes of one attempt at a target, and whether a retry may follow."""

from __future__ import annotations

import msgspec

from bramleyspread_core import ForwardRoute


class Delivered(msgspec.Struct, frozen=True):
    """The target's complete answer was delivered to the caller."""


class WasNotRun(msgspec.Struct, frozen=True):
    """The target certainly did not process the request."""

    #: Why the target did not process the request, for logs and replies.
    why: str
    #: Whether the target no longer stores the inputs from earlier stages.
    inputs_gone: bool = False
    #: Whether any byte of the request may have reached the target.
    may_have_reached_target: bool = True
    #: When a target may accept the request, in seconds from now; None if unknown.
    retry_after_s: float | None = None
    #: Whether the target, not this host's path to it, may be at fault.
    is_target_suspect: bool = True


class NotSent(msgspec.Struct, frozen=True):
    """The permission to send the request did not hold any more, so nothing was sent.

    No end of an attempt: the target is chosen again.
    """

    #: Why it did not hold, for logs.
    why: str


class MayHaveRun(msgspec.Struct, frozen=True):
    """It is unknown whether the target processed the request."""

    #: Why the outcome is unknown, for logs and replies.
    why: str


class TargetFailed(msgspec.Struct, frozen=True):
    """The target processed the request and answered with a failure."""

    #: HTTP status of the answer.
    status: int
    #: Headers to be sent to the caller.
    headers: tuple[tuple[str, str], ...]
    #: The complete body.
    body: bytes


AttemptEnd = Delivered | WasNotRun | MayHaveRun | TargetFailed


def may_retry(route: ForwardRoute, end: AttemptEnd, attempts: int) -> bool:
    """Whether the request may be retried, regardless of the retry budget.

    :param route: the request's route.
    :param end: the outcome of the last attempt.
    :param attempts: number of attempts so far.
    :returns: True when neither the outcome nor the route's limits rule it out.
    """
    if isinstance(end, Delivered) or attempts >= route.attempts:
        return False
    return isinstance(end, WasNotRun) or route.repeatable
