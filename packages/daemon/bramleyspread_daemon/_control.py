"""The control process: serves its replicas over HTTP.

Commands are flushed in batches, so that one disk sync covers many of them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

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
from bramleyspread_daemon._messenger import PEER_PATH, decode_messages
from bramleyspread_daemon._metrics import Metrics
from bramleyspread_daemon._order_dispatcher import OrderDispatcher
from bramleyspread_daemon._process import Process, run_periodically, wait_for_stop
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon._routes import RouteHandler, Routes
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon._settings import HostSettings, Limits, Listen
from bramleyspread_orders import Reconciler

#: How often the replicas are ticked.
TICK_INTERVAL_S = 0.01
#: How often orders are planned and sent.
ORDER_INTERVAL_S = 0.25
#: How often the extension is ticked.
EXTENSION_TICK_INTERVAL_S = 0.02
#: Path at which commands arrive, also from other control hosts.
COMMANDS_PATH = "/v1/control/commands"
#: Commands not decided within this time are answered as undecided.
COMMAND_TIMEOUT_S = 10.0


class ControlExtension(Protocol):
    """Additional functions of a control process, served at the same address."""

    def list_routes(self) -> dict[tuple[str, str], RouteHandler]:
        """List the routes of the extension."""

    async def answer_unrouted(self, http: HttpRequest, reply: Reply) -> None:
        """Answer a request to a path without a route."""

    async def tick(self) -> None:
        """Do the extension's periodic work."""


class ControlProcessSettings(Protocol):
    """The settings that a control process needs."""

    @property
    def listen(self) -> Listen:
        """The address to listen on."""

    @property
    def limits(self) -> Limits:
        """The limits on connections and requests."""

    @property
    def control_hosts(self) -> tuple[HostSettings, ...]:
        """The control hosts listed in the settings."""


class _PendingCommand:
    """A proposed command whose result is pending."""

    __slots__ = ("expires_at", "on_result")

    def __init__(
        self, on_result: Callable[[CommandResult], None], expires_at: float
    ) -> None:
        #: Called with the result.
        self.on_result = on_result
        #: When it is answered as undecided, as monotonic time in seconds.
        self.expires_at = expires_at


