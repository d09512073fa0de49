"""The deployment document: routes, services, API keys and limits of callers.

While a service document describes the pipelines of one service, a deployment
document describes requests that are forwarded unchanged. A route selects the
service by host and path, and may list stages whose results the request needs
first. The document's author chooses the version number; the highest version is
in force.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from enum import Enum

import msgspec

#: The largest whole number of a document; floats hold all up to it.
MAX_INTEGER = 2**53


class RequestKind(str, Enum):
    """Whether a request may run more than once, and how it is answered.

    >>> RequestKind.STREAM.value
    'stream'
    """

    #: May run any number of times.
    IDEMPOTENT = "idempotent"
    #: May run at most once.
    NON_IDEMPOTENT = "non-idempotent"
    #: Answered by a stream of events; may run at most once unless its route is
    #: resumable.
    STREAM = "stream"


class StagePlan(msgspec.Struct, frozen=True):
    """A stage that must finish before a request can run."""

    #: The service whose targets run the stage.
    service: str
    #: Indices of the route's stages whose results this stage needs.
    after: tuple[int, ...]
    #: Approximate size of one result, in bytes.
    result_bytes: int


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's share of a route's requests."""

    service: str
    #: Weight relative to the other services of the route.
    weight: float


class ForwardRoute(msgspec.Struct, frozen=True, kw_only=True):
    """How requests to one host and path prefix are forwarded."""

    name: str
    #: The host that callers request.
    host: str
    #: Prefix of the path; begins and ends with a slash.
    prefix: str
    #: Whether its requests may run more than once, and how they are answered.
    kind: RequestKind
    #: Timeout of a request, in milliseconds; callers may set a shorter one.
    timeout_ms: int
    #: Latency goal: an answer within this time is on time, in milliseconds.
    aim_ms: float
    #: Goal for the gap between two events of a stream, in milliseconds.
    gap_ms: float = 0.0
    #: Time after which callers disconnect if the first or the next event of a stream
    #: has not arrived, in milliseconds; 0 if only the request's timeout applies.
    abandon_after_ms: float = msgspec.field(name="patience_ms", default=0.0)
    #: Priority; 0 is the most urgent.
    priority: int = 0
    #: Services that share the requests, with their weights.
    shares: tuple[ServiceShare, ...]
    #: Maximum number of targets that one request may be sent to.
    attempts: int = 1
    #: Stages that must finish before the request is forwarded.
    stages: tuple[StagePlan, ...] = ()
    #: Whether callers may omit the API key.
    public: bool = False
    #: Whether its requests describe the parts of their prompts.
    reports_prompt_parts: bool = msgspec.field(name="has_prompt", default=False)
    #: Whether an interrupted stream may be resumed at another target.
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class EngineLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of a service's model engine."""

    #: Maximum number of concurrent requests.
    slots: int
    #: Maximum number of tokens in its memory.
    memory_tokens: int


class PieceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity and timing of a service's target for pieces of stages."""

    #: Maximum number of calls that one target processes concurrently.
    slots: int
    #: Maximum number of calls that wait at one target.
    queue: int
    #: Maximum number of pieces in one call.
    batch: int
    #: Fixed processing time of a call, without its pieces, in milliseconds.
    call_ms: float
    #: Approximate processing time of one piece, in milliseconds.
    piece_ms: float
    #: Memory for results, in bytes; 0 if unknown.
    result_capacity_bytes: float = msgspec.field(name="room_bytes", default=0.0)
    #: Time for which a result is kept after its call, in seconds.
    result_retention_s: float = msgspec.field(name="kept_s")


class ForwardService(msgspec.Struct, frozen=True, kw_only=True):
    """A service: a group of interchangeable targets."""

    name: str
    #: Maximum number of connections to one target, from all hosts together.
    max_connections: int
    #: Capacity of its engines; None if its targets run no model.
    engine: EngineLimits | None = None
    #: Capacity of its targets for pieces; None if no stage uses the service.
    pieces: PieceLimits | None = None
    #: Path of its targets' health checks; unset for the platform's usual one. Hosts of
    #: earlier builds don't know it.
    health_path: str | msgspec.UnsetType = msgspec.UNSET
    #: Requests a second that one target serves while it warms up; unset if warm-ups
    #: limit nothing.
    warm_up_rate: float | msgspec.UnsetType = msgspec.UNSET
    #: Usual length of a warm-up, in seconds; unset if unknown.
    warm_up_s: float | msgspec.UnsetType = msgspec.UNSET


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and the duration of callers' requests."""

    #: Maximum size of a request's head, in bytes.
    head_bytes: int = 16_384
    #: Maximum size of a request's body, in bytes.
    body_bytes: int = 4_194_304
    #: Maximum time for a request's head to arrive, in milliseconds.
    head_ms: int = 3_000
    #: Maximum time for which a connection may be idle, in milliseconds.
    idle_ms: int = 15_000


