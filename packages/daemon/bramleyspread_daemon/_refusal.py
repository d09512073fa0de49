"""The body of every reply to a caller that is not 200."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Fault, Reason, encode_json


class Refusal(msgspec.Struct, frozen=True):
    """What a caller is told when it does not get a whole answer."""

    #: The request's id; empty when it got none.
    request: str
    #: ``refused``, ``failed`` or ``unknown``.
    ended: str
    #: Whether it is certain that nothing was run.
    not_run: bool
    #: Why, as a word that programs can compare.
    reason: str
    #: The step that failed.
    step: str
    #: The other side of that step.
    peer: str
    #: Why, for people.
    detail: str

    @classmethod
    def from_fault(
        cls, request: str, ended: str, fault: Fault, not_run: bool
    ) -> Refusal:
        """Describe a fault.

        :param request: the request's id.
        :param ended: ``refused``, ``failed`` or ``unknown``.
        :param fault: what went wrong.
        :param not_run: whether it is certain that nothing was run.
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


def write_refusal(status: int, why: str) -> bytes:
    """Write the body for a request that was not taken at all.

    :param status: the HTTP status; 503 is this side's fault, 4xx the caller's.
    :param why: for people.
    :returns: JSON.
    """
    reason = Reason.OVERLOAD if status >= 500 else Reason.BAD_INPUT
    fault = Fault(reason, "http", "-", why)
    return encode_json(Refusal.from_fault("", "refused", fault, not_run=True))


def write_retry(wait_ms: int) -> list[tuple[str, str]]:
    """Write the headers that say when to come back.

    :param wait_ms: how long to wait, in milliseconds; 0 for no word on it.
    :returns: the headers; seconds are rounded up.

    >>> write_retry(1_001)
    [('retry-after', '2'), ('x-retry-after-ms', '1001')]
    >>> write_retry(0)
    []
    """
    if wait_ms <= 0:
        return []
    seconds = -(-wait_ms // 1_000)
    return [("retry-after", str(seconds)), ("x-retry-after-ms", str(wait_ms))]


def write_failure(why: str) -> bytes:
    """Write the body for a request whose handling broke off.

    :param why: for people.
    :returns: JSON.
    """
    fault = Fault(Reason.PROTOCOL, "http", "-", why)
    return encode_json(Refusal.from_fault("", "unknown", fault, not_run=False))
