"""The deployment document: which calls go where, for whom, and within what bounds.

Beside the documents of single services, which describe pipelines, a deployment
document describes calls that are passed on as they came: by host and path to a
service, some of them behind stages whose results they need. Its versions are
given by whoever writes it; the highest one is in force.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from enum import Enum

import msgspec


class RequestKind(str, Enum):
    """What may be done again with a request.

    >>> RequestKind.STREAM.value
    'stream'
    """

    #: May run any number of times.
    IDEMPOTENT = "idempotent"
    #: May run once at most.
    NON_IDEMPOTENT = "non-idempotent"
    #: Answered by events; may run once at most unless its route lets it resume.
    STREAM = "stream"


class StagePlan(msgspec.Struct, frozen=True):
    """Work that must be done before a request can run."""

    #: The service that does it.
    service: str
    #: Numbers of the stages whose results it needs.
    after: tuple[int, ...]
    #: About how large one result is, in bytes.
    result_bytes: int


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's share of a route's requests."""

    #: The service.
    service: str
    #: Its weight beside the others of the route.
    weight: float


class ForwardRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host and path prefix, and what is known of them."""

    #: Its name.
    name: str
    #: The host that callers name.
    host: str
    #: Beginning of the path; begins and ends with a slash.
    prefix: str
    #: What may be done again.
    kind: RequestKind
    #: Longest time that a caller is kept waiting, in milliseconds.
    timeout_ms: int
    #: Time within which an answer is on time, in milliseconds.
    aim_ms: float
    #: Longest pause between two events of a stream that is on time, in milliseconds.
    gap_ms: float = 0.0
    #: How long callers wait for the first event of a stream, and for each next one,
    #: before they leave, in milliseconds; 0 when they wait as long as they say.
    patience_ms: float = 0.0
    #: Rank; 0 goes first.
    priority: int = 0
    #: The services it goes to.
    shares: tuple[ServiceShare, ...]
    #: Targets that one request may be sent to, at most.
    attempts: int = 1
    #: Work to be done first.
    stages: tuple[StagePlan, ...] = ()
    #: Whether callers need no key.
    public: bool = False
    #: Whether its requests say what their prompts are made of.
    has_prompt: bool = False
    #: Whether a stream may go on at another target.
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class EngineLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a model engine of a service can hold."""

    #: Requests that it runs at once.
    slots: int
    #: Tokens that fit into its memory.
    memory_tokens: int


class PieceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How a target of a service works on the pieces of stages."""

    #: Calls that it works on at once.
    slots: int
    #: Calls that may wait at it.
    queue: int
    #: Pieces in one call, at most.
    batch: int
    #: Time of a call besides its pieces, in milliseconds.
    call_ms: float
    #: About the time of one piece, in milliseconds.
    piece_ms: float
    #: Room for results, in bytes; 0 when it is not known.
    room_bytes: float = 0.0
    #: How long a result is kept behind its call, in seconds.
    kept_s: float


class ForwardService(msgspec.Struct, frozen=True, kw_only=True):
    """Like targets that do the same work."""

    #: Its name.
    name: str
    #: Connections that one target takes from all hosts together.
    max_connections: int
    #: What its engines hold; None when they run no model.
    engine: EngineLimits | None = None
    #: How its targets work on pieces; None when no stage uses it.
    pieces: PieceLimits | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What callers may send, and how long they may take."""

    #: Most bytes of a request's head.
    head_bytes: int = 16_384
    #: Most bytes of a request's body.
    body_bytes: int = 4_194_304
    #: Longest time for a head to arrive, in milliseconds.
    head_ms: int = 3_000
    #: Longest time that a connection may be idle, in milliseconds.
    idle_ms: int = 15_000


class KeyHolder(msgspec.Struct, frozen=True, kw_only=True):
    """An organisation, and the keys that its callers show."""

    #: Its name, as targets are told it.
    name: str
    #: Its keys.
    keys: tuple[str, ...]
    #: Its rank, which goes before a route's; None when it has none.
    priority: int | None = None


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the whole document."""

    #: Rises from one to the next, not always by one.
    version: int
    #: The routes.
    routes: tuple[ForwardRoute, ...] = ()
    #: The services.
    services: tuple[ForwardService, ...] = ()
    #: Who may call; None when keys are not asked for at all.
    holders: tuple[KeyHolder, ...] | None = None
    #: Bounds on callers.
    limits: CallerLimits = CallerLimits()


def find_deployment_faults(deployment: Deployment) -> tuple[str, ...]:
    """Find what makes a deployment document invalid.

    :param deployment: the document.
    :returns: one line a fault, each with its path; none when it is valid.

    >>> find_deployment_faults(Deployment(version=1))
    ()
    """
    return (
        *_find_service_faults(deployment),
        *_find_route_faults(deployment),
        *_find_key_faults(deployment),
    )


def _find_service_faults(deployment: Deployment) -> Iterator[str]:
    names = Counter(each.name for each in deployment.services)
    for name, count in names.items():
        if count > 1:
            yield f"services: {name!r} stands {count} times"


def _find_route_faults(deployment: Deployment) -> Iterator[str]:
    services = {each.name for each in deployment.services}
    places: set[tuple[str, str]] = set()
    for number, route in enumerate(deployment.routes):
        where = f"routes[{number}]"
        if (route.host, route.prefix) in places:
            yield f"{where}: another route has the same host and prefix"
        places.add((route.host, route.prefix))
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            yield f"{where}.prefix: must begin and end with a slash"
        if route.timeout_ms <= 0:
            yield f"{where}.timeout: must be above 0"
        yield from _find_share_faults(where, route, services)
        yield from _find_stage_faults(where, route, services)


def _find_share_faults(
    where: str, route: ForwardRoute, services: set[str]
) -> Iterator[str]:
    for share in route.shares:
        if share.service not in services:
            yield f"{where}: unknown service {share.service!r}"
        if share.weight < 0:
            yield f"{where}: weight {share.weight} is below 0"
    if sum(share.weight for share in route.shares) <= 0:
        yield f"{where}: its weights add up to 0"


def _find_stage_faults(
    where: str, route: ForwardRoute, services: set[str]
) -> Iterator[str]:
    for number, stage in enumerate(route.stages):
        if stage.service not in services:
            yield f"{where}.stages[{number}]: unknown service {stage.service!r}"
        for before in stage.after:
            if not 0 <= before < number:
                yield f"{where}.stages[{number}].after: {before} is no stage before it"


def _find_key_faults(deployment: Deployment) -> Iterator[str]:
    owners: dict[str, str] = {}
    for number, holder in enumerate(deployment.holders or ()):
        for key in holder.keys:
            other = owners.setdefault(key, holder.name)
            if other != holder.name:
                yield f"holders[{number}].keys: {other!r} has one of them too"
