"""Requests of callers, and the possible answers to them."""

from __future__ import annotations

import msgspec

from bramleyspread_core._calls import Payload
from bramleyspread_core._identity import Brand, RequestId, ServiceName
from bramleyspread_core._reasons import Fault


class CallerRequest(msgspec.Struct, frozen=True):
    """A request as received from a caller."""

    #: Identifier that the entry host assigns on arrival.
    request: RequestId
    #: The service that is called.
    service: ServiceName
    #: Name of the service's pipeline to run.
    pipeline: str
    #: The brand on whose behalf the caller acts.
    brand: Brand
    #: Input of the first stage.
    input: Payload
    #: Deadline that the caller sets, in milliseconds from arrival; None to use the
    #: one in the service document.
    deadline_ms: int | None = None
    #: Priority from 0, the most urgent, to 9, the least urgent.
    priority: int = 5
    #: The caller's idempotency key; empty if there is none.
    key: str = ""
    #: Whether the caller wants the answer as a stream.
    stream: bool = False


class AnswerWhole(msgspec.Struct, frozen=True, tag="whole"):
    """The complete answer (status 200)."""

    #: Output of the last stage.
    output: Payload
    #: Whether this is the stored answer to an earlier request with the same
    #: idempotency key.
    repeated: bool = False


class AnswerRefused(msgspec.Struct, frozen=True, tag="refused"):
    """The request provably did not run (status 503, or 4xx for a caller's error)."""

    fault: Fault
    #: Delay before the caller should retry, in milliseconds; 0 if a retry cannot
    #: succeed.
    retry_after_ms: int = 0


class AnswerFailed(msgspec.Struct, frozen=True, tag="failed"):
    """The request failed, maybe after some stages ran; a retry is safe (status 502)."""

    fault: Fault
    #: Delay before the caller should retry, in milliseconds.
    retry_after_ms: int = 0


class AnswerUnknown(msgspec.Struct, frozen=True, tag="unknown"):
    """It is unknown whether a non-idempotent stage ran (status 504)."""

    fault: Fault


#: The final answer to a request; each request gets exactly one.
Answer = AnswerWhole | AnswerRefused | AnswerFailed | AnswerUnknown
