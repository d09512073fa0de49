"""The entry process: runs the decision logic for callers' requests over HTTP."""

from __future__ import annotations

from random import Random

import curio
from loguru import logger

from bramleyspread_core import (
    Address,
    Announcement,
    AnnouncementAnswer,
    DocumentsPage,
    DocumentsQuery,
    HostName,
    MessageError,
    ZoneName,
    decode_json,
)
from bramleyspread_daemon._callers import (
    SERVICES_PREFIX,
    InvalidRequestError,
    encode_invalid_request,
    parse_caller_request,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._control_client import ControlClient
from bramleyspread_daemon._entry_effects import EffectRunner
from bramleyspread_daemon._exchange import JSON_TYPE, HttpRequest, Reply
from bramleyspread_daemon._messenger import decode_messages
from bramleyspread_daemon._metrics import Metrics
from bramleyspread_daemon._process import Process, run_periodically, wait_for_stop
from bramleyspread_daemon._refusal import encode_refusal, make_retry_headers
from bramleyspread_daemon._routes import Routes
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon._settings import EntrySettings
from bramleyspread_entry import EntryDecisions, IdSource
from bramleyspread_membership import EntryDirectory, StartupGate

#: Minimum interval between ticks of the attempts and the decision logic.
MIN_TICK_INTERVAL_S = 0.002
#: Maximum interval between ticks of the attempts and the decision logic while requests
#: are in flight.
MAX_TICK_INTERVAL_S = 0.01
#: Interval between ticks of the attempts and the decision logic while no requests are
#: in flight.
IDLE_TICK_INTERVAL_S = 0.02
#: How often the directory is ticked.
DIRECTORY_TICK_INTERVAL_S = 0.1
#: How often documents are polled, without jitter.
POLL_INTERVAL_S = 0.95
#: Maximum jitter added to the poll interval.
MAX_POLL_JITTER_S = 0.1
#: Minimum and maximum interval between two targets reports to the control hosts.
REPORT_INTERVAL_RANGE_S = (2.0, 8.0)
#: Approximate number of targets reports per second that all entry hosts together send.
REPORTS_PER_SECOND = 60
#: Interval at which targets are asked to repeat their announcement.
REANNOUNCE_MS = 500
#: Pause before a control host is queried again during startup.
START_RETRY_INTERVAL_S = 0.1
#: Retry-after time for callers while the host is not ready.
NOT_READY_RETRY_AFTER_MS = 500


class EntryProcess:
    """The process of an entry host.

    It receives requests, calls targets, and polls the control hosts for documents.
    """

    def __init__(
        self,
        process: Process,
        settings: EntrySettings,
        directory: EntryDirectory,
        decisions: EntryDecisions,
        ids: IdSource,
        rng: Random,
    ) -> None:
        self._process = process
        self._settings = settings
        self._directory = directory
        self._decisions = decisions
        self._ids = ids
        self._rng = rng
        hosts = [
            (Address.from_text(each.address), ZoneName(each.zone))
            for each in settings.control_hosts
        ]
        zone = ZoneName(settings.zone)
        self._control_client = ControlClient(hosts, zone, process.pool, rng)
        self._startup_gate = StartupGate(len(hosts), read_monotonic())
        self._effects = EffectRunner(
            decisions,
            directory,
            process.pool,
            self._control_client,
            process.timeline,
        )
        limits, clock = settings.limits, process.clock
        #: The HTTP server for targets, other hosts and operators.
        self.server = HttpServer(self._list_routes(), limits, clock)
        #: The HTTP server for callers; the same one unless the settings give callers
        #: an address of their own.
        self.public_server = self.server
        #: The address for callers, once it listens.
        self.public_address = settings.listen.address
        if settings.callers is not None:
            self.public_server = HttpServer(self._list_caller_routes(), limits, clock)

    @property
    def in_flight(self) -> int:
        """Number of requests not yet answered and settlements not yet durable."""
        return self._decisions.in_flight

    def _list_routes(self) -> Routes:
        routes = self._process.list_routes(
            self._find_unready_reason, self._fill_metrics
        )
        routes[("POST", "/v1/announcements")] = self._receive_announcement
        routes[("POST", "/v1/peer")] = self._receive_messages
        routes[("GET", "/v1/in-force")] = self._answer_hosts
        routes[("GET", "/v1/cost")] = self._answer_cost_report
        callers = {("POST", SERVICES_PREFIX): self._serve_caller}
        return Routes(routes, callers if self._settings.callers is None else None)

    def _list_caller_routes(self) -> Routes:
        """List the only routes open to callers and the load balancer."""
        routes = self._process.list_health_routes(self._find_unready_reason)
        return Routes(routes, {("POST", SERVICES_PREFIX): self._serve_caller})

    def _find_unready_reason(self) -> str:
        if not self._directory.list_documents():
            return "no documents yet"
        if not self._startup_gate.is_open(read_monotonic()):
            return "its documents may be older than before its start"
        return ""

    async def _serve_caller(self, http: HttpRequest, reply: Reply) -> None:
        unready_reason = self._find_unready_reason()
        if unready_reason:
            body = encode_refusal(503, unready_reason)
            reply.send(
                503, body, (JSON_TYPE, *make_retry_headers(NOT_READY_RETRY_AFTER_MS))
            )
            return
        request_id = self._ids.next_request()
        try:
            request = parse_caller_request(http, request_id)
        except InvalidRequestError as error:
            reply.send(400, encode_invalid_request(request_id, str(error)))
            return
        await self._effects.handle_request(request, reply)

    async def _receive_announcement(self, http: HttpRequest, reply: Reply) -> None:
        try:
            announcement: Announcement = decode_json(http.body, Announcement)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        now = read_monotonic()
        sends = self._directory.handle_announcement(announcement, now)
        reply.send_json(AnnouncementAnswer(self._settings.host, REANNOUNCE_MS))
        await self._process.messenger.send(sends)

    async def _receive_messages(self, http: HttpRequest, reply: Reply) -> None:
        try:
            messages = decode_messages(http.body)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send(204, b"")
        for message in messages:
            sends = self._directory.handle_message(message, read_monotonic())
            await self._process.messenger.send(sends)

    async def _answer_hosts(self, _: HttpRequest, reply: Reply) -> None:
        reply.send_json(list(self._directory.list_hosts(read_monotonic())))

    async def _answer_cost_report(self, _: HttpRequest, reply: Reply) -> None:
        reply.send_json(self._decisions.cost_report())

    def _fill_metrics(self, metrics: Metrics) -> None:
        self._process.fill_server_metrics(metrics, *self._servers)
        counts = self._effects.counts
        for status, number in counts.answers.items():
            help_text = "Final answers to callers."
            metrics.set_counter("answers_total", help_text, number, status=str(status))
        for (kind, reason), number in counts.outcomes.items():
            labels = {"outcome": kind.lower(), "reason": reason}
            metrics.set_counter("attempts_total", "Attempts by end.", number, **labels)
        for event, number in self._decisions.count_events().items():
            help_text = "What the decisions counted."
            metrics.set_counter("decisions_total", help_text, number, event=event)
        metrics.set_counter("tokens_total", "Tokens passed on.", counts.tokens)
        attempts = self._effects.attempts
        metrics.set_counter(
            "crossed_total", "Answers to other attempts.", attempts.mismatched_answers
        )
        metrics.set_gauge(
            "attempts_running", "Attempts on their way.", attempts.running
        )
        in_flight = self._decisions.in_flight
        metrics.set_gauge(
            "requests_in_flight", "Not yet answered or settled.", in_flight
        )
        metrics.set_gauge("revision", "Changes in force.", self._directory.revision)
        metrics.set_counter(
            "control_tries_total",
            "Commands sent.",
            self._control_client.command_attempts,
        )
        metrics.set_counter(
            "control_misses_total",
            "Met no leader.",
            self._control_client.failed_commands,
        )

    async def _tick_directory(self) -> None:
        sends = self._directory.tick(read_monotonic())
        await self._process.messenger.send(sends)
        for event in self._directory.drain_events():
            self._process.timeline.write(event)

    async def _poll_documents(self) -> None:
        self._apply_documents(
            await self._control_client.poll_documents(self._make_documents_query())
        )

    async def _fetch_documents_at_start(self, address: Address) -> None:
        """Query one control host until this host has all of its documents.

        Stops early when enough other control hosts have answered, or the startup
        timeout has passed, so that callers may be served.
        """
        while not self._startup_gate.is_open(read_monotonic()):
            page = await self._control_client.query_documents(
                address, self._make_documents_query()
            )
            self._apply_documents(page)
            if page is None or not page.revision:
                await curio.sleep(START_RETRY_INTERVAL_S)
            elif page.revision <= self._directory.revision and not page.documents:
                self._startup_gate.record_response(address)
                return

    def _apply_documents(self, page: DocumentsPage | None) -> None:
        if page is None:
            return
        for event in self._directory.apply_documents(page, read_monotonic()):
            self._process.timeline.write(event)

    def _make_documents_query(self) -> DocumentsQuery:
        return DocumentsQuery(
            HostName(self._settings.host),
            self._settings.zone,
            self._settings.listen.address,
            self._directory.revision,
        )

    async def _report_targets(self) -> None:
        report = self._directory.report_targets(read_monotonic())
        if report.targets:
            await self._control_client.report_targets(report)

    def _choose_tick_pause(self) -> float:
        due = self._decisions.next_due()
        if due is None or not self._decisions.in_flight:
            return IDLE_TICK_INTERVAL_S
        return min(
            max(due - read_monotonic(), MIN_TICK_INTERVAL_S), MAX_TICK_INTERVAL_S
        )

    def _choose_report_pause(self) -> float:
        """Return the pause before the next targets report.

        It grows with the number of entry hosts, to limit the load on the leader.
        """
        hosts = len(self._directory.list_hosts(read_monotonic()))
        shortest, longest = REPORT_INTERVAL_RANGE_S
        return min(longest, max(shortest, hosts / REPORTS_PER_SECOND))

    def _draw_poll_pause(self) -> float:
        return POLL_INTERVAL_S + self._rng.uniform(0, MAX_POLL_JITTER_S)

    async def start(self) -> Address:
        """Listen, and start the background tasks.

        :returns: the address it listens on.
        :raises OSError: when the address cannot be bound.
        """
        address = await self.server.start(self._settings.listen.address)
        if self._settings.callers is not None:
            self.public_address = await self.public_server.start(
                self._settings.callers.address
            )
        for action, name, pause in (
            (self._effects.tick, "tick", self._choose_tick_pause),
            (self._tick_directory, "directory", lambda: DIRECTORY_TICK_INTERVAL_S),
            (self._poll_documents, "documents", self._draw_poll_pause),
            (self._report_targets, "targets", self._choose_report_pause),
        ):
            await curio.spawn(run_periodically, action, name, pause, daemon=True)
        for host in self._control_client.hosts:
            await curio.spawn(self._fetch_documents_at_start, host, daemon=True)
        await self._process.announce_start("entry", address)
        return address

    async def stop(self) -> bool:
        """Shut down gracefully after finishing the requests in flight.

        :returns: whether all of them were finished.
        """
        return await self._process.drain(
            self._servers,
            self._begin_drain,
            lambda: self._decisions.in_flight == 0,
        )

    async def _begin_drain(self) -> None:
        await self._effects.apply(self._decisions.begin_drain(read_monotonic()))

    @property
    def _servers(self) -> tuple[HttpServer, ...]:
        if self.public_server is self.server:
            return (self.server,)
        return (self.server, self.public_server)

    async def run(self) -> int:
        """Run until a stop signal arrives.

        :returns: the exit code.
        """
        await self.start()
        name = await wait_for_stop()
        logger.bind(step="stop", peer="-").info(f"{name}: draining")
        finished = await self.stop()
        return 0 if finished else 1
