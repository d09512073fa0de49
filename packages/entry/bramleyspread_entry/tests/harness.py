"""Test harness: a fake directory, and a driver of one entry host in virtual time."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import TypeVar

import msgspec

from bramleyspread_core import (
    Address,
    Announcement,
    Answer,
    AttemptId,
    Brand,
    CallerRequest,
    ContractWatch,
    Dispatch,
    DocumentInForce,
    DocumentsPage,
    Done,
    Effect,
    EntryHostStatus,
    Fault,
    HostName,
    Load,
    LoadedModel,
    NotRun,
    Outcome,
    PeerMessage,
    PeerSend,
    PoolName,
    Reason,
    RequestId,
    SendAnswer,
    ServiceDocument,
    ServiceName,
    StreamToken,
    TargetAnswer,
    TargetName,
    TargetView,
    Unknown,
    UnstampedEvent,
    Usage,
    ZoneName,
)
from bramleyspread_entry import EntryConfig, EntryDecisions, IdSource

E = TypeVar("E")

DOCUMENT = b"""
service: booth
version: 1
team: photos
organisations:
  - name: inka
    brands: [{name: fast}, {name: slow}]
  - name: lima
    brands: [{name: one}]
pools:
  - {name: encoders, kind: encoding}
  - {name: engines, kind: generation, models: [{name: m, version: "1"}]}
  - {name: ledger, kind: plain}
pipelines:
  - name: check
    deadline_ms: 4000
    stages:
      - {name: encode, pool: encoders}
      - {name: explain, pool: engines, model: m, stream: true}
  - name: pay
    deadline_ms: 4000
    stages:
      - {name: encode, pool: encoders}
      - {name: pay, pool: ledger, idempotent: false}
  - name: pay-and-explain
    deadline_ms: 4000
    stages:
      - {name: pay, pool: ledger, idempotent: false}
      - {name: explain, pool: engines, model: m}
"""
BRAND = Brand("inka", "fast")


def make_view(
    name: str, pool: str, zone: str = "a", load: Load | None = None
) -> TargetView:
    announcement = Announcement(
        target=TargetName(name),
        incarnation=1,
        sequence=1,
        pool=PoolName(ServiceName("booth"), pool),
        address=Address("127.0.0.1", 1 + sum(name.encode())),
        zone=ZoneName(zone),
        load=load or Load(slots=8),
        models=(LoadedModel("m", "1"),) if pool == "engines" else (),
    )
    return TargetView(announcement, 0.0)


class FakeDirectory:
    """Directory with targets and one document that the test sets."""

    def __init__(self, pools: dict[str, list[TargetView]]) -> None:
        self.pools = pools
        self.document = ServiceDocument.from_yaml(DOCUMENT, "booth.yaml")
        self.revision = 1
        self.hosts = [EntryHostStatus(HostName("e1"), "a", 1, 0.0)]

    def set_deadline(self, deadline_ms: int) -> None:
        pipelines = tuple(
            msgspec.structs.replace(pipeline, deadline_ms=deadline_ms)
            for pipeline in self.document.pipelines
        )
        self.document = msgspec.structs.replace(self.document, pipelines=pipelines)

    def list_usable(self, pool: PoolName, now: float) -> Sequence[TargetView]:
        return self.pools.get(pool.pool, [])

    def find_document(self, service: str) -> ServiceDocument | None:
        return self.document if service == self.document.service else None

    def list_hosts(self, now: float) -> Sequence[EntryHostStatus]:
        return self.hosts

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> Sequence[PeerSend]:
        return ()

    def handle_message(self, message: PeerMessage, now: float) -> Sequence[PeerSend]:
        return ()

    def tick(self, now: float) -> Sequence[PeerSend]:
        return ()

    def apply_documents(
        self, page: DocumentsPage, now: float
    ) -> Sequence[UnstampedEvent]:
        return ()

    def list_documents(self) -> Sequence[DocumentInForce]:
        return ()


class Harness:
    """Drives one entry host: collects its effects and answers for its targets."""

    def __init__(self, seed: int = 1) -> None:
        self.directory = FakeDirectory(
            {
                pool: [make_view(f"{pool}-{n}", pool) for n in range(3)]
                for pool in ("encoders", "engines", "ledger")
            }
        )
        self.watch = ContractWatch(strict=True)
        config = EntryConfig(host="e1", zone="a", incarnation=1)
        self.ids = IdSource("e1", 1)
        self.host = EntryDecisions.from_config(
            config, self.directory, self.watch, Random(seed)
        )
        self.now = 100.0
        self.effects: list[Effect] = []

    def submit(self, pipeline: str, /, **fields: object) -> RequestId:
        request = CallerRequest(
            request=self.ids.next_request(),
            service=ServiceName("booth"),
            pipeline=pipeline,
            brand=BRAND,
            input=msgspec.Raw(b'"in"'),
        )
        request = msgspec.structs.replace(request, **fields)
        self.collect(self.host.handle_request(request, self.now))
        return request.request

    def collect(self, effects: Sequence[Effect]) -> None:
        self.effects.extend(effects)

    def list_effects(self, kind: type[E]) -> list[E]:
        return [each for each in self.effects if isinstance(each, kind)]

    def find_answer(self, request: RequestId) -> Answer | None:
        answers = [
            e.answer for e in self.list_effects(SendAnswer) if e.request == request
        ]
        assert len(answers) <= 1
        return answers[0] if answers else None

    @property
    def last_dispatch(self) -> Dispatch:
        return self.list_effects(Dispatch)[-1]

    def end_attempt(self, dispatch: Dispatch, outcome: Outcome) -> None:
        self.collect(
            self.host.handle_attempt_end(dispatch.call.attempt, outcome, self.now)
        )

    def complete(
        self,
        dispatch: Dispatch,
        output: str = '"out"',
        tokens: int = 0,
        target_us: int = 1_000,
    ) -> None:
        self.end_attempt(dispatch, make_done(dispatch, output, tokens, target_us))

    def send_token(self, dispatch: Dispatch, index: int) -> None:
        attempt = dispatch.call.attempt
        token = StreamToken(attempt, index, f"t{index}")
        self.collect(self.host.handle_token(attempt, token, self.now))

    def pass_time(self, seconds: float) -> None:
        until = self.now + seconds
        while (due := self.host.next_due()) is not None and due <= until:
            self.now = max(self.now, due)
            self.collect(self.host.tick(self.now))
        self.now = until


def make_done(
    dispatch: Dispatch, output: str = '"out"', tokens: int = 0, target_us: int = 1_000
) -> Done:
    call = dispatch.call
    usage = Usage(target_us=target_us, tokens_out=tokens)
    raw = msgspec.Raw(output.encode())
    return Done(TargetAnswer(call.request, call.stage, call.attempt, raw, usage))


def make_not_run(reason: Reason = Reason.REFUSED) -> NotRun:
    return NotRun(Fault(reason, "stage", "target"))


def make_unknown(reason: Reason = Reason.CLOSED) -> Unknown:
    return Unknown(Fault(reason, "stage", "target"))


def make_other_attempt_id() -> AttemptId:
    return AttemptId("e9.1.1-1")
