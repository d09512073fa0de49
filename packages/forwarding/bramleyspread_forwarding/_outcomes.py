"""How one attempt at a target ended, and whether another one may follow."""

from __future__ import annotations

import msgspec

from bramleyspread_core import ForwardRoute


class Delivered(msgspec.Struct, frozen=True):
    """The caller has the target's whole answer."""


class WasNotRun(msgspec.Struct, frozen=True):
    """The target provably did not run the request."""

    #: Why, for logs.
    why: str
    #: Whether the inputs from earlier stages are gone.
    inputs_gone: bool = False
    #: Whether any byte of it may have reached the target.
    reached: bool = True


class MayHaveRun(msgspec.Struct, frozen=True):
    """Nobody knows whether the target ran the request."""

    #: Why, for logs.
    why: str


class TargetFailed(msgspec.Struct, frozen=True):
    """The target ran the request and answered with a failure."""

    #: The HTTP status.
    status: int
    #: The headers for the caller.
    headers: tuple[tuple[str, str], ...]
    #: The whole body.
    body: bytes


AttemptEnd = Delivered | WasNotRun | MayHaveRun | TargetFailed


def may_follow(route: ForwardRoute, end: AttemptEnd, attempts: int) -> bool:
    """Whether another attempt may follow, the budget aside.

    :param route: the request's route.
    :param end: how the last attempt ended.
    :param attempts: attempts made so far.
    :returns: True when nothing forbids it.
    """
    if isinstance(end, Delivered) or attempts >= route.attempts:
        return False
    return isinstance(end, WasNotRun) or route.repeatable
