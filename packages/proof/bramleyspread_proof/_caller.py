"""A simulated caller that retries according to docs/CALLERS.md."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

import msgspec

from bramleyspread_core import (
    Answer,
    AnswerFailed,
    AnswerRefused,
    AnswerUnknown,
    AnswerWhole,
    Brand,
    CallerRequest,
    Payload,
    Pipeline,
    Reason,
    RequestId,
    ServiceName,
    encode_json,
)
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._entry_process import EntryProcess
from bramleyspread_proof._ledger import Ledger
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process
from bramleyspread_proof._target_process import Work

#: Time from the start of a caller until it stops retrying, in seconds.
RETRY_WINDOW_S = 30.0
#: Minimum delay before a retry, in seconds.
MIN_RETRY_DELAY_S = 0.2
#: Time after the deadline at which a caller treats its connection as dead, in seconds.
TIMEOUT_MARGIN_S = 1.0


class CallerOutcome(Enum):
    """What a caller learnt about its request."""

    #: The request is not finished yet.
    OPEN = "open"
    #: The caller got a complete answer.
    WHOLE = "whole"
    #: The caller was told that nothing was run.
    REFUSED = "refused"
    #: The caller was told that there is no answer and that a retry is safe.
    FAILED = "failed"
    #: The caller was told, or must assume, that the outcome is unknown.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """The request that a caller sends."""

    #: Unique marker, which the answer must contain.
    marker: str
    #: Service and pipeline to call.
    service: ServiceName
    pipeline: Pipeline
    #: Brand that the request belongs to.
    brand: Brand
    #: Idempotency key; empty if there is none.
    key: str = ""

    @property
    def is_repeatable(self) -> bool:
        """Whether a retry cannot repeat a side effect."""
        return bool(self.key) or self.pipeline.idempotent


class Caller(Process):
    """A caller behind a load balancer that knows which entry hosts are ready."""

    def __init__(
        self,
        spec: RequestSpec,
        zone: str,
        hosts: Sequence[EntryProcess],
        scheduler: Scheduler,
        network: Network,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        super().__init__(f"caller-{spec.marker}", zone, scheduler, rng)
        #: The request to send.
        self.spec = spec
        #: Outcome of the request; ``OPEN`` until it is final.
        self.outcome = CallerOutcome.OPEN
        #: Number of times the request was sent.
        self.attempts = 0
        self._hosts = hosts
        self._network = network
        self._ledger = ledger
        self._retry_until = scheduler.now + RETRY_WINDOW_S
        self._last_outcome = CallerOutcome.REFUSED
        self.start()
        self._send_request()

    def _send_request(self) -> None:
        near = [each for each in self._hosts if each.ready and each.zone == self.zone]
        ready = near or [each for each in self._hosts if each.ready]
        if not ready:
            self._schedule_retry(MIN_RETRY_DELAY_S)
            return
        host = self.rng.choice(ready)
        self.attempts += 1
        answered: list[bool] = []

        def handle_once(answer: Answer | None) -> None:
            if not answered:
                answered.append(True)
                self._handle_answer(answer)

        def on_answer(answer: Answer | None) -> None:
            self._network.send(host, self, lambda: handle_once(answer))

        request = self._make_request()
        self._network.send(self, host, lambda: host.handle_request(request, on_answer))
        wait = self.spec.pipeline.deadline_ms / 1000 + TIMEOUT_MARGIN_S
        self.call_later(wait, lambda: handle_once(None))

    def _make_request(self) -> CallerRequest:
        spec = self.spec
        work = Payload(encode_json(Work(spec.marker)))
        return CallerRequest(
            RequestId(""),
            spec.service,
            spec.pipeline.name,
            spec.brand,
            work,
            key=spec.key,
        )

    def _handle_answer(self, answer: Answer | None) -> None:
        match answer:
            case AnswerWhole():
                self._check_output(answer)
                self.outcome = CallerOutcome.WHOLE
            case AnswerRefused():
                self._last_outcome = CallerOutcome.REFUSED
                self._schedule_retry(answer.retry_after_ms / 1000)
            case AnswerFailed():
                self._last_outcome = CallerOutcome.FAILED
                self._schedule_retry(answer.retry_after_ms / 1000)
            case AnswerUnknown() if answer.fault.reason is not Reason.STILL_RUNNING:
                self.outcome = CallerOutcome.UNKNOWN
            case _ if self.spec.is_repeatable:
                self._last_outcome = CallerOutcome.UNKNOWN
                self._schedule_retry(MIN_RETRY_DELAY_S)
            case _:
                self.outcome = CallerOutcome.UNKNOWN

    def _schedule_retry(self, delay: float) -> None:
        if self._scheduler.now + delay >= self._retry_until:
            self.outcome = self._last_outcome
            return
        self.call_later(max(MIN_RETRY_DELAY_S, delay), self._send_request)

    def _check_output(self, answer: AnswerWhole) -> None:
        work = msgspec.json.decode(answer.output, type=Work)
        stages = tuple(stage.name for stage in self.spec.pipeline.stages)
        if work != Work(self.spec.marker, stages):
            self._ledger.record_breach("answered-whole", f"{self.name} got {work}")
