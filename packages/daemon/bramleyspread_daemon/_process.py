"""Functions shared by the processes of all roles."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Protocol

import curio
from loguru import logger

from bramleyspread_core import Address, Breach, ContractWatch, UnstampedEvent
from bramleyspread_daemon._clock import ProcessClock, read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._messenger import PeerMessenger
from bramleyspread_daemon._metrics import Metrics, send_metrics
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon._reload_signal import (
    record_reload_signals,
    take_reload_signals,
)
from bramleyspread_daemon._routes import RouteHandler
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon._settings import Limits
from bramleyspread_daemon._stop_signal import find_stop_signal, record_stop_signals
from bramleyspread_daemon._timeline import TimelineFile
from bramleyspread_daemon._traffic import TRAFFIC_LOG_INTERVAL_S

#: How often expired idle connections are closed.
POOL_SWEEP_INTERVAL_S = 5.0
#: How often a process checks for a received signal.
STOP_CHECK_INTERVAL_S = 0.05
#: How often a draining process checks whether it has finished.
DRAIN_CHECK_INTERVAL_S = 0.02
#: Time before the end of a stop at which requests without an answer get one, in
#: seconds. A slow processor needs it to write them all.
ANSWER_LEAD_S = 0.7
#: Time after the beginning of a stop in which a process at least hands over what it
#: leads, in seconds.
HAND_OVER_S = 0.3


class ProcessSettings(Protocol):
    """The settings that every process has."""

    @property
    def host(self) -> str:
        """The name of the host."""

    @property
    def timeline(self) -> str:
        """The file to which timeline events are written."""

    @property
    def limits(self) -> Limits:
        """The limits on connections and requests."""

    @property
    def link_mbps(self) -> float:
        """The rate of the host's network link, in Mbit/s; 0 if unknown."""


