"""Control-host side of forwarding: target registration and the feed to entry hosts."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Protocol

import curio
from loguru import logger

from bramleyspread_containment import EXPIRY_INTERVAL_S, CrashTable
from bramleyspread_core import (
    Address,
    Command,
    CommandResult,
    ConfirmDeployment,
    DeploymentSource,
    MessageError,
    NotLeader,
    PutDeployment,
    Rejected,
    Undecided,
    ZoneDrainAccepted,
    ZoneDrains,
    ZoneDrainsReport,
    ZoneOrder,
    decode_json,
    encode_json,
    find_command_fault,
    find_size_fault,
)
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._control import COMMANDS_PATH
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon._routes import RouteHandler
from bramleyspread_daemon.forward._document_link import DOCUMENT_PATH
from bramleyspread_daemon.forward._document_service import DocumentService
from bramleyspread_daemon.forward._feed_link import FEED_PATH
from bramleyspread_daemon.forward._origin_tables import OriginTables
from bramleyspread_daemon.forward._wire import (
    ControlWire,
    GetDeployment,
    TargetLeft,
    WireReply,
)
from bramleyspread_daemon.forward._zone_orders import OrderResult, ZoneOrders
from bramleyspread_forwarding import (
    ORIGIN_RETENTION_S,
    Departure,
    FeedPage,
    FeedQuery,
    LiveHosts,
    MalformedRequest,
    TargetHeartbeat,
    TargetRegistry,
)

#: How long a feed query without news is held open, in seconds.
FEED_HOLD_S = 0.4
#: Interval at which held feed queries are checked, in seconds.
TICK_INTERVAL_S = 0.02
#: How long an entry host is listed after its last query, in seconds.
HOST_EXPIRY_S = 1.5
#: Timeout for the leader's answer to a small relayed command, in seconds.
RELAY_TIMEOUT_S = 0.8
#: Timeout for a decision on a small command on this host, in seconds.
DECISION_TIMEOUT_S = 0.9
#: Rate at which a document is expected to be decided at least, in bytes of its text a
#: second. Both timeouts are longer by the time that this takes.
MIN_DECISION_RATE = 2_500_000
#: Interval at which a pending command checks for its result, in seconds.
RESULT_POLL_INTERVAL_S = 0.004
#: Maximum number of control hosts to which a command is relayed in turn.
MAX_RELAYS = 2
#: Path at which operators read and order zone drains.
ZONE_DRAINS_PATH = "/v1/control/zone-drains"


#: Proposes a command to the replicas, and passes the result to the callback.
Propose = Callable[[Command, Callable[[CommandResult], None]], Awaitable[None]]


class DeploymentNode(DeploymentSource, Protocol):
    """The parts of the control host's replicated state that forwarding uses."""

    @property
    def zone_drains(self) -> ZoneDrains:
        """The newest committed zone drains known here."""

    def list_control_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the control hosts."""


class _PendingQuery:
    """An entry host's feed query that is held until there is news."""

    __slots__ = ("answer_by", "query", "reply")

    def __init__(self, query: FeedQuery, reply: Reply, answer_by: float) -> None:
        self.query = query
        self.reply = reply
        self.answer_by = answer_by


