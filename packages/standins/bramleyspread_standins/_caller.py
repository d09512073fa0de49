"""A caller that asks, and asks again as docs/CALLERS.md says."""

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
from bramleyspread_standins._asks import Ask
from bramleyspread_standins._client import HttpClient
from bramleyspread_standins._ready_hosts import ReadyHosts
from bramleyspread_standins._work import StageWork

#: How long past its deadline an answer may stay out, in seconds.
ANSWER_SLACK = 1.0
#: Pause before asking again when no answer said how long, in seconds; doubled
#: with each ask.
ASK_AGAIN_PAUSE = 0.1
#: Longest such pause, in seconds.
LONGEST_PAUSE = 1.0
#: How long behind its deadline a keyed request's outcome is asked for, in seconds.
SETTLE_TIME = 10.0
#: Least time that an ask allows, in milliseconds.
LEAST_DEADLINE_MS = 1


class WholeBody(msgspec.Struct, frozen=True):
    """A 200's body."""

    #: The request that was answered.
    request: str
    #: The last stage's output.
    output: Payload
    #: Whether it is a stored answer.
    repeated: bool = False


class EndedBody(msgspec.Struct, frozen=True):
    """The body of every other answer."""

    #: The request.
    request: str
    #: ``refused``, ``failed`` or ``unknown``.
    ended: str
    #: Whether the system says that nothing of it was run.
    not_run: bool
    #: Why.
    reason: str
    #: The step that failed.
    step: str = ""
    #: The other side.
    peer: str = ""
    #: More, for people.
    detail: str = ""


class Token(msgspec.Struct, frozen=True):
    """One token of a stream."""

    #: Its position, from 0.
    index: int
    #: Its text.
    token: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The connection ended, or stayed silent, before there was an answer."""

    #: What happened.
    why: str
    #: True when no byte of the request left.
    unsent: bool = False


@dataclass(slots=True)
class Asked:
    """One ask and what came of it."""

    #: Where it was asked.
    host: Address
    #: Time that it allowed, in seconds.
    deadline: float
    #: When it was sent, in monotonic seconds.
    began: float
    #: When its answer was here, in monotonic seconds.
    ended: float = 0.0
    #: Tokens as they came.
    tokens: list[Token] = field(default_factory=list)
    #: When the first token came, in monotonic seconds; None for no token.
    first_token: float | None = None
    #: What came of it.
    result: WholeBody | EndedBody | NoAnswer = NoAnswer("not asked")
    #: When the answer said to come back, in seconds; None when it did not.
    retry_after: float | None = None
    #: Answers that came behind the first one on the same stream.
    extra_answers: int = 0


@dataclass(frozen=True, slots=True)
class CallerReport:
    """All asks of one request, the last of which decides."""

    #: The request.
    ask: Ask
    #: Whether this is the resend of a request under the same key.
    resend: bool
    #: The asks in order.
    asks: tuple[Asked, ...]


class Caller:
    """One caller with one request."""

    __slots__ = ("_ask", "_asks", "_hosts")

    def __init__(self, ask: Ask, hosts: ReadyHosts) -> None:
        self._ask = ask
        self._hosts = hosts
        self._asks: list[Asked] = []

    async def run(self, resend: bool = False) -> CallerReport:
        """Ask until there is an answer that asking again can't better.

        :param resend: whether this is a resend under the same key.
        """
        began = time.monotonic()
        deadline = began + self._ask.deadline
        while True:
            asked = await self._ask_once(deadline)
            self._asks.append(asked)
            pause = self._choose_pause(asked, deadline)
            if pause is None:
                return CallerReport(self._ask, resend, tuple(self._asks))
            await curio.sleep(pause)

    def _choose_pause(self, asked: Asked, deadline: float) -> float | None:
        """Choose when to ask again, in seconds; None for never."""
        result = asked.result
        pause = asked.retry_after
        if pause is None:
            doubled = ASK_AGAIN_PAUSE * 2 ** min(len(self._asks) - 1, 10)
            pause = min(doubled, LONGEST_PAUSE)
        left = deadline - time.monotonic() - pause
        if isinstance(result, WholeBody):
            return None
        if self._ask.key and self._is_open():
            return pause if left > -SETTLE_TIME else None
        if isinstance(result, NoAnswer):
            silent = asked.ended - asked.began >= asked.deadline + ANSWER_SLACK
            return None if silent else pause
        if result.ended == "refused" and asked.retry_after is None:
            return None
        return pause if left > 0 else None

    def _is_open(self) -> bool:
        """Whether an ask under this key may have run, as far as the caller knows."""
        return any(
            isinstance(asked.result, NoAnswer)
            and not asked.result.unsent
            or isinstance(asked.result, EndedBody)
            and not asked.result.not_run
            for asked in self._asks
        )

    async def _ask_once(self, deadline: float) -> Asked:
        last = self._asks[-1].host if self._asks else None
        host = self._hosts.pick(but=last)
        while host is None:
            await curio.sleep(ASK_AGAIN_PAUSE)
            host = self._hosts.pick()
        now = time.monotonic()
        left = deadline - now
        if self._ask.key and left <= 0:
            left = self._ask.deadline
        asked = Asked(host, max(left, LEAST_DEADLINE_MS / 1_000), now)
        await self._exchange(asked)
        asked.ended = time.monotonic()
        return asked

    async def _exchange(self, asked: Asked) -> None:
        client = HttpClient(asked.host)
        sent = False
        try:
            async with curio.timeout_after(asked.deadline + ANSWER_SLACK), client:
                sent = True
                path = f"/v1/services/{self._ask.service}/{self._ask.pipeline.name}"
                body = encode_json(StageWork(self._ask.marker))
                await client.ask("POST", path, self._make_headers(asked), body)
                await self._read(client, asked)
        except curio.TaskTimeout:
            asked.result = NoAnswer("silent past the deadline")
        except (OSError, MessageError) as error:
            asked.result = NoAnswer(f"{type(error).__name__}: {error}", not sent)
            self._hosts.report_dead(asked.host)

    def _make_headers(self, asked: Asked) -> Mapping[str, str]:
        ask = self._ask
        headers = {
            "Content-Type": "application/json",
            "X-Organisation": ask.brand.organisation,
            "X-Brand": ask.brand.name,
            "X-Deadline-Ms": str(max(LEAST_DEADLINE_MS, int(asked.deadline * 1_000))),
            "X-Priority": str(ask.priority),
        }
        if ask.key:
            headers["Idempotency-Key"] = ask.key
        if ask.stream:
            headers["Accept"] = "text/event-stream"
        return headers

    async def _read(self, client: HttpClient, asked: Asked) -> None:
        wait = client.headers.get("x-retry-after-ms")
        asked.retry_after = int(wait) / 1_000 if wait else None
        if "text/event-stream" in client.headers.get("content-type", ""):
            await self._read_stream(client, asked)
            return
        body = b"".join([piece async for piece in client.read()])
        kind = WholeBody if client.status == 200 else EndedBody
        asked.result = decode_json(body, kind)

    async def _read_stream(self, client: HttpClient, asked: Asked) -> None:
        answers: list[WholeBody | EndedBody] = []
        async for event in client.read_events():
            if event.name == "":
                asked.tokens.append(decode_json(event.data, Token))
                asked.first_token = asked.first_token or time.monotonic()
            elif event.name == "end":
                answers.append(decode_json(event.data, WholeBody))
            elif event.name == "error":
                answers.append(decode_json(event.data, EndedBody))
        asked.extra_answers = max(0, len(answers) - 1)
        asked.result = answers[0] if answers else NoAnswer("stream without an end")
