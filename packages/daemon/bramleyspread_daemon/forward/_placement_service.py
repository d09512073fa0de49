"""Chooses targets for requests: locally, or at the service's placement host.

For a service of model engines one entry host makes all placement decisions, so that
each decision takes all work in flight into account. If that host doesn't answer, a host
decides from its own view of the targets.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec
from loguru import logger

from bramleyspread_capacity import EngineSpeed
from bramleyspread_core import (
    EngineLimits,
    ForwardService,
    MessageError,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon.forward._overflow_report import OverflowReport
from bramleyspread_daemon.forward._target_signals import TargetSignals
from bramleyspread_forwarding import (
    DRAINED_RETRY_S,
    RATE_LIMITED,
    ZONES_DRAINED,
    Admitted,
    EntryHost,
    ForwardTarget,
    NoTarget,
    Placed,
    Placement,
    PlaceQuery,
    PlaceReport,
    PlaceStep,
    RateShares,
    ServiceOwners,
    ShardId,
    SharedSignal,
    SlowStarts,
    StreamOrigin,
)

#: Path on which entry hosts ask each other to choose a target.
PLACE_PATH = "/v1/place"
#: Path on which entry hosts report the progress of placed requests to each other.
PLACED_PATH = "/v1/placed"
#: Timeout for another host's placement decision, in seconds.
PLACE_TIMEOUT_S = 0.1
#: Timeout for reporting to another host, in seconds.
REPORT_TIMEOUT_S = 0.5
#: Maximum number of placement hosts asked, one after another, before the choice is
#: made locally.
MAX_HOSTS_TRIED = 2
#: Number of hosts of which it is kept what they were told; then all are told anew.
MAX_TOLD_HOSTS = 100
#: Interval between reports to other hosts, in seconds.
TICK_INTERVAL_S = 0.05


class PlacementService:
    """Places the requests of this host and of other entry hosts."""

    def __init__(
        self,
        own: EntryHost,
        placement: Placement,
        signals: TargetSignals,
        list_targets: Callable[[str], Sequence[ForwardTarget]],
        find_service: Callable[[str], ForwardService | None],
        list_hosts: Callable[[], Sequence[EntryHost]],
        peers: ConnectionPool,
        record_origin: Callable[[StreamOrigin], None],
        slow_starts: SlowStarts | None = None,
    ) -> None:
        self._slow_starts = slow_starts if slow_starts is not None else SlowStarts()
        #: What a plan sends to other zones.
        self.overflow = OverflowReport()
        self._record_origin = record_origin
        self._placement = placement
        self._signals = signals
        self._list_targets = list_targets
        self._find_service = find_service
        self._list_hosts = list_hosts
        self._peers = peers
        self._owners = ServiceOwners(own.host)
        self._shares = RateShares(self._owners)
        # By host, the revision of the signals up to which it knows them.
        self._told_revisions: dict[EntryHost, int] = {}
        self._placement_hosts: dict[int, EntryHost] = {}
        self._unreported: dict[EntryHost, list[PlaceStep]] = {}

    async def choose(self, query: PlaceQuery) -> Placed | NoTarget:
        """Choose a target for a request.

        :param query: the request to place.
        :returns: the chosen target, or the reason why there is none.
        """
        answer = await self._decide(query)
        self._count_held_back(query, answer)
        return answer if not isinstance(answer, Admitted) else NoTarget("not placed")

    def is_in_backoff(self, target: str) -> bool:
        """Return whether a target failed lately, as far as this host knows."""
        return self._placement.is_in_backoff(target, read_monotonic())

    async def admit(self, query: PlaceQuery) -> Admitted | NoTarget:
        """Decide whether a request can be served, before its stages are run.

        Only what targets have said about themselves counts.

        :param query: the request.
        :returns: the reason why it can't be served; else that it is admitted.
        """
        targets = self._list_targets(query.service)
        if not self._signals.are_restricted(targets):
            return Admitted()
        query = msgspec.structs.replace(query, is_admission=True)
        answer = await self._decide(query)
        self._count_held_back(query, answer)
        return answer if isinstance(answer, NoTarget) else Admitted()

    def _count_held_back(
        self, query: PlaceQuery, answer: Placed | NoTarget | Admitted
    ) -> None:
        """Count a request that is held back while targets are warming up."""
        if isinstance(answer, Placed) and answer.wait_s:
            self._signals.count_held_back((answer.target,), "waited")
        elif isinstance(answer, NoTarget) and answer.reason == RATE_LIMITED:
            targets = self._list_targets(query.service)
            self._signals.count_held_back(targets, "refused")

    def follow_owner(self, service: str) -> None:
        """Note since when this host has owned a service's placement, if it does.

        A share of a limit follows from it as soon as a target is limited.
        """
        self._find_share(service)

    async def _decide(self, query: PlaceQuery) -> Placed | NoTarget | Admitted:
        if self._signals.targets.is_all_drained(query.service):
            return NoTarget(ZONES_DRAINED, DRAINED_RETRY_S)
        targets = self._list_targets(query.service)
        paused = self._signals.list_paused(targets)
        drains = self._signals.targets.drains
        query = msgspec.structs.replace(
            query,
            paused=paused,
            drained_zones=tuple(each.zone for each in drains.drained),
        )
        if targets and len(paused) == len(targets):
            return self._decide_locally(query)
        for _ in range(MAX_HOSTS_TRIED):
            placement_host = self._find_placement_host(query.service, targets)
            if placement_host is None:
                return self._decide_locally(query, self._find_share(query.service))
            answer = await self._request_placement(placement_host, query)
            if self._end_if_warm_up_unknown(answer):
                answer = await self._request_placement(placement_host, query)
            if isinstance(answer, Placed) and drains.is_drained(answer.target.zone):
                # The placement host is older than drains, and can't be told of them.
                self.report(_build_end(answer))
                return self._decide_locally(query)
            if answer is not None:
                return answer
            self._owners.start_backoff(placement_host, read_monotonic())
            logger.bind(step="place", peer=placement_host.host).warning(
                "placement host did not answer"
            )
        return self._decide_locally(query)

    def _end_if_warm_up_unknown(
        self, answer: Placed | NoTarget | Admitted | None
    ) -> bool:
        """End a reservation if the placement host doesn't know the target's warm-up.

        The next query tells that host.

        :param answer: the placement host's answer.
        :returns: whether a reservation was ended.
        """
        if not isinstance(answer, Placed):
            return False
        now = read_monotonic()
        if not self._signals.table.tell_warm_up(answer.target, answer.limit, now):
            return False
        self.report(_build_end(answer))
        return True

    def _find_share(self, service: str) -> float:
        """Find the share of targets' rate limits that this host may hand out."""
        return self._shares.find_share(service, self._list_hosts(), read_monotonic())

    def find_speed(self, service: str) -> EngineSpeed:
        """Find how fast the engines of a service read prompts."""
        return self._placement.speeds.find(service)

    def report(self, step: PlaceStep) -> None:
        """Record a request's progress, and queue it for the host that placed it."""
        self._placement.record_step(step, read_monotonic())
        placement_host = self._placement_hosts.get(step.ticket)
        if placement_host is None:
            self._record_origins((step,))
            return
        self._unreported.setdefault(placement_host, []).append(step)
        if step.ended:
            del self._placement_hosts[step.ticket]

    def _record_origins(self, steps: Iterable[PlaceStep]) -> None:
        """Record where streams began, of which this host has to tell others."""
        for step in steps:
            if step.origin is not None:
                self._record_origin(step.origin)

    def _find_placement_host(
        self, service: str, targets: Sequence[ForwardTarget]
    ) -> EntryHost | None:
        """Find the other host that places requests for a service, if there is one.

        One host places for model engines, and for any targets that limit their rate or
        are brittle.
        """
        found = self._find_service(service)
        if found is None:
            return None
        if found.engine is None and not any(
            map(self._signals.table.is_restricted, targets)
        ):
            return None
        return self._owners.find_remote_owner(
            service, self._list_hosts(), read_monotonic()
        )

    def _decide_locally(
        self, query: PlaceQuery, share: float = 0.0
    ) -> Placed | NoTarget | Admitted:
        if self._signals.targets.is_all_drained(query.service):
            return NoTarget(ZONES_DRAINED, DRAINED_RETRY_S)
        targets = self._list_targets(query.service)
        limits = self._find_limits(query.service)
        if query.is_admission:
            return self._placement.admit(
                query, targets, limits, read_monotonic(), share
            )
        now = read_monotonic()
        choose = self._placement.choose
        open_targets = self._slow_starts.choose(query.service, targets, now)
        placed = choose(query, open_targets, limits, now, share)
        if isinstance(placed, NoTarget) and len(open_targets) < len(targets):
            return choose(query, targets, limits, now, share)
        return placed

    def _find_limits(self, service: str) -> EngineLimits | None:
        found = self._find_service(service)
        return found.engine if found is not None else None

    async def _request_placement(
        self, placement_host: EntryHost, query: PlaceQuery
    ) -> Placed | NoTarget | Admitted | None:
        revision, news = self._list_news(placement_host)
        query = msgspec.structs.replace(query, news=news)
        try:
            response = await self._peers.request(
                placement_host.address, PLACE_PATH, encode_json(query), PLACE_TIMEOUT_S
            )
            if response.status != 200:
                return None
            answer: Placed | NoTarget | Admitted = decode_json(
                response.body, Placed | NoTarget | Admitted
            )
        except (RequestNotSentError, ConnectionClosedError, MessageError):
            return None
        self._told_revisions[placement_host] = revision
        if isinstance(answer, Placed):
            self._placement_hosts[answer.ticket] = placement_host
            if answer.limit is not None:
                self._signals.apply((answer.limit,), placement_host.host)
        return answer

    def _list_news(self, host: EntryHost) -> tuple[int, tuple[SharedSignal, ...]]:
        """List what targets have said that another host may not know yet."""
        told = self._told_revisions.get(host, 0)
        return self._signals.table.list_news(told, read_monotonic())

    async def serve(self, http: HttpRequest, reply: Reply) -> None:
        """Handle another entry host's placement query."""
        try:
            query: PlaceQuery = decode_json(http.body, PlaceQuery)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        self._signals.apply(query.news, "another host")
        reply.send_json(self._decide_locally(query, self._find_share(query.service)))

    async def serve_report(self, http: HttpRequest, reply: Reply) -> None:
        """Handle another entry host's report on requests that this host placed."""
        try:
            report: PlaceReport = decode_json(http.body, PlaceReport)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send(204, b"")
        self._signals.apply(report.news, "another host")
        now = read_monotonic()
        self._record_origins(report.steps)
        for step in report.steps:
            self._placement.record_step(step, now)

    async def tick(self) -> None:
        """Report the progress of requests to the hosts that placed them."""
        now = read_monotonic()
        self._placement.expire(now)
        for service, overflow in self._placement.overflows.items():
            self.overflow.update(ShardId(service, 0), overflow.list_shares(now), now)
        if self._shares.check(now):
            self._signals.access.restart()
        self._forget_hosts()
        unreported, self._unreported = self._unreported, {}
        for placement_host, steps in unreported.items():
            revision, news = self._list_news(placement_host)
            body = encode_json(PlaceReport(tuple(steps), news))
            try:
                await self._peers.request(
                    placement_host.address, PLACED_PATH, body, REPORT_TIMEOUT_S
                )
                self._told_revisions[placement_host] = revision
            except (RequestNotSentError, ConnectionClosedError) as error:
                self._record_origins(steps)
                logger.bind(step="place", peer=placement_host.host).debug(
                    f"report not delivered: {error}"
                )

    def _forget_hosts(self) -> None:
        """Forget what hosts were told that no longer run."""
        if len(self._told_revisions) > MAX_TOLD_HOSTS:
            self._told_revisions.clear()


def _build_end(placed: Placed) -> PlaceStep:
    """Build the step that ends a reservation that wasn't used."""
    return PlaceStep(ticket=placed.ticket, target=placed.target.target, ended=True)
