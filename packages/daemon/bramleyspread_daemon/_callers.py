"""Callers' requests as HTTP, and what they are answered with."""

from __future__ import annotations

import msgspec

from bramleyspread_core import (
    Answer,
    AnswerFailed,
    AnswerRefused,
    AnswerUnknown,
    AnswerWhole,
    Brand,
    CallerRequest,
    Fault,
    MessageError,
    Payload,
    Reason,
    RequestId,
    ServiceDocument,
    ServiceName,
    StreamToken,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._events import write_event
from bramleyspread_daemon._exchange import JSON_TYPE, HttpRequest, Reply
from bramleyspread_daemon._refusal import Refusal, write_retry

#: Callers' paths begin with this; service and pipeline follow.
SERVICES_PREFIX = "/v1/services/"
#: Longest name and key taken from a caller, in characters.
MAX_TEXT = 200
#: Longest deadline that a caller can ask for, in milliseconds.
MAX_DEADLINE_MS = 600_000
#: The least urgent priority.
MAX_PRIORITY = 9

#: Every answer but the whole one.
NotWhole = AnswerRefused | AnswerFailed | AnswerUnknown

_CALLERS_FAULT = {
    Reason.BAD_INPUT: 400,
    Reason.KEY_REUSED: 409,
    Reason.STILL_RUNNING: 409,
}


class CallerError(Exception):
    """A caller's own mistake in a request's headers, path or body."""


class WholeBody(msgspec.Struct, frozen=True):
    """The body of a 200."""

    #: The request's id.
    request: RequestId
    #: The last stage's output.
    output: Payload
    #: True when it is the stored answer of an earlier request with the key.
    repeated: bool


class TokenEvent(msgspec.Struct, frozen=True):
    """One token, as a caller sees it."""

    #: Position in the answer, from 0.
    index: int
    #: The token's text.
    token: str


def read_caller_request(http: HttpRequest, request: RequestId) -> CallerRequest:
    """Read a caller's request.

    :param http: the HTTP request.
    :param request: the id that this host gives it.
    :returns: the request.
    :raises CallerError: saying what to mend.
    """
    parts = http.path.removeprefix(SERVICES_PREFIX).split("/")
    if len(parts) != 2 or not all(parts):
        raise CallerError(f"expected {SERVICES_PREFIX}SERVICE/PIPELINE")
    headers = http.headers
    brand = Brand(_read_text(headers, "x-organisation"), _read_text(headers, "x-brand"))
    try:
        payload: Payload = decode_json(http.body, Payload)
    except MessageError as error:
        raise CallerError(f"the body is not JSON: {error}") from None
    deadline = _read_number(headers, "x-deadline-ms", 1, MAX_DEADLINE_MS)
    priority = _read_number(headers, "x-priority", 0, MAX_PRIORITY)
    return CallerRequest(
        request=request,
        service=ServiceName(parts[0]),
        pipeline=parts[1],
        brand=brand,
        input=payload,
        deadline_ms=deadline,
        priority=5 if priority is None else priority,
        key=_read_text(headers, "idempotency-key", needed=False),
        stream="text/event-stream" in headers.get("accept", ""),
    )


def _read_text(headers: dict[str, str], name: str, needed: bool = True) -> str:
    text = headers.get(name, "")
    if needed and not text:
        raise CallerError(f"header {name} is missing; every request needs it")
    if len(text) > MAX_TEXT or not text.isascii() or not text.isprintable():
        raise CallerError(f"header {name}: at most {MAX_TEXT} printable ASCII signs")
    return text


def _read_number(
    headers: dict[str, str], name: str, least: int, most: int
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise CallerError(f"header {name}: expected a whole number")
    if not least <= int(text) <= most:
        raise CallerError(f"header {name}: expected {least} to {most}")
    return int(text)


class CallerExchange:
    """One caller's request from its arrival to its one final answer."""

    __slots__ = ("_reply", "_tokens", "request")

    def __init__(self, request: CallerRequest, reply: Reply) -> None:
        self._reply = reply
        self._tokens: list[bytes] = []
        #: The request.
        self.request = request

    def add_token(self, token: StreamToken) -> None:
        """Take a token to pass on with :meth:`flush_tokens`.

        :param token: the token.
        """
        event = encode_json(TokenEvent(token.index, token.token))
        self._tokens.append(write_event(event))

    def flush_tokens(self) -> None:
        """Pass on, in one piece, the tokens that were taken."""
        if self._tokens:
            self._reply.begin_events()
            self._reply.send_piece(b"".join(self._tokens))
            self._tokens.clear()

    def send_answer(self, answer: Answer, document: ServiceDocument | None) -> int:
        """Give the final answer.

        :param answer: the answer.
        :param document: the service's document in force, to tell 403 from 404.
        :returns: the HTTP status that it stands for.
        """
        if isinstance(answer, AnswerWhole):
            whole = WholeBody(self.request.request, answer.output, answer.repeated)
            self._send_whole(encode_json(whole))
            return 200
        status = self._choose_status(answer, document)
        body = encode_json(self._describe(answer))
        if self._reply.begun:
            self._reply.send_piece(write_event(body, "error"))
            self._reply.end()
        else:
            wait_ms = 0
            if not isinstance(answer, AnswerUnknown):
                wait_ms = answer.retry_after_ms
            self._reply.send(status, body, (JSON_TYPE, *write_retry(wait_ms)))
        return status

    def _send_whole(self, body: bytes) -> None:
        if not self.request.stream:
            self._reply.send(200, body)
            return
        self._reply.begin_events()
        self._reply.send_piece(write_event(body, "end"))
        self._reply.end()

    def _choose_status(
        self,
        answer: NotWhole,
        document: ServiceDocument | None,
    ) -> int:
        if isinstance(answer, AnswerUnknown):
            return 504
        if isinstance(answer, AnswerFailed):
            running = answer.fault.reason is Reason.STILL_RUNNING
            return 409 if running else 502
        if answer.fault.reason is Reason.UNKNOWN_NAME:
            return 403 if self._is_pipeline_known(document) else 404
        return _CALLERS_FAULT.get(answer.fault.reason, 503)

    def _is_pipeline_known(self, document: ServiceDocument | None) -> bool:
        if document is None or document.retired:
            return False
        return document.find_pipeline(self.request.pipeline) is not None

    def _describe(
        self, answer: AnswerRefused | AnswerFailed | AnswerUnknown
    ) -> Refusal:
        ended = {
            AnswerRefused: "refused",
            AnswerFailed: "failed",
            AnswerUnknown: "unknown",
        }[type(answer)]
        refused = isinstance(answer, AnswerRefused)
        not_run = refused and answer.fault.reason is not Reason.STILL_RUNNING
        return Refusal.from_fault(self.request.request, ended, answer.fault, not_run)


def describe_caller_fault(request: RequestId, why: str) -> bytes:
    """Write the body of a 400.

    :param request: the request's id.
    :param why: what to mend.
    :returns: JSON.
    """
    fault = Fault(Reason.BAD_INPUT, "arrival", "-", why)
    return encode_json(Refusal.from_fault(request, "refused", fault, not_run=True))
