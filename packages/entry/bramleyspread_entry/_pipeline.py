"""One request on its way through the stages of its pipeline."""

from __future__ import annotations

from enum import Enum

from bramleyspread_core import (
    AttemptId,
    CallerRequest,
    ClaimKey,
    Payload,
    Pipeline,
    PoolName,
    ServiceDocument,
    Settle,
    Stage,
    TargetName,
)
from bramleyspread_entry._attempts import Attempt
from bramleyspread_entry._latency import StageKey


class ClaimState(Enum):
    """How far the claim of a request's idempotency key has come."""

    #: No claim is needed.
    NONE = "none"
    #: Asked for; nothing may be dispatched.
    ASKED = "asked"
    #: Held by this request.
    HELD = "held"
    #: Its settlement was sent.
    SETTLING = "settling"


class Run:
    """What a host knows of one request that it took."""

    __slots__ = (
        "answered",
        "arrived",
        "caller_gone",
        "claim",
        "deadline",
        "document",
        "effect_done",
        "effect_live",
        "effect_positions",
        "effect_unknown",
        "input",
        "issued",
        "keys",
        "live",
        "may_have_run",
        "pipeline",
        "pools",
        "position",
        "request",
        "settle",
        "settle_until",
        "silent",
        "speaker",
        "tokens",
        "tried",
        "tries",
    )

    def __init__(
        self,
        request: CallerRequest,
        document: ServiceDocument,
        pipeline: Pipeline,
        now: float,
    ) -> None:
        allowed_ms = pipeline.deadline_ms
        if request.deadline_ms is not None:
            allowed_ms = min(allowed_ms, request.deadline_ms)
        #: The caller's request.
        self.request = request
        #: The document in force at arrival; the request keeps it to its end.
        self.document = document
        #: The pipeline asked for.
        self.pipeline = pipeline
        #: The pool of each stage.
        self.pools: tuple[PoolName, ...] = tuple(
            document.resolve_pool(stage) for stage in pipeline.stages
        )
        #: The latency key of each stage.
        self.keys: tuple[StageKey, ...] = tuple(
            (document.service, pipeline.name, stage.name, str(pool))
            for stage, pool in zip(pipeline.stages, self.pools, strict=True)
        )
        #: When it came, in monotonic seconds.
        self.arrived = now
        #: When it must be answered, in monotonic seconds.
        self.deadline = now + allowed_ms / 1_000
        #: Position of the stage being run, from 0.
        self.position = 0
        #: What that stage works on.
        self.input: Payload = request.input
        #: Attempts at that stage that have not ended.
        self.live: dict[AttemptId, Attempt] = {}
        #: Targets tried for that stage.
        self.tried: set[TargetName] = set()
        #: Attempts made at that stage.
        self.tries = 0
        #: Targets whose connection went silent in that stage, not yet blamed.
        self.silent: set[TargetName] = set()
        #: Attempts made in all.
        self.issued = 0
        #: Whether any attempt ran or may have run.
        self.may_have_run = False
        #: Whether a stage with an effect is done.
        self.effect_done = False
        #: Whether a stage with an effect ended with an unknown outcome.
        self.effect_unknown = False
        #: The live attempt of a stage with an effect.
        self.effect_live: AttemptId | None = None
        #: Positions of stages with an effect that were dispatched and may have run.
        self.effect_positions: set[int] = set()
        #: Whether the caller has its answer.
        self.answered = False
        #: Whether the caller closed its connection.
        self.caller_gone = False
        #: How far the claim has come.
        self.claim = ClaimState.NONE
        #: The settlement being sent.
        self.settle: Settle | None = None
        #: When to stop sending it, in monotonic seconds.
        self.settle_until = 0.0
        #: Tokens passed on to the caller.
        self.tokens: list[str] = []
        #: The attempt whose tokens are passed on.
        self.speaker: AttemptId | None = None

    @property
    def stage(self) -> Stage:
        """The stage being run."""
        return self.pipeline.stages[self.position]

    @property
    def pool(self) -> PoolName:
        """The pool of the stage being run."""
        return self.pools[self.position]

    @property
    def key(self) -> StageKey:
        """The latency key of the stage being run."""
        return self.keys[self.position]

    @property
    def is_last(self) -> bool:
        """Whether the stage being run is the last one."""
        return self.position == len(self.pipeline.stages) - 1

    @property
    def streams(self) -> bool:
        """Whether the stage being run passes its tokens on."""
        return self.stage.stream and self.is_last and self.request.stream

    @property
    def has_effect(self) -> bool:
        """Whether a stage with an effect was dispatched and may have run."""
        return self.effect_done or self.effect_unknown or self.effect_live is not None

    @property
    def needs_claim(self) -> bool:
        """Whether its key must be claimed before anything is dispatched."""
        return bool(self.request.key) and not self.pipeline.idempotent

    @property
    def claim_key(self) -> ClaimKey:
        """What its idempotency key is unique within."""
        return ClaimKey(self.request.brand, self.request.service, self.request.key)

    def advance(self, output: Payload) -> None:
        """Go on to the next stage.

        :param output: what the stage before made.
        """
        self.position += 1
        self.input = output
        self.tried.clear()
        self.silent.clear()
        self.tries = 0
