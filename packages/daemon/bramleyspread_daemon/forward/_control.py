"""What a control host does for forwarding: hears targets, feeds entry hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import curio
from loguru import logger

from bramleyspread_core import (
    Address,
    Command,
    CommandResult,
    ConfirmDeployment,
    DeploymentSource,
    MessageError,
    NotLeader,
    PutDeployment,
    Undecided,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import write_refusal
from bramleyspread_daemon._routes import Route
from bramleyspread_daemon.forward._feed_link import FEED_PATH
from bramleyspread_daemon.forward._wire import (
    ControlWire,
    DocumentWanted,
    TargetLeft,
    WireReply,
)
from bramleyspread_forwarding import (
    FeedPage,
    FeedQuery,
    LiveHosts,
    TargetNotice,
    TargetRegistry,
)

#: Where control hosts take each other's commands.
COMMANDS_PATH = "/v1/control/commands"
#: How long an entry host without news is kept waiting, in seconds.
FEED_WAIT_S = 0.4
#: How often waiting entry hosts are looked through, in seconds.
TICK_S = 0.02
#: How long an entry host that doesn't ask is told of, in seconds.
HOST_S = 1.5
#: Most time for the leader to answer a command passed on, in seconds.
RELAY_S = 0.8
#: Most time for a decision here, in seconds.
DECIDE_S = 0.9
#: How often a command that waits looks for its result, in seconds.
POLL_S = 0.004
#: Control hosts that a command is passed on to, one after the other.
MOST_RELAYS = 2


#: Puts a command to the replicas; the result goes to the function given.
Propose = Callable[[Command, Callable[[CommandResult], None]], Awaitable[None]]


class DeploymentNode(DeploymentSource, Protocol):
    """The control host's decisions, as far as forwarding needs them."""

    def list_members(self) -> tuple[Address, ...]:
        """List where the control hosts listen."""


class _Asker:
    """An entry host that waits for news."""

    __slots__ = ("due", "query", "reply")

    def __init__(self, query: FeedQuery, reply: Reply, due: float) -> None:
        self.query = query
        self.reply = reply
        self.due = due


class ForwardControl:
    """An extension of a control process."""

    def __init__(
        self,
        node: DeploymentNode,
        wire: ControlWire,
        pool: ConnectionPool,
        own: Address,
        heartbeat_s: float,
        life: str,
    ) -> None:
        self._node = node
        self._wire = wire
        self._pool = pool
        self._own = own
        self._life = life
        self._askers: list[_Asker] = []
        self._live_hosts = LiveHosts(HOST_S)
        self._propose: Propose = _refuse_all
        self._logged = 0
        #: The targets that this host has heard.
        self.registry = TargetRegistry(heartbeat_s)

    def attach(self, propose: Propose) -> None:
        """Say how commands are put to the replicas."""
        self._propose = propose

    def list_routes(self) -> dict[tuple[str, str], Route]:
        """List its own routes."""
        return {("POST", FEED_PATH): self._take_query}

    async def answer_other(self, http: HttpRequest, reply: Reply) -> None:
        """Answer operators and targets."""
        call = self._wire.read_call(http)
        now = read_monotonic()
        match call:
            case TargetNotice():
                if self.registry.hear(call, now):
                    self._tell_news(now)
                _send(reply, self._wire.write_heard())
            case TargetLeft():
                self.registry.leave(call.target, call.born, now)
                self._tell_news(now)
                _send(reply, self._wire.write_heard())
            case PutDeployment():
                await curio.spawn(self._decide_for, call, reply, daemon=True)
            case DocumentWanted():
                await curio.spawn(
                    self._decide_for, ConfirmDeployment(), reply, daemon=True
                )
            case _:
                _send(reply, self._wire.write_fault(call))

    async def _decide_for(self, command: Command, reply: Reply) -> None:
        _send(reply, self._wire.write_result(await self._decide(command)))

    async def _decide(self, command: Command) -> CommandResult:
        """Have a command decided here, or by the leader."""
        result = await self._decide_here(command)
        for _ in range(MOST_RELAYS):
            if not isinstance(result, NotLeader) or result.leader is None:
                break
            result = await self._relay(result.leader, command)
        return result

    async def _decide_here(self, command: Command) -> CommandResult:
        results: list[CommandResult] = []
        await self._propose(command, results.append)
        until = read_monotonic() + DECIDE_S
        while not results and read_monotonic() < until:
            await curio.sleep(POLL_S)
        return results[0] if results else Undecided("not decided in time")

    async def _relay(self, leader: Address, command: Command) -> CommandResult:
        if leader == self._own:
            return Undecided("no leader is known")
        try:
            response = await self._pool.ask(
                leader, COMMANDS_PATH, encode_json(command), RELAY_S
            )
            result: CommandResult = decode_json(response.body, CommandResult)
        except (UnsentError, ClosedError, MessageError) as error:
            return Undecided(f"the leader did not answer: {error}")
        return result

    async def _take_query(self, http: HttpRequest, reply: Reply) -> None:
        try:
            query: FeedQuery = decode_json(http.body, FeedQuery)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        now = read_monotonic()
        self._live_hosts.note(query.asker, now)
        asker = _Asker(query, reply, now + FEED_WAIT_S)
        if self._has_news(query):
            self._answer(asker, now)
        else:
            self._askers.append(asker)

    async def tick(self) -> None:
        """Let time pass; call every few hundredths of a second."""
        now = read_monotonic()
        self.registry.tick(now)
        self._tell_news(now)

    def _tell_news(self, now: float) -> None:
        """Log what targets have changed since the last time, and tell entry hosts."""
        for change in self.registry.list_changes(self._logged):
            notice = change.notice
            logger.bind(
                step="target",
                peer=notice.target,
                service=notice.service,
                address=str(notice.address),
                zone=notice.zone,
                born=notice.born,
                sequence=notice.sequence,
            ).info("silent" if change.silent else notice.readiness.value)
        self._logged = self.registry.position
        self._feed(now)

    def _feed(self, now: float) -> None:
        waiting = []
        for asker in self._askers:
            if asker.reply.left:
                continue
            if asker.due <= now or self._has_news(asker.query):
                self._answer(asker, now)
            else:
                waiting.append(asker)
        self._askers = waiting

    def _has_news(self, query: FeedQuery) -> bool:
        if query.life != self._life or query.position < self.registry.position:
            return True
        deployment = self._node.deployment
        return deployment is not None and deployment.version > query.version

    def _answer(self, asker: _Asker, now: float) -> None:
        query = asker.query
        known = query.position if query.life == self._life else 0
        deployment = self._node.deployment
        version = deployment.version if deployment is not None else 0
        page = FeedPage(
            life=self._life,
            position=self.registry.position,
            changes=self.registry.list_changes(known),
            deployment=deployment if version > query.version else None,
            version=version,
            confirmed=self._node.confirms_deployment(now),
            control=self._node.list_members(),
            entries=self._live_hosts.list_present(now),
        )
        asker.reply.send_json(page)


def _send(reply: Reply, written: WireReply) -> None:
    reply.send(written.status, written.body, written.headers)


async def _refuse_all(
    command: Command, on_result: Callable[[CommandResult], None]
) -> None:
    on_result(Undecided("this host has not started yet"))
