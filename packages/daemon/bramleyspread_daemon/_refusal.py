"""Bodies and headers of responses to callers whose status is not 200."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Fault, Reason, encode_json


class Refusal(msgspec.Struct, frozen=True):
    """The body of an error response."""

    #: The request's id; empty when none was assigned.
    request: str
    #: ``refused``, ``failed`` or ``unknown``.
    ended: str
    #: Whether it is certain that no part of the request was run.
    not_run: bool
    #: The machine-readable reason.
    reason: str
    #: The step that failed.
    step: str
    #: The peer of the failed step.
    peer: str
    #: The human-readable explanation.
    detail: str

    @classmethod
    def from_fault(
        cls, request: str, ended: str, fault: Fault, not_run: bool
    ) -> Refusal:
        """Build the body for a fault.

        :param request: the request's id.
        :param ended: ``refused``, ``failed`` or ``unknown``.
        :param fault: the fault.
        :param not_run: whether it is certain that no part of the request was run.
        :returns: the body.
        """
        return cls(
            request,
            ended,
            not_run,
            fault.reason.value,
            fault.step,
            fault.peer,
            fault.detail,
        )


def encode_refusal(status: int, detail: str) -> bytes:
    """Encode the body for a request that was rejected before processing.

    :param status: the HTTP status: 503 for overload, 4xx for an invalid request.
    :param detail: the human-readable explanation.
    :returns: JSON.
    """
    reason = Reason.OVERLOAD if status >= 500 else Reason.BAD_INPUT
    fault = Fault(reason, "http", "-", detail)
    return encode_json(Refusal.from_fault("", "refused", fault, not_run=True))


def make_retry_headers(wait_ms: int) -> list[tuple[str, str]]:
    """Build the headers that tell a caller when to retry.

    :param wait_ms: the time to wait, in milliseconds; 0 for no such headers.
    :returns: the headers; seconds are rounded up.

    >>> make_retry_headers(1_001)
    [('retry-after', '2'), ('x-retry-after-ms', '1001')]
    >>> make_retry_headers(0)
    []
    """
    if wait_ms <= 0:
        return []
    seconds = -(-wait_ms // 1_000)
    return [("retry-after", str(seconds)), ("x-retry-after-ms", str(wait_ms))]


def encode_failure(detail: str) -> bytes:
    """Encode the body for a request whose handler failed.

    :param detail: the human-readable explanation.
    :returns: JSON.
    """
    fault = Fault(Reason.PROTOCOL, "http", "-", detail)
    return encode_json(Refusal.from_fault("", "unknown", fault, not_run=False))
