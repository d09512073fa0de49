"""Translates callers' HTTP requests, and the answers to them."""

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
from bramleyspread_daemon._events import encode_event
from bramleyspread_daemon._exchange import JSON_TYPE, HttpRequest, Reply
from bramleyspread_daemon._refusal import Refusal, make_retry_headers

#: Prefix of callers' paths, followed by service and pipeline.
SERVICES_PREFIX = "/v1/services/"
#: Maximum length of a name or key in a header.
MAX_HEADER_CHARS = 200
#: Maximum deadline that a caller can request.
MAX_DEADLINE_MS = 600_000
#: The highest number that a priority can have; it is the least urgent.
MAX_PRIORITY = 9

#: All answers except the complete one.
UnsuccessfulAnswer = AnswerRefused | AnswerFailed | AnswerUnknown

_REFUSAL_STATUS = {
    Reason.BAD_INPUT: 400,
    Reason.QUARANTINED: 422,
    Reason.KEY_REUSED: 409,
    Reason.STILL_RUNNING: 409,
}


class InvalidRequestError(Exception):
    """The headers, path or body of a caller's request are invalid."""


class AnswerBody(msgspec.Struct, frozen=True):
    """The successful final answer, as it is sent to a caller.

    It is the body of a response with status 200, or the data of a stream's ``end``
    event.
    """

    #: The request's id.
    request: RequestId
    #: The output of the last stage.
    output: Payload
    #: Whether it is the stored answer to an earlier request with the same key.
    repeated: bool


class TokenEvent(msgspec.Struct, frozen=True):
    """A token as it is sent to a caller."""

    #: Position in the answer, counted from 0.
    index: int
    #: The token's text.
    token: str


def parse_caller_request(http: HttpRequest, request_id: RequestId) -> CallerRequest:
    """Parse a caller's request.

    :param http: the HTTP request.
    :param request_id: the id that this host assigns to it.
    :returns: the request.
    :raises InvalidRequestError: when the request is invalid, with an explanation.
    """
    parts = http.path.removeprefix(SERVICES_PREFIX).split("/")
    if len(parts) != 2 or not all(parts):
        raise InvalidRequestError(f"expected {SERVICES_PREFIX}SERVICE/PIPELINE")
    headers = http.headers
    brand = Brand(
        _parse_text(headers, "x-organisation"), _parse_text(headers, "x-brand")
    )
    try:
        payload: Payload = decode_json(http.body, Payload)
    except MessageError as error:
        raise InvalidRequestError(f"the body is not JSON: {error}") from None
    deadline = _parse_number(headers, "x-deadline-ms", 1, MAX_DEADLINE_MS)
    priority = _parse_number(headers, "x-priority", 0, MAX_PRIORITY)
    return CallerRequest(
        request=request_id,
        service=ServiceName(parts[0]),
        pipeline=parts[1],
        brand=brand,
        input=payload,
        deadline_ms=deadline,
        priority=5 if priority is None else priority,
        key=_parse_text(headers, "idempotency-key", required=False),
        stream="text/event-stream" in headers.get("accept", ""),
    )


def _parse_text(headers: dict[str, str], name: str, required: bool = True) -> str:
    text = headers.get(name, "")
    if required and not text:
        raise InvalidRequestError(f"header {name} is missing; every request needs it")
    if len(text) > MAX_HEADER_CHARS or not text.isascii() or not text.isprintable():
        raise InvalidRequestError(
            f"header {name}: at most {MAX_HEADER_CHARS} printable ASCII signs"
        )
    return text


def _parse_number(
    headers: dict[str, str], name: str, minimum: int, maximum: int
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise InvalidRequestError(f"header {name}: expected a whole number")
    if not minimum <= int(text) <= maximum:
        raise InvalidRequestError(f"header {name}: expected {minimum} to {maximum}")
    return int(text)


class CallerExchange:
    """A caller's request and the reply that carries its tokens and final answer."""

    __slots__ = ("_reply", "_tokens", "request")

    def __init__(self, request: CallerRequest, reply: Reply) -> None:
        self._reply = reply
        self._tokens: list[bytes] = []
        #: The request.
        self.request = request

    def add_token(self, token: StreamToken) -> None:
        """Buffer a token until :meth:`flush_tokens`.

        :param token: the token.
        """
        event = encode_json(TokenEvent(token.index, token.token))
        self._tokens.append(encode_event(event))

    def flush_tokens(self) -> None:
        """Send all buffered tokens together."""
        if self._tokens:
            self._reply.begin_events()
            self._reply.send_chunk(b"".join(self._tokens))
            self._tokens.clear()

    def send_answer(self, answer: Answer, document: ServiceDocument | None) -> int:
        """Send the final answer.

        :param answer: the answer.
        :param document: the service's document in force, which distinguishes a 403
            from a 404.
        :returns: the HTTP status of the answer, also when a stream has begun with 200.
        """
        if isinstance(answer, AnswerWhole):
            answer_body = AnswerBody(
                self.request.request, answer.output, answer.repeated
            )
            self._send_complete_answer(encode_json(answer_body))
            return 200
        status = self._choose_status(answer, document)
        body = encode_json(self._build_refusal(answer))
        if self._reply.begun:
            self._reply.send_chunk(encode_event(body, "error"))
            self._reply.end()
        else:
            wait_ms = 0
            if not isinstance(answer, AnswerUnknown):
                wait_ms = answer.retry_after_ms
            self._reply.send(status, body, (JSON_TYPE, *make_retry_headers(wait_ms)))
        return status

    def _send_complete_answer(self, body: bytes) -> None:
        if not self.request.stream:
            self._reply.send(200, body)
            return
        self._reply.begin_events()
        self._reply.send_chunk(encode_event(body, "end"))
        self._reply.end()

    def _choose_status(
        self,
        answer: UnsuccessfulAnswer,
        document: ServiceDocument | None,
    ) -> int:
        if isinstance(answer, AnswerUnknown):
            return 504
        if isinstance(answer, AnswerFailed):
            running = answer.fault.reason is Reason.STILL_RUNNING
            return 409 if running else 502
        if answer.fault.reason is Reason.UNKNOWN_NAME:
            return 403 if self._is_pipeline_known(document) else 404
        return _REFUSAL_STATUS.get(answer.fault.reason, 503)

    def _is_pipeline_known(self, document: ServiceDocument | None) -> bool:
        if document is None or document.retired:
            return False
        return document.find_pipeline(self.request.pipeline) is not None

    def _build_refusal(
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


def encode_invalid_request(request_id: RequestId, detail: str) -> bytes:
    """Encode the body of the 400 response to an invalid request.

    :param request_id: the request's id.
    :param detail: the human-readable explanation.
    :returns: JSON.
    """
    fault = Fault(Reason.BAD_INPUT, "arrival", "-", detail)
    return encode_json(Refusal.from_fault(request_id, "refused", fault, not_run=True))
