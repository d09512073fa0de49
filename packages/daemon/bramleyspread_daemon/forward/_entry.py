"""Entry process that forwards callers' requests to targets."""

from __future__ import annotations

import math
from random import Random

import curio
from loguru import logger

from bramleyspread_containment import EXPIRY_INTERVAL_S
from bramleyspread_core import Address, Deployment
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._kept_bytes import KeptBytes
from bramleyspread_daemon._metrics import Metrics
from bramleyspread_daemon._process import Process, run_periodically, wait_for_stop
from bramleyspread_daemon._routes import Routes
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon.forward._batching_hosts import PIECES_PATH, RELEASE_PATH
from bramleyspread_daemon.forward._caller_limits import merge_limits
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._feed_link import FeedLink
from bramleyspread_daemon.forward._piece_service import TICK_INTERVAL_S
from bramleyspread_daemon.forward._placement_service import (
    PLACE_PATH,
    PLACED_PATH,
)
from bramleyspread_daemon.forward._placement_service import (
    TICK_INTERVAL_S as PLACEMENT_TICK_INTERVAL_S,
)
from bramleyspread_daemon.forward._relay import RELAY_PATH, RelayService
from bramleyspread_daemon.forward._request_forwarder import (
    RETRY_AFTER_S,
    RequestForwarder,
)
from bramleyspread_daemon.forward._running_requests import RunningRequests
from bramleyspread_daemon.forward._settings import ForwardEntrySettings
from bramleyspread_daemon.forward._settings_source import SettingsSource
from bramleyspread_daemon.forward._stream_keepers import (
    TICK_INTERVAL_S as ORIGIN_TICK_INTERVAL_S,
)
from bramleyspread_daemon.forward._target_connector import (
    TICK_INTERVAL_S as PATH_TICK_INTERVAL_S,
)
from bramleyspread_daemon.forward._wire import (
    CallerWire,
    Refusal,
    TargetWire,
    WireReply,
)
from bramleyspread_daemon.forward._zone_metrics import fill_zone_metrics
from bramleyspread_forwarding import (
    ForwardRequest,
    KeysUnconfirmed,
    KeyUnknown,
    MalformedRequest,
)

#: Time in which a host is ready for callers after its start, also when all control
#: hosts start at the same time, in seconds.
READY_IN_S = 1.5
#: Interval at which the settings file is checked for changes, in seconds.
SETTINGS_CHECK_INTERVAL_S = 1.0
#: Interval at which it is checked whether the views received from control hosts are
#: stale, in seconds.
STALENESS_CHECK_INTERVAL_S = 0.25
#: Interval at which idle connections to targets are checked for expiry, in seconds.
IDLE_CHECK_INTERVAL_S = 1.0


