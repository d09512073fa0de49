"""The entry process: callers and targets on one side, the decisions on the other."""

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
    CallerError,
    describe_caller_fault,
    read_caller_request,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._control_link import ControlLink
from bramleyspread_daemon._entry_effects import EffectRunner
from bramleyspread_daemon._exchange import JSON_TYPE, HttpRequest, Reply
from bramleyspread_daemon._messenger import read_messages
from bramleyspread_daemon._metrics import Metrics
from bramleyspread_daemon._process import Process, repeat, wait_for_stop
from bramleyspread_daemon._refusal import write_refusal, write_retry
from bramleyspread_daemon._routes import Routes
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon._settings import EntrySettings
from bramleyspread_entry import EntryDecisions, IdSource
from bramleyspread_membership import EntryDirectory, StartGate

#: Shortest pause between two looks at what is due, in seconds.
TICK_S = 0.002
#: Longest such pause while requests are in flight, in seconds.
MAX_TICK_S = 0.01
#: The pause while there are none, in seconds.
IDLE_TICK_S = 0.02
#: How often the directory sees time pass, in seconds.
DIRECTORY_TICK_S = 0.1
#: How often documents are asked for, in seconds; jitter comes on top.
POLL_S = 0.95
#: Most jitter between questions for documents, in seconds.
POLL_JITTER_S = 0.1
#: Shortest and longest time between two reports of targets, in seconds.
REPORT_S = (2.0, 8.0)
#: Entry hosts that send one report a second together, about.
REPORTS_S = 60
#: When targets are asked to announce themselves again, in milliseconds.
AGAIN_MS = 500
#: Pause before a control host is asked again at the start, in seconds.
START_PAUSE_S = 0.1
#: When a caller is to come back that came before the host was ready, in milliseconds.
NOT_READY_MS = 500


