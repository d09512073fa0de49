"""Effects: actions that the request logic returns for its process to carry out."""

from __future__ import annotations

import msgspec

from bramleyspread_core._announcement import Announcement
from bramleyspread_core._calls import StreamToken, TargetCall
from bramleyspread_core._commands import Claim, Settle
from bramleyspread_core._identity import Address, AttemptId, RequestId, TargetName
from bramleyspread_core._request import Answer
from bramleyspread_core._timeline import UnstampedEvent


class Dispatch(msgspec.Struct, frozen=True):
    """Send a call to a target."""

    target: TargetName
    #: The target's incarnation when it was chosen.
    incarnation: int
    #: Address at which the target accepts calls.
    address: Address
    call: TargetCall
    #: Timeout of the whole attempt, in seconds.
    timeout_s: float
    #: Maximum time without a received byte before the attempt fails, in seconds.
    progress_timeout_s: float
    #: Whether to open a new connection even if the pool has an idle one.
    fresh_connection: bool = False


class CancelAttempt(msgspec.Struct, frozen=True):
    """Cancel an attempt: close its connection and send the target a cancel."""

    attempt: AttemptId
    #: The target that runs the attempt.
    target: TargetName
    #: Address at which the target accepts cancels.
    address: Address


class DropConnections(msgspec.Struct, frozen=True):
    """Close idle connections to an address after one to it made no progress.

    Only connections that were opened no later than that one are closed.
    """

    #: Remote address of the connections.
    address: Address
    #: The attempt whose connection made no progress.
    attempt: AttemptId


class SendClaim(msgspec.Struct, frozen=True):
    """Send a claim to the control hosts; pass the result to ``handle_claim_result``."""

    #: The request that waits for the claim.
    request: RequestId
    claim: Claim
    #: Time until the claim counts as undecided, in seconds.
    timeout_s: float


class SendSettlement(msgspec.Struct, frozen=True):
    """Send a settlement to the control hosts, with retries until it is accepted.

    The result is passed to ``handle_settlement_result``.
    """

    #: The request whose outcome is recorded.
    request: RequestId
    settlement: Settle


class SendToken(msgspec.Struct, frozen=True):
    """Forward a token to a caller that receives a stream."""

    request: RequestId
    #: The token; the indices of a request's tokens rise by one, without repeats.
    token: StreamToken


class SendAnswer(msgspec.Struct, frozen=True):
    """Send the final answer to a request immediately."""

    request: RequestId
    answer: Answer


class RecordEvent(msgspec.Struct, frozen=True):
    """Write an event to the time line."""

    event: UnstampedEvent


#: All effects that the request logic of an entry host can return.
Effect = (
    Dispatch
    | CancelAttempt
    | DropConnections
    | SendClaim
    | SendSettlement
    | SendToken
    | SendAnswer
    | RecordEvent
)


class TargetView(msgspec.Struct, frozen=True):
    """A usable target as an entry host knows it."""

    #: The target's newest announcement.
    announcement: Announcement
    #: Time at which the load in the announcement was measured, in this host's
    #: monotonic seconds.
    load_measured_at: float