class Process:
    """The components that entry and control processes have in common."""

    def __init__(self, settings: ProcessSettings) -> None:
        #: The settings of the process.
        self.settings = settings
        #: The clock that stamps messages and events.
        self.clock = ProcessClock()
        #: The file of its timeline events.
        self.timeline = TimelineFile(Path(settings.timeline), settings.host, self.clock)
        #: The pool of connections to targets and other hosts.
        self.pool = ConnectionPool(self.clock)
        #: Sends messages to other hosts of the deployment.
        self.messenger = PeerMessenger(self.pool)
        #: Counts and reports violations of contracts: invariants checked at run time.
        self.contract_watch = ContractWatch(on_breach=self._report_breach)
        #: The start time in milliseconds since 1970, which increases with each start.
        self.incarnation = time.time_ns() // 1_000_000
        #: Whether a graceful shutdown has begun.
        self.is_stopping = False

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return read_monotonic()

    def write_timeline_event(self, kind: str, peer: str = "", detail: str = "") -> None:
        """Write an event about the process itself to the timeline.

        :param kind: the kind of event.
        :param peer: the peer involved.
        :param detail: the human-readable explanation.
        """
        self.timeline.write(UnstampedEvent(kind, peer=peer, detail=detail))

    def _report_breach(self, breach: Breach) -> None:
        event = UnstampedEvent(
            "contract-breach",
            request=breach.subject,
            step=breach.contract,
            detail=breach.detail,
        )
        self.timeline.write(event)
        log = logger.bind(step=breach.contract, peer=breach.subject)
        log.error(f"contract violated: {breach.detail}")

    def list_routes(
        self,
        find_unready_reason: Callable[[], str],
        fill_role_metrics: Callable[[Metrics], None],
    ) -> dict[tuple[str, str], RouteHandler]:
        """List the routes that every role has.

        :param find_unready_reason: returns why the process is not ready; empty when
            it is ready.
        :param fill_role_metrics: sets the metrics of the role.
        :returns: handlers by method and path.
        """

        async def answer_metrics(_: HttpRequest, reply: Reply) -> None:
            metrics = Metrics(self.settings.host)
            self._fill_metrics(metrics)
            fill_role_metrics(metrics)
            send_metrics(metrics, reply)

        routes = self.list_health_routes(find_unready_reason)
        routes[("GET", "/metrics")] = answer_metrics
        return routes

    def list_health_routes(
        self, find_unready_reason: Callable[[], str]
    ) -> dict[tuple[str, str], RouteHandler]:
        """List the health-check routes for load balancers.

        :param find_unready_reason: returns why the process is not ready; empty when
            it is ready.
        :returns: handlers by method and path.
        """

        async def answer_live(_: HttpRequest, reply: Reply) -> None:
            reply.send_json({"live": True})

        async def answer_ready(_: HttpRequest, reply: Reply) -> None:
            why = "stopping" if self.is_stopping else find_unready_reason()
            if why:
                reply.send(503, encode_refusal(503, why))
            else:
                reply.send_json({"ready": True})

        return {
            ("GET", "/v1/live"): answer_live,
            ("GET", "/v1/ready"): answer_ready,
        }

    def _fill_metrics(self, metrics: Metrics) -> None:
        count = metrics.set_counter
        count("breaches_total", "Contracts found broken.", self.contract_watch.count)
        count("timeline_events_total", "Events written.", self.timeline.written)
        count("peer_messages_total", "Sent to hosts.", self.messenger.sent)
        count("peer_messages_lost_total", "Not delivered.", self.messenger.lost)
        count("peer_messages_refused_total", "Refused.", self.messenger.refused)
        count("peer_bytes_total", "Bytes sent to hosts.", self.messenger.bytes_sent)
        self.pool.traffic.fill_metrics(metrics)
        pool_counts = self.pool.counts
        count("connections_opened_total", "To others.", pool_counts.opened)
        count("connections_reused_total", "To others.", pool_counts.reused)
        count(
            "connections_dropped_total", "As old as a silent one.", pool_counts.dropped
        )
        processor_seconds = time.process_time()
        count(
            "processor_seconds_total",
            "Processor time of this process.",
            processor_seconds,
        )

    def fill_server_metrics(self, metrics: Metrics, *servers: HttpServer) -> None:
        """Set the metrics of the process's servers, summed over all of them.

        :param metrics: the metrics to set.
        :param servers: the servers.
        """
        connections = sum(server.open_connections for server in servers)
        metrics.set_gauge("open_connections", "From others.", connections)
        accepted = sum(server.accepted for server in servers)
        metrics.set_counter("accepted_total", "Connections taken.", accepted)
        requests = sum(server.requests for server in servers)
        metrics.set_counter("http_requests_total", "HTTP requests.", requests)
        refusals: Counter[int] = Counter()
        for server in servers:
            refusals.update(server.refusals)
        for status, number in refusals.items():
            name = "http_refusals_total"
            metrics.set_counter(name, "Not taken as HTTP.", number, status=str(status))

    async def announce_start(self, role: str, address: Address) -> None:
        """Start the background task of every role, and report that the process listens.

        :param role: the role's name.
        :param address: the address it listens on.
        """
        await curio.spawn(self.sweep_pool, daemon=True)
        await curio.spawn(
            run_periodically,
            self.log_traffic,
            "link",
            lambda: TRAFFIC_LOG_INTERVAL_S,
            daemon=True,
        )
        self.write_timeline_event("started", detail=f"{role} at {address}")
        logger.bind(step="start", peer="-").info(f"{role} host at {address}")

    async def drain(
        self,
        servers: Sequence[HttpServer],
        begin: Callable[[], Awaitable[None]],
        is_idle: Callable[[], bool],
        finish: Callable[[], Awaitable[None]] | None = None,
        answer_waiting: Callable[[], Awaitable[int]] | None = None,
    ) -> bool:
        """Shut down gracefully.

        Readiness fails at once, but requests are still accepted during the grace
        period, until load balancers and peers have noticed. Then the process finishes
        what is in flight.

        :param servers: the process's servers.
        :param begin: awaited when draining begins.
        :param is_idle: whether nothing except replies is in flight.
        :param finish: awaited before the connections that are left are closed.
        :param answer_waiting: awaited shortly before; answers the requests whose
            answers have not begun, and returns their number.
        :returns: whether everything in flight was finished in time.
        """

        def is_finished() -> bool:
            return is_idle() and not any(
                server.open_replies or server.has_unread_bytes for server in servers
            )

        limits = self.settings.limits
        stop = find_stop_signal()
        began_at = stop.arrived_at if stop is not None else read_monotonic()
        # A slow processor must not move the end, which may be followed by a kill.
        accepts_until = began_at + limits.grace_s
        ends_at = accepts_until + limits.drain_s
        self.is_stopping = True
        for server in servers:
            server.draining = True
            server.refuses_from = accepts_until
        self.write_timeline_event("draining")
        await begin()
        hand_over_s = min(HAND_OVER_S, limits.grace_s)
        await curio.sleep(max(accepts_until - read_monotonic(), hand_over_s))
        for server in servers:
            await server.stop_accepting()
        replies = sum(server.open_replies for server in servers)
        log = logger.bind(step="stop", peer="-")
        log.info(f"accepts no more connections; {replies} replies are unfinished")
        answered = 0
        if answer_waiting is not None:
            lead_ends_at = max(ends_at - ANSWER_LEAD_S, accepts_until)
            if not await wait_until(is_finished, lead_ends_at - read_monotonic()):
                answered = await answer_waiting()
        finished = await wait_until(is_finished, ends_at - read_monotonic())
        if finish is not None:
            await finish()
        for server in servers:
            await server.close_connections()
        finished = finished and not answered
        log.info("stopped" if finished else "stopped; unfinished requests were ended")
        self.write_timeline_event("stopped", detail="" if finished else "cut off")
        return finished

    async def log_traffic(self) -> None:
        """Log the bytes sent and received since the last call, by conversation."""
        self.pool.traffic.log(self.now(), self.settings.link_mbps)

    async def sweep_pool(self) -> None:
        """Close expired idle connections periodically."""
        while True:
            await curio.sleep(POOL_SWEEP_INTERVAL_S)
            await self.pool.close_idle(read_monotonic())


async def run_periodically(
    action: Callable[[], Awaitable[None]], name: str, pause: Callable[[], float]
) -> None:
    """Run an action periodically; an exception in it is logged and not fatal.

    :param action: the action.
    :param name: the step under which it is logged.
    :param pause: returns the pause after each run, in seconds.
    """
    while True:
        try:
            await action()
        except Exception:
            logger.bind(step=name, peer="-").exception(
                "periodic task failed; it will run again"
            )
        await curio.sleep(pause())


async def wait_for_stop(
    reload: Callable[[], Awaitable[None]] | None = None,
) -> str:
    """Wait for SIGTERM or SIGINT.

    :param reload: awaited after each SIGHUP, also one before this call, to read the
        settings again.
    :returns: the name of the stop signal.
    """
    record_reload_signals()
    record_stop_signals()
    while (stop := find_stop_signal()) is None:
        await curio.sleep(STOP_CHECK_INTERVAL_S)
        if take_reload_signals() and reload is not None:
            await reload()
    return stop.name


async def wait_until(is_done: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds.

    :param is_done: the condition.
    :param timeout_s: the timeout in seconds.
    :returns: whether the condition held in time.
    """
    deadline = read_monotonic() + timeout_s
    while not is_done():
        if read_monotonic() >= deadline:
            return False
        await curio.sleep(DRAIN_CHECK_INTERVAL_S)
    return True
