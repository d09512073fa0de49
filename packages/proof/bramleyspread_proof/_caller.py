"""A caller in virtual time, which asks again as docs/CALLERS.md says."""

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
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._entry_process import EntryProcess
from bramleyspread_proof._ledger import Ledger
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process
from bramleyspread_proof._target_process import Work

#: How long a caller goes on asking, in seconds.
PATIENCE = 30.0
#: Shortest pause before a caller asks again, in seconds.
PAUSE = 0.2
#: Added to the deadline before a caller takes its connection for dead, in seconds.
MARGIN = 1.0


class Ending(Enum):
    """How it ended for a caller."""

    #: Still asking.
    OPEN = "open"
    #: It has its whole answer.
    WHOLE = "whole"
    #: It was told that nothing was run.
    REFUSED = "refused"
    #: It was told that there is no answer, and that asking again is harmless.
    FAILED = "failed"
    #: It was told, or must assume, that nobody knows.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Wish:
    """What a caller wants."""

    #: Its own mark, which its answer must carry.
    marker: str
    #: The service and the pipeline.
    service: ServiceName
    pipeline: Pipeline
    #: Whose caller it is.
    brand: Brand
    #: Its idempotency key; empty for none.
    key: str = ""

    @property
    def repeatable(self) -> bool:
        """Whether asking again can't run anything twice."""
        return bool(self.key) or self.pipeline.idempotent


class Caller(Process):
    """A caller behind a balancer that knows which entry hosts are ready."""

    def __init__(
        self,
        wish: Wish,
        zone: str,
        hosts: Sequence[EntryProcess],
        agenda: Agenda,
        network: Network,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        super().__init__(f"caller-{wish.marker}", zone, agenda, rng)
        #: What it wants.
        self.wish = wish
        #: How it ended.
        self.ending = Ending.OPEN
        #: How often it asked.
        self.asked = 0
        self._hosts = hosts
        self._network = network
        self._ledger = ledger
        self._until = agenda.now + PATIENCE
        self._last = Ending.REFUSED
        self.start()
        self._ask()

    def _ask(self) -> None:
        near = [each for each in self._hosts if each.ready and each.zone == self.zone]
        ready = near or [each for each in self._hosts if each.ready]
        if not ready:
            self._again(PAUSE)
            return
        host = self.rng.choice(ready)
        self.asked += 1
        answered: list[bool] = []

        def settle(answer: Answer | None) -> None:
            if not answered:
                answered.append(True)
                self._take(answer)

        def taker(answer: Answer | None) -> None:
            self._network.send(host, self, lambda: settle(answer))

        request = self._make_request()
        self._network.send(self, host, lambda: host.take_request(request, taker))
        wait = self.wish.pipeline.deadline_ms / 1000 + MARGIN
        self.later(wait, lambda: settle(None))

    def _make_request(self) -> CallerRequest:
        wish = self.wish
        work = Payload(encode_json(Work(wish.marker)))
        return CallerRequest(
            RequestId(""),
            wish.service,
            wish.pipeline.name,
            wish.brand,
            work,
            key=wish.key,
        )

    def _take(self, answer: Answer | None) -> None:
        match answer:
            case AnswerWhole():
                self._check_whole(answer)
                self.ending = Ending.WHOLE
            case AnswerRefused():
                self._last = Ending.REFUSED
                self._again(answer.retry_after_ms / 1000)
            case AnswerFailed():
                self._last = Ending.FAILED
                self._again(answer.retry_after_ms / 1000)
            case AnswerUnknown() if answer.fault.reason is not Reason.STILL_RUNNING:
                self.ending = Ending.UNKNOWN
            case _ if self.wish.repeatable:
                self._last = Ending.UNKNOWN
                self._again(PAUSE)
            case _:
                self.ending = Ending.UNKNOWN

    def _again(self, pause: float) -> None:
        if self._agenda.now + pause >= self._until:
            self.ending = self._last
            return
        self.later(max(PAUSE, pause), self._ask)

    def _check_whole(self, answer: AnswerWhole) -> None:
        work = msgspec.json.decode(answer.output, type=Work)
        stages = tuple(stage.name for stage in self.wish.pipeline.stages)
        if work != Work(self.wish.marker, stages):
            self._ledger.breach("answered-whole", f"{self.name} got {work}")
