"""What all requests of one entry host share."""

from __future__ import annotations

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
from bramleyspread_daemon.forward._piece_calls import PieceCalls
from bramleyspread_daemon.forward._piece_service import PieceService, ServiceView
from bramleyspread_daemon.forward._placement_service import PlacementService
from bramleyspread_daemon.forward._settings import ForwardEntrySettings
from bramleyspread_daemon.forward._upstream import UpstreamPool
from bramleyspread_daemon.forward._wire import TargetWire
from bramleyspread_forwarding import (
    EntryHost,
    FeedPage,
    FeedQuery,
    KeyRing,
    LiveHosts,
    Placement,
    RetryBudget,
    RouteTable,
    StageTimes,
    TargetTable,
)

#: How long an entry host counts as there after a page named it, in seconds.
HOST_S = 1.5


class ForwardContext:
    """The document in force, the targets, and the decisions about them."""

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
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}
        self._live_hosts = LiveHosts(HOST_S)
        #: This host, as others know it.
        self.own = EntryHost(
            settings.host, settings.zone, settings.listen.address, started
        )
        #: The conversation with targets.
        self.wire = wire
        #: The routes in force; None before the first document.
        self.routes: RouteTable | None = None
        #: Whose keys they are.
        self.keys = KeyRing(settings.keys_s)
        #: The targets.
        self.targets = TargetTable()
        #: Where requests go.
        self.placement = PlacementService(
            self.own,
            Placement(rng),
            self.targets.list_usable,
            self.find_service,
            self.list_hosts,
            peers,
        )
        #: How long stages have taken lately.
        self.stage_times = StageTimes()
        #: Connections to targets.
        self.upstream = UpstreamPool()
        #: Makes the pieces of stages.
        self.piece_service = PieceService(
            settings.host,
            ServiceView(self.targets.list_usable, self._find_pieces, self.list_hosts),
            PieceCalls(wire, self.upstream),
            peers,
        )
        #: Requests by how they ended.
        self.ends: Counter[str] = Counter()
        #: Requests not yet ended.
        self.in_flight = 0

    @property
    def version(self) -> int:
        """The version of the document in force; 0 for none."""
        return self.routes.version if self.routes is not None else 0

    def find_unready(self) -> str:
        """Find why this host takes no callers; empty when it does."""
        if self.routes is None:
            return "no deployment document yet"
        if not self.keys.is_fresh(read_monotonic()):
            return "no word of the control hosts for too long"
        return ""

    def make_query(self, control: Address) -> FeedQuery:
        """Make the next question to a control host."""
        life, position = self.targets.find_position(control)
        return FeedQuery(
            asker=self.own, version=self.version, life=life, position=position
        )

    async def take_page(
        self, control: Address, page: FeedPage, asked_at: float
    ) -> None:
        """Take a control host's answer."""
        now = read_monotonic()
        if page.deployment is not None and page.deployment.version > self.version:
            self._put_in_force(page.deployment)
        if page.confirmed and page.version <= self.version:
            self.keys.confirm(asked_at)
        self.targets.apply(control, page, now)
        for host in page.entries:
            self._live_hosts.note(host, now)

    async def tick(self) -> None:
        """Let time pass."""
        self.targets.tick(read_monotonic())

    def _put_in_force(self, deployment: Deployment) -> None:
        self.routes = RouteTable(deployment)
        self.keys.apply(deployment)
        self._on_deployment(deployment)
        logger.bind(step="document", peer="-", version=deployment.version).info(
            "in force"
        )

    def list_hosts(self) -> tuple[EntryHost, ...]:
        """List the entry hosts that are there, this one included."""
        now = read_monotonic()
        self._live_hosts.note(self.own, now)
        return self._live_hosts.list_present(now)

    def find_service(self, name: str) -> ForwardService | None:
        """Find a service of the document in force."""
        return self.routes.find_service(name) if self.routes is not None else None

    def _find_pieces(self, name: str) -> PieceLimits | None:
        service = self.find_service(name)
        return service.pieces if service is not None else None

    def find_budget(self, service: str) -> RetryBudget:
        """Find what may be sent again to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = self._budgets[service] = RetryBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
        return budget

    def choose_service(self, route: ForwardRoute, request: str) -> str:
        """Choose the service of a request; empty when there is no document."""
        return self.routes.choose_service(route, request) if self.routes else ""

    def find_route(self, host: str, path: str) -> ForwardRoute | None:
        """Find the route of a request."""
        return self.routes.find_route(host, path) if self.routes is not None else None
