"""What is asked and told about the placement of requests, also between hosts."""

from __future__ import annotations

import msgspec

from bramleyspread_forwarding._requests import Prompt
from bramleyspread_forwarding._targets import ForwardTarget


class TargetLoad(msgspec.Struct, frozen=True):
    """What a target said of its load with an answer."""

    #: Requests that it runs.
    running: int
    #: Requests that wait at it.
    waiting: int
    #: Requests that it can run at once.
    slots: int


class PlaceQuery(msgspec.Struct, frozen=True, kw_only=True):
    """The question for a target.

    ``POST /v1/place`` asks the host that places for the service.
    """

    #: The service.
    service: str
    #: The asker's availability zone.
    zone: str
    #: What an engine must read; None for plain calls.
    prompt: Prompt | None = None
    #: Targets that this request was sent to before.
    tried: tuple[str, ...] = ()
    #: Megabytes of its inputs, by the zone they lie in.
    input_mb: dict[str, float] = {}
    #: Time left until the request would be late, in milliseconds.
    slack_ms: float = 0.0


class Placed(msgspec.Struct, frozen=True, tag="placed"):
    """A target that was chosen, and what was charged to it."""

    #: Names the charge.
    ticket: int
    #: The target.
    target: ForwardTarget
    #: Prompt tokens that it is thought to have to read.
    reading: float = 0.0
    #: Tokens of its memory.
    tokens: int = 0
    #: Requests that were thought to be there already.
    ahead: int = 0


class NoTarget(msgspec.Struct, frozen=True, tag="no-target"):
    """No target can be given the request now."""

    #: Why, for logs.
    reason: str


class PlaceStep(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a request that was placed."""

    #: Names the charge.
    ticket: int
    #: The target.
    target: str
    #: Whether the target has begun to answer.
    began: bool = False
    #: Whether the request is off the target.
    ended: bool = False
    #: Whether it ended well; None when that says nothing of the target.
    good: bool | None = None
    #: The target's own word on its load.
    load: TargetLoad | None = None


class PlaceReport(msgspec.Struct, frozen=True):
    """Steps of many requests of one host.

    ``POST /v1/placed`` tells the host that places for the service.
    """

    #: The steps, in their order.
    steps: tuple[PlaceStep, ...]
