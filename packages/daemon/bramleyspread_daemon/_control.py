"""The control process: its replicas behind HTTP, one sync for many commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import curio
from loguru import logger

from bramleyspread_core import (
    Address,
    Command,
    CommandResult,
    ControlNode,
    ControlOutput,
    DocumentsQuery,
    MessageError,
    NotLeader,
    TargetsReport,
    Undecided,
    decode_json,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._messenger import read_messages
from bramleyspread_daemon._metrics import Metrics
from bramleyspread_daemon._ordering import OrderDesk
from bramleyspread_daemon._process import Process, repeat, wait_for_stop
from bramleyspread_daemon._refusal import write_refusal
from bramleyspread_daemon._routes import Route, Routes
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon._settings import HostSettings, Limits, Listen
from bramleyspread_orders import Reconciler

#: How often the replicas see time pass, in seconds.
TICK_S = 0.01
#: How often orders are looked after, in seconds.
ORDER_S = 0.25
#: How often an extension sees time pass, in seconds.
EXTEND_S = 0.02
#: A command not decided by then is answered as undecided, in seconds.
COMMAND_S = 10.0


class ControlExtension(Protocol):
    """What a control host does besides, on the same address."""

    def list_routes(self) -> dict[tuple[str, str], Route]:
        """List its own routes."""

    async def answer_other(self, http: HttpRequest, reply: Reply) -> None:
        """Answer a request to a path that nothing else takes."""

    async def tick(self) -> None:
        """Let time pass."""


class ControlProcessSettings(Protocol):
    """What a control process needs of its settings."""

    @property
    def listen(self) -> Listen:
        """Where it listens."""

    @property
    def limits(self) -> Limits:
        """Bounds on peers."""

    @property
    def control_hosts(self) -> tuple[HostSettings, ...]:
        """The control hosts that the settings name."""


class _Ticket:
    """A command that waits for its result."""

    __slots__ = ("on_result", "until")

    def __init__(
        self, on_result: Callable[[CommandResult], None], until: float
    ) -> None:
        #: Takes the result.
        self.on_result = on_result
        #: When it is answered as undecided, in monotonic seconds.
        self.until = until


class ControlProcess:
    """One control host: replicates commands and hands out documents."""

    def __init__(
        self,
        process: Process,
        settings: ControlProcessSettings,
        node: ControlNode,
        reconciler: Reconciler,
        extension: ControlExtension | None = None,
    ) -> None:
        self._extension = extension
        self._process = process
        self._settings = settings
        self._node = node
        self._tickets: dict[int, _Ticket] = {}
        self._last_ticket = 0
        self._due = curio.Event()
        self._flusher: Any = None
        #: Gives orders while this host holds the lease.
        self.orders = OrderDesk(
            node, reconciler, self.propose, process.timeline, process.clock
        )
        #: Its HTTP server.
        self.server = HttpServer(self._list_routes(), settings.limits, process.clock)

    def _list_routes(self) -> Routes:
        routes = self._process.list_routes(self._find_unready, self._fill_metrics)
        routes[("POST", "/v1/control/commands")] = self._take_command
        routes[("POST", "/v1/control/documents")] = self._hand_out_documents
        routes[("POST", "/v1/control/targets")] = self._hear_targets
        routes[("GET", "/v1/control/status")] = self._answer_status
        routes[("GET", "/v1/control/documents-in-force")] = self._answer_documents
        routes[("POST", "/v1/peer")] = self._receive
        if self._extension is None:
            return Routes(routes)
        routes.update(self._extension.list_routes())
        return Routes(routes, fallback=self._extension.answer_other)

    def _find_unready(self) -> str:
        leaders = self._node.report_status(read_monotonic()).leaders
        unled = [group for group, leader in leaders.items() if not leader]
        return f"no leader known of group {', '.join(unled)}" if unled else ""

    async def _take_command(self, http: HttpRequest, reply: Reply) -> None:
        try:
            command: Command = decode_json(http.body, Command)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        await self.propose(command, reply.send_json)

    async def propose(
        self, command: Command, on_result: Callable[[CommandResult], None]
    ) -> None:
        """Put a command to the replicas.

        :param command: the command.
        :param on_result: takes its result, once.
        """
        now = read_monotonic()
        self._last_ticket += 1
        ticket = self._last_ticket
        self._tickets[ticket] = _Ticket(on_result, now + COMMAND_S)
        self._node.propose(ticket, command, now)
        await self._due.set()

    async def _receive(self, http: HttpRequest, reply: Reply) -> None:
        try:
            messages = read_messages(http.body)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        reply.send(204, b"")
        for message in messages:
            self._node.receive(message, read_monotonic())
        await self._due.set()

    async def _hand_out_documents(self, http: HttpRequest, reply: Reply) -> None:
        try:
            query: DocumentsQuery = decode_json(http.body, DocumentsQuery)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        reply.send_json(self._node.answer_query(query, read_monotonic()))

    async def _hear_targets(self, http: HttpRequest, reply: Reply) -> None:
        try:
            report: TargetsReport = decode_json(http.body, TargetsReport)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        self.orders.hear(report)
        if self._node.order_fence(read_monotonic()) is None:
            reply.send_json(self._find_leader())
            return
        reply.send(204, b"")

    def _find_leader(self) -> NotLeader:
        leader = self._node.report_status(read_monotonic()).leaders.get("0", "")
        for each in self._settings.control_hosts:
            if each.host == leader:
                return NotLeader(Address.from_text(each.address))
        return NotLeader()

    async def _answer_status(self, _: HttpRequest, reply: Reply) -> None:
        reply.send_json(self._node.report_status(read_monotonic()))

    async def _answer_documents(self, _: HttpRequest, reply: Reply) -> None:
        reply.send_json(list(self._node.list_texts()))

    def _fill_metrics(self, metrics: Metrics) -> None:
        self._process.fill_server_metrics(metrics, self.server)
        status = self._node.report_status(read_monotonic())
        metrics.gauge("revision", "Changes committed.", status.revision)
        for group, term in status.terms.items():
            metrics.gauge("term", "Term by group.", term, group=group)
        for group, applied in status.applied.items():
            metrics.gauge("applied", "Last applied index.", applied, group=group)
        for group, role in status.roles.items():
            leads = float(role == "leader")
            metrics.gauge("is_leader", "1 for the leader.", leads, group=group)
        metrics.count("orders_sent_total", "To targets.", self.orders.sent)
        metrics.gauge("commands_waiting", "Not yet decided.", len(self._tickets))

    async def _beat(self) -> None:
        """Wake the flusher so often that the replicas see time pass."""
        while True:
            await curio.sleep(TICK_S)
            await self._due.set()

    async def _flush_for_ever(self) -> None:
        while True:
            await self._due.wait()
            self._due.clear()
            now = read_monotonic()
            self._node.tick(now)
            await self._carry_out(self._node.flush(now))
            self._expire_tickets(now)

    async def _carry_out(self, output: ControlOutput) -> None:
        await self._process.messenger.send(output.sends)
        for reply in output.replies:
            self._answer(reply.ticket, reply.result)
        for happening in output.happenings:
            self._process.timeline.write(happening)

    def _answer(self, ticket: int, result: CommandResult) -> None:
        waiting = self._tickets.pop(ticket, None)
        if waiting is not None:
            waiting.on_result(result)

    def _expire_tickets(self, now: float) -> None:
        late = [name for name, each in self._tickets.items() if each.until <= now]
        for name in late:
            self._answer(name, Undecided("no quorum answered in time"))

    async def start(self) -> Address:
        """Listen, and start what goes on by itself.

        :returns: where it listens.
        :raises OSError: when the address cannot be had.
        """
        address = await self.server.start(self._settings.listen.address)
        self._flusher = await curio.spawn(self._flush_for_ever, daemon=True)
        await curio.spawn(self._beat, daemon=True)
        work = self.orders.work
        await curio.spawn(repeat, work, "order", lambda: ORDER_S, daemon=True)
        if self._extension is not None:
            tick = self._extension.tick
            await curio.spawn(repeat, tick, "extend", lambda: EXTEND_S, daemon=True)
        await self._process.announce_start("control", address)
        return address

    async def stop(self) -> bool:
        """Stop as planned: hand leadership over, finish what waits, then end.

        :returns: whether everything that waited was finished.
        """
        return await self._process.drain(
            [self.server], self._hand_over, lambda: not self._tickets
        )

    async def _hand_over(self) -> None:
        self._node.hand_over(read_monotonic())
        await self._due.set()

    async def run(self) -> int:
        """Run until asked to stop.

        :returns: the exit code.
        """
        await self.start()
        stop = await curio.spawn(wait_for_stop)
        async with curio.TaskGroup([stop, self._flusher], wait=any) as group:
            pass
        if group.completed is not stop:
            return self._fail(self._flusher.exception)
        logger.bind(step="stop", peer="-").info(f"{stop.result}: handing over")
        finished = await self.stop()
        return 0 if finished else 1

    def _fail(self, error: BaseException | None) -> int:
        """End at once: what was not synced must not be acknowledged."""
        logger.bind(step="flush", peer="-").critical(f"{error!r}")
        self._process.report("failed", detail=str(error))
        return 1