class EntryProcess:
    """One entry host: takes requests, calls targets, follows the control hosts."""

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
        self._link = ControlLink(hosts, zone, process.pool, rng)
        self._gate = StartGate(len(hosts), read_monotonic())
        self._effects = EffectRunner(
            decisions,
            directory,
            process.pool,
            self._link,
            process.timeline,
        )
        limits, clock = settings.limits, process.clock
        #: Its HTTP server.
        self.server = HttpServer(self._list_routes(), limits, clock)
        #: The HTTP server for callers; the same one unless settings part them.
        self.public = self.server
        #: Where callers are taken, once it listens.
        self.public_address = settings.listen.address
        if settings.callers is not None:
            self.public = HttpServer(self._list_caller_routes(), limits, clock)

    @property
    def in_flight(self) -> int:
        """Requests not yet answered, and settlements not yet durable."""
        return self._decisions.in_flight

    def _list_routes(self) -> Routes:
        routes = self._process.list_routes(self._find_unready, self._fill_metrics)
        routes[("POST", "/v1/announcements")] = self._hear
        routes[("POST", "/v1/peer")] = self._receive
        routes[("GET", "/v1/in-force")] = self._answer_in_force
        routes[("GET", "/v1/cost")] = self._answer_cost
        callers = {("POST", SERVICES_PREFIX): self._serve_caller}
        return Routes(routes, callers if self._settings.callers is None else None)

    def _list_caller_routes(self) -> Routes:
        """List what callers and the balancer may reach, and nothing else."""
        routes = self._process.list_health_routes(self._find_unready)
        return Routes(routes, {("POST", SERVICES_PREFIX): self._serve_caller})

    def _find_unready(self) -> str:
        if not self._directory.list_documents():
            return "no documents yet"
        if not self._gate.is_open(read_monotonic()):
            return "its documents may be older than before its start"
        return ""

    async def _serve_caller(self, http: HttpRequest, reply: Reply) -> None:
        unready = self._find_unready()
        if unready:
            body = write_refusal(503, unready)
            reply.send(503, body, (JSON_TYPE, *write_retry(NOT_READY_MS)))
            return
        name = self._ids.next_request()
        try:
            request = read_caller_request(http, name)
        except CallerError as error:
            reply.send(400, describe_caller_fault(name, str(error)))
            return
        await self._effects.arrive(request, reply)

    async def _hear(self, http: HttpRequest, reply: Reply) -> None:
        try:
            announcement: Announcement = decode_json(http.body, Announcement)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        now = read_monotonic()
        sends = self._directory.hear(announcement, now)
        reply.send_json(AnnouncementAnswer(self._settings.host, AGAIN_MS))
        await self._process.messenger.send(sends)

    async def _receive(self, http: HttpRequest, reply: Reply) -> None:
        try:
            messages = read_messages(http.body)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        reply.send(204, b"")
        for message in messages:
            sends = self._directory.receive(message, read_monotonic())
            await self._process.messenger.send(sends)

    async def _answer_in_force(self, _: HttpRequest, reply: Reply) -> None:
        reply.send_json(list(self._directory.list_hosts(read_monotonic())))

    async def _answer_cost(self, _: HttpRequest, reply: Reply) -> None:
        reply.send_json(self._decisions.cost_report())

    def _fill_metrics(self, metrics: Metrics) -> None:
        self._process.fill_server_metrics(metrics, *self._servers)
        counts = self._effects.counts
        for status, number in counts.answers.items():
            what = "Final answers to callers."
            metrics.count("answers_total", what, number, status=str(status))
        for (kind, reason), number in counts.outcomes.items():
            labels = {"outcome": kind.lower(), "reason": reason}
            metrics.count("attempts_total", "Attempts by end.", number, **labels)
        for event, number in self._decisions.count_events().items():
            what = "What the decisions counted."
            metrics.count("decisions_total", what, number, event=event)
        metrics.count("tokens_total", "Tokens passed on.", counts.tokens)
        attempts = self._effects.attempts
        metrics.count("crossed_total", "Answers to other attempts.", attempts.crossed)
        metrics.gauge("attempts_running", "Attempts on their way.", attempts.running)
        in_flight = self._decisions.in_flight
        metrics.gauge("requests_in_flight", "Not yet answered or settled.", in_flight)
        metrics.gauge("revision", "Changes in force.", self._directory.revision)
        metrics.count("control_tries_total", "Commands sent.", self._link.tries)
        metrics.count("control_misses_total", "Met no leader.", self._link.misses)

    async def _tick_directory(self) -> None:
        sends = self._directory.tick(read_monotonic())
        await self._process.messenger.send(sends)
        for happening in self._directory.take_happenings():
            self._process.timeline.write(happening)

    async def _poll_documents(self) -> None:
        self._put_in_force(await self._link.poll(self._make_query()))

    async def _ask_at_start(self, address: Address) -> None:
        """Ask one control host until the gate is open or all it has is here."""
        while not self._gate.is_open(read_monotonic()):
            page = await self._link.ask_documents(address, self._make_query())
            self._put_in_force(page)
            if page is None or not page.revision:
                await curio.sleep(START_PAUSE_S)
            elif page.revision <= self._directory.revision and not page.documents:
                self._gate.take_answer(address)
                return

    def _put_in_force(self, page: DocumentsPage | None) -> None:
        if page is None:
            return
        for happening in self._directory.apply_documents(page, read_monotonic()):
            self._process.timeline.write(happening)

    def _make_query(self) -> DocumentsQuery:
        return DocumentsQuery(
            HostName(self._settings.host),
            self._settings.zone,
            self._settings.listen.address,
            self._directory.revision,
        )

    async def _report_targets(self) -> None:
        report = self._directory.report_targets(read_monotonic())
        if report.targets:
            await self._link.report_targets(report)

    def _choose_tick_pause(self) -> float:
        due = self._decisions.next_due()
        if due is None or not self._decisions.in_flight:
            return IDLE_TICK_S
        return min(max(due - read_monotonic(), TICK_S), MAX_TICK_S)

    def _choose_report_pause(self) -> float:
        """Report less often where many hosts do, so that one leader bears them."""
        hosts = len(self._directory.list_hosts(read_monotonic()))
        shortest, longest = REPORT_S
        return min(longest, max(shortest, hosts / REPORTS_S))

    def _draw_poll_pause(self) -> float:
        return POLL_S + self._rng.uniform(0, POLL_JITTER_S)

    async def start(self) -> Address:
        """Listen, and start what goes on by itself.

        :returns: where it listens.
        :raises OSError: when the address cannot be had.
        """
        address = await self.server.start(self._settings.listen.address)
        if self._settings.callers is not None:
            self.public_address = await self.public.start(
                self._settings.callers.address
            )
        for action, name, pause in (
            (self._effects.tick, "tick", self._choose_tick_pause),
            (self._tick_directory, "directory", lambda: DIRECTORY_TICK_S),
            (self._poll_documents, "documents", self._draw_poll_pause),
            (self._report_targets, "targets", self._choose_report_pause),
        ):
            await curio.spawn(repeat, action, name, pause, daemon=True)
        for host in self._link.hosts:
            await curio.spawn(self._ask_at_start, host, daemon=True)
        await self._process.announce_start("entry", address)
        return address

    async def stop(self) -> bool:
        """Stop as planned: finish what is in flight, then end.

        :returns: whether everything in flight was finished.
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
        if self.public is self.server:
            return (self.server,)
        return (self.server, self.public)

    async def run(self) -> int:
        """Run until asked to stop.

        :returns: the exit code.
        """
        await self.start()
        name = await wait_for_stop()
        logger.bind(step="stop", peer="-").info(f"{name}: draining")
        finished = await self.stop()
        return 0 if finished else 1
