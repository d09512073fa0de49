"""A caller's request, and the ways in which it can be answered."""

from __future__ import annotations

import msgspec

from bramleyspread_core._calls import Payload
from bramleyspread_core._identity import Brand, RequestId, ServiceName
from bramleyspread_core._reasons import Fault


class CallerRequest(msgspec.Struct, frozen=True):
    """A request as an entry host took it from a caller."""

    #: Given by the entry host at arrival.
    request: RequestId
    #: The service asked for.
    service: ServiceName
    #: The pipeline asked for.
    pipeline: str
    #: Who asks.
    brand: Brand
    #: What the first stage works on.
    input: Payload
    #: Time that the caller allows, in milliseconds; None for the document's.
    deadline_ms: int | None = None
    #: 0 is the most urgent, 9 the least.
    priority: int = 5
    #: The caller's idempotency key; empty for none.
    key: str = ""
    #: True when the caller takes the answer as a stream.
    stream: bool = False


class AnswerWhole(msgspec.Struct, frozen=True, tag="whole"):
    """The whole answer (200)."""

    #: The last stage's output.
    output: Payload
    #: True when it is the stored answer of an earlier request with the same key.
    repeated: bool = False


class AnswerRefused(msgspec.Struct, frozen=True, tag="refused"):
    """Refused, and provably not run (503, or 4xx for the caller's own fault)."""

    #: Why.
    fault: Fault
    #: When to come back, in milliseconds; 0 when coming back does not help.
    retry_after_ms: int = 0


class AnswerFailed(msgspec.Struct, frozen=True, tag="failed"):
    """Some stage may have run, there is no answer; asking again is harmless (502)."""

    #: Why.
    fault: Fault
    #: When to come back, in milliseconds.
    retry_after_ms: int = 0


class AnswerUnknown(msgspec.Struct, frozen=True, tag="unknown"):
    """A stage with an effect may have run and nobody knows (504)."""

    #: Why.
    fault: Fault


#: The one final answer that each request gets.
Answer = AnswerWhole | AnswerRefused | AnswerFailed | AnswerUnknown
