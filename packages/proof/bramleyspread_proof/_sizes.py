"""The deployments that the experiment simulates."""

from __future__ import annotations

from dataclasses import dataclass

from bramleyspread_core import (
    Brand,
    BrandShare,
    DesiredModel,
    OrganisationShare,
    Pipeline,
    Pool,
    ServiceDocument,
    Stage,
    StageKind,
)

#: Name of the service that all requests call.
SERVICE = "service"
#: Names of its pipelines: an idempotent one, and one with a side effect.
ASK = "ask"
PAY = "pay"
#: Share of requests that are not idempotent.
NON_IDEMPOTENT_SHARE = 0.1
#: Deadline of both pipelines, in milliseconds.
DEADLINE_MS = 4_000


@dataclass(frozen=True, slots=True)
class PoolSize:
    """A pool of identical targets."""

    #: Name of the pool and of its stage.
    name: str
    #: Kind of work that its targets do.
    kind: StageKind
    #: Number of targets.
    targets: int
    #: Number of concurrent requests on each target.
    slots: int
    #: Mean service time of a request on an idle target, in seconds; on engines, of the
    #: prompt only.
    unloaded_s: float


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a deployment."""

    #: Name of the deployment.
    name: str
    #: Names of the availability zones.
    zones: tuple[str, ...]
    #: Total number of entry hosts.
    hosts: int
    #: One-way delay between zones, in seconds.
    inter_zone_delay_s: float
    #: Pools in the order of the stages; the last one has the engines.
    pools: tuple[PoolSize, ...]
    #: The pool whose stage has a side effect.
    ledger: PoolSize
    #: Number of organisations.
    organisations: int
    #: Mean number of tokens generated for a request.
    mean_tokens: int
    #: Time to generate a token on an idle engine, in seconds.
    unloaded_token_s: float

    @property
    def engines(self) -> PoolSize:
        """The pool of engines."""
        return self.pools[-1]

    def service_time_s(self, tokens: float, prompt_s: float, fill: float) -> float:
        """Return the service time of a request on an engine.

        :param tokens: number of tokens to generate.
        :param prompt_s: processing time of the prompt, in seconds.
        :param fill: share of the engine's slots in use, from 0 to 1.
        :returns: seconds.
        """
        return prompt_s + tokens * self.unloaded_token_s * (1.0 + 0.5 * fill)

    @property
    def capacity(self) -> float:
        """Requests per second that all engines can serve without any cache hits."""
        full = self.service_time_s(self.mean_tokens, self.engines.unloaded_s, 1.0)
        return self.engines.targets * self.engines.slots / full

    def list_brands(self) -> list[Brand]:
        """List the two brands of each organisation."""
        return [
            Brand(f"org-{number}", name)
            for number in range(self.organisations)
            for name in ("main", "side")
        ]

    def make_document(self) -> ServiceDocument:
        """Build the document of the service."""
        engines = self.engines.name
        stages = tuple(
            Stage(name=pool.name, pool=pool.name, model=_choose_model(pool, engines))
            for pool in self.pools
        )
        pay = Stage(name=self.ledger.name, pool=self.ledger.name, idempotent=False)
        brands = (BrandShare(name="main", share=2), BrandShare(name="side"))
        return ServiceDocument(
            service=SERVICE,
            version=1,
            team="experiment",
            organisations=tuple(
                OrganisationShare(name=f"org-{number}", share=1, brands=brands)
                for number in range(self.organisations)
            ),
            pools=tuple(
                Pool(name=each.name, kind=each.kind, models=_list_models(each))
                for each in (*self.pools, self.ledger)
            ),
            pipelines=(
                Pipeline(name=ASK, deadline_ms=DEADLINE_MS, stages=stages),
                Pipeline(name=PAY, deadline_ms=DEADLINE_MS, stages=(*stages, pay)),
            ),
        )


def _choose_model(pool: PoolSize, engines: str) -> str | None:
    return "model" if pool.name == engines else None


def _list_models(pool: PoolSize) -> tuple[DesiredModel, ...]:
    if pool.kind is not StageKind.GENERATION:
        return ()
    return (DesiredModel(name="model", version="1"),)


def _make_pools(
    first: int, second: int, third: int, engines: int, slots: int
) -> tuple[PoolSize, ...]:
    return (
        PoolSize("encode", StageKind.ENCODING, first, 4, 0.03),
        PoolSize("retrieve", StageKind.RETRIEVAL, second, 4, 0.04),
        PoolSize("rerank", StageKind.RERANKING, third, 4, 0.05),
        PoolSize("generate", StageKind.GENERATION, engines, slots, 0.15),
    )


LIMA = Size(
    name="lima",
    zones=("miraflores", "san-isidro", "callao"),
    hosts=8,
    inter_zone_delay_s=0.001,
    pools=_make_pools(3, 3, 3, 10, 8),
    ledger=PoolSize("ledger", StageKind.PLAIN, 3, 4, 0.02),
    organisations=5,
    mean_tokens=150,
    unloaded_token_s=0.004,
)
HCM_SOUTH = Size(
    name="hcm-south",
    zones=("thuduc-a", "thuduc-b", "q7-east", "q7-west"),
    hosts=8,
    inter_zone_delay_s=0.0015,
    pools=_make_pools(4, 4, 4, 5, 8),
    ledger=PoolSize("ledger", StageKind.PLAIN, 4, 4, 0.02),
    organisations=5,
    mean_tokens=150,
    unloaded_token_s=0.004,
)


def scale_to_target(size: Size, name: str) -> Size:
    """Scale a deployment to one of the ten zones of the target size.

    It has 1,100 targets including engines, 48 entry hosts, 270 organisations and 409
    tokens per request, so that 70 per cent of its capacity is about 880 requests per
    second.

    :param size: a present-day deployment.
    :param name: name of the scaled deployment.
    :returns: the scaled deployment.
    """
    return Size(
        name=name,
        zones=size.zones,
        hosts=48,
        inter_zone_delay_s=size.inter_zone_delay_s,
        pools=_make_pools(60, 70, 80, 850, 3),
        ledger=PoolSize("ledger", StageKind.PLAIN, 40, 4, 0.02),
        organisations=270,
        mean_tokens=409,
        unloaded_token_s=0.003,
    )


SIZES = (
    LIMA,
    HCM_SOUTH,
    scale_to_target(LIMA, "lima-scaled"),
    scale_to_target(HCM_SOUTH, "hcm-scaled"),
)
