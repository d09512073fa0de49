"""A caller that sends a request and retries it as docs/CALLERS.md describes."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import curio
import msgspec

from bramleyspread_core import (
    Address,
    MessageError,
    Payload,
    decode_json,
    encode_json,
)
from bramleyspread_standins._caller_requests import CallerRequest
from bramleyspread_standins._client import HttpClient
from bramleyspread_standins._payload import StagePayload
from bramleyspread_standins._ready_hosts import ReadyHosts

#: How long a caller waits for a response after the deadline, in seconds.
RESPONSE_GRACE_S = 1.0
#: Backoff before the first retry if the response has no retry time, in seconds;
#: doubled with each attempt.
INITIAL_BACKOFF_S = 0.1
#: Maximum backoff, in seconds.
MAX_BACKOFF_S = 1.0
#: How long after its deadline a request with an idempotency key is still retried to
#: learn its outcome, in seconds.
OUTCOME_RETRY_LIMIT_S = 10.0
#: Minimum deadline of an attempt, in milliseconds.
MIN_DEADLINE_MS = 1


class SuccessBody(msgspec.Struct, frozen=True):
    """The body of a response with status 200."""

    #: The request's id.
    request: str
    #: The last stage's output.
    output: Payload
    #: Whether the answer was stored from an earlier attempt under the same key.
    repeated: bool = False


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of a response with any other status."""

    #: The request's id.
    request: str
    #: ``refused``, ``failed`` or ``unknown``.
    ended: str
    #: Whether the system states that no stage of the request was run.
    not_run: bool
    #: The reason code.
    reason: str
    #: The step that failed.
    step: str = ""
    #: The remote host or target of that step.
    peer: str = ""
    #: A message for operators.
    detail: str = ""


