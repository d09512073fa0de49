"""State shared by all requests of one entry host."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from random import Random

from loguru import logger

from bramleyspread_core import (
    Address,
    Deployment,
    ForwardRoute,
    ForwardService,
    PieceLimits,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.forward._document_link import DocumentLink, FetchedDocument
from bramleyspread_daemon.forward._piece_calls import PieceCalls
from bramleyspread_daemon.forward._piece_service import PieceService
from bramleyspread_daemon.forward._placement_service import PlacementService
from bramleyspread_daemon.forward._relay import open_relayed
from bramleyspread_daemon.forward._service_directory import ServiceDirectory
from bramleyspread_daemon.forward._settings import ForwardEntrySettings
from bramleyspread_daemon.forward._stream_keepers import StreamKeepers
from bramleyspread_daemon.forward._target_connector import TargetConnector
from bramleyspread_daemon.forward._target_crashes import TargetCrashes
from bramleyspread_daemon.forward._target_signals import TargetSignals
from bramleyspread_daemon.forward._unframed_end import UnframedEnds
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward._wire import TargetWire
from bramleyspread_daemon.forward._zone_capacities import ZoneCapacities
from bramleyspread_forwarding import (
    MAX_PAGE_GAP_S,
    ControlContact,
    DocumentParts,
    EntryHost,
    FeedPage,
    FeedQuery,
    ForwardTarget,
    KeyRing,
    KnownEntries,
    LiveHosts,
    Placement,
    RelayChoice,
    RetryBudget,
    RouteTable,
    SlowStarts,
    StageTimes,
    TargetTable,
    WarmUpBound,
    WarmUps,
    WarmUpShares,
    find_return_s,
)

#: How long an entry host counts as live after a feed page listed it, in seconds.
HOST_EXPIRY_S = 1.5

#: Share by which the time after which callers retry is prolonged at most.
RETRY_JITTER = 0.25


class ForwardContext:
    """Deployment document, targets and services shared by all requests."""

    def __init__(
        self,
        settings: ForwardEntrySettings,
        wire: TargetWire,
        peers: ConnectionPool,
        rng: Random,
        started: int,
        on_deployment: Callable[[Deployment], None],
    ) -> None:
        self._on_deployment = on_deployment
        self._rng = rng
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}
        self._live_hosts = LiveHosts(HOST_EXPIRY_S)
        self._known_entries: dict[Address, KnownEntries] = {}
        self._page_received_at = 0.0
        #: This host, as other hosts address it.
        self.own = EntryHost(
            settings.host, settings.zone, settings.listen.address, started
        )
        #: Wire format for targets.
        self.wire = wire
        #: Routes of the deployment document in force; None before the first one.
        self.routes: RouteTable | None = None
        #: Holders of the callers' keys.
        self.keys = KeyRing(settings.key_trust_s)
        #: Fetches newer documents.
        self.documents = DocumentLink(peers, self._apply_fetched)
        #: Known targets.
        self.targets = TargetTable()
        #: Ramps up the work of zones that come back after a drain or an absence.
        self.slow_starts = SlowStarts()
        self._contact = ControlContact()
        #: What targets have said about themselves.
        self.signals = TargetSignals(
            self.targets,
            rng,
            WarmUps(self._find_warm_up_rate),
            WarmUpShares(_find_bound(settings), self._contact),
        )
        #: Which software versions began streams.
        self.stream_keepers = StreamKeepers(
            self.own, self.targets, self.list_hosts, peers
        )
        #: Chooses the targets of requests.
        self.placement = PlacementService(
            self.own,
            Placement(
                rng,
                self.signals.access,
                is_planned=settings.zone_overflow == "planned",
            ),
            self.signals,
            self.targets.list_usable,
            self.find_service,
            self.list_hosts,
            peers,
            self.stream_keepers.tables.record,
            self.slow_starts,
        )
        #: Recent durations of stages.
        self.stage_times = StageTimes()
        #: Connections to targets.
        self.upstream = UpstreamPool(
            peers.traffic, self._make_connector, settings.max_held_bytes
        )
        #: Under which requests targets crash.
        self.crashes = TargetCrashes(
            lambda address: self.upstream.is_refused(address),
            self._record_crash,
        )
        #: Whether answers without a length are whole.
        self.unframed_ends = UnframedEnds(
            wire, self.upstream, self.targets, self.signals, self._find_health_path
        )
        #: Computes the pieces of stages.
        self.piece_service = PieceService(
            settings.host,
            ServiceDirectory(
                self.targets.list_usable,
                self._find_piece_limits,
                self.list_hosts,
                settings.link_mbps,
                self.targets.is_all_drained,
                self.slow_starts,
                lambda: self.signals.suspensions.find_wait_s(read_monotonic()) > 0,
            ),
            PieceCalls(wire, self.upstream, self.signals, self.targets.find_by_address),
            peers,
            self.signals.access,
            is_fair=settings.overload == "fair",
            is_planned=settings.zone_overflow == "planned",
        )
        #: Capacity of services by zone.
        self.capacities = ZoneCapacities(self.signals, self._is_in_backoff)
        #: Number of finished requests, by how they ended.
        self.end_counts: Counter[str] = Counter()
        #: Number of requests in flight.
        self.in_flight = 0

    def _make_connector(
        self, pool: UpstreamPool
    ) -> TargetConnector[UpstreamConnection]:
        async def open_through(host: EntryHost, address: Address) -> UpstreamConnection:
            connection = await open_relayed(
                host.address, address, self.targets.drains.revision
            )
            return pool.wrap_relayed(connection, address)

        return TargetConnector(
            pool.open_directly,
            open_through,
            RelayChoice(self.own, self._rng),
            self.list_hosts,
            self.targets.list_addresses,
            pool.close_idle_to,
        )

    @property
    def version(self) -> int:
        """Version of the deployment document in force; 0 if there is none."""
        return self.routes.version if self.routes is not None else 0

    def find_unready_reason(self) -> str:
        """Return why this host is not ready for callers; empty if it is ready."""
        if self.routes is None:
            return "no deployment document yet"
        if not self.keys.is_fresh(read_monotonic()):
            return "no word of the control hosts for too long"
        return ""

    def make_query(self, control: Address) -> FeedQuery:
        """Build the next feed query to a control host."""
        incarnation, position = self.targets.find_position(control)
        known = self._known_entries.get(control, KnownEntries())
        return FeedQuery(
            asker=self.own,
            version=self.version,
            incarnation=incarnation,
            position=position,
            entries_revision=known.revision if known.incarnation == incarnation else 0,
            departures=self.targets.list_unknown_departures(control),
            crash_revision=self.crashes.find_known_revision(control, incarnation),
            crash_news=self.crashes.list_news(control, incarnation),
            told_version=self.documents.find_told_version(control),
            drains_revision=self.targets.drains.revision,
        )

    async def handle_page(
        self, control: Address, page: FeedPage, requested_at: float
    ) -> None:
        """Apply a feed page received from a control host."""
        now = self._page_received_at = read_monotonic()
        if page.deployment is not None and page.deployment.version > self.version:
            earlier = self.documents.parts
            parts = DocumentParts.from_deployment(page.deployment, earlier)
            self._apply_document(parts)
        if page.confirmed and page.version <= self.version:
            self.keys.confirm(requested_at)
        self.targets.apply(control, page, now)
        self.signals.apply_heartbeats(page.changes, str(control), now)
        self._contact.record(control, page.control, now)
        self.signals.suspensions.record_page(requested_at, now)
        self._update_slow_starts(now)
        self.signals.drains.follow(self.capacities.measure)
        self.crashes.handle_page(control, page)
        known = self._known_entries.get(control, KnownEntries()).apply(page)
        self._known_entries[control] = known
        for host in known.entries:
            self._live_hosts.record(host, now)
        await self.documents.hear(control, page.version)

    async def tick(self) -> None:
        """Mark the views of control hosts that sent no page lately as stale.

        Also ends warm-ups, and follows which hosts own the shared work of services
        whose targets may warm up.
        """
        now = read_monotonic()
        self.signals.suspensions.tick(now)
        self.targets.tick(now)
        self.signals.tick()
        for service in self._list_warming_services():
            self.placement.follow_owner(service)
            self.piece_service.follow_owners(service)

    async def _apply_fetched(self, fetched: FetchedDocument) -> None:
        """Put a newer document in force."""
        self._apply_document(fetched.parts)
        if fetched.confirmed:
            self.keys.confirm(fetched.requested_at)

    def _apply_document(self, parts: DocumentParts) -> None:
        deployment = parts.deployment
        self.documents.set_document(parts)
        self.routes = RouteTable(deployment)
        self.keys.apply(deployment)
        self._on_deployment(deployment)
        logger.bind(step="document", peer="-", version=deployment.version).info(
            "in force"
        )

    def list_hosts(self) -> tuple[EntryHost, ...]:
        """Return the live entry hosts, including this one.

        While no control host is heard, no host expires: if each host took itself for
        the only one, all would do the shared work that one of them has to do.
        """
        now = read_monotonic()
        self._live_hosts.record(self.own, now)
        return self._live_hosts.list_live(
            min(now, self._page_received_at + MAX_PAGE_GAP_S)
        )

    def find_service(self, name: str) -> ForwardService | None:
        """Return a service of the deployment document in force."""
        return self.routes.find_service(name) if self.routes is not None else None

    def _update_slow_starts(self, now: float) -> None:
        """Start the ramps of zones that come back after a drain or an absence."""
        drained = [each.zone for each in self.targets.drains.drained]
        self.slow_starts.follow_drains(drained, now)
        for service in self._list_warming_services():
            zones = {each.zone for each in self.targets.list_usable(service)}
            self.slow_starts.follow_usable(service, zones, drained, now)

    def _list_warming_services(self) -> tuple[str, ...]:
        """List the services that limit the requests to warming targets."""
        return self.routes.list_warming_services() if self.routes is not None else ()

    def _record_crash(self, target: str, born: int, now: float) -> None:
        """Record that a target's process has crashed."""
        self.targets.record_crash(target, born, now)
        self.signals.record_crash(target, born, now)

    def _find_warm_up_rate(self, service: str) -> float:
        """Find the requests a second to a warming target; infinite if not limited."""
        found = self.find_service(service)
        rate = found.warm_up_rate if found is not None else None
        return rate if isinstance(rate, float) else math.inf

    def _find_piece_limits(self, name: str) -> PieceLimits | None:
        service = self.find_service(name)
        return service.pieces if service is not None else None

    def _find_health_path(self, name: str) -> str | None:
        service = self.find_service(name)
        path = service.health_path if service is not None else None
        return path if isinstance(path, str) else None

    def _is_in_backoff(self, service: str, target: ForwardTarget) -> bool:
        return self.placement.is_in_backoff(
            target.target
        ) or self.piece_service.is_in_backoff(service, target.target)

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = self._budgets[service] = RetryBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
        return budget

    def count_limited(self, service: str) -> int:
        """Count a service's targets that name a rate limit or are warming up."""
        return sum(
            self.signals.table.find_rate_limit(each) < math.inf
            for each in self.targets.list_usable(service)
        )

    def spread_retry(self, delay_s: float) -> float:
        """Prolong the time after which a refused caller may retry, in seconds.

        Callers that are refused for the same reason don't return all at once.
        """
        return delay_s * (1 + RETRY_JITTER * self._rng.random())

    def draw_return_s(self, ends_in_s: float, left_s: float) -> float:
        """Draw the time after which a caller may return after an overload, in seconds.

        :param ends_in_s: time for which the overload is expected to go on, in seconds.
        :param left_s: time until the caller can't be served any more, in seconds.
        """
        return find_return_s(ends_in_s, left_s, self._rng.random())

    def choose_service(self, route: ForwardRoute, request: str) -> str:
        """Choose the service for a request; empty if no document is in force."""
        return self.routes.choose_service(route, request) if self.routes else ""

    def rank_urgency(self, route: ForwardRoute, holder_priority: int | None) -> int:
        """Rank a request by the document in force; 0 is the most urgent."""
        if self.routes is None:
            return 0
        return self.routes.rank_urgency(route, holder_priority)

    def find_route(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route that matches a host and path."""
        return self.routes.find_route(host, path) if self.routes is not None else None


def _find_bound(settings: ForwardEntrySettings) -> WarmUpBound | None:
    """Return what warming targets bear, if the settings say so."""
    if settings.warm_up_overage is None:
        return None
    return WarmUpBound(settings.warm_up_overage, settings.warm_up_slack)
