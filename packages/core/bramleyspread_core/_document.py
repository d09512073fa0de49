"""The service document: all that a team says about its service."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from typing import Annotated

import msgspec

from bramleyspread_core._identity import PoolName, ServiceName
from bramleyspread_core._yaml import InvalidFileError, load_yaml

#: A name in a document: lower case, digits and dashes.
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
#: A duration in whole milliseconds, at most ten minutes.
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
#: A weight in a fair share.
Share = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
#: A count of things.
Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
#: A model's version as its makers write it.
VersionText = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class StageKind(str, Enum):
    """What a stage does; plain services have a kind of their own."""

    #: Turns an input into vectors or features.
    ENCODING = "encoding"
    #: Finds candidates.
    RETRIEVAL = "retrieval"
    #: Orders candidates.
    RERANKING = "reranking"
    #: Generates tokens.
    GENERATION = "generation"
    #: Calls a plain service.
    PLAIN = "plain"


class _Part(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    omit_defaults=True,
):
    """A part of a document; keys that it does not know are faults."""


class BrandShare(_Part, frozen=True, kw_only=True):
    """A brand that may call the service."""

    #: The brand's name, unique in its organisation.
    name: Name
    #: Its weight among the organisation's brands.
    share: Share = 1


class OrganisationShare(_Part, frozen=True, kw_only=True):
    """An organisation that may call the service."""

    #: The organisation's name.
    name: Name
    #: Its weight among the organisations.
    share: Share = 1
    #: Its brands; at least one.
    brands: Annotated[tuple[BrandShare, ...], msgspec.Meta(min_length=1)]


class ModelWanted(_Part, frozen=True, kw_only=True):
    """A model that targets of a pool are to hold."""

    #: The model's name.
    name: Name
    #: The version to hold.
    version: VersionText
    #: Adapters to load on it.
    adapters: tuple[Name, ...] = ()
    #: How many of the pool's targets hold it; None for all.
    targets: Count | None = None


class RoleWanted(_Part, frozen=True, kw_only=True):
    """A role that some of a pool's targets are to have."""

    #: The role's name, such as ``prefill``.
    name: Name
    #: How many targets have it.
    targets: Count


class Pool(_Part, frozen=True, kw_only=True):
    """Like targets that announce themselves under one name."""

    #: The pool's name, unique in the document.
    name: Name
    #: What its targets do.
    kind: StageKind
    #: How many targets the team means to run; for status reports only.
    expected: Count = 0
    #: Whether its targets refuse orders with an old fencing number.
    checks_fencing: bool = False
    #: Models to hold; generation pools only.
    models: tuple[ModelWanted, ...] = ()
    #: Roles to share out; generation pools only.
    roles: tuple[RoleWanted, ...] = ()
    #: Weight loads at the same time in the whole pool.
    loads_at_once: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 1


class Stage(_Part, frozen=True, kw_only=True):
    """One step of a pipeline."""

    #: The stage's name, unique in its pipeline.
    name: Name
    #: ``pool`` of this document, or ``service.pool`` of another one.
    pool: Annotated[str, msgspec.Meta(max_length=130)]
    #: Whether a call may be repeated when its outcome is unknown.
    idempotent: bool = True
    #: Most time one attempt may take; None leaves it to the deadline.
    attempt_ms: Milliseconds | None = None
    #: Model to ask for; generation stages only.
    model: Name | None = None
    #: Adapter to ask for.
    adapter: Name | None = None
    #: Most tokens to generate.
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 256
    #: Whether its tokens are passed on as they come; the last stage only.
    stream: bool = False


class Pipeline(_Part, frozen=True, kw_only=True):
    """What one kind of request goes through."""

    #: The pipeline's name, unique in the document.
    name: Name
    #: Time from arrival to the whole answer, unless the caller asks for less.
    deadline_ms: Milliseconds
    #: The stages in order; each works on the output of the one before.
    stages: Annotated[tuple[Stage, ...], msgspec.Meta(min_length=1, max_length=16)]

    @property
    def idempotent(self) -> bool:
        """Whether a whole request may be run again."""
        return all(stage.idempotent for stage in self.stages)


