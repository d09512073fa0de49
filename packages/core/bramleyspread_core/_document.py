"""The service document, in which a team declares its service."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from typing import Annotated

import msgspec

from bramleyspread_core._identity import PoolName, ServiceName
from bramleyspread_core._yaml import InvalidFileError, load_yaml

#: A name in a document: lower-case letters, digits and dashes.
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
#: A duration in whole milliseconds, at most ten minutes.
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
#: A weight for fair sharing.
Share = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
#: A number of targets.
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
#: A model's version as its publisher writes it.
VersionText = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class StageKind(str, Enum):
    """What a stage does."""

    #: Converts an input into vectors or features.
    ENCODING = "encoding"
    #: Retrieves candidates.
    RETRIEVAL = "retrieval"
    #: Reorders candidates.
    RERANKING = "reranking"
    #: Generates tokens.
    GENERATION = "generation"
    #: Calls a plain service, which does none of the above.
    PLAIN = "plain"


class _DocumentPart(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    omit_defaults=True,
):
    """Base class of the parts of a document; unknown keys are faults."""


class BrandShare(_DocumentPart, frozen=True, kw_only=True):
    """A brand that may call the service."""

    #: Name of the brand, unique in its organisation.
    name: Name
    #: Weight relative to the other brands of the organisation.
    share: Share = 1


class OrganisationShare(_DocumentPart, frozen=True, kw_only=True):
    """An organisation that may call the service."""

    name: Name
    #: Weight relative to the other organisations.
    share: Share = 1
    #: Brands of the organisation that may call; at least one.
    brands: Annotated[tuple[BrandShare, ...], msgspec.Meta(min_length=1)]


class DesiredModel(_DocumentPart, frozen=True, kw_only=True):
    """A model that targets of a pool are to hold."""

    name: Name
    version: VersionText
    #: Adapters to load on the model.
    adapters: tuple[Name, ...] = ()
    #: Number of the pool's targets that are to hold the model; None for all.
    targets: Count | None = None


class DesiredRole(_DocumentPart, frozen=True, kw_only=True):
    """A role that some of a pool's targets are to have."""

    #: Name of the role, such as ``prefill``.
    name: Name
    #: Number of targets that are to have the role.
    targets: Count


class Pool(_DocumentPart, frozen=True, kw_only=True):
    """A group of interchangeable targets, which announce themselves under its name."""

    #: Name of the pool, unique in the document.
    name: Name
    #: Kind of stage that its targets run.
    kind: StageKind
    #: Number of targets that the team intends to run; used in status reports only.
    expected: Count = 0
    #: Whether its targets refuse orders with an outdated fencing number.
    checks_fencing: bool = False
    #: Models that its targets are to hold; for generation pools only.
    models: tuple[DesiredModel, ...] = ()
    #: Roles to assign to its targets; for generation pools only.
    roles: tuple[DesiredRole, ...] = ()
    #: Maximum number of targets in the pool that load weights at the same time.
    loads_at_once: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 1


class Stage(_DocumentPart, frozen=True, kw_only=True):
    """One step of a pipeline."""

    #: Name of the stage, unique in its pipeline.
    name: Name
    #: ``pool`` of this document, or ``service.pool`` of another one.
    pool: Annotated[str, msgspec.Meta(max_length=130)]
    #: Whether a call whose outcome is unknown may be repeated.
    idempotent: bool = True
    #: Timeout of one attempt, in milliseconds; None if only the deadline limits it.
    attempt_ms: Milliseconds | None = None
    #: Name of the model to use; required for generation stages, and only for them.
    model: Name | None = None
    #: Name of the model's adapter to use; None to use the model without one.
    adapter: Name | None = None
    #: Maximum number of tokens to generate.
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 256
    #: Whether tokens are forwarded as they arrive; for the last stage only.
    stream: bool = False


class Pipeline(_DocumentPart, frozen=True, kw_only=True):
    """The series of stages that a kind of request runs through."""

    #: Name of the pipeline, unique in the document.
    name: Name
    #: Maximum time from a request's arrival to the complete answer, in milliseconds;
    #: callers may set a shorter one.
    deadline_ms: Milliseconds
    #: The stages in order; the output of each is the input of the next.
    stages: Annotated[tuple[Stage, ...], msgspec.Meta(min_length=1, max_length=16)]

    @property
    def idempotent(self) -> bool:
        """Whether a complete request may run more than once."""
        return all(stage.idempotent for stage in self.stages)


