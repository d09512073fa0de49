"""What the bytes that a target sent say about an attempt."""

from __future__ import annotations

import h11
import msgspec

from bramleyspread_core import (
    AttemptId,
    Dispatch,
    Done,
    Fault,
    MessageError,
    NotRun,
    Outcome,
    Reason,
    StreamToken,
    TargetAnswer,
    TargetRefusal,
    Unknown,
    decode_json,
)
from bramleyspread_daemon._client import ClientConnection
from bramleyspread_daemon._events import StreamEvent

_token_decoder = msgspec.json.Decoder(StreamToken)


class CrossedError(Exception):
    """The answer names another request, stage or attempt."""


class Attempt:
    """An attempt on its way."""

    __slots__ = ("cancelled", "connection", "dispatch", "expires", "progress", "why")

    def __init__(self, dispatch: Dispatch, now: float) -> None:
        #: What to do.
        self.dispatch = dispatch
        #: The connection that carries it, once there is one.
        self.connection: ClientConnection | None = None
        #: When it is given up, in monotonic seconds.
        self.expires = now + dispatch.timeout
        #: When the last byte came, in monotonic seconds.
        self.progress = now
        #: Whether nobody wants its outcome any more.
        self.cancelled = False
        #: Why this side cut its connection; None when it did not.
        self.why: Fault | None = None

    def blame(self, reason: Reason, detail: str) -> Fault:
        """Make a fault of this attempt's stage and target.

        :param reason: what kind of failure it was.
        :param detail: what a person should know besides.
        :returns: the fault.
        """
        call = self.dispatch.call
        return Fault(reason, call.stage, self.dispatch.target, detail)


def ended_whole(outcome: Outcome) -> bool:
    """Whether the response was read to its end and made sense.

    :param outcome: the outcome that it gave.
    :returns: True when its connection can be used again.
    """
    if isinstance(outcome, Done):
        return True
    if isinstance(outcome, NotRun):
        return outcome.fault.reason is Reason.REFUSED
    return outcome.fault.reason is Reason.TARGET


def is_event_stream(head: h11.Response) -> bool:
    """Whether a response is a stream of server-sent events.

    :param head: its head.
    :returns: True for a stream.
    """
    return any(
        name == b"content-type" and value.startswith(b"text/event-stream")
        for name, value in head.headers
    )


def read_token(name: AttemptId, data: bytes) -> StreamToken:
    """Read one token.

    :param name: the attempt that it must belong to.
    :param data: JSON.
    :returns: the token.
    :raises MessageError: when it is not a token.
    :raises CrossedError: when it belongs to another attempt.
    """
    try:
        token = _token_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError(str(error)) from None
    if token.attempt != name:
        raise CrossedError(f"a token of attempt {token.attempt}")
    return token


def end_stream(attempt: Attempt, event: StreamEvent) -> Outcome:
    """Read the last event of a stream.

    :param attempt: the attempt.
    :param event: an event that is not a token.
    :returns: done for a whole answer, else unknown.
    :raises MessageError: when it is not an answer.
    :raises CrossedError: when it answers another attempt.
    """
    if event.kind == "end":
        return check_answer(attempt, decode_json(event.data, TargetAnswer))
    detail = f"{event.kind}: {event.data[:200].decode('utf-8', 'replace')}"
    return Unknown(attempt.blame(Reason.TARGET, detail))


def check_answer(attempt: Attempt, answer: TargetAnswer) -> Outcome:
    """Check that an answer names its attempt.

    :param attempt: the attempt.
    :param answer: the answer.
    :returns: done.
    :raises CrossedError: when it answers another attempt.
    """
    call = attempt.dispatch.call
    own = (call.request, call.stage, call.attempt)
    named = (answer.request, answer.stage, answer.attempt)
    if named != own:
        raise CrossedError(f"an answer to {'/'.join(named)}")
    return Done(answer)


def check_refusal(attempt: Attempt, refusal: TargetRefusal) -> Outcome:
    """Check that a refusal names its attempt.

    :param attempt: the attempt.
    :param refusal: the target's word that it did not run it.
    :returns: not run.
    :raises CrossedError: when it refuses another attempt.
    """
    if refusal.attempt != attempt.dispatch.call.attempt:
        raise CrossedError(f"a refusal of attempt {refusal.attempt}")
    return NotRun(attempt.blame(Reason.REFUSED, refusal.why), refusal.retry_after_ms)
