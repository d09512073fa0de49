"""Messages about the placement of requests, inside a host and between hosts."""

from __future__ import annotations

import msgspec

from bramleyspread_capacity import ReadingSample
from bramleyspread_forwarding._requests import Prompt
from bramleyspread_forwarding._signal_table import SharedSignal
from bramleyspread_forwarding._stream_origins import StreamOrigin
from bramleyspread_forwarding._targets import ForwardTarget

#: Smallest and largest slowdown that a target's report can have. What lies outside is
#: taken for the bound, so that no report attracts all requests or excludes a target.
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.5, 10.0
#: How long a reported slowdown is used, in seconds. It ends, since a target that gets
#: no work because of it sends no other report.
SLOWDOWN_TTL_S = 5.0


class TargetLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load that a target reported with an answer."""

    #: Number of requests that it processes.
    running: int
    #: Number of requests that wait for a slot.
    waiting: int
    #: Maximum number of requests that it processes at once.
    slots: int
    #: How many times as long as usual its work takes now.
    slowdown: float = 1.0


def bound_slowdown(slowdown: float) -> float:
    """Limit a reported slowdown to what is taken for possible.

    >>> bound_slowdown(0.0), bound_slowdown(1.3), bound_slowdown(1e6)
    (0.5, 1.3, 10.0)
    """
    return min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)


class PlaceQuery(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Requests a target for a call.

    Sent with ``POST /v1/place`` to the host that places requests for the service.
    """

    service: str
    #: Availability zone of the host that sends the query.
    zone: str
    #: The prompt; None for calls to targets other than engines.
    prompt: Prompt | None = None
    #: Ids of the targets to which the request was sent before.
    tried: tuple[str, ...] = ()
    #: Megabytes of the request's inputs, by the zone where they are stored.
    input_mb: dict[str, float] = {}
    #: Time left until the request misses its latency goal, in milliseconds.
    slack_ms: float = 0.0
    #: Priority of the request; 0 is the most urgent.
    priority: int = 0
    #: Whether the query only asks if the request can be served at all, before its
    #: stages are run.
    is_admission: bool = msgspec.field(name="admission", default=False)
    #: Whether such a query was answered with :class:`Admitted` before.
    is_admitted: bool = msgspec.field(name="admitted", default=False)
    #: Targets that want no requests from the sender for a while, with the time left, in
    #: seconds.
    paused: dict[str, float] = {}
    #: Version that the target's software must have, since it began the stream; None for
    #: any.
    software: str | None = None
    #: What targets have said that the receiver may not know yet.
    news: tuple[SharedSignal, ...] = ()
    #: Drained zones, which the receiver may not know yet.
    drained_zones: tuple[str, ...] = ()


class Placed(msgspec.Struct, frozen=True, tag="placed", omit_defaults=True):
    """The chosen target, and the load reserved there."""

    #: Id of the reservation.
    ticket: int
    target: ForwardTarget
    #: Estimated number of tokens of this prompt that the target has yet to read.
    unread_tokens: float = msgspec.field(name="reading", default=0.0)
    #: Tokens reserved in the target's memory.
    tokens: int = 0
    #: Estimated number of requests that were at the target before this one.
    requests_ahead: int = msgspec.field(name="ahead", default=0)
    #: How long the request must wait before it is sent, in seconds.
    wait_s: float = 0.0
    #: The target's rate limit; None if it has none.
    limit: SharedSignal | None = None
    #: Estimated number of tokens of other prompts that the target has yet to read;
    #: negative if the placement host doesn't say.
    tokens_ahead: float = msgspec.field(name="reading_ahead", default=-1.0)


class Admitted(msgspec.Struct, frozen=True, tag="admitted"):
    """Reports that a request can probably be served once its stages have run."""


class NoTarget(msgspec.Struct, frozen=True, tag="no-target"):
    """Reports that no target can accept the request now."""

    #: Why there is no target, for logs and replies.
    reason: str
    #: When a target may accept a request again, in seconds from now; None if unknown.
    retry_after_s: float | None = None


class PlaceStep(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Progress of a placed request at its target."""

    #: Id of the reservation.
    ticket: int
    #: Id of the target.
    target: str
    #: Whether the target has begun to answer.
    began: bool = False
    #: Whether the request is no longer at the target.
    ended: bool = False
    #: Whether the target succeeded; None when the end says nothing about the target.
    good: bool | None = None
    #: Load that the target reported; None without a report.
    load: TargetLoad | None = None
    #: Which software version has begun the stream; None if it hasn't begun with this
    #: step, or can't be taken up again.
    origin: StreamOrigin | None = None
    #: How long it took to begin; None if it hasn't begun with this step, or if the time
    #: says nothing about the target's speed.
    sample: ReadingSample | None = None


class PlaceReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of many requests of one host.

    Sent with ``POST /v1/placed`` to the host that places requests for the service.
    """

    #: The progress messages, oldest first.
    steps: tuple[PlaceStep, ...]
    #: What targets have said that the receiver may not know yet.
    news: tuple[SharedSignal, ...] = ()
