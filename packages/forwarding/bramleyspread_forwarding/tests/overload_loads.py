"""Loads beyond the capacity of stage services, as two deployments offer them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from bramleyspread_core import (
    ForwardRoute,
    PieceLimits,
    RequestKind,
    ServiceShare,
    StagePlan,
)

#: Size of the results of each service's stages, in bytes.
LARGE_BYTES, SMALL_BYTES, B_BYTES, C_BYTES = 3_000_000, 8_000, 60_000, 6_000
#: Work of a small piece of service A, as a multiple of a large one.
SMALL_WORK = 0.3


class Kind(msgspec.Struct, frozen=True):
    """Requests of one route."""

    name: str
    per_s: float
    aim_ms: float
    timeout_ms: int
    priority: int
    value: float
    late_value: float
    #: The stages of its requests.
    stages: tuple[StagePlan, ...]
    #: Draws the number of pieces of each stage.
    draw_pieces: Callable[[Random], tuple[int, ...]]

    @property
    def route(self) -> ForwardRoute:
        """The route in the deployment document."""
        return ForwardRoute(
            name=self.name,
            host="h",
            prefix="/",
            kind=RequestKind.STREAM,
            timeout_ms=self.timeout_ms,
            aim_ms=self.aim_ms,
            priority=self.priority,
            shares=(ServiceShare("engine", 1.0),),
            stages=self.stages,
        )


class Load(msgspec.Struct, frozen=True):
    """One deployment: its hosts, stage services and kinds of requests."""

    hosts: int
    #: By service, its targets and their limits.
    services: dict[str, tuple[int, PieceLimits]]
    kinds: tuple[Kind, ...]
    #: Number of shards of services that have several batching hosts.
    shards: dict[str, int] = {}


def make_limits(
    batch: int, piece_ms: float, capacity_mb: float, call_ms: float = 150.0
) -> PieceLimits:
    """Build the limits of a service's targets."""
    return PieceLimits(
        slots=1,
        queue=2,
        batch=batch,
        call_ms=call_ms,
        piece_ms=piece_ms,
        result_capacity_bytes=capacity_mb * 1e6,
        result_retention_s=4.0,
    )


def _draw_large(rng: Random) -> tuple[int, ...]:
    if rng.random() > 0.7:
        return (0,)
    pieces = 1
    while pieces < 10 and rng.random() < 0.62:
        pieces += 1
    return (pieces,)


def _draw_chain(rng: Random) -> tuple[int, ...]:
    later = round(rng.gammavariate(3.0, 16 / 3))
    return (1, rng.randint(4, 12), min(max(later, 1), 40))


def _draw_small(rng: Random) -> tuple[int, ...]:
    beside = rng.randint(1, 2) if rng.random() < 0.4 else 0
    return (*_draw_chain(rng), beside)


_LARGE = StagePlan("a", (), LARGE_BYTES)
_CHAIN = (
    StagePlan("a", (), SMALL_BYTES),
    StagePlan("b", (0,), B_BYTES),
    StagePlan("c", (1,), C_BYTES),
)

FIRST = Load(
    28,
    {
        "a": (9, make_limits(14, 9.2, 78.0)),
        "b": (8, make_limits(58, 2.24, 10.3)),
        "c": (8, make_limits(96, 1.3, 1.7)),
    },
    (
        Kind("long", 79.4, 934.0, 6_092, 0, 4.0, 0.6, (_LARGE,), _draw_large),
        Kind("medium", 91.8, 1_908.0, 5_020, 1, 1.0, 0.15, _CHAIN, _draw_chain),
        Kind(
            "small",
            15.0,
            2_206.0,
            15_041,
            2,
            1.7,
            0.26,
            (*_CHAIN, _LARGE),
            _draw_small,
        ),
    ),
)
SECOND = Load(
    71,
    {
        "a": (9, make_limits(14, 9.2, 78.0)),
        "b": (8, make_limits(62, 2.02, 11.3)),
        "c": (11, make_limits(92, 1.36, 1.63)),
    },
    (
        Kind("long", 54.0, 835.0, 6_265, 0, 4.6, 0.27, (_LARGE,), _draw_large),
        Kind("medium", 113.0, 1_519.0, 5_063, 1, 1.3, 0.2, _CHAIN, _draw_chain),
        Kind(
            "small",
            16.6,
            3_015.0,
            15_075,
            2,
            0.47,
            0.11,
            (*_CHAIN, _LARGE),
            _draw_small,
        ),
    ),
)
#: As the links of its hosts require.
SECOND_SHARDED = msgspec.structs.replace(
    SECOND,
    services=SECOND.services | {"c": (12, SECOND.services["c"][1])},
    shards={"b": 2, "c": 4},
)


class Burst(msgspec.Struct, frozen=True):
    """Offered load as a multiple of the usual one, and lost targets, for some time."""

    for_s: float
    #: Multiple by kind; 1 for kinds that are missing.
    factors: dict[str, float] = {}
    #: Service that loses 30 % of its targets.
    lost: str = ""
    #: Share of the requests whose results are needed in the first zone; 0 if they are
    #: spread evenly.
    crowded_share: float = 0.0


def _make_all(factor: float) -> dict[str, float]:
    return dict.fromkeys(("long", "medium", "small"), factor)


#: Each burst with its deployment.
BURSTS = {
    "1 calm": (FIRST, Burst(6.0)),
    "1 long x 3.1": (FIRST, Burst(6.0, {"long": 3.1})),
    "1 medium x 3": (FIRST, Burst(6.0, {"medium": 3.0})),
    "1 all x 2.1": (FIRST, Burst(4.0, _make_all(2.1))),
    "1 A lost": (FIRST, Burst(5.0, lost="a")),
    "1 B lost": (FIRST, Burst(5.0, lost="b")),
    "1 all x 2.1, A lost": (FIRST, Burst(5.0, _make_all(2.1), "a")),
    "1 medium x 3, B lost": (FIRST, Burst(5.0, {"medium": 3.0}, "b")),
    "1 all x 2.1, A lost, crowded zone": (
        FIRST,
        Burst(5.0, _make_all(2.1), "a", 0.7),
    ),
    "2 calm": (SECOND, Burst(6.0)),
    "2 long x 2.3": (SECOND, Burst(6.0, {"long": 2.3})),
    "2 medium x 2.4": (SECOND, Burst(6.0, {"medium": 2.4})),
    "2 all x 1.7": (SECOND, Burst(4.0, _make_all(1.7))),
    "2 all x 1.7, A lost": (SECOND, Burst(5.0, _make_all(1.7), "a")),
    "2 sharded, calm": (SECOND_SHARDED, Burst(6.0)),
    "2 sharded, medium x 2.4": (SECOND_SHARDED, Burst(6.0, {"medium": 2.4})),
    "2 sharded, all x 1.7": (SECOND_SHARDED, Burst(4.0, _make_all(1.7))),
    "2 medium x 2.4, C lost": (SECOND, Burst(5.0, {"medium": 2.4}, "c")),
}
