"""State of one request while the stages of its pipeline run."""

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
    """State of the claim of a request's idempotency key."""

    #: No claim is needed, or the claim was refused or settled.
    NONE = "none"
    #: Requested from the control hosts; nothing may be dispatched.
    REQUESTED = "asked"
    #: Held by this request, or possibly held when its result is undecided.
    HELD = "held"
    #: The settlement was sent and is not yet durable.
    SETTLING = "settling"


class PipelineRun:
    """State of one request in flight on this host.

    A stage that is not idempotent is called a stage *with a side effect*. It is
    dispatched again only when the attempt before it certainly did not run.
    """

    __slots__ = (
        "answered",
        "arrived_at",
        "caller_gone",
        "claim_state",
        "deadline",
        "document",
        "input",
        "latency_keys",
        "live_attempts",
        "may_have_run",
        "pipeline",
        "pools",
        "position",
        "request",
        "settle_deadline",
        "settlement",
        "side_effect_attempt",
        "side_effect_done",
        "side_effect_positions",
        "side_effect_unknown",
        "silent_targets",
        "stage_attempts",
        "stream_version",
        "streaming_attempt",
        "tokens",
        "total_attempts",
        "tried_targets",
    )

    def __init__(
        self,
        request: CallerRequest,
        document: ServiceDocument,
        pipeline: Pipeline,
        now: float,
    ) -> None:
        deadline_ms = pipeline.deadline_ms
        if request.deadline_ms is not None:
            deadline_ms = min(deadline_ms, request.deadline_ms)
        self.request = request
        #: The service document in force when the request arrived; it applies to the
        #: request until the request ends.
        self.document = document
        #: The requested pipeline.
        self.pipeline = pipeline
        #: The pool of each stage.
        self.pools: tuple[PoolName, ...] = tuple(
            document.resolve_pool(stage) for stage in pipeline.stages
        )
        #: The latency key of each stage.
        self.latency_keys: tuple[StageKey, ...] = tuple(
            (document.service, pipeline.name, stage.name, str(pool))
            for stage, pool in zip(pipeline.stages, self.pools, strict=True)
        )
        #: When the request arrived, in monotonic seconds.
        self.arrived_at = now
        #: When the request must be answered, in monotonic seconds.
        self.deadline = now + deadline_ms / 1_000
        #: Position of the current stage, from 0.
        self.position = 0
        #: Input of the current stage.
        self.input: Payload = request.input
        #: Attempts in flight at the current stage, oldest first.
        self.live_attempts: dict[AttemptId, Attempt] = {}
        #: Targets to which attempts at the current stage were sent.
        self.tried_targets: set[TargetName] = set()
        #: Number of attempts made at the current stage.
        self.stage_attempts = 0
        #: Targets whose connection went silent in the current stage.
        self.silent_targets: set[TargetName] = set()
        #: Number of attempts made at all stages.
        self.total_attempts = 0
        #: Whether any attempt ran or may have run.
        self.may_have_run = False
        #: Whether a stage with a side effect is done.
        self.side_effect_done = False
        #: Whether a stage with a side effect ended with an unknown outcome.
        self.side_effect_unknown = False
        #: The attempt in flight at a stage with a side effect, if there is one.
        self.side_effect_attempt: AttemptId | None = None
        #: Positions of stages with a side effect that were dispatched and may have run.
        self.side_effect_positions: set[int] = set()
        #: Whether the answer was sent.
        self.answered = False
        #: Whether the caller closed its connection.
        self.caller_gone = False
        self.claim_state = ClaimState.NONE
        #: The settlement that is sent until it is durable.
        self.settlement: Settle | None = None
        #: When to stop retrying the settlement, in monotonic seconds.
        self.settle_deadline = 0.0
        #: Tokens passed on to the caller.
        self.tokens: list[str] = []
        #: Version of the model that generated the first of them; empty if none did.
        self.stream_version = ""
        #: The attempt in flight whose tokens are passed on to the caller.
        self.streaming_attempt: AttemptId | None = None

    @property
    def stage(self) -> Stage:
        """The current stage."""
        return self.pipeline.stages[self.position]

    @property
    def pool(self) -> PoolName:
        """The pool of the current stage."""
        return self.pools[self.position]

    @property
    def latency_key(self) -> StageKey:
        """The latency key of the current stage."""
        return self.latency_keys[self.position]

    @property
    def is_last(self) -> bool:
        """Whether the current stage is the last one."""
        return self.position == len(self.pipeline.stages) - 1

    @property
    def is_streaming(self) -> bool:
        """Whether tokens of the current stage are streamed to the caller."""
        return self.stage.stream and self.is_last and self.request.stream

    @property
    def may_have_side_effect(self) -> bool:
        """Whether a stage with a side effect was dispatched and may have run."""
        return (
            self.side_effect_done
            or self.side_effect_unknown
            or self.side_effect_attempt is not None
        )

    @property
    def needs_claim(self) -> bool:
        """Whether an idempotency key must be claimed before anything is dispatched."""
        return bool(self.request.key) and not self.pipeline.idempotent

    @property
    def claim_key(self) -> ClaimKey:
        """The idempotency key, with the brand and service in which it is unique."""
        return ClaimKey(self.request.brand, self.request.service, self.request.key)

    def advance(self, output: Payload) -> None:
        """Advance to the next stage.

        :param output: output of the stage that ended; the input of the next one.
        """
        self.position += 1
        self.input = output
        self.tried_targets.clear()
        self.silent_targets.clear()
        self.stage_attempts = 0