class Token(msgspec.Struct, frozen=True):
    """One token of a stream."""

    #: The position in the stream, from 0.
    index: int
    #: The text.
    token: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The connection failed or timed out before there was a response."""

    #: A description of the failure.
    reason: str
    #: Whether the connection failed before the request was sent.
    not_sent: bool = False


@dataclass(slots=True)
class CallerAttempt:
    """One attempt of a caller to send its request, and the result.

    This is not an attempt of an entry host to run a stage on a target.
    """

    #: The entry host it was sent to.
    host: Address
    #: The deadline sent with it, in seconds.
    deadline_s: float
    #: When it was sent, in monotonic seconds.
    started_at: float
    #: When the response was complete, in monotonic seconds.
    ended_at: float = 0.0
    #: The streamed tokens, in order of arrival.
    tokens: list[Token] = field(default_factory=list)
    #: When the first token arrived, in monotonic seconds; None without tokens.
    first_token_at: float | None = None
    result: SuccessBody | ErrorBody | NoResponse = NoResponse("not sent")
    #: The retry time in the response, in seconds; None if there was none.
    retry_after_s: float | None = None
    #: Number of final events after the first one on the same stream.
    extra_end_events: int = 0


@dataclass(frozen=True, slots=True)
class CallerReport:
    """All attempts of one request; the last one determines the outcome."""

    request: CallerRequest
    #: Whether the request was resent under the key of an earlier request.
    is_resend: bool
    #: The attempts in the order in which they were sent; empty if the demo ended
    #: before the caller did.
    attempts: tuple[CallerAttempt, ...]


class Caller:
    """A caller that sends one request and retries it."""

    __slots__ = ("_attempts", "_hosts", "_request")

    def __init__(self, request: CallerRequest, hosts: ReadyHosts) -> None:
        self._request = request
        self._hosts = hosts
        self._attempts: list[CallerAttempt] = []

    async def run(self, resend: bool = False) -> CallerReport:
        """Send the request until a retry can no longer improve the result.

        :param resend: whether this is a resend under the key of an earlier request.
        """
        started_at = time.monotonic()
        deadline = started_at + self._request.deadline_s
        while True:
            attempt = await self._send_attempt(deadline)
            self._attempts.append(attempt)
            backoff_s = self._choose_backoff(attempt, deadline)
            if backoff_s is None:
                return CallerReport(self._request, resend, tuple(self._attempts))
            await curio.sleep(backoff_s)

    def _choose_backoff(self, attempt: CallerAttempt, deadline: float) -> float | None:
        """Choose the backoff before the next attempt in seconds; None to stop."""
        result = attempt.result
        backoff_s = attempt.retry_after_s
        if backoff_s is None:
            doubled = INITIAL_BACKOFF_S * 2 ** min(len(self._attempts) - 1, 10)
            backoff_s = min(doubled, MAX_BACKOFF_S)
        left_s = deadline - time.monotonic() - backoff_s
        if isinstance(result, SuccessBody):
            return None
        if self._request.idempotency_key and self._may_have_run():
            return backoff_s if left_s > -OUTCOME_RETRY_LIMIT_S else None
        if isinstance(result, NoResponse):
            timed_out = (
                attempt.ended_at - attempt.started_at
                >= attempt.deadline_s + RESPONSE_GRACE_S
            )
            return None if timed_out else backoff_s
        if result.ended == "refused" and attempt.retry_after_s is None:
            return None
        return backoff_s if left_s > 0 else None

    def _may_have_run(self) -> bool:
        """Return whether an attempt may have run, as far as the caller can tell."""
        return any(
            isinstance(attempt.result, NoResponse)
            and not attempt.result.not_sent
            or isinstance(attempt.result, ErrorBody)
            and not attempt.result.not_run
            for attempt in self._attempts
        )

    async def _send_attempt(self, deadline: float) -> CallerAttempt:
        last_host = self._attempts[-1].host if self._attempts else None
        host = self._hosts.pick(exclude=last_host)
        while host is None:
            await curio.sleep(INITIAL_BACKOFF_S)
            host = self._hosts.pick()
        now = time.monotonic()
        left_s = deadline - now
        if self._request.idempotency_key and left_s <= 0:
            left_s = self._request.deadline_s
        attempt = CallerAttempt(host, max(left_s, MIN_DEADLINE_MS / 1_000), now)
        await self._send_and_read(attempt)
        attempt.ended_at = time.monotonic()
        return attempt

    async def _send_and_read(self, attempt: CallerAttempt) -> None:
        client = HttpClient(attempt.host)
        sent = False
        try:
            async with (
                curio.timeout_after(attempt.deadline_s + RESPONSE_GRACE_S),
                client,
            ):
                sent = True
                path = (
                    f"/v1/services/{self._request.service}"
                    f"/{self._request.pipeline.name}"
                )
                body = encode_json(StagePayload(self._request.marker))
                await client.send_request(
                    "POST", path, self._make_headers(attempt), body
                )
                await self._read_response(client, attempt)
        except curio.TaskTimeout:
            attempt.result = NoResponse("no response by the deadline")
        except (OSError, MessageError) as error:
            attempt.result = NoResponse(f"{type(error).__name__}: {error}", not sent)
            self._hosts.mark_unavailable(attempt.host)

    def _make_headers(self, attempt: CallerAttempt) -> Mapping[str, str]:
        request = self._request
        headers = {
            "Content-Type": "application/json",
            "X-Organisation": request.brand.organisation,
            "X-Brand": request.brand.name,
            "X-Deadline-Ms": str(max(MIN_DEADLINE_MS, int(attempt.deadline_s * 1_000))),
            "X-Priority": str(request.priority),
        }
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        if request.wants_stream:
            headers["Accept"] = "text/event-stream"
        return headers

    async def _read_response(self, client: HttpClient, attempt: CallerAttempt) -> None:
        retry_after_ms = client.headers.get("x-retry-after-ms")
        attempt.retry_after_s = int(retry_after_ms) / 1_000 if retry_after_ms else None
        if "text/event-stream" in client.headers.get("content-type", ""):
            await self._read_stream(client, attempt)
            return
        body = b"".join([chunk async for chunk in client.read_body()])
        body_type = SuccessBody if client.status == 200 else ErrorBody
        attempt.result = decode_json(body, body_type)

    async def _read_stream(self, client: HttpClient, attempt: CallerAttempt) -> None:
        answers: list[SuccessBody | ErrorBody] = []
        async for event in client.read_events():
            if event.name == "":
                attempt.tokens.append(decode_json(event.data, Token))
                attempt.first_token_at = attempt.first_token_at or time.monotonic()
            elif event.name == "end":
                answers.append(decode_json(event.data, SuccessBody))
            elif event.name == "error":
                answers.append(decode_json(event.data, ErrorBody))
        attempt.extra_end_events = max(0, len(answers) - 1)
        attempt.result = answers[0] if answers else NoResponse("stream without an end")