class ServiceDocument(_Part, frozen=True, kw_only=True):
    """One service as its team describes it; the only thing operators submit."""

    #: The service's name.
    service: Name
    #: Must be one above the version in force; 1 for a new service.
    version: Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    #: The team that owns the document.
    team: Name
    #: True to take the service out of use; its name stays taken.
    retired: bool = False
    #: Who may call it.
    organisations: tuple[OrganisationShare, ...] = ()
    #: The pools whose targets announce themselves under this service.
    pools: tuple[Pool, ...] = ()
    #: What callers can ask for.
    pipelines: tuple[Pipeline, ...] = ()

    @classmethod
    def from_yaml(cls, data: bytes, name: str) -> ServiceDocument:
        """Read a document and check everything that it says about itself.

        :param data: the file's bytes.
        :param name: the file's name, for the faults.
        :returns: the document.
        :raises InvalidFileError: one line a fault.
        """
        document = load_yaml(data, cls, name)
        document.check(name)
        return document

    def check(self, name: str) -> None:
        """Check everything that the document says about itself.

        :param name: where it came from, for the faults.
        :raises InvalidFileError: one line a fault.
        """
        faults = tuple(_find_faults(self))
        if faults:
            raise InvalidFileError(name, faults)

    def resolve_pool(self, stage: Stage) -> PoolName:
        """Find the full name of the pool that a stage calls.

        :param stage: a stage of this document.
        :returns: service and pool.
        """
        service, separator, pool = stage.pool.rpartition(".")
        owner = service if separator else self.service
        return PoolName(ServiceName(owner), pool)

    def find_pipeline(self, name: str) -> Pipeline | None:
        """Find a pipeline by name.

        :param name: the pipeline's name.
        :returns: the pipeline, or None.
        """
        return next((each for each in self.pipelines if each.name == name), None)

    def find_pool(self, name: str) -> Pool | None:
        """Find a pool by name.

        :param name: the pool's name.
        :returns: the pool, or None.
        """
        return next((each for each in self.pools if each.name == name), None)

    def knows_brand(self, organisation: str, brand: str) -> bool:
        """Whether a brand may call the service.

        :param organisation: the organisation's name.
        :param brand: the brand's name.
        :returns: True when the document lists both.
        """
        return any(
            each.name == organisation and any(its.name == brand for its in each.brands)
            for each in self.organisations
        )


def find_reference_faults(
    document: ServiceDocument,
    others: Mapping[str, ServiceDocument],
) -> Iterator[str]:
    """Find references to pools and models of other services that do not exist.

    :param document: the document to check.
    :param others: the other documents in force, by service.
    :returns: one line a fault.
    """
    known = {**others, document.service: document}
    for path, stage in _walk_stages(document):
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


def _walk_stages(document: ServiceDocument) -> Iterator[tuple[str, Stage]]:
    for number, pipeline in enumerate(document.pipelines):
        for position, stage in enumerate(pipeline.stages):
            yield f"pipelines[{number}].stages[{position}]", stage


def _find_faults(document: ServiceDocument) -> Iterator[str]:
    yield from _find_twins("organisations", document.organisations)
    for number, organisation in enumerate(document.organisations):
        yield from _find_twins(f"organisations[{number}].brands", organisation.brands)
    yield from _find_twins("pools", document.pools)
    yield from _find_twins("pipelines", document.pipelines)
    for number, pool in enumerate(document.pools):
        yield from _find_pool_faults(f"pools[{number}]", pool)
    for number, pipeline in enumerate(document.pipelines):
        yield from _find_pipeline_faults(f"pipelines[{number}]", pipeline)
    if document.pipelines and not document.organisations:
        yield "organisations: a service with pipelines needs at least one"
    own = {pool.name for pool in document.pools}
    for path, stage in _walk_stages(document):
        if "." not in stage.pool and stage.pool not in own:
            yield f"{path}.pool: this document has no pool {stage.pool!r}"


def _find_pool_faults(path: str, pool: Pool) -> Iterator[str]:
    yield from _find_twins(f"{path}.models", pool.models)
    yield from _find_twins(f"{path}.roles", pool.roles)
    if pool.kind is not StageKind.GENERATION and (pool.models or pool.roles):
        yield f"{path}: only pools of kind generation have models and roles"


def _find_pipeline_faults(path: str, pipeline: Pipeline) -> Iterator[str]:
    yield from _find_twins(f"{path}.stages", pipeline.stages)
    for position, stage in enumerate(pipeline.stages):
        last = position == len(pipeline.stages) - 1
        where = f"{path}.stages[{position}]"
        if stage.stream and not last:
            yield f"{where}.stream: only the last stage can stream"
        if stage.attempt_ms is not None and stage.attempt_ms > pipeline.deadline_ms:
            yield f"{where}.attempt_ms: longer than the pipeline's deadline_ms"
        if stage.adapter is not None and stage.model is None:
            yield f"{where}.adapter: names an adapter but no model"


def _find_twins(
    path: str,
    parts: Iterable[
        BrandShare
        | OrganisationShare
        | Pool
        | Pipeline
        | Stage
        | ModelWanted
        | RoleWanted
    ],
) -> Iterator[str]:
    seen: set[str] = set()
    for number, part in enumerate(parts):
        if part.name in seen:
            yield f"{path}[{number}].name: {part.name!r} stands twice"
        seen.add(part.name)
