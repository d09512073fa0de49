"""A deployment in one curio kernel: a control host, an entry host and targets."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import curio
import msgspec

from bramleyspread_core import (
    Accepted,
    Address,
    Announcement,
    Claim,
    ClaimDone,
    Claimed,
    ClaimKey,
    ClaimRunning,
    Command,
    CommandReply,
    CommandResult,
    ControlOutput,
    ControlStatus,
    DocumentInForce,
    DocumentsPage,
    DocumentsQuery,
    DocumentText,
    HostName,
    Intended,
    IntendOrders,
    LoadedModel,
    Order,
    OrderAnswer,
    Payload,
    PeerMessage,
    PoolName,
    ServiceDocument,
    ServiceName,
    Settle,
    Settled,
    StreamToken,
    SubmitDocument,
    TargetAnswer,
    TargetCall,
    TargetName,
    TargetsReport,
    TargetState,
    Usage,
    ZoneName,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._control import ControlProcess
from bramleyspread_daemon._entry import EntryProcess
from bramleyspread_daemon._events import encode_event
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._process import Process
from bramleyspread_daemon._settings import (
    ControlSettings,
    EntrySettings,
    HostSettings,
    Limits,
    Listen,
)
from bramleyspread_daemon.tests.loopback import start_server
from bramleyspread_entry import EntryConfig, EntryDecisions, IdSource
from bramleyspread_membership import DirectoryConfig, EntryDirectory
from bramleyspread_orders import Reconciler, ReconcilerConfig

DOCUMENT = """
service: photos
version: 1
team: booths
organisations: [{name: inka, brands: [{name: fast}]}]
pools:
  - {name: encoders, kind: encoding}
  - {name: engines, kind: generation, models: [{name: m, version: "1"}]}
  - {name: ledger, kind: plain}
pipelines:
  - name: check
    deadline_ms: 20000
    stages:
      - {name: encode, pool: encoders}
      - {name: explain, pool: engines, model: m, stream: true}
  - name: pay
    deadline_ms: 20000
    stages: [{name: book, pool: ledger, idempotent: false}]