class ServiceDocument(_DocumentPart, frozen=True, kw_only=True):
    """A service as its team declares it; the unit that operators submit."""

    service: Name
    #: Version, which must be one above the version in force; 1 for a new service.
    version: Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    #: Name of the team that owns the document.
    team: Name
    #: Whether the service is out of use; its name remains reserved.
    retired: bool = False
    #: Organisations whose brands may call the service.
    organisations: tuple[OrganisationShare, ...] = ()
    #: Pools of the service's targets.
    pools: tuple[Pool, ...] = ()
    #: Pipelines that callers can request.
    pipelines: tuple[Pipeline, ...] = ()

    @classmethod
    def from_yaml(cls, data: bytes, name: str) -> ServiceDocument:
        """Parse a document and check that it is consistent in itself.

        :param data: content of the file.
        :param name: name of the file, for error messages.
        :returns: the document.
        :raises InvalidFileError: if the document is invalid; one line per fault.
        """
        document = load_yaml(data, cls, name)
        document.check(name)
        return document

    def check(self, name: str) -> None:
        """Check that the document is consistent in itself.

        References to other services are checked by :func:`find_reference_faults`.

        :param name: name of the file, for error messages.
        :raises InvalidFileError: if there are faults; one line per fault.
        """
        faults = tuple(_find_faults(self))
        if faults:
            raise InvalidFileError(name, faults)

    def resolve_pool(self, stage: Stage) -> PoolName:
        """Return the full name of the pool that a stage calls.

        :param stage: a stage of this document.
        :returns: the names of the service and its pool.
        """
        service, separator, pool = stage.pool.rpartition(".")
        owner = service if separator else self.service
        return PoolName(ServiceName(owner), pool)

    def find_pipeline(self, name: str) -> Pipeline | None:
        """Find a pipeline by name.

        :param name: name of the pipeline.
        :returns: the pipeline, or None if there is none of that name.
        """
        return next((each for each in self.pipelines if each.name == name), None)

    def find_pool(self, name: str) -> Pool | None:
        """Find a pool by name.

        :param name: name of the pool.
        :returns: the pool, or None if there is none of that name.
        """
        return next((each for each in self.pools if each.name == name), None)

    def allows_brand(self, organisation: str, brand: str) -> bool:
        """Whether a brand may call the service.

        :param organisation: name of the organisation.
        :param brand: name of the brand.
        :returns: True if the document lists the brand under the organisation.
        """
        return any(
            each.name == organisation
            and any(listed.name == brand for listed in each.brands)
            for each in self.organisations
        )


def find_reference_faults(
    document: ServiceDocument,
    others: Mapping[str, ServiceDocument],
) -> Iterator[str]:
    """Find stages that refer to missing services, pools, models or adapters.

    :param document: the document to check.
    :param others: the other documents in force, by service.
    :returns: one line per fault.
    """
    known = {**others, document.service: document}
    for path, stage in _iterate_stages(document):
        name = document.resolve_pool(stage)
        owner = known.get(name.service)
        if owner is None or owner.retired:
            yield f"{path}.pool: no service {name.service!r} in force; submit it first"
            continue
        pool = owner.find_pool(name.pool)
        if pool is None:
            yield f"{path}.pool: service {name.service!r} has no pool {name.pool!r}"
            continue
        yield from _find_model_faults(path, stage, pool)


def _find_model_faults(path: str, stage: Stage, pool: Pool) -> Iterator[str]:
    if pool.kind is StageKind.GENERATION and stage.model is None:
        yield f"{path}.model: a generation stage must name its model"
    if stage.model is None:
        return
    model = next((each for each in pool.models if each.name == stage.model), None)
    if model is None:
        yield f"{path}.model: pool {stage.pool!r} holds no model {stage.model!r}"
    elif stage.adapter is not None and stage.adapter not in model.adapters:
        yield f"{path}.adapter: model {stage.model!r} has no adapter {stage.adapter!r}"


def _iterate_stages(document: ServiceDocument) -> Iterator[tuple[str, Stage]]:
    """Yield each stage of all pipelines, with its path in the document."""
    for number, pipeline in enumerate(document.pipelines):
        for position, stage in enumerate(pipeline.stages):
            yield f"pipelines[{number}].stages[{position}]", stage


def _find_faults(document: ServiceDocument) -> Iterator[str]:
    yield from _find_duplicate_names("organisations", document.organisations)
    for number, organisation in enumerate(document.organisations):
        yield from _find_duplicate_names(
            f"organisations[{number}].brands", organisation.brands
        )
    yield from _find_duplicate_names("pools", document.pools)
    yield from _find_duplicate_names("pipelines", document.pipelines)
    for number, pool in enumerate(document.pools):
        yield from _find_pool_faults(f"pools[{number}]", pool)
    for number, pipeline in enumerate(document.pipelines):
        yield from _find_pipeline_faults(f"pipelines[{number}]", pipeline)
    if document.pipelines and not document.organisations:
        yield "organisations: a service with pipelines needs at least one"
    own_pools = {pool.name for pool in document.pools}
    for path, stage in _iterate_stages(document):
        if "." not in stage.pool and stage.pool not in own_pools:
            yield f"{path}.pool: this document has no pool {stage.pool!r}"


def _find_pool_faults(path: str, pool: Pool) -> Iterator[str]:
    yield from _find_duplicate_names(f"{path}.models", pool.models)
    yield from _find_duplicate_names(f"{path}.roles", pool.roles)
    if pool.kind is not StageKind.GENERATION and (pool.models or pool.roles):
        yield f"{path}: only pools of kind generation have models and roles"


def _find_pipeline_faults(path: str, pipeline: Pipeline) -> Iterator[str]:
    yield from _find_duplicate_names(f"{path}.stages", pipeline.stages)
    for position, stage in enumerate(pipeline.stages):
        is_last = position == len(pipeline.stages) - 1
        stage_path = f"{path}.stages[{position}]"
        if stage.stream and not is_last:
            yield f"{stage_path}.stream: only the last stage can stream"
        if stage.attempt_ms is not None and stage.attempt_ms > pipeline.deadline_ms:
            yield f"{stage_path}.attempt_ms: longer than the pipeline's deadline_ms"
        if stage.adapter is not None and stage.model is None:
            yield f"{stage_path}.adapter: names an adapter but no model"


def _find_duplicate_names(
    path: str,
    parts: Iterable[
        BrandShare
        | OrganisationShare
        | Pool
        | Pipeline
        | Stage
        | DesiredModel
        | DesiredRole
    ],
) -> Iterator[str]:
    seen: set[str] = set()
    for number, part in enumerate(parts):
        if part.name in seen:
            yield f"{path}[{number}].name: {part.name!r} stands twice"
        seen.add(part.name)
