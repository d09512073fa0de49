"""Decisions for forwarded requests: routing, placement, batching and retries."""

from bramleyspread_forwarding._batched_calls import (
    BatchedCall,
    BatchedItem,
    estimate_call_ms,
)
from bramleyspread_forwarding._batching import Batcher
from bramleyspread_forwarding._budget import RetryBudget
from bramleyspread_forwarding._control_contact import ControlContact
from bramleyspread_forwarding._document_messages import DocumentAnswer, DocumentQuery
from bramleyspread_forwarding._document_parts import (
    DigestMismatch,
    DocumentParts,
    build_document,
)
from bramleyspread_forwarding._events import (
    EventError,
    EventSplitter,
    StreamEvent,
    follows,
)
from bramleyspread_forwarding._feed import (
    ControlProcess,
    Departure,
    EntryHost,
    FeedPage,
    FeedQuery,
    KnownEntries,
)
from bramleyspread_forwarding._heartbeats import (
    Readiness,
    TargetChange,
    TargetHeartbeat,
)
from bramleyspread_forwarding._held_results import HeldResults
from bramleyspread_forwarding._keys import KeyRing, KeysUnconfirmed, KeyUnknown
from bramleyspread_forwarding._live_hosts import HostChanges, LiveHosts
from bramleyspread_forwarding._outcomes import (
    AttemptEnd,
    Delivered,
    MayHaveRun,
    NotSent,
    TargetFailed,
    WasNotRun,
    may_retry,
)
from bramleyspread_forwarding._owners import ServiceOwners, find_owner, rank_owners
from bramleyspread_forwarding._piece_queue import JobDone
from bramleyspread_forwarding._pieces import (
    HeldResult,
    PieceFault,
    PieceItem,
    PieceJob,
    PieceRelease,
    PieceResult,
    PieceResults,
    ReadyStage,
    StageRun,
)
from bramleyspread_forwarding._placement import (
    DRAINED_RETRY_S,
    NO_ROOM,
    NO_SUCH_SOFTWARE,
    PAUSED,
    RATE_LIMITED,
    ZONES_DRAINED,
    Placement,
)
from bramleyspread_forwarding._placement_messages import (
    Admitted,
    NoTarget,
    Placed,
    PlaceQuery,
    PlaceReport,
    PlaceStep,
    TargetLoad,
    bound_slowdown,
)
from bramleyspread_forwarding._prompt_affinity import (
    estimate_reading_ms,
    find_preferred_engine,
    list_shared_parts,
)
from bramleyspread_forwarding._rate_shares import RateShares
from bramleyspread_forwarding._registry import TargetRegistry
from bramleyspread_forwarding._relay_choice import RelayChoice
from bramleyspread_forwarding._requests import (
    ForwardRequest,
    MalformedRequest,
    Prompt,
    PromptPart,
    RawHeaders,
)
from bramleyspread_forwarding._response_signals import (
    BRITTLENESS,
    LEAVING,
    MAX_WARM_UP_S,
    PAUSE,
    RATE_LIMIT,
    WARM_UP,
    ResponseSignals,
)
from bramleyspread_forwarding._routing import RouteTable
from bramleyspread_forwarding._send_permits import (
    PERMIT_EXPIRED,
    PERMIT_TTL_S,
    SUSPENDED,
    ZONE_DRAINED,
    SendPermit,
)
from bramleyspread_forwarding._shards import (
    ServiceShards,
    ShardId,
    Shards,
    choose_shard,
    count_shards,
    divide_targets,
    find_call_lead_s,
    find_shard_of,
)
from bramleyspread_forwarding._signal_table import (
    SharedSignal,
    SignalChange,
    SignalTable,
)
from bramleyspread_forwarding._slow_starts import SlowStarts
from bramleyspread_forwarding._software_history import SoftwareHistory
from bramleyspread_forwarding._stage_admission import (
    AdmittedRequest,
    RefusedRequest,
    StageAdmission,
    find_return_s,
)
from bramleyspread_forwarding._stage_load import NO_LOAD, StageLoad
from bramleyspread_forwarding._stage_times import StageTimes, find_stage_goal_ms
from bramleyspread_forwarding._stream_origins import (
    ORIGIN_RETENTION_S,
    StreamOrigin,
    StreamOrigins,
    list_control_keepers,
    list_keepers,
)
from bramleyspread_forwarding._suspensions import SuspensionWatch
from bramleyspread_forwarding._target_access import TargetAccess
from bramleyspread_forwarding._target_paths import TargetPaths
from bramleyspread_forwarding._targets import (
    MAX_PAGE_GAP_S,
    ForwardTarget,
    TargetTable,
)
from bramleyspread_forwarding._warm_up_shares import WarmUpBound, WarmUpShares
from bramleyspread_forwarding._warm_ups import WarmUpChange, WarmUpReport, WarmUps

