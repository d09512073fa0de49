"""What every process of the system does, whatever its role."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Protocol

import curio
from loguru import logger

from bramleyspread_core import Address, Breach, ContractWatch, Happening
from bramleyspread_daemon._clock import ProcessClock, read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._messenger import PeerMessenger
from bramleyspread_daemon._metrics import Metrics, send_metrics
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import write_refusal
from bramleyspread_daemon._routes import Route
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon._settings import Limits
from bramleyspread_daemon._timeline import TimelineFile

#: How often idle connections are looked through, in seconds.
POOL_SWEEP_S = 5.0
#: How often a process looks whether it was asked to stop, in seconds.
STOP_CHECK_S = 0.05
#: How often a stopping process looks whether it is done, in seconds.
DRAIN_CHECK_S = 0.02


class ProcessSettings(Protocol):
    """What every process's settings say."""

    @property
    def host(self) -> str:
        """The host's name."""

    @property
    def timeline(self) -> str:
        """The file of its time line events."""

    @property
    def limits(self) -> Limits:
        """Bounds on peers."""


class Process:
    """The parts that an entry and a control process have in common."""

    def __init__(self, settings: ProcessSettings) -> None:
        #: Its settings.
        self.settings = settings
        #: Stamps messages and events.
        self.clock = ProcessClock()
        #: Its part of the time line.
        self.timeline = TimelineFile(Path(settings.timeline), settings.host, self.clock)
        #: Connections to other processes.
        self.pool = ConnectionPool(self.clock)
        #: Messages to other processes.
        self.messenger = PeerMessenger(self.pool)
        #: Where breaches of contracts are reported.
        self.watch = ContractWatch(on_breach=self._report_breach)
        #: Rises with each start, in milliseconds since 1970.
        self.incarnation = time.time_ns() // 1_000_000
        #: Whether a planned stop has begun.
        self.stopping = False

    def now(self) -> float:
        """Read this process's steady clock, in seconds."""
        return read_monotonic()

    def report(self, kind: str, peer: str = "", detail: str = "") -> None:
        """Write an event of the process itself to the time line.

        :param kind: what happened.
        :param peer: the other side.
        :param detail: what a person should know besides.
        """
        self.timeline.write(Happening(kind, peer=peer, detail=detail))

    def _report_breach(self, breach: Breach) -> None:
        happening = Happening(
            "contract-breach",
            request=breach.subject,
            step=breach.contract,
            detail=breach.detail,
        )
        self.timeline.write(happening)
        log = logger.bind(step=breach.contract, peer=breach.subject)
        log.error(f"contract broken: {breach.detail}")

    def list_routes(
        self, is_ready: Callable[[], str], fill: Callable[[Metrics], None]
    ) -> dict[tuple[str, str], Route]:
        """List the routes that every role has.

        :param is_ready: says why the process is not ready; empty when it is.
        :param fill: sets the role's own metrics.
        :returns: handlers by method and path.
        """

        async def answer_metrics(_: HttpRequest, reply: Reply) -> None:
            metrics = Metrics(self.settings.host)
            self._fill_metrics(metrics)
            fill(metrics)
            send_metrics(metrics, reply)

        routes = self.list_health_routes(is_ready)
        routes[("GET", "/metrics")] = answer_metrics
        return routes

    def list_health_routes(
        self, is_ready: Callable[[], str]
    ) -> dict[tuple[str, str], Route]:
        """List the routes that a balancer asks.

        :param is_ready: says why the process is not ready; empty when it is.
        :returns: handlers by method and path.
        """

        async def answer_live(_: HttpRequest, reply: Reply) -> None:
            reply.send_json({"live": True})

        async def answer_ready(_: HttpRequest, reply: Reply) -> None:
            why = "stopping" if self.stopping else is_ready()
            if why:
                reply.send(503, write_refusal(503, why))
            else:
                reply.send_json({"ready": True})

        return {
            ("GET", "/v1/live"): answer_live,
            ("GET", "/v1/ready"): answer_ready,
        }

    def _fill_metrics(self, metrics: Metrics) -> None:
        count = metrics.count
        count("breaches_total", "Contracts found broken.", self.watch.count)
        count("timeline_events_total", "Events written.", self.timeline.written)
        count("peer_messages_total", "Sent to hosts.", self.messenger.sent)
        count("peer_messages_lost_total", "Not delivered.", self.messenger.lost)
        count("peer_bytes_total", "Bytes sent to hosts.", self.messenger.bytes_sent)
        opened = self.pool.counts
        count("connections_opened_total", "To others.", opened.opened)
        count("connections_reused_total", "To others.", opened.reused)
        count("connections_dropped_total", "As old as a silent one.", opened.dropped)
        spent = time.process_time()
        count("processor_seconds_total", "Processor time of this process.", spent)

    def fill_server_metrics(self, metrics: Metrics, *servers: HttpServer) -> None:
        """Set the metrics of the process's servers, summed up.

        :param metrics: where to set them.
        :param servers: the servers.
        """
        connections = sum(server.open_connections for server in servers)
        metrics.gauge("open_connections", "From others.", connections)
        accepted = sum(server.accepted for server in servers)
        metrics.count("accepted_total", "Connections taken.", accepted)
        requests = sum(server.requests for server in servers)
        metrics.count("http_requests_total", "HTTP requests.", requests)
        refusals: Counter[int] = Counter()
        for server in servers:
            refusals.update(server.refusals)
        for status, number in refusals.items():
            name = "http_refusals_total"
            metrics.count(name, "Not taken as HTTP.", number, status=str(status))

    async def announce_start(self, role: str, address: Address) -> None:
        """Begin what every role does by itself, and say that it listens.

        :param role: what it is.
        :param address: where it listens.
        """
        await curio.spawn(self.keep_pool, daemon=True)
        self.report("started", detail=f"{role} at {address}")
        logger.bind(step="start", peer="-").info(f"{role} host at {address}")

    async def drain(
        self,
        servers: Sequence[HttpServer],
        begin: Callable[[], Awaitable[None]],
        is_idle: Callable[[], bool],
    ) -> bool:
        """Stop as planned: fail readiness, go on while peers notice, then finish.

        :param servers: the process's servers.
        :param begin: what the role does when it begins to drain.
        :param is_idle: whether nothing is in flight besides replies.
        :returns: whether everything in flight was finished in time.
        """

        def is_finished() -> bool:
            return is_idle() and not any(server.replies_open for server in servers)

        limits = self.settings.limits
        self.stopping = True
        for server in servers:
            server.draining = True
        self.report("draining")
        await begin()
        await curio.sleep(limits.grace_s)
        for server in servers:
            await server.stop_accepting()
        finished = await wait_until(is_finished, limits.drain_s)
        for server in servers:
            await server.close_connections()
        self.report("stopped", detail="" if finished else "cut off")
        return finished

    async def keep_pool(self) -> None:
        """Close connections that have been idle for too long, for ever."""
        while True:
            await curio.sleep(POOL_SWEEP_S)
            await self.pool.close_idle(read_monotonic())


