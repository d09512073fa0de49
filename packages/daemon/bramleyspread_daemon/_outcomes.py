"""Determines the outcome of an attempt from the target's response."""

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


class MismatchedAnswerError(Exception):
    """The response names another request, stage or attempt."""


class Attempt:
    """An attempt in flight."""

    __slots__ = (
        "abort_fault",
        "cancelled",
        "connection",
        "dispatch",
        "expires_at",
        "last_progress_at",
    )

    def __init__(self, dispatch: Dispatch, now: float) -> None:
        #: The call to make.
        self.dispatch = dispatch
        #: Its connection; None until it is established.
        self.connection: ClientConnection | None = None
        #: When it times out, as monotonic time in seconds.
        self.expires_at = now + dispatch.timeout_s
        #: When the last byte was received, or the attempt began, as monotonic time in
        #: seconds.
        self.last_progress_at = now
        #: Whether it was cancelled, so that its outcome is not needed.
        self.cancelled = False
        #: Why this side aborted its connection; None when it did not.
        self.abort_fault: Fault | None = None

    def make_fault(self, reason: Reason, detail: str) -> Fault:
        """Create a fault with this attempt's stage and target.

        :param reason: the kind of failure.
        :param detail: the human-readable explanation.
        :returns: the fault.
        """
        call = self.dispatch.call
        return Fault(reason, call.stage, self.dispatch.target, detail)


def is_connection_reusable(outcome: Outcome) -> bool:
    """Whether an outcome shows that its response was valid and completely read.

    :param outcome: the outcome.
    :returns: whether the connection can be reused.
    """
    if isinstance(outcome, Done):
        return True
    if isinstance(outcome, NotRun):
        return outcome.fault.reason is Reason.REFUSED
    return outcome.fault.reason is Reason.TARGET


def is_event_stream(head: h11.Response) -> bool:
    """Whether a response is a stream of server-sent events.

    :param head: the head of the response.
    :returns: whether its content type is that of an event stream.
    """
    return any(
        name == b"content-type" and value.startswith(b"text/event-stream")
        for name, value in head.headers
    )


def decode_token(attempt_id: AttemptId, data: bytes) -> StreamToken:
    """Decode one token.

    :param attempt_id: the attempt that it must belong to.
    :param data: JSON.
    :returns: the token.
    :raises MessageError: when the data is not a token.
    :raises MismatchedAnswerError: when the token belongs to another attempt.
    """
    try:
        token = _token_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError(str(error)) from None
    if token.attempt != attempt_id:
        raise MismatchedAnswerError(f"a token of attempt {token.attempt}")
    return token


def parse_final_event(attempt: Attempt, event: StreamEvent) -> Outcome:
    """Determine the outcome from the final event of a stream.

    :param attempt: the attempt.
    :param event: the event; ``end`` carries the answer, any other kind reports a
        failure of the target.
    :returns: ``Done`` with the answer, or ``Unknown`` for a failure.
    :raises MessageError: when the data of an ``end`` event is not an answer.
    :raises MismatchedAnswerError: when the answer belongs to another attempt.
    """
    if event.kind == "end":
        return check_answer(attempt, decode_json(event.data, TargetAnswer))
    detail = f"{event.kind}: {event.data[:200].decode('utf-8', 'replace')}"
    return Unknown(attempt.make_fault(Reason.TARGET, detail))


def check_answer(attempt: Attempt, answer: TargetAnswer) -> Outcome:
    """Check that an answer belongs to its attempt.

    :param attempt: the attempt.
    :param answer: the answer.
    :returns: ``Done`` with the answer.
    :raises MismatchedAnswerError: when the answer belongs to another attempt.
    """
    call = attempt.dispatch.call
    expected = (call.request, call.stage, call.attempt)
    answered = (answer.request, answer.stage, answer.attempt)
    if answered != expected:
        raise MismatchedAnswerError(f"an answer to {'/'.join(answered)}")
    return Done(answer)


def check_refusal(attempt: Attempt, refusal: TargetRefusal) -> Outcome:
    """Check that a refusal belongs to its attempt.

    :param attempt: the attempt.
    :param refusal: the target's statement that it did not run the attempt.
    :returns: ``NotRun`` with the target's reason.
    :raises MismatchedAnswerError: when the refusal belongs to another attempt.
    """
    if refusal.attempt != attempt.dispatch.call.attempt:
        raise MismatchedAnswerError(f"a refusal of attempt {refusal.attempt}")
    return NotRun(
        attempt.make_fault(Reason.REFUSED, refusal.why), refusal.retry_after_ms
    )
