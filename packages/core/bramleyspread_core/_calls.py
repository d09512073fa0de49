"""Calls from an entry host to a target, and what comes back.

``POST /v1/calls`` with a :class:`TargetCall`. The answer is a
:class:`TargetAnswer` (200), a :class:`TargetRefusal` (503: refused and not
run), or a stream of server-sent events: :class:`StreamToken` after
:class:`StreamToken`, then one ``event: end`` with the :class:`TargetAnswer`.
``POST /v1/cancels`` with a :class:`CancelCall` stops an attempt.
"""

from __future__ import annotations

import msgspec

from bramleyspread_core._identity import AttemptId, Brand, RequestId
from bramleyspread_core._reasons import Fault

#: JSON kept as it came, since only callers and targets read it.
Payload = msgspec.Raw


class TargetCall(msgspec.Struct, frozen=True):
    """One attempt to run one stage of one request on one target."""

    #: The request.
    request: RequestId
    #: The stage's name.
    stage: str
    #: The attempt; a target that sees it twice must not run it twice.
    attempt: AttemptId
    #: Whose request it is.
    brand: Brand
    #: 0 is the most urgent, 9 the least.
    priority: int
    #: Time left until the deadline, in milliseconds, when the call was made.
    remaining_ms: int
    #: What the stage works on.
    input: Payload
    #: Model to use; empty for plain services.
    model: str = ""
    #: Adapter to use; empty for none.
    adapter: str = ""
    #: Begins with the brand's key; equal prefixes may share cache blocks.
    prefix: str = ""
    #: True to have tokens sent one by one.
    stream: bool = False
    #: Tokens that the caller already holds; generation goes on behind them.
    continue_after: tuple[str, ...] = ()
    #: Most tokens to generate.
    max_tokens: int = 0


class Usage(msgspec.Struct, frozen=True):
    """What an attempt cost, as the target counts it."""

    #: Time that the target worked on it, in microseconds.
    target_us: int = 0
    #: Prompt tokens read.
    tokens_in: int = 0
    #: Prompt tokens found in the prefix cache.
    tokens_cached: int = 0
    #: Tokens generated.
    tokens_out: int = 0


class TargetAnswer(msgspec.Struct, frozen=True):
    """A stage's whole result, tied to the attempt that made it."""

    #: The request it answers.
    request: RequestId
    #: The stage it answers.
    stage: str
    #: The attempt it answers.
    attempt: AttemptId
    #: The result; for a stream, the whole of it again.
    output: Payload
    #: What it cost.
    usage: Usage = Usage()


class TargetRefusal(msgspec.Struct, frozen=True):
    """A target's word that it did not run an attempt and will not."""

    #: The attempt refused.
    attempt: AttemptId
    #: Why, for people.
    why: str
    #: When to try again, in milliseconds.
    retry_after_ms: int = 0


class StreamToken(msgspec.Struct, frozen=True):
    """One token of a streamed answer."""

    #: The attempt it belongs to.
    attempt: AttemptId
    #: Position in the whole answer, from 0, counting ``continue_after``.
    index: int
    #: The token's text.
    token: str


class CancelCall(msgspec.Struct, frozen=True):
    """A request to stop an attempt; harmless when it is already over."""

    #: The attempt to stop.
    attempt: AttemptId


class Done(msgspec.Struct, frozen=True, tag="done"):
    """An attempt that ran and whose whole answer is here."""

    #: The answer.
    answer: TargetAnswer


class NotRun(msgspec.Struct, frozen=True, tag="not-run"):
    """An attempt that provably did not run."""

    #: Why.
    fault: Fault
    #: When the target asked to be tried again, in milliseconds.
    retry_after_ms: int = 0


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """An attempt that may or may not have run."""

    #: What hides the truth.
    fault: Fault


#: How an attempt ended; retries are decided by this alone.
Outcome = Done | NotRun | Unknown
