"""Sizes of the deployments that the experiment is run at."""

from __future__ import annotations

from dataclasses import dataclass

from bramleyspread_core import (
    Brand,
    BrandShare,
    ModelWanted,
    OrganisationShare,
    Pipeline,
    Pool,
    ServiceDocument,
    Stage,
    StageKind,
)

#: The service that all requests go to.
SERVICE = "service"
#: Its pipelines: one that may be run again, and one that may not.
ASK = "ask"
PAY = "pay"
#: Part of the requests that may not be run again.
PAY_SHARE = 0.1
#: Deadline of both, in milliseconds.
DEADLINE_MS = 4_000


@dataclass(frozen=True, slots=True)
class PoolSize:
    """One pool of like targets."""

    #: Its name; also the stage's.
    name: str
    #: What its targets do.
    kind: StageKind
    #: How many targets.
    targets: int
    #: Requests that each runs side by side.
    slots: int
    #: Mean time of a request alone on a target, in seconds; engines: of the prompt.
    alone: float


@dataclass(frozen=True, slots=True)
class Size:
    """One deployment."""

    #: Its name.
    name: str
    #: Its availability zones.
    zones: tuple[str, ...]
    #: Entry hosts in all.
    hosts: int
    #: One way between zones, in seconds.
    far: float
    #: Pools in the order of the stages; the last one generates.
    pools: tuple[PoolSize, ...]
    #: The pool whose stage has an effect.
    ledger: PoolSize
    #: Organisations.
    organisations: int
    #: Mean number of tokens generated.
    tokens: int
    #: Time of a token alone on an engine, in seconds.
    token_alone: float

    @property
    def engines(self) -> PoolSize:
        """The pool that generates."""
        return self.pools[-1]

    def service_time(self, tokens: float, prompt: float, fill: float) -> float:
        """Find how long an engine works on a request.

        :param tokens: tokens to generate.
        :param prompt: time of its prompt, in seconds.
        :param fill: part of the engine's slots in use, from 0 to 1.
        :returns: seconds.
        """
        return prompt + tokens * self.token_alone * (1.0 + 0.5 * fill)

    @property
    def capacity(self) -> float:
        """Requests a second of all engines, with no prefix found in a cache."""
        full = self.service_time(self.tokens, self.engines.alone, 1.0)
        return self.engines.targets * self.engines.slots / full

    def list_brands(self) -> list[Brand]:
        """List two brands of each organisation."""
        return [
            Brand(f"org-{number}", name)
            for number in range(self.organisations)
            for name in ("main", "side")
        ]

    def make_document(self) -> ServiceDocument:
        """Make the service's document."""
        engines = self.engines.name
        stages = tuple(
            Stage(name=pool.name, pool=pool.name, model=_model(pool, engines))
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
                Pool(name=each.name, kind=each.kind, models=_models(each))
                for each in (*self.pools, self.ledger)
            ),
            pipelines=(
                Pipeline(name=ASK, deadline_ms=DEADLINE_MS, stages=stages),
                Pipeline(name=PAY, deadline_ms=DEADLINE_MS, stages=(*stages, pay)),
            ),
        )


def _model(pool: PoolSize, engines: str) -> str | None:
    return "model" if pool.name == engines else None


def _models(pool: PoolSize) -> tuple[ModelWanted, ...]:
    if pool.kind is not StageKind.GENERATION:
        return ()
    return (ModelWanted(name="model", version="1"),)


def _pools(
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
    far=0.001,
    pools=_pools(3, 3, 3, 10, 8),
    ledger=PoolSize("ledger", StageKind.PLAIN, 3, 4, 0.02),
    organisations=5,
    tokens=150,
    token_alone=0.004,
)
HCM_SOUTH = Size(
    name="hcm-south",
    zones=("thuduc-a", "thuduc-b", "q7-east", "q7-west"),
    hosts=8,
    far=0.0015,
    pools=_pools(4, 4, 4, 5, 8),
    ledger=PoolSize("ledger", StageKind.PLAIN, 4, 4, 0.02),
    organisations=5,
    tokens=150,
    token_alone=0.004,
)


def scale(size: Size, name: str) -> Size:
    """Give a deployment the work of one of the target's ten zones.

    1,100 engines and pools' targets, 48 entry hosts, 270 organisations, and 409
    tokens a request, so that 70 per cent of its capacity is about 880 requests a
    second.

    :param size: a deployment of today.
    :param name: the scaled one's name.
    :returns: the scaled one.
    """
    return Size(
        name=name,
        zones=size.zones,
        hosts=48,
        far=size.far,
        pools=_pools(60, 70, 80, 850, 3),
        ledger=PoolSize("ledger", StageKind.PLAIN, 40, 4, 0.02),
        organisations=270,
        tokens=409,
        token_alone=0.003,
    )


SIZES = (LIMA, HCM_SOUTH, scale(LIMA, "lima-scaled"), scale(HCM_SOUTH, "hcm-scaled"))