class ControlProcess:
    """The process of a control host: replicates commands and serves documents."""

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
        self._pending_commands: dict[int, _PendingCommand] = {}
        self._last_ticket = 0
        self._flush_event = curio.Event()
        self._ending = curio.Event()
        self._stop_signal = ""
        self._failure: Exception | None = None
        #: Sends orders while this host holds the order lease.
        self.orders = OrderDispatcher(
            node, reconciler, self.propose, process.timeline, process.clock
        )
        routes = self._list_routes()
        fallback = extension.answer_unrouted if extension is not None else None
        #: The HTTP server.
        self.server = HttpServer(
            Routes(routes, fallback=fallback), settings.limits, process.clock
        )
        self.server.traffic = process.pool.traffic
        self.server.counted_paths = frozenset(path for _, path in routes)
        self.server.host_paths = frozenset({PEER_PATH, COMMANDS_PATH})

    def _list_routes(self) -> dict[tuple[str, str], RouteHandler]:
        routes = self._process.list_routes(
            self._find_unready_reason, self._fill_metrics
        )
        routes[("POST", COMMANDS_PATH)] = self._receive_command
        routes[("POST", "/v1/control/documents")] = self._answer_documents_query
        routes[("POST", "/v1/control/targets")] = self._receive_targets_report
        routes[("GET", "/v1/control/status")] = self._answer_status
        routes[("GET", "/v1/control/documents-in-force")] = self._answer_documents
        routes[("POST", PEER_PATH)] = self._receive_messages
        if self._extension is not None:
            routes.update(self._extension.list_routes())
        return routes

    def _find_unready_reason(self) -> str:
        leaders = self._node.report_status(read_monotonic()).leaders
        leaderless = [group for group, leader in leaders.items() if not leader]
        return f"no leader known of group {', '.join(leaderless)}" if leaderless else ""

    async def _receive_command(self, http: HttpRequest, reply: Reply) -> None:
        try:
            command: Command = decode_json(http.body, Command)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        await self.propose(command, reply.send_json)

    async def propose(
        self, command: Command, on_result: Callable[[CommandResult], None]
    ) -> None:
        """Propose a command to the replicas.

        :param command: the command.
        :param on_result: called once with the result.
        """
        now = read_monotonic()
        self._last_ticket += 1
        ticket = self._last_ticket
        self._pending_commands[ticket] = _PendingCommand(
            on_result, now + COMMAND_TIMEOUT_S
        )
        self._node.propose(ticket, command, now)
        await self._flush_event.set()

    async def _receive_messages(self, http: HttpRequest, reply: Reply) -> None:
        try:
            messages = decode_messages(http.body)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send(204, b"")
        for message in messages:
            self._node.receive(message, read_monotonic())
        await self._flush_event.set()

    async def _answer_documents_query(self, http: HttpRequest, reply: Reply) -> None:
        try:
            query: DocumentsQuery = decode_json(http.body, DocumentsQuery)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send_json(self._node.answer_query(query, read_monotonic()))

    async def _receive_targets_report(self, http: HttpRequest, reply: Reply) -> None:
        try:
            report: TargetsReport = decode_json(http.body, TargetsReport)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        self.orders.receive_report(report)
        if self._node.get_fencing_number(read_monotonic()) is None:
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
        metrics.set_gauge("revision", "Changes committed.", status.revision)
        for group, term in status.terms.items():
            metrics.set_gauge("term", "Term by group.", term, group=group)
        for group, applied in status.applied.items():
            metrics.set_gauge("applied", "Last applied index.", applied, group=group)
        for group, role in status.roles.items():
            leads = float(role == "leader")
            metrics.set_gauge("is_leader", "1 for the leader.", leads, group=group)
        metrics.set_counter("orders_sent_total", "To targets.", self.orders.sent)
        metrics.set_gauge(
            "commands_waiting", "Not yet decided.", len(self._pending_commands)
        )

    async def _tick_loop(self) -> None:
        """Wake the flush loop regularly, so that the replicas are ticked."""
        while True:
            await curio.sleep(TICK_INTERVAL_S)
            await self._flush_event.set()

    async def _run_flush_loop(self) -> None:
        """Run the flush loop; its failure ends the process."""
        try:
            await self._flush_loop()
        except Exception as error:
            self._failure = error
            await self._ending.set()

    async def _flush_loop(self) -> None:
        while True:
            await self._flush_event.wait()
            self._flush_event.clear()
            now = read_monotonic()
            self._node.tick(now)
            await self._apply_output(self._node.flush(now))
            self._expire_commands(now)

    async def _apply_output(self, output: ControlOutput) -> None:
        await self._process.messenger.send(output.sends)
        for reply in output.replies:
            self._answer_command(reply.ticket, reply.result)
        for event in output.events:
            self._process.timeline.write(event)

    def _answer_command(self, ticket: int, result: CommandResult) -> None:
        pending = self._pending_commands.pop(ticket, None)
        if pending is not None:
            pending.on_result(result)

    def _expire_commands(self, now: float) -> None:
        expired = [
            ticket
            for ticket, each in self._pending_commands.items()
            if each.expires_at <= now
        ]
        for ticket in expired:
            self._answer_command(ticket, Undecided("no quorum answered in time"))

    async def start(self) -> Address:
        """Listen, and start the background tasks.

        :returns: the address it listens on.
        :raises OSError: when the address cannot be bound.
        """
        address = await self.server.start(self._settings.listen.address)
        await curio.spawn(self._run_flush_loop, daemon=True)
        await curio.spawn(self._tick_loop, daemon=True)
        run_once = self.orders.run_once
        await curio.spawn(
            run_periodically, run_once, "order", lambda: ORDER_INTERVAL_S, daemon=True
        )
        if self._extension is not None:
            tick = self._extension.tick
            await curio.spawn(
                run_periodically,
                tick,
                "extend",
                lambda: EXTENSION_TICK_INTERVAL_S,
                daemon=True,
            )
        await self._process.announce_start("control", address)
        return address

    async def stop(self) -> bool:
        """Shut down gracefully: hand leadership over and finish pending commands.

        :returns: whether all pending commands were finished.
        """
        return await self._process.drain(
            [self.server],
            self._hand_over_leadership,
            lambda: not self._pending_commands or self._failure is not None,
        )

    async def _hand_over_leadership(self) -> None:
        self._node.transfer_leadership(read_monotonic())
        await self._flush_event.set()

    async def run(self) -> int:
        """Run until a stop signal arrives.

        :returns: the exit code.
        """
        await self.start()
        await curio.spawn(self._wait_for_stop, daemon=True)
        await self._ending.wait()
        if self._failure is None:
            logger.bind(step="stop", peer="-").info(
                f"{self._stop_signal}: handing leadership over"
            )
            finished = await self.stop()
        if self._failure is not None:
            return self._fail(self._failure)
        return 0 if finished else 1

    async def _wait_for_stop(self) -> None:
        self._stop_signal = await wait_for_stop()
        await self._ending.set()

    def _fail(self, error: Exception) -> int:
        """Report the flush loop's failure, and return the exit code.

        The process exits at once, so that commands not synced are not acknowledged.
        """
        logger.bind(step="flush", peer="-").critical(f"{error!r}")
        self._process.write_timeline_event("failed", detail=str(error))
        return 1
