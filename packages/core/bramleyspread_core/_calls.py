"""Calls from an entry host to a target, and the target's answers.

A call is ``POST /v1/calls`` with a :class:`TargetCall`. The answer is a
:class:`TargetAnswer` (status 200), a :class:`TargetRefusal` (status 503: refused
and not run), or a stream of server-sent events: a series of
:class:`StreamToken`, then one ``event: end`` with the :class:`TargetAnswer`.
``POST /v1/cancels`` with a :class:`CancelCall` cancels an attempt.
"""

from __future__ import annotations

import msgspec

from bramleyspread_core._identity import AttemptId, Brand, RequestId
from bramleyspread_core._reasons import Fault

#: JSON that is forwarded unparsed, because only callers and targets interpret it.
Payload = msgspec.Raw


class TargetCall(msgspec.Struct, frozen=True):
    """One attempt to run one stage of one request on one target."""

    request: RequestId
    #: Name of the stage.
    stage: str
    #: The attempt; a target that receives the same id twice must not run it twice.
    attempt: AttemptId
    #: The brand that owns the request.
    brand: Brand
    #: Priority from 0, the most urgent, to 9, the least urgent.
    priority: int
    #: Time left until the deadline when the call was sent, in milliseconds.
    remaining_ms: int
    #: Input of the stage.
    input: Payload
    #: Name of the model to use; empty for plain services.
    model: str = ""
    #: Name of the adapter to use; empty for none.
    adapter: str = ""
    #: Cache prefix, which begins with the brand's key; calls with equal prefixes may
    #: share cache blocks.
    prefix: str = ""
    #: Whether the target sends tokens one by one.
    stream: bool = False
    #: Tokens that the caller has already received; generation continues after them.
    continue_after: tuple[str, ...] = ()
    #: Maximum number of tokens to generate.
    max_tokens: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Processing time and tokens of an attempt, as measured by the target."""

    #: Processing time, in microseconds.
    target_us: int = 0
    #: Number of prompt tokens.
    tokens_in: int = 0
    #: Number of prompt tokens found in the prefix cache.
    tokens_cached: int = 0
    #: Number of generated tokens.
    tokens_out: int = 0


class TargetAnswer(msgspec.Struct, frozen=True):
    """The complete result of one attempt at a stage.

    Request, stage and attempt are repeated from the call, so that an answer to
    another call is detected.
    """

    request: RequestId
    stage: str
    attempt: AttemptId
    #: The result; for a stream, the complete output again.
    output: Payload
    usage: Usage = Usage()


class TargetRefusal(msgspec.Struct, frozen=True):
    """A target's statement that it has not run an attempt and will not run it."""

    attempt: AttemptId
    #: Human-readable explanation.
    why: str
    #: Delay before the target may be tried again, in milliseconds.
    retry_after_ms: int = 0


class StreamToken(msgspec.Struct, frozen=True):
    """One token of a streamed answer."""

    #: The attempt that produced the token.
    attempt: AttemptId
    #: Position in the complete answer, from 0; tokens in ``continue_after`` count.
    index: int
    token: str


class CancelCall(msgspec.Struct, frozen=True):
    """A request to cancel an attempt; has no effect if the attempt has ended."""

    attempt: AttemptId


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The attempt ran, and its complete answer was received."""

    answer: TargetAnswer


class NotRun(msgspec.Struct, frozen=True, tag="not-run"):
    """The attempt provably did not run."""

    fault: Fault
    #: Delay that the target requested before it is tried again, in milliseconds.
    retry_after_ms: int = 0


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The attempt may or may not have run."""

    #: Why the outcome is unknown.
    fault: Fault


#: Outcome of an attempt. Only its type tells whether the attempt may have run, and
#: thereby whether a retry is safe.
Outcome = Done | NotRun | Unknown