async def repeat(
    action: Callable[[], Awaitable[None]], name: str, pause: Callable[[], float]
) -> None:
    """Run an action again and again; a fault in it is logged, not fatal.

    :param action: the action.
    :param name: what it is called in the log.
    :param pause: gives the pause behind each run, in seconds.
    """
    while True:
        try:
            await action()
        except Exception:
            logger.bind(step=name, peer="-").exception("broke off; trying on")
        await curio.sleep(pause())


async def wait_for_stop(
    reload: Callable[[], Awaitable[None]] | None = None,
) -> str:
    """Wait until the process is asked to stop.

    :param reload: awaited whenever the process is asked to read its settings again.
    :returns: the signal's name.
    """
    caught: list[int] = []
    asked: list[int] = []
    signal.signal(signal.SIGHUP, lambda which, _: asked.append(which))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda which, _: caught.append(which))
    while not caught:
        await curio.sleep(STOP_CHECK_S)
        if asked and reload is not None:
            asked.clear()
            await reload()
    return signal.Signals(caught[0]).name


async def wait_until(is_done: Callable[[], bool], limit: float) -> bool:
    """Wait until something is done.

    :param is_done: whether it is.
    :param limit: most time for it, in seconds.
    :returns: whether it was done in time.
    """
    until = read_monotonic() + limit
    while not is_done():
        if read_monotonic() >= until:
            return False
        await curio.sleep(DRAIN_CHECK_S)
    return True