class OrganisationKeys(msgspec.Struct, frozen=True, kw_only=True):
    """An organisation and the API keys of its callers."""

    #: The organisation's name, which is also sent to targets.
    name: str
    keys: tuple[str, ...]
    #: Priority that goes before the route's; 0 is the most urgent, None for none.
    priority: int | None = None


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the deployment document."""

    #: Increases with each version, not necessarily by one.
    version: int
    routes: tuple[ForwardRoute, ...] = ()
    services: tuple[ForwardService, ...] = ()
    #: Organisations that may call; None if no API keys are required at all.
    holders: tuple[OrganisationKeys, ...] | None = None
    #: Limits on callers' requests.
    limits: CallerLimits = CallerLimits()


def find_deployment_faults(deployment: Deployment) -> tuple[str, ...]:
    """Check a deployment document for consistency.

    :param deployment: the document.
    :returns: one line per fault, each with its path; empty if the document is valid.

    >>> find_deployment_faults(Deployment(version=1))
    ()
    """
    return (
        *_find_number_faults("version", deployment),
        *_find_number_faults("limits", deployment.limits),
        *_find_service_faults(deployment),
        *_find_route_faults(deployment),
        *_find_key_faults(deployment),
    )


def _find_service_faults(deployment: Deployment) -> Iterator[str]:
    names = Counter(each.name for each in deployment.services)
    for name, count in names.items():
        if count > 1:
            yield f"services: {name!r} stands {count} times"
    for number, service in enumerate(deployment.services):
        path = f"services[{number}]"
        yield from _find_number_faults(path, service)
        if service.engine is not None:
            yield from _find_number_faults(f"{path}.engine", service.engine)
        if service.pieces is not None:
            yield from _find_number_faults(f"{path}.pieces", service.pieces)


def _find_number_faults(path: str, checked: msgspec.Struct) -> Iterator[str]:
    """Find numbers that aren't finite, which JSON can't hold, or that floats can't."""
    for name in checked.__struct_fields__:
        value = getattr(checked, name)
        is_endless = isinstance(value, float) and not math.isfinite(value)
        if is_endless or (isinstance(value, int) and abs(value) > MAX_INTEGER):
            yield f"{path}: a number is too large ({name})"


def _find_route_faults(deployment: Deployment) -> Iterator[str]:
    services = {each.name for each in deployment.services}
    known_prefixes: set[tuple[str, str]] = set()
    for number, route in enumerate(deployment.routes):
        path = f"routes[{number}]"
        if (route.host, route.prefix) in known_prefixes:
            yield f"{path}: another route has the same host and prefix"
        known_prefixes.add((route.host, route.prefix))
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            yield f"{path}.prefix: must begin and end with a slash"
        if route.timeout_ms <= 0:
            yield f"{path}.timeout: must be above 0"
        yield from _find_number_faults(path, route)
        yield from _find_share_faults(path, route, services)
        yield from _find_stage_faults(path, route, services)


def _find_share_faults(
    path: str, route: ForwardRoute, services: set[str]
) -> Iterator[str]:
    for share in route.shares:
        if share.service not in services:
            yield f"{path}: unknown service {share.service!r}"
        if share.weight < 0:
            yield f"{path}: weight {share.weight} is below 0"
    if sum(share.weight for share in route.shares) <= 0:
        yield f"{path}: its weights add up to 0"


def _find_stage_faults(
    path: str, route: ForwardRoute, services: set[str]
) -> Iterator[str]:
    for number, stage in enumerate(route.stages):
        yield from _find_number_faults(f"{path}.stages[{number}]", stage)
        if stage.service not in services:
            yield f"{path}.stages[{number}]: unknown service {stage.service!r}"
        for earlier in stage.after:
            if not 0 <= earlier < number:
                yield (
                    f"{path}.stages[{number}].after: {earlier} is no stage before it"
                )


def _find_key_faults(deployment: Deployment) -> Iterator[str]:
    owners: dict[str, str] = {}
    for number, holder in enumerate(deployment.holders or ()):
        yield from _find_number_faults(f"holders[{number}]", holder)
        for key in holder.keys:
            other = owners.setdefault(key, holder.name)
            if other != holder.name:
                yield f"holders[{number}].keys: {other!r} has one of them too"