"""


class FakeControlNode:
    """A control node that decides commands at once and stores nothing durably."""

    def __init__(self) -> None:
        self.documents: list[DocumentInForce] = []
        self.texts: list[DocumentText] = []
        self.claims: dict[ClaimKey, CommandResult] = {}
        self.replies: list[CommandReply] = []
        self.handed_over = False
        self.fence: int | None = None
        self.intended_orders: tuple[Order, ...] = ()
        self.lease_checks_left: int | None = None

    def receive(self, message: PeerMessage, now: float) -> None:
        """Ignore the message."""

    def propose(self, ticket: int, command: Command, now: float) -> None:
        self.replies.append(CommandReply(ticket, self._decide(command)))

    def _decide(self, command: Command) -> CommandResult:
        if isinstance(command, SubmitDocument):
            revision = len(self.documents) + 1
            service = ServiceName("photos")
            document = ServiceDocument.from_yaml(command.text.encode(), "document")
            self.texts.append(
                DocumentText(service, revision, revision, "a", command.text)
            )
            self.documents.append(
                DocumentInForce(service, revision, revision, "a", document)
            )
            return Accepted(service, revision, revision)
        if isinstance(command, Claim):
            if command.key in self.claims:
                return self.claims[command.key]
            self.claims[command.key] = ClaimRunning(command.request, 40)
            return Claimed()
        if isinstance(command, Settle):
            if command.answer is not None:
                done = ClaimDone(command.request, command.answer)
                self.claims[command.key] = done
            return Settled()
        assert isinstance(command, IntendOrders)
        self.intended_orders = command.orders
        return Intended()

    def tick(self, now: float) -> None:
        """Do nothing."""

    def flush(self, now: float) -> ControlOutput:
        replies, self.replies = self.replies, []
        return ControlOutput(replies=tuple(replies))

    def answer_query(self, query: DocumentsQuery, now: float) -> DocumentsPage:
        newer = [each for each in self.documents if each.revision > query.revision]
        return DocumentsPage(len(self.documents), tuple(newer))

    def report_status(self, now: float) -> ControlStatus:
        host = HostName("control-1")
        single_index = {"0": 1}
        roles = {"0": "leader"}
        return ControlStatus(
            host, roles, {"0": host}, single_index, single_index, {"0": (host,)}, 1
        )

    def transfer_leadership(self, now: float) -> None:
        self.handed_over = True

    def list_documents(self) -> Sequence[DocumentInForce]:
        return self.documents

    def list_texts(self) -> Sequence[DocumentText]:
        return self.texts

    def list_intended_orders(self) -> Sequence[Order]:
        return self.intended_orders

    def lose_lease_after(self, checks: int) -> None:
        """Lose the order lease after a number of further lease checks."""
        self.lease_checks_left = checks

    def get_fencing_number(self, now: float) -> int | None:
        """Return the fencing number for orders, or None without the order lease."""
        if self.lease_checks_left is not None:
            self.lease_checks_left -= 1
            if self.lease_checks_left < 0:
                return None
        return self.fence


class FakeTarget:
    """A target that answers calls at once.

    While ``is_holding`` is true, it answers them only after ``resume`` is set.
    """

    def __init__(self, pool: str) -> None:
        self.pool = PoolName(ServiceName("photos"), pool)
        self.calls: list[TargetCall] = []
        self.cancels = 0
        self.orders: list[Order] = []
        self.models = (LoadedModel("m", "1"),) if pool == "engines" else ()
        self.is_holding = False
        self.resume = curio.Event()
        self.address = Address("", 0)
        self.sequence = 0

    async def start(self) -> None:
        _, self.address = await start_server(
            ("POST", "/v1/calls", self._receive_call),
            ("POST", "/v1/cancels", self._receive_cancel),
            ("POST", "/v1/orders", self._receive_order),
        )

    async def _receive_order(self, http: HttpRequest, reply: Reply) -> None:
        order: Order = decode_json(http.body, Order)
        self.orders.append(order)
        reply.send_json(OrderAnswer(True, order.fence))

    async def _receive_cancel(self, _: HttpRequest, reply: Reply) -> None:
        self.cancels += 1
        reply.send_json({})

    async def _receive_call(self, http: HttpRequest, reply: Reply) -> None:
        call: TargetCall = decode_json(http.body, TargetCall)
        self.calls.append(call)
        output = Payload(encode_json({"stage": call.stage}))
        usage = Usage(target_us=5, tokens_out=3)
        answer = TargetAnswer(call.request, call.stage, call.attempt, output, usage)
        if not call.stream:
            await self._wait_while_holding()
            reply.send_json(answer)
            return
        reply.begin_events()
        for index in range(3):
            token = encode_json(StreamToken(call.attempt, index, f"t{index}"))
            reply.send_chunk(encode_event(token))
            await self._wait_while_holding()
        reply.send_chunk(encode_event(encode_json(answer), "end"))
        reply.end()

    async def _wait_while_holding(self) -> None:
        if self.is_holding:
            await self.resume.wait()

    def announce(self, state: TargetState = TargetState.SERVING) -> Announcement:
        self.sequence += 1
        return Announcement(
            target=TargetName(str(self.pool)),
            incarnation=1,
            sequence=self.sequence,
            pool=self.pool,
            address=self.address,
            zone=ZoneName("z"),
            state=state,
            models=self.models,
            checks_fencing=True,
        )


class Deployment:
    """A control host, an entry host and three targets.

    Once started, ``DOCUMENT`` is in force and the targets are announced.
    """

    def __init__(
        self,
        folder: Path,
        limits: Limits | None = None,
        callers: Listen | None = None,
    ) -> None:
        self.callers = callers
        self.folder = folder
        self.limits = limits or Limits(grace_s=0.0)
        self.node = FakeControlNode()
        self.targets = [FakeTarget(name) for name in ("encoders", "engines", "ledger")]
        self.pool: Any = None
        self.entry_address = self.control_address = Address("", 0)

    async def start(self) -> None:
        listen = Listen(ip="127.0.0.1", port=0)
        settings = ControlSettings(
            host="control-1",
            zone="z",
            listen=listen,
            timeline=str(self.folder / "control.jsonl"),
            limits=self.limits,
            data=str(self.folder / "data"),
            control_hosts=(),
        )
        process = Process(settings)
        self.pool = ConnectionPool(process.clock)
        reconciler = Reconciler.from_config(
            ReconcilerConfig(observation_period_s=0.0), Random(2)
        )
        self.control = ControlProcess(process, settings, self.node, reconciler)
        self.control_address = await self.control.start()
        await self._start_entry(listen)
        await self.submit_document()
        for target in self.targets:
            await target.start()
            await self.announce(target)

    async def _start_entry(self, listen: Listen) -> None:
        host = HostSettings(
            host="control-1", zone="z", address=str(self.control_address)
        )
        settings = EntrySettings(
            host="entry-1",
            zone="z",
            listen=listen,
            timeline=str(self.folder / "entry.jsonl"),
            limits=self.limits,
            control_hosts=(host,),
            callers=self.callers,
        )
        process = Process(settings)
        rng = Random(1)
        directory_config = DirectoryConfig(
            HostName("entry-1"), ZoneName("z"), listen.address, 1
        )
        now = 0.0
        directory = EntryDirectory.from_config(
            directory_config, rng, now, process.contract_watch
        )
        config = EntryConfig(host="entry-1", zone="z", incarnation=1, drain_grace_s=0.0)
        decisions = EntryDecisions.from_config(
            config, directory, process.contract_watch, rng
        )
        ids = IdSource("entry-1", 1)
        self.entry = EntryProcess(process, settings, directory, decisions, ids, rng)
        self.contract_watch = process.contract_watch
        self.entry_address = await self.entry.start()

    async def submit_document(self) -> None:
        """Submit the document, and wait until the entry host is ready."""
        command: Command = SubmitDocument("change-1", "ana", DOCUMENT)
        body = encode_json(command)
        path = "/v1/control/commands"
        answer = await self.pool.request(self.control_address, path, body, 10)
        assert decode_json(answer.body, CommandResult) == Accepted(
            ServiceName("photos"), 1, 1
        )
        while (await self.get("/v1/ready")).status != 200:
            await curio.sleep(0.01)

    async def announce(self, target: FakeTarget) -> None:
        body = encode_json(target.announce())
        path = "/v1/announcements"
        answer = await self.pool.request(self.entry_address, path, body, 10)
        assert msgspec.json.decode(answer.body)["heard_by"] == "entry-1"

    async def report_targets(self) -> None:
        """Report the targets to the control host, as an entry host does."""
        report = TargetsReport(
            "entry-1", tuple(each.announce() for each in self.targets)
        )
        path = "/v1/control/targets"
        await self.pool.request(self.control_address, path, encode_json(report), 10)

    async def get(self, path: str) -> Any:  # noqa: ANN401
        return await self.pool.request(self.entry_address, path, b"", 10, "GET")
