"""Has targets chosen: here, or at the host that places for the service.

One host places for a service of model engines, so that each choice knows all
work in flight; without it, a host chooses by what it knows itself.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from loguru import logger

from bramleyspread_core import (
    EngineLimits,
    ForwardService,
    MessageError,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import write_refusal
from bramleyspread_forwarding import (
    EntryHost,
    ForwardTarget,
    NoTarget,
    Owners,
    Placed,
    Placement,
    PlaceQuery,
    PlaceReport,
    PlaceStep,
)

#: Where entry hosts ask each other for targets.
PLACE_PATH = "/v1/place"
#: Where entry hosts tell each other what became of placed requests.
PLACED_PATH = "/v1/placed"
#: Most time for another host's choice, in seconds.
PLACE_S = 0.1
#: Most time for telling another host, in seconds.
TELL_S = 0.5
#: Hosts that are asked for one choice, one after the other, before it is made here.
MOST_PLACERS = 2
#: How often other hosts are told, in seconds.
TICK_S = 0.05


class PlacementService:
    """Placement for this host's requests, and for those of other hosts."""

    def __init__(
        self,
        own: EntryHost,
        placement: Placement,
        list_targets: Callable[[str], Sequence[ForwardTarget]],
        find_service: Callable[[str], ForwardService | None],
        list_hosts: Callable[[], Sequence[EntryHost]],
        peers: ConnectionPool,
    ) -> None:
        self._placement = placement
        self._list_targets = list_targets
        self._find_service = find_service
        self._list_hosts = list_hosts
        self._peers = peers
        self._owners = Owners(own.host)
        self._placers: dict[int, EntryHost] = {}
        self._untold: dict[EntryHost, list[PlaceStep]] = {}

    async def choose(self, query: PlaceQuery) -> Placed | NoTarget:
        """Have a target chosen.

        :param query: the request.
        :returns: the target, or why there is none.
        """
        for _ in range(MOST_PLACERS):
            placer = self._find_placer(query.service)
            if placer is None:
                break
            answer = await self._ask(placer, query)
            if answer is not None:
                return answer
            self._owners.avoid(placer, read_monotonic())
            logger.bind(step="place", peer=placer.host).warning("no answer")
        return self._choose_here(query)

    def report(self, step: PlaceStep) -> None:
        """Take note of what became of a request, wherever it was placed."""
        self._placement.take_step(step, read_monotonic())
        placer = self._placers.get(step.ticket)
        if placer is None:
            return
        self._untold.setdefault(placer, []).append(step)
        if step.ended:
            del self._placers[step.ticket]

    def _find_placer(self, service: str) -> EntryHost | None:
        found = self._find_service(service)
        if found is None or found.engine is None:
            return None
        return self._owners.find_other(service, self._list_hosts(), read_monotonic())

    def _choose_here(self, query: PlaceQuery) -> Placed | NoTarget:
        targets = self._list_targets(query.service)
        limits = self._find_limits(query.service)
        return self._placement.choose(query, targets, limits, read_monotonic())

    def _find_limits(self, service: str) -> EngineLimits | None:
        found = self._find_service(service)
        return found.engine if found is not None else None

    async def _ask(
        self, placer: EntryHost, query: PlaceQuery
    ) -> Placed | NoTarget | None:
        try:
            response = await self._peers.ask(
                placer.address, PLACE_PATH, encode_json(query), PLACE_S
            )
            if response.status != 200:
                return None
            answer: Placed | NoTarget = decode_json(response.body, Placed | NoTarget)
        except (UnsentError, ClosedError, MessageError):
            return None
        if isinstance(answer, Placed):
            self._placers[answer.ticket] = placer
        return answer

    async def serve(self, http: HttpRequest, reply: Reply) -> None:
        """Answer another host's question for a target."""
        try:
            query: PlaceQuery = decode_json(http.body, PlaceQuery)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        reply.send_json(self._choose_here(query))

    async def serve_report(self, http: HttpRequest, reply: Reply) -> None:
        """Take another host's word on what became of placed requests."""
        try:
            report: PlaceReport = decode_json(http.body, PlaceReport)
        except MessageError as error:
            reply.send(400, write_refusal(400, str(error)))
            return
        reply.send(204, b"")
        now = read_monotonic()
        for step in report.steps:
            self._placement.take_step(step, now)

    async def tick(self) -> None:
        """Tell other hosts what became of the requests that they placed."""
        self._placement.expire(read_monotonic())
        untold, self._untold = self._untold, {}
        for placer, steps in untold.items():
            body = encode_json(PlaceReport(tuple(steps)))
            try:
                await self._peers.ask(placer.address, PLACED_PATH, body, TELL_S)
            except (UnsentError, ClosedError) as error:
                logger.bind(step="place", peer=placer.host).debug(f"not told: {error}")