class ForwardControl:
    """Extension of a control process for request forwarding."""

    def __init__(
        self,
        node: DeploymentNode,
        wire: ControlWire,
        pool: ConnectionPool,
        own: Address,
        heartbeat_s: float,
        incarnation: str,
        *,
        is_first_start: bool = False,
        zones: Collection[str] = (),
    ) -> None:
        # Before the first start there were no targets to know.
        self._knows_targets_since = -math.inf if is_first_start else read_monotonic()
        self._node = node
        self._wire = wire
        self._pool = pool
        self._own = own
        self._incarnation = incarnation
        self._pending_queries: list[_PendingQuery] = []
        self._live_hosts = LiveHosts(HOST_EXPIRY_S)
        self._documents = DocumentService(
            lambda: node.deployment,
            lambda: node.is_deployment_confirmed(read_monotonic()),
        )
        self._propose: Propose = _refuse_all
        self._zone_orders = ZoneOrders(node, zones, self._decide)
        self._logged_position = 0
        #: Registry of the targets that report to this host.
        self.registry = TargetRegistry(heartbeat_s)
        #: Under which requests targets crash.
        self.crashes = CrashTable()
        #: Which software versions began streams, in case all entry hosts are lost.
        self.origins = OriginTables()
        self._expire_at = 0.0

    def attach(self, propose: Propose) -> None:
        """Set the function that proposes commands to the replicas."""
        self._propose = propose

    def list_routes(self) -> dict[tuple[str, str], RouteHandler]:
        """Return the routes that this extension adds."""
        return {
            ("POST", FEED_PATH): self._handle_query,
            ("POST", DOCUMENT_PATH): self._documents.serve,
            ("GET", ZONE_DRAINS_PATH): self._handle_drains_query,
            ("POST", ZONE_DRAINS_PATH): self._handle_zone_order,
            **self.origins.list_routes(),
        }

    async def answer_unrouted(self, http: HttpRequest, reply: Reply) -> None:
        """Handle calls from operators and targets."""
        # Parsing takes long; a change is larger than the text that it contains.
        if fault := find_size_fault(len(http.body)):
            _send(reply, self._wire.write_fault(MalformedRequest(413, fault)))
            return
        call = self._wire.read_call(http)
        now = read_monotonic()
        match call:
            case TargetHeartbeat() if not self.registry.find_room(call):
                log = logger.bind(step="target", peer=call.target)
                log.warning("refused: no room for another target")
                full = MalformedRequest(503, "too many targets")
                _send(reply, self._wire.write_fault(full))
            case TargetHeartbeat():
                if self.registry.handle_heartbeat(call, now):
                    self._publish_changes(now)
                _send(reply, self._wire.write_acknowledgement())
            case TargetLeft():
                self.registry.handle_departure(call.target, call.born, now)
                self._publish_changes(now)
                _send(reply, self._wire.write_acknowledgement())
            case PutDeployment() if fault := find_command_fault(call):
                _send(reply, self._wire.write_fault(MalformedRequest(413, fault)))
            case PutDeployment():
                await curio.spawn(self._decide_and_reply, call, reply, daemon=True)
            case GetDeployment():
                await curio.spawn(
                    self._decide_and_reply, ConfirmDeployment(), reply, daemon=True
                )
            case ZoneOrder():
                await curio.spawn(self._order_by_wire, call, reply, daemon=True)
            case _:
                _send(reply, self._wire.write_fault(call))

    def _record_departures(self, departures: Iterable[Departure], now: float) -> None:
        """Record targets that said to entry hosts that they leave."""
        changes = [
            self.registry.handle_reported_departure(each.target, each.born, now)
            for each in departures
        ]
        if any(changes):
            self._publish_changes(now)

    async def _decide_and_reply(self, command: Command, reply: Reply) -> None:
        _send(reply, self._wire.write_result(await self._decide(command)))

    async def _decide(self, command: Command) -> CommandResult:
        """Have a command decided here or, if another host leads, by the leader."""
        result = await self._decide_locally(command)
        for _ in range(MAX_RELAYS):
            if not isinstance(result, NotLeader) or result.leader is None:
                break
            result = await self._relay(result.leader, command)
        return result

    async def _decide_locally(self, command: Command) -> CommandResult:
        results: list[CommandResult] = []
        await self._propose(command, results.append)
        deadline = read_monotonic() + DECISION_TIMEOUT_S + _find_size_time(command)
        while not results and read_monotonic() < deadline:
            await curio.sleep(RESULT_POLL_INTERVAL_S)
        return results[0] if results else Undecided("not decided in time")

    async def _relay(self, leader: Address, command: Command) -> CommandResult:
        if leader == self._own:
            return Undecided("no leader is known")
        timeout_s = RELAY_TIMEOUT_S + _find_size_time(command)
        try:
            response = await self._pool.request(
                leader, COMMANDS_PATH, encode_json(command), timeout_s
            )
            result: CommandResult = decode_json(response.body, CommandResult)
        except (RequestNotSentError, ConnectionClosedError, MessageError) as error:
            return Undecided(f"the leader did not answer: {error}")
        return result

    async def _order_by_wire(self, order: ZoneOrder, reply: Reply) -> None:
        result = await self._run_order(order, reply)
        if isinstance(result, MalformedRequest):
            _send(reply, self._wire.write_fault(result))
        else:
            _send(reply, self._wire.write_result(result))

    async def _run_order(self, order: ZoneOrder, reply: Reply) -> OrderResult:
        result = await self._zone_orders.run(order, reply)
        if isinstance(result, ZoneDrainAccepted) and not result.is_repeat:
            self._answer_pending(read_monotonic())
        return result

    async def _handle_zone_order(self, http: HttpRequest, reply: Reply) -> None:
        try:
            order: ZoneOrder = decode_json(http.body, ZoneOrder)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        await curio.spawn(self._order_by_tool, order, reply, daemon=True)

    async def _order_by_tool(self, order: ZoneOrder, reply: Reply) -> None:
        result = await self._run_order(order, reply)
        if isinstance(result, MalformedRequest):
            reply.send_json(Rejected((result.why,)))
        else:
            reply.send_json(result)

    async def _handle_drains_query(self, _: HttpRequest, reply: Reply) -> None:
        await curio.spawn(self._report_drains, reply, daemon=True)

    async def _report_drains(self, reply: Reply) -> None:
        drains = await self._zone_orders.read()
        if drains is None:
            why = "no leader confirms the newest zone drains; ask again"
            reply.send(503, encode_refusal(503, why))
            return
        hosts = self._live_hosts.list_obeyed(read_monotonic())
        reply.send_json(ZoneDrainsReport(drains, hosts))

    async def _handle_query(self, http: HttpRequest, reply: Reply) -> None:
        try:
            query: FeedQuery = decode_json(http.body, FeedQuery)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        now = read_monotonic()
        self._live_hosts.record(query.asker, now, query.drains_revision)
        self._record_departures(query.departures, now)
        if query.crash_news is not None:
            self.crashes.apply(query.crash_news, now)
        pending = _PendingQuery(query, reply, now + FEED_HOLD_S)
        if self._has_changes(query):
            self._answer(pending, now)
        else:
            self._pending_queries.append(pending)

    async def tick(self) -> None:
        """Expire targets without recent heartbeats, and answer due feed queries.

        Call this about every 20 ms.
        """
        now = read_monotonic()
        self._zone_orders.observe(now)
        self.registry.tick(now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRY_INTERVAL_S
            self.crashes.expire(now)
            self.origins.expire()
        self._publish_changes(now)

    def _publish_changes(self, now: float) -> None:
        """Log the targets changed since the last call, and notify entry hosts."""
        for change in self.registry.list_changes(self._logged_position, now):
            notice = change.notice
            logger.bind(
                step="target",
                peer=notice.target,
                service=notice.service,
                address=str(notice.address),
                zone=notice.zone,
                born=notice.born,
                sequence=notice.sequence,
                warm_up_ms=round(notice.warm_up_left_ms),
            ).info("silent" if change.silent else notice.readiness.value)
        self._logged_position = self.registry.position
        self._answer_pending(now)

    def _answer_pending(self, now: float) -> None:
        still_pending = []
        for pending in self._pending_queries:
            if pending.reply.caller_disconnected:
                continue
            if pending.answer_by <= now or self._has_changes(pending.query):
                self._answer(pending, now)
            else:
                still_pending.append(pending)
        self._pending_queries = still_pending

    def _has_changes(self, query: FeedQuery) -> bool:
        if (
            query.incarnation != self._incarnation
            or query.position < self.registry.position
            or query.crash_revision < self.crashes.revision
            or self._has_untold_drains(query)
        ):
            return True
        deployment = self._node.deployment
        known = max(query.version, query.told_version or 0)
        return deployment is not None and deployment.version > known

    def _has_untold_drains(self, query: FeedQuery) -> bool:
        """Whether there are drains that weren't sent to the asking host yet.

        A host of an earlier build doesn't confirm them, and would otherwise get an
        answer at once to each query.
        """
        told = self._live_hosts.find_told(query.asker.host)
        known = max(query.drains_revision, told)
        return known < self._node.zone_drains.revision

    def _answer(self, pending: _PendingQuery, now: float) -> None:
        query = pending.query
        known = query.position if query.incarnation == self._incarnation else 0
        deployment = self._node.deployment
        version = deployment.version if deployment is not None else 0
        expects_document = query.told_version is None and version > query.version
        is_same_process = query.incarnation == self._incarnation
        known_revision = query.entries_revision if is_same_process else 0
        known_crashes = query.crash_revision if is_same_process else 0
        told = query.crash_news
        drains = self._node.zone_drains
        entries = self._live_hosts.list_live(now)
        host_changes = self._live_hosts.list_changes(known_revision)
        page = FeedPage(
            incarnation=self._incarnation,
            position=self.registry.position,
            changes=self.registry.list_changes(known, now),
            deployment=deployment if expects_document else None,
            version=version,
            confirmed=self._node.is_deployment_confirmed(now),
            control=self._node.list_control_addresses(),
            entries=entries if host_changes is None else None,
            added_entries=host_changes.added if host_changes is not None else (),
            removed_entries=host_changes.removed if host_changes is not None else (),
            known_revision=known_revision,
            entries_revision=self._live_hosts.revision,
            crash_news=(
                self.crashes.list_news(known_crashes, now)
                if known_crashes < self.crashes.revision
                else None
            ),
            heard_crash_revision=told.revision if told is not None else 0,
            zone_drains=drains if query.drains_revision < drains.revision else None,
            history_s=0 if is_same_process else self._find_history_s(now),
        )
        self._live_hosts.record_told(query.asker.host, drains.revision)
        pending.reply.send_json(page)

    def _find_history_s(self, now: float) -> int:
        return int(min(now - self._knows_targets_since, ORIGIN_RETENTION_S))


def _find_size_time(command: Command) -> float:
    """Find the time that the size of a command adds to its timeouts, in seconds."""
    if not isinstance(command, PutDeployment):
        return 0.0
    return len(command.text) / MIN_DECISION_RATE


def _send(reply: Reply, written: WireReply) -> None:
    reply.send(written.status, written.body, written.headers)


async def _refuse_all(
    command: Command, on_result: Callable[[CommandResult], None]
) -> None:
    on_result(Undecided("this host has not started yet"))
