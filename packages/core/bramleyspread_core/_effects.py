"""What the decisions about requests ask of the process around them."""

from __future__ import annotations

import msgspec

from bramleyspread_core._announcement import Announcement
from bramleyspread_core._calls import StreamToken, TargetCall
from bramleyspread_core._commands import Claim, Settle
from bramleyspread_core._identity import Address, AttemptId, RequestId, TargetName
from bramleyspread_core._request import Answer
from bramleyspread_core._timeline import Happening


class Dispatch(msgspec.Struct, frozen=True):
    """Send a call to a target."""

    #: The target.
    target: TargetName
    #: Its incarnation when it was chosen.
    incarnation: int
    #: Where it takes calls.
    address: Address
    #: The call.
    call: TargetCall
    #: Give up on the attempt after this long, in seconds.
    timeout: float
    #: Give up when no byte comes for this long, in seconds.
    progress_timeout: float
    #: True to open a new connection even when an idle one is pooled.
    fresh_connection: bool = False


class CancelAttempt(msgspec.Struct, frozen=True):
    """Stop an attempt: close its connection and tell the target."""

    #: The attempt.
    attempt: AttemptId
    #: The target that runs it.
    target: TargetName
    #: Where it takes cancels.
    address: Address


class DropConnections(msgspec.Struct, frozen=True):
    """Drop pooled connections to an address that are as old as a silent one."""

    #: The far end.
    address: Address
    #: The attempt whose connection went silent.
    attempt: AttemptId


class AskClaim(msgspec.Struct, frozen=True):
    """Send a claim to the control hosts; answer with ``claim_answered``."""

    #: The request that waits for it.
    request: RequestId
    #: The claim.
    claim: Claim
    #: Give up after this long, in seconds.
    timeout: float


class AskSettle(msgspec.Struct, frozen=True):
    """Send a settlement to the control hosts, again until one has it."""

    #: The request that it ends.
    request: RequestId
    #: The settlement.
    settle: Settle


class SendToken(msgspec.Struct, frozen=True):
    """Pass a token on to a caller that takes a stream."""

    #: The request.
    request: RequestId
    #: The token; indices rise by one, with none twice.
    token: StreamToken


class SendAnswer(msgspec.Struct, frozen=True):
    """Give a request its one final answer, at once."""

    #: The request.
    request: RequestId
    #: The answer.
    answer: Answer


class Report(msgspec.Struct, frozen=True):
    """Write an event to the time line."""

    #: The event.
    happening: Happening


#: What an entry host's decisions can ask for.
Effect = (
    Dispatch
    | CancelAttempt
    | DropConnections
    | AskClaim
    | AskSettle
    | SendToken
    | SendAnswer
    | Report
)


class TargetView(msgspec.Struct, frozen=True):
    """What an entry host knows of a target that it may use."""

    #: The target's newest announcement.
    announcement: Announcement
    #: When the load in it was true, in this host's monotonic seconds.
    load_as_of: float