class ForwardEntryProcess:
    """Entry host: accepts callers' requests and forwards them to targets."""

    def __init__(
        self,
        process: Process,
        settings: ForwardEntrySettings,
        callers: CallerWire,
        targets: TargetWire,
        ready_path: str,
        rng: Random,
        source: SettingsSource,
    ) -> None:
        self._source = source
        self._process = process
        self._started_at = process.now()
        self._running = RunningRequests()
        self._settings = settings
        self._wire = callers
        #: State shared by all requests.
        self.context = ForwardContext(
            settings,
            targets,
            process.pool,
            rng,
            process.incarnation,
            self._apply_limits,
        )
        self._link = FeedLink(
            process.pool, self.context.make_query, self.context.handle_page
        )
        routes = process.list_routes(
            self.context.find_unready_reason, self._fill_metrics
        )
        routes[("POST", PIECES_PATH)] = self.context.piece_service.serve
        routes[("POST", RELEASE_PATH)] = self.context.piece_service.releases.serve
        routes[("POST", PLACE_PATH)] = self.context.placement.serve
        routes[("POST", PLACED_PATH)] = self.context.placement.serve_report
        routes |= self.context.stream_keepers.tables.list_routes()
        connector = self.context.upstream.connector
        assert connector is not None
        self._connector = connector
        #: Relays connections of other hosts to targets.
        self.relays = RelayService(
            connector, self.context.targets.may_relay, lambda: process.is_stopping
        )
        routes[("GET", RELAY_PATH)] = self.relays.serve
        limits, clock = settings.limits, process.clock
        kept = KeptBytes(settings.max_kept_bytes)
        #: Serves the other processes of the system.
        self.server = HttpServer(Routes(routes), limits, clock)
        self.server.counted_paths = frozenset(path for _, path in routes)
        health = process.list_health_routes(self.context.find_unready_reason)
        health[("GET", ready_path)] = health[("GET", "/v1/ready")]
        #: Serves the load balancer's health checks.
        self.health = HttpServer(Routes(health), limits, clock)
        #: Serves callers.
        self.public = HttpServer(self, limits, clock)
        self.public.is_public = True
        self.health.is_public = True
        self.public.conversation = "callers"
        self.health.conversation = "health checks"
        for server in (self.server, self.health, self.public):
            server.traffic = process.pool.traffic
            server.kept = kept

    def _apply_limits(self, deployment: Deployment) -> None:
        self.public.limits = merge_limits(self._settings.limits, deployment.limits)

    async def handle(self, http: HttpRequest, reply: Reply) -> None:
        """Handle a caller's request."""
        request = self._wire.read_request(http)
        forwarder = self._admit(request, reply)
        self._log_admission(request, forwarder)
        if isinstance(forwarder, Refusal):
            self._refuse(forwarder, reply)
            return
        task = await curio.spawn(self._running.run, forwarder, daemon=True)

        async def cancel_task() -> None:
            await task.cancel(blocking=False)

        reply.on_disconnect = cancel_task

    async def _end_requests(self) -> None:
        """Answer the requests that are unfinished, and reset relayed connections."""
        await self._running.end_all()
        await self.relays.stop()

    def _admit(
        self, request: ForwardRequest | MalformedRequest, reply: Reply
    ) -> RequestForwarder | Refusal:
        """Match a request to a route, and authenticate its caller."""
        if isinstance(request, MalformedRequest):
            return Refusal(status=request.status, why=request.why)
        retry_after_s = self._estimate_ready_in()
        if self.context.routes is None:
            return Refusal(status=503, why="not ready", retry_after_s=retry_after_s)
        route = self.context.find_route(request.host, request.path)
        is_fresh = self.context.keys.is_fresh(self._process.now())
        if route is None and not is_fresh:
            why = "no such route in a document that can't be confirmed now"
            return Refusal(status=503, why=why, retry_after_s=retry_after_s)
        if route is None:
            return Refusal(status=404, why="no such route")
        holder = None
        if not route.public:
            found = self.context.keys.find_holder(request.key, self._process.now())
            if isinstance(found, KeysUnconfirmed):
                why = "keys can't be confirmed now"
                return Refusal(status=503, why=why, retry_after_s=retry_after_s)
            if isinstance(found, KeyUnknown):
                return Refusal(status=401, why="no such key")
            holder = found
        return RequestForwarder(self.context, self._wire, request, route, holder, reply)

    def _estimate_ready_in(self) -> float:
        """Estimate when this host is ready if it isn't now, in seconds."""
        ready_at = self._started_at + READY_IN_S
        return max(RETRY_AFTER_S, ready_at - self._process.now())

    def _log_admission(
        self,
        request: ForwardRequest | MalformedRequest,
        admitted: RequestForwarder | Refusal,
    ) -> None:
        known = request if isinstance(request, ForwardRequest) else None
        age_s = read_monotonic() - self.context.keys.confirmed_at
        bound = logger.bind(
            step="admit",
            peer="-",
            request=known.request_id if known is not None else "",
            path=known.path if known is not None else "",
            resumes=known.resumes if known is not None else "",
            after_event=known.last_event if known is not None else "",
            version=self.context.version,
            keys_age_ms=round(age_s * 1000) if age_s < math.inf else None,
        )
        if isinstance(admitted, Refusal):
            bound.info(f"refused with {admitted.status}: {admitted.why}")
        else:
            bound.info("taken")

    def _refuse(self, refusal: Refusal, reply: Reply) -> None:
        self.context.end_counts[f"refused with {refusal.status}"] += 1
        written: WireReply = self._wire.write_refusal(refusal)
        reply.send(written.status, written.body, written.headers)

    def _fill_metrics(self, metrics: Metrics) -> None:
        servers = (self.server, self.health, self.public)
        self._process.fill_server_metrics(metrics, *servers)
        for outcome, number in self.context.end_counts.items():
            metrics.set_counter(
                "requests_total", "Requests by end.", number, end=outcome
            )
        metrics.set_gauge(
            "requests_in_flight", "Not yet ended.", self.context.in_flight
        )
        metrics.set_gauge("version", "Document in force.", self.context.version)
        service = self.context.piece_service
        metrics.set_counter("piece_calls_total", "Calls for pieces.", service.calls)
        metrics.set_counter("pieces_total", "Pieces in them.", service.pieces)
        for name, number in service.admission.refused_counts.items():
            text = "Requests refused at arrival, by the stage that is full."
            metrics.set_counter("stage_refusals_total", text, number, service=name)
        self._fill_connection_metrics(metrics)
        self._fill_signal_metrics(metrics)
        fill_zone_metrics(metrics, self.context)
        self._fill_overflow_metrics(metrics)
        crashes = self.context.crashes
        text = "Requests refused because targets crash under such."
        metrics.set_counter("quarantined_requests_total", text, crashes.refused)
        text = "Features of requests under which targets crash."
        number = len(crashes.table.list_quarantines())
        metrics.set_gauge("quarantined_features", text, number)
        held = self.context.upstream.held
        metrics.set_gauge("held_bytes", "Of targets' answers.", held.size)
        metrics.set_counter("answers_given_up_total", "No room.", held.given_up)
        kept = self.public.kept
        metrics.set_gauge("kept_bytes", "Of requests and replies.", kept.size)
        metrics.set_counter("requests_given_up_total", "No room.", kept.given_up)
        metrics.set_counter("feed_failures_total", "Unanswered.", self._link.failures)

    def _fill_connection_metrics(self, metrics: Metrics) -> None:
        upstream = self.context.upstream
        metrics.set_counter("target_connections_total", "Opened.", upstream.opened)
        metrics.set_counter("target_reuses_total", "Used again.", upstream.reused)
        metrics.set_counter(
            "relayed_connections_total", "By other hosts.", self._connector.relayed
        )
        for outcome, number in self._connector.search_counts.items():
            text = "Searches for a host that relays, by end."
            metrics.set_counter("relay_searches_total", text, number, end=outcome)
        metrics.set_gauge("relays_open", "For other hosts.", self.relays.open)
        number = self._connector.paths.count_lost()
        metrics.set_gauge("lost_paths", "Targets that only others reach.", number)
        text = "Questions whether targets live that ended an answer."
        number = self.context.unframed_ends.asked
        metrics.set_counter("life_checks_total", text, number)

    def _fill_signal_metrics(self, metrics: Metrics) -> None:
        signals = self.context.signals
        for name, number in signals.table.counts.items():
            text = "Responses in which a target said so of itself."
            metrics.set_counter("target_signals_total", text, number, signal=name)
        for name, number in signals.unreadable_counts.items():
            text = "Signals whose value could not be read."
            metrics.set_counter("target_signals_unreadable", text, number, signal=name)
        for outcome, number in signals.held_back_counts.items():
            text = "Requests held back by what targets said."
            metrics.set_counter("held_back_total", text, number, outcome=outcome)
        for outcome, number in signals.warm_up_counts.items():
            text = "Requests held back while their service's targets warmed up."
            metrics.set_counter(
                "warm_up_held_back_total", text, number, outcome=outcome
            )
        number = signals.table.warm_ups.count_warming()
        metrics.set_gauge("warming_targets", "Targets that warm up.", number)

    def _fill_overflow_metrics(self, metrics: Metrics) -> None:
        context = self.context
        for report in (context.placement.overflow, context.piece_service.overflow):
            for shard, each in report.list_shares():
                metrics.set_gauge(
                    "zone_share",
                    "Share of a zone's work that a plan sends to another one.",
                    each.share,
                    service=shard.service,
                    shard=str(shard.number),
                    zone=each.source,
                    to=each.target,
                )

    async def start(self) -> Address:
        """Start listening, and start the periodic tasks.

        :returns: the address on which callers are served.
        :raises OSError: if an address can't be bound.
        """
        # Callers come last: an address that is in use delays all that follows.
        await self.server.start(self._settings.listen.address)
        await self.health.start(self._settings.ready.address)
        address = await self.public.start(self._settings.callers.address)
        await self._link.start_polling(self._settings.seed_addresses)
        for action, name, interval_s in (
            (self.context.piece_service.tick, "batch", TICK_INTERVAL_S),
            (self.context.placement.tick, "place", PLACEMENT_TICK_INTERVAL_S),
            (self.context.stream_keepers.tick, "origin", ORIGIN_TICK_INTERVAL_S),
            (self._connector.tick, "path", PATH_TICK_INTERVAL_S),
            (self.context.upstream.close_expired, "idle", IDLE_CHECK_INTERVAL_S),
            (self.context.tick, "targets", STALENESS_CHECK_INTERVAL_S),
            (self.context.crashes.tick, "crashes", EXPIRY_INTERVAL_S),
            (self._watch_settings, "settings", SETTINGS_CHECK_INTERVAL_S),
        ):
            await curio.spawn(
                run_periodically,
                action,
                name,
                lambda interval_s=interval_s: interval_s,
                daemon=True,
            )
        await self._process.announce_start("entry", address)
        return address

    async def reload(self) -> None:
        """Apply the settings that can change at run time: additional control hosts."""
        settings = self._source.read()
        if settings is not None:
            await self._link.start_polling(settings.seed_addresses)

    async def _watch_settings(self) -> None:
        if self._source.has_changed():
            await self.reload()

    async def stop(self) -> bool:
        """Drain: finish the requests in flight, then stop.

        :returns: whether all requests in flight were finished.
        """

        async def do_nothing() -> None:
            return None

        servers = [self.public, self.health, self.server]
        return await self._process.drain(
            servers,
            do_nothing,
            lambda: self.context.in_flight == 0,
            self._end_requests,
            self._running.answer_waiting,
        )

    async def run(self) -> int:
        """Run until a stop is requested.

        :returns: the exit code.
        """
        await self.start()
        name = await wait_for_stop(self.reload)
        logger.bind(step="stop", peer="-").info(f"{name}: draining")
        return 0 if await self.stop() else 1