__all__ = [
    "BRITTLENESS",
    "DRAINED_RETRY_S",
    "LEAVING",
    "MAX_PAGE_GAP_S",
    "MAX_WARM_UP_S",
    "NO_LOAD",
    "NO_ROOM",
    "NO_SUCH_SOFTWARE",
    "ORIGIN_RETENTION_S",
    "PAUSE",
    "PAUSED",
    "PERMIT_EXPIRED",
    "PERMIT_TTL_S",
    "RATE_LIMIT",
    "RATE_LIMITED",
    "SUSPENDED",
    "WARM_UP",
    "ZONES_DRAINED",
    "ZONE_DRAINED",
    "Admitted",
    "AdmittedRequest",
    "AttemptEnd",
    "BatchedCall",
    "BatchedItem",
    "Batcher",
    "ControlContact",
    "ControlProcess",
    "Delivered",
    "Departure",
    "DigestMismatch",
    "DocumentAnswer",
    "DocumentParts",
    "DocumentQuery",
    "EntryHost",
    "EventError",
    "EventSplitter",
    "FeedPage",
    "FeedQuery",
    "ForwardRequest",
    "ForwardTarget",
    "HeldResult",
    "HeldResults",
    "HostChanges",
    "JobDone",
    "KeyRing",
    "KeyUnknown",
    "KeysUnconfirmed",
    "KnownEntries",
    "LiveHosts",
    "MalformedRequest",
    "MayHaveRun",
    "NoTarget",
    "NotSent",
    "PieceFault",
    "PieceItem",
    "PieceJob",
    "PieceRelease",
    "PieceResult",
    "PieceResults",
    "PlaceQuery",
    "PlaceReport",
    "PlaceStep",
    "Placed",
    "Placement",
    "Prompt",
    "PromptPart",
    "RateShares",
    "RawHeaders",
    "Readiness",
    "ReadyStage",
    "RefusedRequest",
    "RelayChoice",
    "ResponseSignals",
    "RetryBudget",
    "RouteTable",
    "SendPermit",
    "ServiceOwners",
    "ServiceShards",
    "ShardId",
    "Shards",
    "SharedSignal",
    "SignalChange",
    "SignalTable",
    "SlowStarts",
    "SoftwareHistory",
    "StageAdmission",
    "StageLoad",
    "StageRun",
    "StageTimes",
    "StreamEvent",
    "StreamOrigin",
    "StreamOrigins",
    "SuspensionWatch",
    "TargetAccess",
    "TargetChange",
    "TargetFailed",
    "TargetHeartbeat",
    "TargetLoad",
    "TargetPaths",
    "TargetRegistry",
    "TargetTable",
    "WarmUpBound",
    "WarmUpChange",
    "WarmUpReport",
    "WarmUpShares",
    "WarmUps",
    "WasNotRun",
    "bound_slowdown",
    "build_document",
    "choose_shard",
    "count_shards",
    "divide_targets",
    "estimate_call_ms",
    "estimate_reading_ms",
    "find_call_lead_s",
    "find_owner",
    "find_preferred_engine",
    "find_return_s",
    "find_shard_of",
    "find_stage_goal_ms",
    "follows",
    "list_control_keepers",
    "list_keepers",
    "list_shared_parts",
    "may_retry",
    "rank_owners",
]
